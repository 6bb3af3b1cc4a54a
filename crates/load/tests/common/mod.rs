//! A small experiment that the tests start from.

#![allow(dead_code, reason = "each test file uses its own part")]

use cassiashunt_load::{Experiment, Outcome, Sample};
use std::time::Duration;

/// The text of the experiment: a root service over a leaf, two workspaces, two phases of 2 s.
pub const TEXT: &str = r#"
name = "small"
requests-per-second = 100
failure-domains = ["a", "b"]

[[services]]
name = "root"
servers = 2
slots = 10
connections = 100
endpoints = [
    { path = "/root/read", service-time = { mean-ms = 10.0 }, children = [{ path = "/leaf/part" }] },
    { path = "/root/sign", service-time = { mean-ms = 10.0 } },
]

[[services]]
name = "leaf"
servers = 1
slots = 10
connections = 100
endpoints = [{ path = "/leaf/part", service-time = { mean-ms = 30.0 } }]

[[requests]]
route = "read"
class = "read"
path = "/root/read"
share = 0.5
timeout-ms = 1000

[[requests]]
route = "sign"
class = "sign-off"
method = "POST"
path = "/root/sign"
share = 0.5
protected = true
idempotent = false
timeout-ms = 1000

[[workspaces]]
name = "large"
key = "key-large"
rate = 100
burst = 100
share = 3

[[workspaces]]
name = "small"
key = "key-small"
rate = 30
burst = 30
share = 1

[[phases]]
name = "calm"
seconds = 2
role = "baseline"

[[phases]]
name = "busy"
seconds = 2
demand = 2
surges = [{ workspace = "small", demand = 2.0 }]

[[variants]]
name = "direct"
launch = "direct"
"#;

/// The experiment.
pub fn experiment() -> Experiment {
    Experiment::parse("small.toml", TEXT).expect("the text is a good experiment")
}

/// A sample of the first phase, workspace and kind that ended whole.
pub fn whole(intended_ms: u64, ended_ms: u64) -> Sample {
    Sample {
        number: 0,
        intended: Duration::from_millis(intended_ms),
        sent: Duration::from_millis(intended_ms),
        ended: Duration::from_millis(ended_ms),
        phase: 0,
        workspace: 0,
        kind: 0,
        tries: 1,
        outcome: Outcome::Whole,
    }
}
