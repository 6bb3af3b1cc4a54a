//! The most whole requests a second that a call graph can serve, from slots and service times.
//!
//! A server's slot is taken for its own service time and for as long as its child calls take. With
//! `H` the mean time that one root request holds slots of a service, summed over its whole chain,
//! Little's law gives at most `slots / H` root requests a second; the scarcest service decides.
//! Waits, delays between failure domains and connections are left out, and parallel child calls
//! count as the longest of their means, so that each figure is an upper bound.

use std::collections::{BTreeMap, BTreeSet};

use cassiashunt_standin::server::{Endpoint, Order};
use cassiashunt_types::prelude::*;
use serde::Serialize;

use crate::experiment::{Experiment, Fault, Phase, service_of};

/// A share of a service's slots that counts as none left.
const EXHAUSTED: f64 = 1e-9;

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

/// The most whole requests a second at a fixed mix, and the service that sets it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Capacity {
    /// Whole requests a second.
    pub per_second: f64,
    /// The scarcest service.
    pub bottleneck: Service,
}

/// What a phase's demand and condition allow.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PhaseBound {
    /// The capacity at the mix of the demand, at the phase's end.
    pub capacity: Capacity,
    /// Whole requests a second, over the phase, with protected kinds served first and the rest
    /// evenly; see [`Experiment::goodput_bound`].
    pub goodput: f64,
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

    fn up(&self, service: Service) -> impl Iterator<Item = &ServerState> {
        self.servers[&service].iter().filter(|state| state.is_up)
    }

    /// The least slowness among a service's servers that are up; infinite where none is.
    fn least_factor(&self, service: Service) -> f64 {
        self.up(service)
            .map(|state| state.factor)
            .fold(f64::INFINITY, f64::min)
    }

    /// The harmonic mean of the slowness of a service's servers that are up.
    ///
    /// `slots / (own / u + children)` is concave in the speed `u`, so that the mean speed bounds
    /// the throughput of servers of several speeds from above.
    fn mean_factor(&self, service: Service) -> f64 {
        let speeds: f64 = self.up(service).map(|state| 1.0 / state.factor).sum();
        count_f64(self.up(service).count()) / speeds
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

    /// The seconds for which one request of a kind holds slots, by service.
    #[must_use]
    pub fn holds(&self, kind: usize, condition: &Condition) -> BTreeMap<Service, f64> {
        let mut holds = BTreeMap::new();
        self.add_holds(&self.requests[kind].path, condition, &mut holds);
        holds
    }

    /// Adds the holds of a path and of all its child calls; gives the seconds that it takes.
    fn add_holds(
        &self,
        path: &str,
        condition: &Condition,
        holds: &mut BTreeMap<Service, f64>,
    ) -> f64 {
        let Some(endpoint) = self.endpoint(path) else {
            return 0.0;
        };
        let children = endpoint.children.iter();
        let times = children.map(|child| self.add_holds(&child.path, condition, holds));
        let of_children = match endpoint.order {
            Order::Sequence => times.sum(),
            Order::Parallel => times.fold(0.0, f64::max),
        };
        let service = service_of(path);
        let own = endpoint.service_time.mean_ms / 1_000.0;
        *holds.entry(service).or_default() += own * condition.mean_factor(service) + of_children;
        own * condition.least_factor(service) + of_children
    }

    /// The slots of a service's servers that are up.
    fn slots(&self, service: Service, condition: &Condition) -> f64 {
        let options = self.services.iter().find(|options| options.name == service);
        let slots = options.map_or(0, |options| options.slots);
        count_f64(slots * condition.up(service).count())
    }

    /// The most whole requests a second at the experiment's mix of kinds.
    #[must_use]
    pub fn capacity(&self, condition: &Condition) -> Capacity {
        let mut mean: BTreeMap<Service, f64> = BTreeMap::new();
        let total: f64 = self.requests.iter().map(|kind| kind.share).sum();
        for (index, kind) in self.requests.iter().enumerate() {
            for (service, hold) in self.holds(index, condition) {
                *mean.entry(service).or_default() += hold * kind.share / total;
            }
        }
        let bounds = mean.into_iter().map(|(service, hold)| Capacity {
            per_second: quotient(self.slots(service, condition), hold),
            bottleneck: service,
        });
        bounds
            .min_by(|a, b| a.per_second.total_cmp(&b.per_second))
            .expect("an experiment has a request, and each holds a slot")
    }

    /// The whole requests a second of each kind that slots allow, given the demand of each.
    ///
    /// Protected kinds are served first. Among equals, all kinds are given the same share of their
    /// demand until a service has no slots left; kinds that need it then stay where they are, and
    /// the others go on (progressive filling). A policy that prefers cheap requests can serve a
    /// greater number, at the cost of the others.
    #[must_use]
    pub fn goodput_bound(&self, demand: &[f64], condition: &Condition) -> Vec<f64> {
        let mut fill = Fill::new(self, demand, condition);
        let kinds = 0..self.requests.len();
        let (protected, rest) = kinds.partition(|kind| self.requests[*kind].protected);
        fill.serve(protected);
        fill.serve(rest);
        fill.served
    }

    /// What each phase allows, given the demand of each in requests a second of each kind; faults
    /// of earlier phases count.
    #[must_use]
    pub fn phase_bounds(&self, demands: &[Vec<f64>]) -> Vec<PhaseBound> {
        let mut condition = Condition::sound(self);
        let phases = self.phases.iter().zip(demands);
        phases
            .map(|(phase, demand)| self.phase_bound(phase, demand, &mut condition))
            .collect()
    }

    fn phase_bound(&self, phase: &Phase, demand: &[f64], now: &mut Condition) -> PhaseBound {
        let goodput = |now: &Condition| self.goodput_bound(demand, now).iter().sum::<f64>();
        let mut faults: Vec<_> = phase.faults.iter().collect();
        faults.sort_by_key(|timed| timed.at_ms);
        let mut sum = 0.0;
        let mut since = 0.0;
        for timed in faults {
            let at = Duration::from_millis(timed.at_ms).as_secs_f64();
            sum += goodput(now) * (at - since);
            since = at;
            now.apply(&timed.fault);
        }
        sum += goodput(now) * (phase.seconds - since);
        PhaseBound {
            capacity: self.capacity(now),
            goodput: sum / phase.seconds,
        }
    }

    /// The requests a second of each kind that the file plans inside the workspaces' rates.
    #[must_use]
    pub fn planned_demand(&self, phase: &Phase) -> Vec<f64> {
        let workspaces = self.workspaces.iter();
        let inside = workspaces.map(|w| self.offered_per_second(phase, w).min(w.rate));
        let inside: f64 = inside.sum();
        let total: f64 = self.requests.iter().map(|kind| kind.share).sum();
        self.requests
            .iter()
            .map(|kind| inside * kind.share / total)
            .collect()
    }
}

/// The state of progressive filling.
struct Fill<'a> {
    demand: &'a [f64],
    /// Seconds of slots that a request holds, by kind and service.
    holds: Vec<BTreeMap<Service, f64>>,
    /// Slots of each service.
    slots: BTreeMap<Service, f64>,
    /// Slots that are not taken yet.
    left: BTreeMap<Service, f64>,
    served: Vec<f64>,
}

impl<'a> Fill<'a> {
    fn new(experiment: &Experiment, demand: &'a [f64], condition: &Condition) -> Self {
        let kinds = 0..experiment.requests.len();
        let services = experiment.services.iter().map(|service| service.name);
        let slots: BTreeMap<_, _> = services
            .map(|name| (name, experiment.slots(name, condition)))
            .collect();
        Self {
            demand,
            holds: kinds
                .map(|kind| experiment.holds(kind, condition))
                .collect(),
            left: slots.clone(),
            slots,
            served: vec![0.0; demand.len()],
        }
    }

    fn serve(&mut self, kinds: Vec<usize>) {
        let mut open: BTreeSet<usize> = kinds.into_iter().collect();
        let mut share_left = 1.0;
        open.retain(|kind| !self.is_short(*kind));
        while !open.is_empty() && share_left > EXHAUSTED {
            let step = self.step(&open).min(share_left);
            for kind in &open {
                self.give(*kind, step);
            }
            share_left -= step;
            open.retain(|kind| !self.is_short(*kind));
        }
    }

    /// The greatest share of their demand that all open kinds can still be given.
    fn step(&self, open: &BTreeSet<usize>) -> f64 {
        let shares = self.left.iter().map(|(service, left)| {
            let holds = open.iter().map(|kind| {
                let hold = self.holds[*kind].get(service).copied().unwrap_or(0.0);
                hold * self.demand[*kind]
            });
            quotient(*left, holds.sum())
        });
        shares.fold(f64::INFINITY, f64::min)
    }

    fn give(&mut self, kind: usize, share: f64) {
        let per_second = self.demand[kind] * share;
        self.served[kind] += per_second;
        for (service, hold) in &self.holds[kind] {
            *self.left.entry(*service).or_default() -= hold * per_second;
        }
    }

    /// Whether a service that this kind needs has no slots left.
    fn is_short(&self, kind: usize) -> bool {
        self.holds[kind]
            .keys()
            .any(|name| self.left[name] <= EXHAUSTED * self.slots[name].max(1.0))
    }
}

/// A quotient of slots over holds, where nothing held means no bound.
fn quotient(slots: f64, hold: f64) -> f64 {
    if hold == 0.0 {
        f64::INFINITY
    } else {
        (slots / hold).max(0.0)
    }
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
