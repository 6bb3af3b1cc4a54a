//! The settings file of a node.

use std::{fmt, net::SocketAddr, path::Path};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::settings_source::SettingsSource;

/// Settings of one node. Unknown keys are refused, since only this program reads the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The name under which the node announces itself; not empty.
    pub name: String,
    /// The name of the node's failure domain; not empty.
    pub domain: String,
    /// The name of the backend server's service, as it is sent to other servers; not empty.
    pub service: String,
    /// Listening addresses, and the backend server's address.
    pub addresses: Addresses,
    /// The platform's store.
    pub store: Store,
    /// Limits on times and retries.
    pub bounds: Bounds,
    /// What the process may use of its machine.
    #[serde(default)]
    pub limits: Limits,
}

/// The addresses at which the node and its backend server listen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Addresses {
    /// The node's listener for requests of clients and of the backend server.
    pub requests: SocketAddr,
    /// The node's listener for connections of other nodes.
    pub peers: SocketAddr,
    /// The node's listener for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The node's listener for the backend server's heartbeats.
    pub heartbeats: SocketAddr,
    /// The backend server's listener.
    pub server: SocketAddr,
    /// The node's listener for metrics in the Prometheus text format; `None` serves no metrics.
    pub metrics: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Store {
    /// The store's address.
    pub address: SocketAddr,
    /// The shortest lease that the store grants, in milliseconds; 1000 where left out.
    #[serde(default = "default_min_lease_ms")]
    pub min_lease_ms: u64,
}

/// The descriptors of the users' machines.
const USUAL_FDS: usize = 4_096;

/// What the process may use of its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Limits {
    /// Memory of the process, in MiB; 96 or more. Half of it is for bodies of requests and answers.
    pub memory_mb: u32,
    /// Open files of the process; 64 or more. Two thirds of them are for connections of clients. Where
    /// left out, 4096, or the limit that the process has if that is less.
    pub max_fds: Option<u32>,
}

impl Default for Limits {
    /// The machines of the users' deployments have 260 MB and 4,100 descriptors.
    fn default() -> Self {
        Self {
            memory_mb: 256,
            max_fds: None,
        }
    }
}

/// Limits on times and retries that the operators can rely on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The longest time for which a withdrawn API key is still accepted, in milliseconds; at least
    /// 1000.
    pub key_withdrawal_ms: u64,
    /// The platform's grace period between the signal to stop and the kill, in seconds; above zero.
    pub grace_s: f64,
    /// The retry budget of a service as a fraction of its requests, over all nodes.
    pub retry_ratio: f64,
    /// Retries to a service in a window that are allowed regardless of the ratio, over all nodes.
    pub retry_slack: f64,
    /// The window of the retry ratio, in seconds; above zero.
    pub retry_window_s: f64,
    /// How many times the rate that a cold backend server tolerates it may get; 1 where left out.
    #[serde(default = "default_warm_up_excess")]
    pub warm_up_excess: f64,
    /// Requests per second that a cold backend server may get beyond that; none where left out.
    #[serde(default)]
    pub warm_up_slack: f64,
}

impl Bounds {
    /// The longest time for which a withdrawn API key is still accepted.
    #[must_use]
    pub fn key_withdrawal(&self) -> Duration {
        Duration::from_millis(self.key_withdrawal_ms)
    }
}

/// What a running node makes of its settings file when it reads it again.
#[derive(Debug, Clone, PartialEq)]
pub struct Reload {
    /// The settings from now on.
    pub settings: Settings,
    /// The keys whose values in the file differ and take effect at a restart only.
    pub needs_restart: Vec<&'static str>,
}

/// Settings that are being read.
pub(crate) type Reading = oneshot::Receiver<Result<Settings, SettingsError>>;

fn default_min_lease_ms() -> u64 {
    1_000
}

fn default_warm_up_excess() -> f64 {
    1.0
}

/// Why a settings file is unusable.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(std::path::PathBuf, std::io::Error),
    /// The file is not TOML, or its keys or types are wrong.
    Invalid(std::path::PathBuf, toml::de::Error),
    /// A value is out of range: its key, and the reason.
    Value(&'static str, &'static str),
    /// The settings read at a reload are those of another node: its name, and this node's.
    OtherNode(String, String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Invalid(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Value(key, reason) => write!(f, "{key}: {reason}"),
            Self::OtherNode(stated, own) => {
                write!(f, "name: the settings of {stated}, not of {own}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a value is out of range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        SettingsSource::file(path).read()
    }

    /// Handles settings that were read again while the node runs. Its server, its peers and its store
    /// know it by what it started with, so that only bounds change.
    ///
    /// # Errors
    ///
    /// Fails if they are the settings of another node.
    pub fn reload(&self, stated: Self) -> Result<Reload, SettingsError> {
        if stated.name != self.name {
            return Err(SettingsError::OtherNode(stated.name, self.name.clone()));
        }
        let (own, new) = (&self.bounds, &stated.bounds);
        let keys = [
            ("domain", self.domain != stated.domain),
            ("service", self.service != stated.service),
            ("addresses", self.addresses != stated.addresses),
            ("store", self.store != stated.store),
            ("limits", self.limits != stated.limits),
            ("bounds.retry-ratio", own.retry_ratio != new.retry_ratio),
            (
                "bounds.retry-window-s",
                own.retry_window_s != new.retry_window_s,
            ),
        ];
        let changed = keys.into_iter().filter(|(_, differs)| *differs);
        Ok(Reload {
            needs_restart: changed.map(|(key, _)| key).collect(),
            settings: Self {
                bounds: Bounds {
                    retry_ratio: own.retry_ratio,
                    retry_window_s: own.retry_window_s,
                    ..stated.bounds
                },
                ..self.clone()
            },
        })
    }

    /// The memory that the process may use, in bytes: what the settings say, or the machine's if it
    /// has less.
    pub(crate) fn memory_bytes(&self) -> usize {
        let stated = usize::try_from(self.limits.memory_mb).unwrap_or(usize::MAX) << 20;
        let of_machine = proc_number("/proc/meminfo", "MemTotal:").map(|kib| kib << 10);
        of_machine.map_or(stated, |it| it.min(stated))
    }

    /// The descriptors that the process may have open.
    pub(crate) fn max_fds(&self) -> usize {
        let of_process = || proc_number("/proc/self/limits", "Max open files");
        let stated = self.limits.max_fds.and_then(|it| usize::try_from(it).ok());
        stated.unwrap_or_else(|| of_process().map_or(USUAL_FDS, |it| it.min(USUAL_FDS)))
    }

    /// The node's failure domain.
    #[must_use]
    pub fn domain(&self) -> FailureDomain {
        FailureDomain::of_name(&self.domain)
    }

    /// The service of the node's backend server.
    #[must_use]
    pub fn service(&self) -> Service {
        Service::of_name(&self.service)
    }

    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let bounds = &self.bounds;
        for (key, name) in [
            ("name", &self.name),
            ("domain", &self.domain),
            ("service", &self.service),
        ] {
            if name.is_empty() || name.contains(char::is_control) {
                let reason = "must not be empty or have control characters";
                return Err(SettingsError::Value(key, reason));
            }
        }
        if bounds.key_withdrawal_ms < 1_000 {
            let reason = "must be 1000 or more: proofs of freshness take time";
            return Err(SettingsError::Value("bounds.key-withdrawal-ms", reason));
        }
        if bounds.grace_s <= 0.0 {
            return Err(SettingsError::Value("bounds.grace-s", "must be over zero"));
        }
        if self.limits.memory_mb < 96 {
            return Err(SettingsError::Value(
                "limits.memory-mb",
                "must be 96 or more",
            ));
        }
        if self.limits.max_fds.is_some_and(|it| it < 64) {
            return Err(SettingsError::Value("limits.max-fds", "must be 64 or more"));
        }
        if bounds.retry_ratio < 0.0 || bounds.retry_slack < 0.0 || bounds.retry_window_s <= 0.0 {
            let reason = "must not be negative, and the window over zero";
            return Err(SettingsError::Value("bounds.retry-*", reason));
        }
        if bounds.warm_up_excess < 0.0 || bounds.warm_up_slack < 0.0 {
            let reason = "must not be negative";
            return Err(SettingsError::Value("bounds.warm-up-*", reason));
        }
        Ok(())
    }
}

/// The first number behind a label in a file of the kernel; `None` where there is none.
fn proc_number(file: &str, label: &str) -> Option<usize> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(label))?;
    line.split_whitespace().next()?.parse().ok()
}
