//! The most whole requests a second that a call graph can serve, from slots and service times.
//!
//! A server's slot is taken for its own service time and for as long as its child calls take. With
//! `H` the mean time that one root request holds slots of a service, summed over its whole chain,
//! Little's law gives at most `slots / H` root requests a second; the scarcest service decides.
//! Waits, delays between failure domains and connections are left out, and parallel child calls
//! count as the longest of their means, so that the figure is an upper bound.

use std::collections::BTreeMap;

use cassiashunt_standin::server::{Endpoint, Order};
use cassiashunt_types::prelude::*;
use serde::Serialize;

use crate::experiment::{Experiment, Fault};

/// The state of one backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ServerState {
    is_up: bool,
    factor: f64,
}

/// Which servers are up, and how slow they are.
#[derive(Debug, Clone, PartialEq)]
pub struct Condition {
    servers: BTreeMap<Service, Vec<ServerState>>,
}

/// The time for which one root request holds slots of one service, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Hold {
    /// The part that scales with a server's slowness.
    pub own_ms: f64,
    /// The part that child calls take.
    pub children_ms: f64,
}

/// The most whole requests a second, and the service that sets it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Capacity {
    /// Whole requests a second.
    pub per_second: f64,
    /// The scarcest service.
    pub bottleneck: Service,
}

impl Condition {
    /// All servers up and as fast as they were set.
    #[must_use]
    pub fn sound(experiment: &Experiment) -> Self {
        let state = ServerState {
            is_up: true,
            factor: 1.0,
        };
        let services = experiment.services.iter();
        Self {
            servers: services.map(|s| (s.name, vec![state; s.servers])).collect(),
        }
    }

    /// Takes a fault in.
    pub fn apply(&mut self, fault: &Fault) {
        let Some(service) = fault.service() else {
            return;
        };
        let servers = self.servers.entry(service).or_default();
        for (index, state) in servers.iter_mut().enumerate() {
            if fault.server().is_none_or(|server| server == index) {
                state.apply(fault);
            }
        }
    }

    /// The least slowness among a service's servers that are up.
    fn least_factor(&self, service: Service) -> f64 {
        let up = self.servers[&service].iter().filter(|state| state.is_up);
        up.map(|state| state.factor).fold(f64::INFINITY, f64::min)
    }
}

impl ServerState {
    fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Slow { factor, .. } => self.factor = *factor,
            Fault::KillServer { .. } | Fault::KillNode { .. } | Fault::DrainNode { .. } => {
                self.is_up = false;
            }
            Fault::RestartServer { .. } | Fault::RestartNode { .. } => self.is_up = true,
            _ => {}
        }
    }
}

impl Experiment {
    /// What a path does: the longest start that matches in its service.
    #[must_use]
    pub fn endpoint(&self, path: &str) -> Option<&Endpoint> {
        let endpoints = self.services.iter().flat_map(|service| &service.endpoints);
        let matching = endpoints.filter(|endpoint| path.starts_with(&endpoint.path));
        matching.max_by_key(|endpoint| endpoint.path.len())
    }

    /// The time for which one request of a kind holds slots, by service.
    #[must_use]
    pub fn holds(&self, kind: usize, condition: &Condition) -> BTreeMap<Service, Hold> {
        let mut holds = BTreeMap::new();
        add_holds(self, &self.requests[kind].path, condition, &mut holds);
        holds
    }

    /// The most whole requests a second at the experiment's mix of kinds.
    #[must_use]
    pub fn capacity(&self, condition: &Condition) -> Capacity {
        let mut mean: BTreeMap<Service, Hold> = BTreeMap::new();
        let total: f64 = self.requests.iter().map(|kind| kind.share).sum();
        for (index, kind) in self.requests.iter().enumerate() {
            for (service, hold) in self.holds(index, condition) {
                let sum = mean.entry(service).or_default();
                sum.own_ms += hold.own_ms * kind.share / total;
                sum.children_ms += hold.children_ms * kind.share / total;
            }
        }
        let bounds = mean.into_iter().map(|(service, hold)| Capacity {
            per_second: self.service_capacity(service, hold, condition),
            bottleneck: service,
        });
        bounds
            .min_by(|a, b| a.per_second.total_cmp(&b.per_second))
            .expect("an experiment has a request, and each holds a slot")
    }

    fn service_capacity(&self, service: Service, hold: Hold, condition: &Condition) -> f64 {
        let options = self.services.iter().find(|options| options.name == service);
        let slots = options.map_or(0, |options| options.slots);
        let slots = f64::from(u32::try_from(slots).unwrap_or(u32::MAX));
        let up = condition.servers[&service]
            .iter()
            .filter(|state| state.is_up);
        up.map(|state| slots * 1_000.0 / (hold.own_ms * state.factor + hold.children_ms))
            .sum()
    }

    /// The capacity of each phase: the average over time where faults change it midway.
    #[must_use]
    pub fn phase_capacities(&self) -> Vec<Capacity> {
        let mut condition = Condition::sound(self);
        let phases = self.phases.iter();
        phases
            .map(|phase| self.phase_capacity(phase, &mut condition))
            .collect()
    }

    fn phase_capacity(&self, phase: &crate::experiment::Phase, now: &mut Condition) -> Capacity {
        let mut faults: Vec<_> = phase.faults.iter().collect();
        faults.sort_by_key(|timed| timed.at_ms);
        let mut sum = 0.0;
        let mut since = 0.0;
        let mut least = self.capacity(now);
        for timed in faults {
            let at = Duration::from_millis(timed.at_ms).as_secs_f64();
            sum += self.capacity(now).per_second * (at - since);
            since = at;
            now.apply(&timed.fault);
            let next = self.capacity(now);
            if next.per_second < least.per_second || at == 0.0 {
                least = next;
            }
        }
        sum += self.capacity(now).per_second * (phase.seconds - since);
        Capacity {
            per_second: sum / phase.seconds,
            ..least
        }
    }
}

/// Adds the holds of a path and of all its child calls; gives the time that the path takes.
fn add_holds(
    experiment: &Experiment,
    path: &str,
    condition: &Condition,
    holds: &mut BTreeMap<Service, Hold>,
) -> f64 {
    let Some(endpoint) = experiment.endpoint(path) else {
        return 0.0;
    };
    let children = endpoint.children.iter();
    let times = children.map(|child| add_holds(experiment, &child.path, condition, holds));
    let children_ms = match endpoint.order {
        Order::Sequence => times.sum(),
        Order::Parallel => times.fold(0.0, f64::max),
    };
    let service = crate::experiment::service_of(path);
    let hold = holds.entry(service).or_default();
    hold.own_ms += endpoint.service_time.mean_ms;
    hold.children_ms += children_ms;
    endpoint.service_time.mean_ms * condition.least_factor(service) + children_ms
}
