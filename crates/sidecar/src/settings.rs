//! The node's settings.

use std::{fmt, net::SocketAddr, path::Path};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings of one node. Unknown keys are refused: the file is this product's own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The node's name; it announces itself under it.
    pub name: String,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The service of the backend server beside it.
    pub service: Service,
    /// Addresses.
    pub addresses: Addresses,
    /// The platform's store.
    pub store: Store,
    /// Times and shares that the operators are promised.
    pub bounds: Bounds,
}

/// Where the node listens, and where its backend server does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Addresses {
    /// Requests of clients and of the backend server.
    pub requests: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// The platform's question whether the node is ready.
    pub ready: SocketAddr,
    /// The backend server's heartbeats.
    pub heartbeats: SocketAddr,
    /// The backend server.
    pub server: SocketAddr,
    /// Metrics, as text; none where left out.
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// The shortest lease that it gives, in milliseconds.
    #[serde(default = "default_min_lease_ms")]
    pub min_lease_ms: u64,
}

/// Times and shares that the operators are promised.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// How long a withdrawn key may work, in milliseconds.
    pub key_withdrawal_ms: u64,
    /// How long a stopping process is left alone, in seconds.
    pub grace_s: f64,
    /// Retries for each request to a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries to a service that are free in a window, over all nodes.
    pub retry_slack: f64,
    /// The window of the retries' ratio, in seconds.
    pub retry_window_s: f64,
}

fn default_min_lease_ms() -> u64 {
    1_000
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(std::path::PathBuf, std::io::Error),
    /// The file is no such settings.
    Invalid(std::path::PathBuf, toml::de::Error),
    /// A value makes no sense.
    Value(&'static str, &'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Invalid(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Value(key, reason) => write!(f, "{key}: {reason}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Where it can't be read, is no such file, or a value makes no sense.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(path.into(), err))?;
        let settings: Self =
            toml::from_str(&text).map_err(|err| SettingsError::Invalid(path.into(), err))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bounds = &self.bounds;
        if self.name.is_empty() {
            return Err(SettingsError::Value("name", "must not be empty"));
        }
        if bounds.key_withdrawal_ms < 1_000 {
            let reason = "must be 1000 or more: proofs of freshness take time";
            return Err(SettingsError::Value("bounds.key-withdrawal-ms", reason));
        }
        if bounds.grace_s <= 0.0 {
            return Err(SettingsError::Value("bounds.grace-s", "must be over zero"));
        }
        if bounds.retry_ratio < 0.0 || bounds.retry_slack < 0.0 || bounds.retry_window_s <= 0.0 {
            let reason = "must not be negative, and the window over zero";
            return Err(SettingsError::Value("bounds.retry-*", reason));
        }
        Ok(())
    }
}
