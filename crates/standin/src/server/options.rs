//! Settings of a backend-server stand-in; all but the address can be changed while it runs.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::Journal;

/// How the time that a request takes is drawn.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Always the mean.
    Fixed,
    /// Exponentially distributed.
    Exponential,
    /// Log-normally distributed, with the shape of [`ServiceTime::sigma`].
    Lognormal,
}

/// The time that a request's own work takes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ServiceTime {
    /// The mean, in milliseconds.
    pub mean_ms: f64,
    /// The distribution.
    pub spread: Spread,
    /// The standard deviation of the logarithm, for [`Spread::Lognormal`].
    pub sigma: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            mean_ms: 1.0,
            spread: Spread::Fixed,
            sigma: 0.5,
        }
    }
}

impl ServiceTime {
    /// Draws one service time.
    #[must_use]
    pub fn draw(&self, rng: &mut fastrand::Rng) -> Duration {
        let factor = match self.spread {
            Spread::Fixed => 1.0,
            Spread::Exponential => exponential(rng),
            Spread::Lognormal => (self.sigma * normal(rng) - self.sigma * self.sigma / 2.0).exp(),
        };
        Duration::from_secs_f64((self.mean_ms * factor / 1_000.0).max(0.0))
    }
}

/// A standard exponential draw, by inversion.
fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// A standard normal draw (Box and Muller, 1958).
fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}

/// The order of a request's child calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// One after another.
    Sequence,
    /// All at once.
    Parallel,
}

/// One call that a request makes to another service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Child {
    /// The path of the call; its first segment names the service.
    pub path: String,
    /// `GET` or `POST`.
    pub method: String,
    /// Whether the request fails when this call fails.
    pub required: bool,
}

impl Default for Child {
    fn default() -> Self {
        Self {
            path: String::new(),
            method: "GET".into(),
            required: true,
        }
    }
}

/// What a request to one path does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Endpoint {
    /// The path, or the start of a path.
    pub path: String,
    /// The time of its own work, before its child calls.
    pub service_time: ServiceTime,
    /// Its child calls; the slot stays taken while they run.
    pub children: Vec<Child>,
    /// The order of the child calls.
    pub order: Order,
    /// The bytes of its answer, unless the request asks for another size by `?bytes=`.
    pub bytes: usize,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            path: "/".into(),
            service_time: ServiceTime::default(),
            children: Vec::new(),
            order: Order::Sequence,
            bytes: 64,
        }
    }
}

/// A backend server of another service, called without a node between.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Peer {
    /// The server's address.
    pub addr: SocketAddr,
    /// The delay to it one way, in milliseconds.
    pub one_way_ms: f64,
}

/// How the load and health endpoints lag and lie.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Report {
    /// The age that an answer may have, in milliseconds.
    pub lag_ms: u64,
    /// The time that an answer takes, in milliseconds.
    pub probe_ms: u64,
    /// The factor on the load that is told.
    pub load_factor: f64,
    /// The health that is told whatever the truth is.
    pub health: Option<bool>,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            lag_ms: 0,
            probe_ms: 0,
            load_factor: 1.0,
            health: None,
        }
    }
}

/// Settings of a backend-server stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The address to listen on; loopback only.
    pub listen: SocketAddr,
    /// The name of the service, for its answers and logs.
    pub service: String,
    /// The requests that run at once.
    pub slots: usize,
    /// The connections that are held at once; further ones are closed at once.
    pub connections: usize,
    /// The requests that wait for a slot; with more, the server sheds.
    pub queue: usize,
    /// What the server's paths do; the longest start that matches counts.
    pub endpoints: Vec<Endpoint>,
    /// The node beside this server, which its child calls go through.
    pub node: Option<SocketAddr>,
    /// By service, the servers that child calls go to where there is no node.
    pub peers: BTreeMap<String, Vec<Peer>>,
    /// Further tries of a child call that failed.
    pub child_retries: u32,
    /// The time limit of a child call, in milliseconds.
    pub child_timeout_ms: u64,
    /// Whether a child call says how long it is waited for.
    pub child_deadlines: bool,
    /// The cost of a new connection, in milliseconds.
    pub connect_ms: f64,
    /// The delay before each request is looked at, in milliseconds.
    pub delay_ms: f64,
    /// The factor on every service time.
    pub slow_factor: f64,
    /// The share of requests that fail after their work, 0 to 1.
    pub failure_rate: f64,
    /// The share of requests that the server sheds whatever its load, 0 to 1.
    pub shed_rate: f64,
    /// Whether the server is leaving: it refuses new work.
    pub draining: bool,
    /// How long after its start the server is cold, in milliseconds.
    pub cold_ms: u64,
    /// The factor on service times while it is cold.
    pub cold_factor: f64,
    /// The load and health endpoints.
    pub report: Report,
    /// Whether a marked request ends the whole process.
    pub exit_on_crash: bool,
    /// The time after a crash at which the server starts again by itself, in milliseconds.
    pub restart_ms: Option<u64>,
    /// The most runs that are recorded; later ones are counted only.
    pub records: usize,
    /// Whether a record holds all the request's headers and its query.
    pub capture: bool,
    /// Where the server leaves its recorded runs when it stops for good.
    #[serde(skip)]
    pub journal: Journal,
    /// The seed of every random draw.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            service: "service".into(),
            slots: 16,
            connections: 512,
            queue: 1_024,
            endpoints: vec![Endpoint::default()],
            node: None,
            peers: BTreeMap::new(),
            child_retries: 0,
            child_timeout_ms: 10_000,
            child_deadlines: true,
            connect_ms: 0.0,
            delay_ms: 0.0,
            slow_factor: 1.0,
            failure_rate: 0.0,
            shed_rate: 0.0,
            draining: false,
            cold_ms: 0,
            cold_factor: 1.0,
            report: Report::default(),
            exit_on_crash: false,
            restart_ms: None,
            records: 100_000,
            capture: false,
            journal: Journal::default(),
            seed: 1,
        }
    }
}

impl Options {
    /// What a request to this path does: the longest matching start, or the first entry.
    #[must_use]
    pub fn endpoint(&self, path: &str) -> Endpoint {
        let matching = self.endpoints.iter().filter(|e| path.starts_with(&e.path));
        let longest = matching.max_by_key(|endpoint| endpoint.path.len());
        longest.cloned().unwrap_or_default()
    }
}
