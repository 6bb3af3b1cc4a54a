//! The services of an experiment.

use cassiashunt_standin::server::Endpoint;
use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A service: its backend servers and what they do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServiceOptions {
    /// The name, which begins the paths of its endpoints.
    pub name: Service,
    /// The number of backend servers.
    pub servers: usize,
    /// The requests that one server runs at once.
    pub slots: usize,
    /// The connections that one server holds at once.
    pub connections: usize,
    /// The requests that wait at one server for a slot before it sheds.
    #[serde(default = "queue")]
    pub queue: usize,
    /// How long after its start a server is cold, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// The factor on service times while a server is cold.
    #[serde(default = "one")]
    pub cold_factor: f64,
    /// The age that a load or health report may have, in milliseconds.
    #[serde(default)]
    pub report_lag_ms: u64,
    /// What its paths do.
    pub endpoints: Vec<Endpoint>,
}

fn queue() -> usize {
    1_024
}

fn one() -> f64 {
    1.0
}
