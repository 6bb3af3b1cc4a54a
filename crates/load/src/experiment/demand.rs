//! Who asks for what, how much, and when.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::TimedFault;

/// How requests are spaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// A Poisson process per workspace.
    #[default]
    Poisson,
    /// Evenly per workspace.
    Even,
}

/// A workspace: its entitlement and its demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkspaceOptions {
    /// The name.
    pub name: Workspace,
    /// The callers' key.
    pub key: String,
    /// The requests a second that it may send.
    pub rate: f64,
    /// The requests that it may send at once.
    pub burst: f64,
    /// Its part of the demand, relative to the other workspaces.
    pub share: f64,
    /// Its weight when capacity is short.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A kind of request: a route and a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RequestKind {
    /// The route.
    pub route: Route,
    /// The class.
    pub class: Class,
    /// The method.
    #[serde(default = "get")]
    pub method: String,
    /// The path; its first segment names the service.
    pub path: String,
    /// Its part of each workspace's demand, relative to the other kinds.
    pub share: f64,
    /// Whether it is among the last to be shed.
    #[serde(default)]
    pub protected: bool,
    /// Whether it may run more than once; otherwise it carries an `Idempotency-Key`.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// The time that a caller waits for one try, in milliseconds.
    pub timeout_ms: u64,
    /// The bytes of the answer; the endpoint's own number where absent.
    #[serde(default)]
    pub bytes: Option<usize>,
    /// The bytes of the request's body.
    #[serde(default)]
    pub body_bytes: usize,
}

impl RequestKind {
    /// The name of the service that serves it.
    #[must_use]
    pub fn service(&self) -> &str {
        first_segment(&self.path)
    }
}

/// The first segment of a path, which names a service.
pub(crate) fn first_segment(path: &str) -> &str {
    let rest = path.trim_start_matches('/');
    rest.split(['/', '?']).next().unwrap_or(rest)
}

/// What a phase is for in the recovery measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Measured, and no more.
    #[default]
    Measure,
    /// Begun before the fleet is warm; left out of the headline.
    Warm,
    /// The goodput that a later recovery is held against.
    Baseline,
    /// The time after a cause has ended: recovery counts from its start.
    Recovery,
}

/// A stretch of time with one level of demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Phase {
    /// The name.
    pub name: String,
    /// The length in seconds.
    pub seconds: f64,
    /// The factor on the experiment's requests a second.
    #[serde(default = "one")]
    pub demand: f64,
    /// What the phase is for.
    #[serde(default)]
    pub role: Role,
    /// Workspaces that send more or less than their part.
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// What fails, and when.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// A workspace that sends a multiple of its part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Surge {
    /// The workspace.
    pub workspace: Workspace,
    /// The factor on its demand.
    pub demand: f64,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

fn get() -> String {
    "GET".into()
}
