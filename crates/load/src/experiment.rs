//! Experiment files: what is served, what is asked for, what fails, and what is compared.

use std::{fs, path::Path};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

mod check;
mod demand;
mod fault;
mod service;
mod variant;

pub use check::Error;
pub(crate) use check::not_loopback;
pub use demand::{Arrivals, Phase, RequestKind, Role, Surge, WorkspaceOptions};
pub use fault::{Fault, TimedFault};
pub use service::ServiceOptions;
pub use variant::{ClientOptions, Launch, Retries, RetryMode, Variant};

/// The most requests of one run.
pub const MAX_REQUESTS: f64 = 2_000_000.0;
/// The longest run of one variant, in seconds.
pub const MAX_SECONDS: f64 = 900.0;

/// The service that a checked path names.
pub(crate) fn service_of(path: &str) -> Service {
    let name = demand::first_segment(path);
    name.parse()
        .expect("a checked path begins with the name of a service")
}

/// An experiment as its file gives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Experiment {
    /// The name, which begins the names of the output files.
    pub name: String,
    /// The seed of the schedule and of all draws of the stand-ins.
    #[serde(default)]
    pub seed: u64,
    /// The requests a second of all workspaces at demand 1.
    pub requests_per_second: f64,
    /// How requests are spaced.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// The delay between clients and the fleet one way, in milliseconds.
    #[serde(default)]
    pub client_one_way_ms: f64,
    /// The delay between failure domains one way, in milliseconds.
    #[serde(default)]
    pub domain_one_way_ms: f64,
    /// The cost of a new connection to a backend server, in milliseconds.
    #[serde(default)]
    pub connect_ms: f64,
    /// The cost of a probe of a backend server, in milliseconds.
    #[serde(default)]
    pub probe_ms: u64,
    /// The failure domains, over which each service's servers are dealt in turn.
    pub failure_domains: Vec<FailureDomain>,
    /// The callers' side.
    #[serde(default)]
    pub client: ClientOptions,
    /// The services.
    pub services: Vec<ServiceOptions>,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceOptions>,
    /// The kinds of request.
    pub requests: Vec<RequestKind>,
    /// The phases, one after another.
    pub phases: Vec<Phase>,
    /// The variants to compare.
    pub variants: Vec<Variant>,
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails with the file, the key and the reason.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|err| Error::new(&name, "", err))?;
        Self::parse(&name, &text)
    }

    /// Reads and checks the text of the file `name`.
    ///
    /// # Errors
    ///
    /// Fails with the file, the key and the reason.
    pub fn parse(name: &str, text: &str) -> Result<Self, Error> {
        let parsed: Self = toml::from_str(text).map_err(|err| Error::new(name, "", err))?;
        parsed.check().map_err(|err| err.in_file(name))?;
        Ok(parsed)
    }

    /// The length of one run of one variant.
    #[must_use]
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.phases.iter().map(|phase| phase.seconds).sum())
    }

    /// The time at which each phase begins.
    #[must_use]
    pub fn phase_starts(&self) -> Vec<Duration> {
        let mut start = 0.0;
        let mut starts = Vec::with_capacity(self.phases.len());
        for phase in &self.phases {
            starts.push(Duration::from_secs_f64(start));
            start += phase.seconds;
        }
        starts
    }

    /// The requests a second that a workspace sends in a phase.
    #[must_use]
    pub fn offered_per_second(&self, phase: &Phase, workspace: &WorkspaceOptions) -> f64 {
        let shares: f64 = self
            .workspaces
            .iter()
            .map(|workspace| workspace.share)
            .sum();
        let surge = phase
            .surges
            .iter()
            .find(|surge| surge.workspace == workspace.name);
        let factor = phase.demand * surge.map_or(1.0, |surge| surge.demand);
        self.requests_per_second * factor * workspace.share / shares
    }
}
