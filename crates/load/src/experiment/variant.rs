//! The variants of an experiment, and the callers' side.

use std::net::SocketAddr;

use cassiashunt_standin::server::Journal;
use serde::{Deserialize, Serialize};

/// When a caller tries again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryMode {
    /// Never.
    #[default]
    None,
    /// Where the answer says `Retry-After`, after that time.
    RetryAfter,
    /// After each failure, whatever the answer says.
    Hard,
}

/// How callers try again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Retries {
    /// When.
    pub mode: RetryMode,
    /// The most further tries of a request.
    pub limit: u32,
    /// The longest pause before a further try, in milliseconds; drawn evenly from 0.
    pub pause_ms: u64,
    /// How long a caller goes on in all, from the intended time of sending, in milliseconds.
    pub patience_ms: u64,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            mode: RetryMode::None,
            limit: 3,
            pause_ms: 20,
            patience_ms: 3_000,
        }
    }
}

/// The callers' side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ClientOptions {
    /// The requests that all callers have under way at once; the load's own bound.
    pub threads: usize,
    /// The idle connections that a workspace keeps, to all instances together.
    pub idle_connections: usize,
    /// The length of the windows of all figures over time, in milliseconds.
    pub window_ms: u64,
    /// How callers try again.
    pub retries: Retries,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            threads: 1_024,
            idle_connections: 128,
            window_ms: 250,
            retries: Retries::default(),
        }
    }
}

/// What is launched for a variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Launch {
    /// The servers alone; callers and servers choose a server at random.
    Direct,
    /// The servers, each with its node.
    Nodes,
    /// Nothing: the load goes to a fleet that runs already.
    Running,
}

/// One of the ways that are compared.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Variant {
    /// The name.
    pub name: String,
    /// What is launched.
    pub launch: Launch,
    /// The addresses of a fleet that runs already.
    #[serde(default)]
    pub ingress: Vec<SocketAddr>,
    /// The requests that wait at a server, in place of the services' own number.
    #[serde(default)]
    pub queue: Option<usize>,
    /// Further tries of a failed child call by the server that makes it.
    #[serde(default)]
    pub child_retries: u32,
    /// Whether callers and servers say how long they wait; a server without that works on.
    #[serde(default = "yes")]
    pub deadlines: bool,
    /// How callers try again, in place of the experiment's own.
    #[serde(default)]
    pub retries: Option<Retries>,
    /// Where the servers of one run leave what they ran.
    #[serde(skip)]
    pub journal: Journal,
    /// Settings for whoever launches the nodes.
    #[serde(default)]
    pub settings: toml::Table,
}

fn yes() -> bool {
    true
}
