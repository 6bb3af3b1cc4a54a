//! The checks of an experiment file.

use std::{collections::BTreeSet, fmt};

use super::{Experiment, Fault, Launch, MAX_REQUESTS, MAX_SECONDS, demand::first_segment};

/// Something wrong in an experiment file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The file.
    pub file: String,
    /// The key, or nothing where the reason names it.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Error {
    pub(super) fn new(file: &str, key: &str, reason: impl fmt::Display) -> Self {
        Self {
            file: file.into(),
            key: key.into(),
            reason: reason.to_string().trim_end().into(),
        }
    }

    pub(super) fn in_file(self, file: &str) -> Self {
        Self {
            file: file.into(),
            ..self
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let separator = if self.key.is_empty() { "" } else { ": " };
        write!(f, "{}: {}{separator}{}", self.file, self.key, self.reason)
    }
}

impl std::error::Error for Error {}

fn ensure(holds: bool, key: impl fmt::Display, reason: impl fmt::Display) -> Result<(), Error> {
    if holds {
        return Ok(());
    }
    Err(Error::new("", &key.to_string(), reason))
}

fn positive(value: f64, key: impl fmt::Display) -> Result<(), Error> {
    ensure(
        value.is_finite() && value > 0.0,
        key,
        "must be a number above 0",
    )
}

fn not_negative(value: f64, key: impl fmt::Display) -> Result<(), Error> {
    ensure(
        value.is_finite() && value >= 0.0,
        key,
        "must be a number of at least 0",
    )
}

fn not_empty<T>(list: &[T], key: &str) -> Result<(), Error> {
    ensure(!list.is_empty(), key, "must have at least one entry")
}

fn unique<T: Ord + fmt::Display>(names: impl Iterator<Item = T>, key: &str) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    for name in names {
        let reason = format!("{name} stands twice");
        ensure(seen.insert(name), key, reason)?;
    }
    Ok(())
}

impl Experiment {
    /// Checks every value.
    pub(super) fn check(&self) -> Result<(), Error> {
        positive(self.requests_per_second, "requests-per-second")?;
        not_negative(self.client_one_way_ms, "client-one-way-ms")?;
        not_negative(self.domain_one_way_ms, "domain-one-way-ms")?;
        not_negative(self.connect_ms, "connect-ms")?;
        not_empty(&self.failure_domains, "failure-domains")?;
        self.check_client()?;
        self.check_services()?;
        self.check_workspaces()?;
        self.check_requests()?;
        self.check_phases()?;
        self.check_variants()
    }

    fn check_client(&self) -> Result<(), Error> {
        let client = &self.client;
        ensure(
            (1..=16_384).contains(&client.threads),
            "client.threads",
            "must be 1 to 16384",
        )?;
        ensure(client.window_ms > 0, "client.window-ms", "must be above 0")
    }

    fn check_services(&self) -> Result<(), Error> {
        not_empty(&self.services, "services")?;
        unique(
            self.services.iter().map(|service| service.name),
            "services.name",
        )?;
        for service in &self.services {
            let key = |name: &str| format!("services.{}.{name}", service.name);
            ensure(service.servers > 0, key("servers"), "must be above 0")?;
            ensure(service.slots > 0, key("slots"), "must be above 0")?;
            ensure(
                service.connections > 0,
                key("connections"),
                "must be above 0",
            )?;
            positive(service.cold_factor, key("cold-factor"))?;
            not_empty(&service.endpoints, &key("endpoints"))?;
            for endpoint in &service.endpoints {
                not_negative(
                    endpoint.service_time.mean_ms,
                    key("endpoints.service-time.mean-ms"),
                )?;
                self.check_path(
                    &endpoint.path,
                    service.name.as_str(),
                    &key("endpoints.path"),
                )?;
                for child in &endpoint.children {
                    let service = first_segment(&child.path);
                    self.check_path(&child.path, service, &key("endpoints.children.path"))?;
                }
            }
        }
        self.check_no_cycle()
    }

    fn check_path(&self, path: &str, service: &str, key: &str) -> Result<(), Error> {
        ensure(
            path.starts_with('/'),
            key,
            format!("{path:?} must begin with /"),
        )?;
        let first = first_segment(path);
        let reason = format!("{path:?} must begin with the name of its service");
        ensure(first == service, key, reason)?;
        let is_known = self
            .services
            .iter()
            .any(|other| other.name.as_str() == first);
        ensure(is_known, key, format!("there is no service {first:?}"))
    }

    /// A call graph with a cycle would never end.
    fn check_no_cycle(&self) -> Result<(), Error> {
        let endpoints = self.services.iter().flat_map(|service| &service.endpoints);
        for endpoint in endpoints {
            let depth = self.depth(&endpoint.path, 0);
            let reason = format!("{:?} calls itself", endpoint.path);
            ensure(depth.is_some(), "services.endpoints.children", reason)?;
        }
        Ok(())
    }

    fn depth(&self, path: &str, above: usize) -> Option<usize> {
        let most: usize = self
            .services
            .iter()
            .map(|service| service.endpoints.len())
            .sum();
        if above > most {
            return None;
        }
        let Some(endpoint) = self.endpoint(path) else {
            return Some(above);
        };
        let children = endpoint.children.iter();
        children
            .map(|child| self.depth(&child.path, above + 1))
            .try_fold(above, |most, depth| depth.map(|depth| depth.max(most)))
    }

    fn check_workspaces(&self) -> Result<(), Error> {
        not_empty(&self.workspaces, "workspaces")?;
        unique(
            self.workspaces.iter().map(|workspace| workspace.name),
            "workspaces.name",
        )?;
        unique(
            self.workspaces.iter().map(|workspace| &workspace.key),
            "workspaces.key",
        )?;
        for workspace in &self.workspaces {
            let key = |name: &str| format!("workspaces.{}.{name}", workspace.name);
            let is_token = workspace.key.bytes().all(|byte| byte.is_ascii_graphic());
            let has_key = !workspace.key.is_empty() && is_token;
            ensure(
                has_key,
                key("key"),
                "must be printable ASCII without spaces",
            )?;
            positive(workspace.rate, key("rate"))?;
            positive(workspace.burst, key("burst"))?;
            positive(workspace.share, key("share"))?;
            positive(workspace.weight, key("weight"))?;
        }
        Ok(())
    }

    fn check_requests(&self) -> Result<(), Error> {
        not_empty(&self.requests, "requests")?;
        for (index, kind) in self.requests.iter().enumerate() {
            let key = |name: &str| format!("requests[{index}].{name}");
            positive(kind.share, key("share"))?;
            ensure(kind.timeout_ms > 0, key("timeout-ms"), "must be above 0")?;
            self.check_path(&kind.path, kind.service(), &key("path"))?;
            let is_known = ["GET", "POST"].contains(&kind.method.as_str());
            ensure(is_known, key("method"), "must be GET or POST")?;
        }
        Ok(())
    }

    fn check_phases(&self) -> Result<(), Error> {
        not_empty(&self.phases, "phases")?;
        unique(self.phases.iter().map(|phase| &phase.name), "phases.name")?;
        for phase in &self.phases {
            let key = |name: &str| format!("phases.{}.{name}", phase.name);
            positive(phase.seconds, key("seconds"))?;
            positive(phase.demand, key("demand"))?;
            for surge in &phase.surges {
                positive(surge.demand, key("surges.demand"))?;
                let mut names = self.workspaces.iter().map(|workspace| workspace.name);
                let is_known = names.any(|name| name == surge.workspace);
                let reason = format!("there is no workspace {}", surge.workspace);
                ensure(is_known, key("surges.workspace"), reason)?;
            }
            for timed in &phase.faults {
                let at = f64::from(u32::try_from(timed.at_ms).unwrap_or(u32::MAX)) / 1_000.0;
                ensure(
                    at < phase.seconds,
                    key("faults.at-ms"),
                    "is past the end of the phase",
                )?;
                self.check_fault(&timed.fault, &key("faults.fault"))?;
            }
        }
        self.check_bounds()
    }

    fn check_bounds(&self) -> Result<(), Error> {
        let seconds: f64 = self.phases.iter().map(|phase| phase.seconds).sum();
        let reason = format!("a run takes {seconds} s in all; at most {MAX_SECONDS} s are allowed");
        ensure(seconds <= MAX_SECONDS, "phases.seconds", reason)?;
        let requests: f64 = self
            .phases
            .iter()
            .map(|phase| self.phase_requests(phase))
            .sum();
        let reason =
            format!("a run has {requests:.0} requests; at most {MAX_REQUESTS} are allowed");
        ensure(requests <= MAX_REQUESTS, "requests-per-second", reason)
    }

    fn phase_requests(&self, phase: &super::Phase) -> f64 {
        let each = self.workspaces.iter();
        let per_second: f64 = each.map(|w| self.offered_per_second(phase, w)).sum();
        per_second * phase.seconds
    }

    fn check_fault(&self, fault: &Fault, key: &str) -> Result<(), Error> {
        if let Some(name) = fault.service() {
            let service = self.services.iter().find(|service| service.name == name);
            let servers = service.map_or(0, |service| service.servers);
            ensure(
                service.is_some(),
                key,
                format!("there is no service {name}"),
            )?;
            let is_known = fault.server().is_none_or(|server| server < servers);
            ensure(
                is_known,
                key,
                format!("{name} has the servers 0 to {}", servers - 1),
            )?;
        }
        match fault {
            Fault::Slow { factor, .. } | Fault::LieLoad { factor, .. } => positive(*factor, key),
            Fault::Fail { rate, .. } => {
                ensure((0.0..=1.0).contains(rate), key, "the rate must be 0 to 1")
            }
            Fault::CutDomain { domain } | Fault::HealDomain { domain } => {
                let is_known = self.failure_domains.contains(domain);
                ensure(
                    is_known,
                    key,
                    format!("there is no failure domain {domain}"),
                )
            }
            Fault::WithdrawKey { workspace } => {
                let is_known = self.workspaces.iter().any(|known| known.name == *workspace);
                ensure(is_known, key, format!("there is no workspace {workspace}"))
            }
            _ => Ok(()),
        }
    }

    fn check_variants(&self) -> Result<(), Error> {
        not_empty(&self.variants, "variants")?;
        unique(
            self.variants.iter().map(|variant| &variant.name),
            "variants.name",
        )?;
        for variant in &self.variants {
            let key = format!("variants.{}.ingress", variant.name);
            let needs = variant.launch == Launch::Running;
            let reason = "belongs to the launch \"running\", and only to it";
            ensure(needs != variant.ingress.is_empty(), &key, reason)?;
            let outside = variant.ingress.iter().find(|addr| !addr.ip().is_loopback());
            let reason = outside.map_or_else(String::new, |addr| not_loopback(*addr));
            ensure(outside.is_none(), &key, reason)?;
        }
        Ok(())
    }
}

/// Why an address is refused.
pub(crate) fn not_loopback(addr: std::net::SocketAddr) -> String {
    format!("{addr} is no loopback address; load goes to loopback only")
}
