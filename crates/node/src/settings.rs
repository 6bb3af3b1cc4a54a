//! The node's settings file.

use std::{fmt, net::SocketAddr, path::PathBuf};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The shortest secret and operator token, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// All settings of a node.
#[derive(Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// Where the node listens and where it stands.
    pub node: Place,
    /// The platform's key-value service.
    pub platform: Platform,
    /// The backend server beside the node; a node without one serves as ingress only.
    pub server: Option<Server>,
    /// Bounds on what the node takes in.
    #[serde(default)]
    pub bounds: Bounds,
    /// How long things may take.
    #[serde(default)]
    pub times: Times,
    /// Ways of deciding that can be compared with each other.
    #[serde(default)]
    pub policy: Policy,
    /// Delays added between failure domains, for experiments on one machine.
    #[serde(default)]
    pub delays: Delays,
}

/// Where the node listens and where it stands.
#[derive(Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Place {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other nodes, over TCP and UDP.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The failure domain that the instance stands in.
    pub failure_domain: FailureDomain,
    /// The other failure domains of the fleet.
    #[serde(default)]
    pub other_failure_domains: Vec<FailureDomain>,
    /// The secret that all nodes share.
    pub secret: String,
    /// The operators' credential.
    pub operator_token: String,
}

/// The platform's key-value service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Platform {
    /// Its address, as `http://IP:PORT`.
    pub url: String,
}

/// The backend server beside the node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Server {
    /// The service that it offers.
    pub service: Service,
    /// Its address.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The path of its health endpoint.
    #[serde(default = "default_health")]
    pub health: String,
}

fn default_connections() -> u32 {
    500
}

fn default_health() -> String {
    "/health".into()
}

/// Bounds on what the node takes in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Bounds {
    /// Callers' connections at a time.
    pub connections: usize,
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The largest answer body, in bytes.
    pub answer_bytes: usize,
    /// Bytes of all requests that the node reads or runs, and of answers that callers read, at a time.
    pub waiting_bytes: usize,
    /// Bytes of all answers that the node holds at a time.
    pub held_bytes: usize,
    /// Frames that wait for one peer's connection.
    pub link_frames: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 1_024,
            head_bytes: 16 * 1024,
            body_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            waiting_bytes: 64 << 20,
            held_bytes: 64 << 20,
            link_frames: 1_024,
        }
    }
}

/// How long things may take, in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Times {
    /// From a request's first byte to its last.
    pub receive_ms: u64,
    /// A caller that reads nothing of its answer.
    pub send_ms: u64,
    /// A connection to another node or to the backend server.
    pub connect_ms: u64,
    /// The age of the newest attestation with which a node is in touch.
    pub freshness_ms: u64,
    /// How long a draining node goes on taking callers' requests for other servers.
    pub drain_accept_ms: u64,
    /// The longest stop, after which the node exits with what is left.
    pub drain_ms: u64,
    /// How long an idempotency record is kept.
    pub record_ms: u64,
    /// How often the roster of a failure domain is written.
    pub roster_write_ms: u64,
    /// How often the rosters of the other failure domains are read.
    pub roster_read_ms: u64,
    /// The warm-up of a cold backend server.
    pub warm_up_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            receive_ms: 10_000,
            send_ms: 30_000,
            connect_ms: 500,
            freshness_ms: 2_000,
            drain_accept_ms: 2_000,
            drain_ms: 30_000,
            record_ms: 600_000,
            roster_write_ms: 3_000,
            roster_read_ms: 5_000,
            warm_up_ms: 0,
        }
    }
}

/// Ways of deciding that can be compared with each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Policy {
    /// Whether requests are shed before their chain starts.
    pub ingress_shedding: bool,
    /// How a server is picked.
    pub choice: cassiashunt_route::Policy,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            ingress_shedding: true,
            choice: Default::default(),
        }
    }
}

/// Delays added to what is sent to nodes of other failure domains.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Delays {
    /// One way between failure domains, in microseconds.
    pub cross_domain_us: u64,
}

/// What is wrong with a settings file.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no valid settings file.
    Syntax(Box<toml::de::Error>),
    /// A value cannot be right.
    Value {
        /// The key, with its section.
        key: &'static str,
        /// Why, and what would be right.
        why: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, source } => write!(f, "{}: {source}", file.display()),
            Self::Syntax(err) => write!(f, "{err}"),
            Self::Value { key, why } => write!(f, "{key}: {why}"),
        }
    }
}

impl std::error::Error for SettingsError {}

fn ensure(ok: bool, key: &'static str, why: impl Into<String>) -> Result<(), SettingsError> {
    if ok {
        Ok(())
    } else {
        Err(SettingsError::Value {
            key,
            why: why.into(),
        })
    }
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("failure_domain", &self.node.failure_domain)
            .field("callers", &self.node.callers)
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl Settings {
    /// Reads and checks a settings file's text.
    ///
    /// # Errors
    ///
    /// Names the key and what would be right.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|err| SettingsError::Syntax(Box::new(err)))?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the key and what would be right.
    pub fn read(file: PathBuf) -> Result<Self, SettingsError> {
        match std::fs::read_to_string(&file) {
            Ok(text) => Self::parse(&text),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// The settings as TOML with secrets left out.
    ///
    /// # Panics
    ///
    /// Never: every field can be written as TOML.
    #[must_use]
    pub fn redacted(&self) -> String {
        let mut shown = self.clone();
        shown.node.secret = "(hidden)".into();
        shown.node.operator_token = "(hidden)".into();
        toml::to_string_pretty(&shown).expect("settings hold only what TOML can write")
    }

    /// Checks values that the types do not check.
    ///
    /// # Errors
    ///
    /// Names the first key with a wrong value.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_place()?;
        let url = &self.platform.url;
        ensure(
            url.starts_with("http://"),
            "platform.url",
            "must be http://IP:PORT",
        )?;
        if let Some(server) = &self.server {
            check_server(server)?;
        }
        self.check_bounds()?;
        self.check_times()
    }

    fn check_place(&self) -> Result<(), SettingsError> {
        let at_least = format!("must have at least {MIN_SECRET_BYTES} bytes");
        let place = &self.node;
        ensure(
            place.secret.len() >= MIN_SECRET_BYTES,
            "node.secret",
            &at_least,
        )?;
        let token = &place.operator_token;
        ensure(
            token.len() >= MIN_SECRET_BYTES,
            "node.operator-token",
            &at_least,
        )?;
        ensure(
            *token != place.secret,
            "node.operator-token",
            "must differ from node.secret",
        )?;
        let fixed = place.peers.port() != 0 || place.peers.ip().is_loopback();
        ensure(
            fixed,
            "node.peers",
            "needs a port, since other nodes must find it",
        )?;
        let specified = !place.peers.ip().is_unspecified();
        ensure(
            specified,
            "node.peers",
            "must be the address that other nodes use",
        )
    }

    fn check_bounds(&self) -> Result<(), SettingsError> {
        let bounds = &self.bounds;
        ensure(
            bounds.connections > 0,
            "bounds.connections",
            "must be at least 1",
        )?;
        ensure(
            bounds.waiting_bytes >= 2 * bounds.body_bytes.max(bounds.answer_bytes),
            "bounds.waiting-bytes",
            "must be at least twice the largest body",
        )?;
        ensure(
            bounds.head_bytes >= 1024,
            "bounds.head-bytes",
            "must be at least 1024",
        )?;
        ensure(
            bounds.link_frames >= 16,
            "bounds.link-frames",
            "must be at least 16",
        )?;
        let room = bounds.held_bytes >= bounds.answer_bytes;
        ensure(
            room,
            "bounds.held-bytes",
            "must be at least bounds.answer-bytes",
        )
    }

    fn check_times(&self) -> Result<(), SettingsError> {
        let times = &self.times;
        let range = 200..=60_000;
        let fresh = range.contains(&times.freshness_ms);
        ensure(fresh, "times.freshness-ms", "must be from 200 to 60000")?;
        let drains = times.drain_ms >= times.drain_accept_ms;
        ensure(
            drains,
            "times.drain-ms",
            "must be at least times.drain-accept-ms",
        )?;
        ensure(
            times.connect_ms > 0,
            "times.connect-ms",
            "must be at least 1",
        )
    }
}

fn check_server(server: &Server) -> Result<(), SettingsError> {
    ensure(server.slots > 0, "server.slots", "must be at least 1")?;
    let connected = server.connections >= server.slots;
    ensure(
        connected,
        "server.connections",
        "must be at least server.slots",
    )?;
    ensure(
        server.health.starts_with('/'),
        "server.health",
        "must be a path",
    )
}
