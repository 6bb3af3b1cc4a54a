//! What clients ask for and what services have, over all nodes, for the decision before a chain
//! starts.

use std::{cell::RefCell, collections::BTreeMap};

use cassiashunt_admit::{
    Priority,
    chain::{ChainCosts, RouteUse},
    chain_admission::{Capacity, ChainAdmission, Demand, Options},
};
use cassiashunt_types::prelude::*;

/// The time between two looks at the costs of chains.
const UPDATE_EVERY: Duration = Duration::from_millis(500);

struct Inner {
    root: ChainAdmission,
    chains: ChainCosts,
    updated: Time,
    /// What the last decision was made from.
    capacities: BTreeMap<Service, Capacity>,
}

/// The decision before a chain starts, and what it is made from.
pub(crate) struct Shedding {
    inner: RefCell<Inner>,
}

impl Default for Shedding {
    fn default() -> Self {
        Self {
            inner: RefCell::new(Inner {
                root: ChainAdmission::new(Options::default()),
                chains: ChainCosts::default(),
                updated: Time::ZERO,
                capacities: BTreeMap::new(),
            }),
        }
    }
}

impl Shedding {
    /// Decides on a client's request.
    pub(crate) fn admit(&self, route: Route, priority: u8) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Inner { root, chains, .. } = &mut *inner;
        root.admit(route, Priority(priority), chains.cost(route))
    }

    /// Takes in what all other nodes ask for.
    pub(crate) fn on_rest(&self, now: Time, demand: Vec<Demand>) {
        self.inner
            .borrow_mut()
            .root
            .on_demand(now, "others", demand);
    }

    /// Takes in what an owner, or all others of a service, tell of their runs.
    pub(crate) fn on_uses(&self, now: Time, owner: &str, service: Service, uses: Vec<RouteUse>) {
        let chains = &mut self.inner.borrow_mut().chains;
        chains.on_report(now, owner, service, uses);
    }

    /// What is known of the costs, to be remembered over a restart of all nodes.
    pub(crate) fn summary(&self) -> BTreeMap<Service, Vec<RouteUse>> {
        self.inner.borrow().chains.summary()
    }

    /// Takes in costs that were known before a restart.
    pub(crate) fn remember(&self, now: Time, summary: BTreeMap<Service, Vec<RouteUse>>) {
        self.inner.borrow_mut().chains.restore(now, summary);
    }

    /// How quick an owner's server is beside the others of its service.
    pub(crate) fn pace(&self, node: &str) -> Option<f64> {
        self.inner.borrow().chains.pace(node)
    }

    /// This node's demand, for the others.
    pub(crate) fn demand(&self) -> Vec<Demand> {
        self.inner.borrow().root.demand()
    }

    /// Works the decision out anew.
    pub(crate) fn step(&self, now: Time, capacities: BTreeMap<Service, Capacity>) {
        let mut inner = self.inner.borrow_mut();
        if now.since(inner.updated) >= UPDATE_EVERY {
            inner.updated = now;
            inner.chains.update(now);
        }
        inner.root.step(now, &capacities);
        inner.capacities = capacities;
    }

    /// What each service has and does, as of the last decision.
    pub(crate) fn capacities(&self) -> BTreeMap<Service, Capacity> {
        self.inner.borrow().capacities.clone()
    }

    /// The service that a request finds scarcest, and the part of its priority that fits there, for
    /// the log line of a refusal.
    pub(crate) fn scarcest(&self, route: Route, priority: u8) -> Option<(Service, f64)> {
        let inner = self.inner.borrow();
        let cost = inner.chains.cost(route);
        inner.root.bottleneck(Priority(priority), cost)
    }

    /// Logs where not all of the demand fits, and from what that follows; about once a second.
    pub(crate) fn log_shortages(&self) {
        let inner = self.inner.borrow();
        for shortage in inner.root.shortages() {
            let capacity = inner
                .capacities
                .get(&shortage.service)
                .copied()
                .unwrap_or_default();
            log::info!(service:% = shortage.service, priority = shortage.priority.0,
                part = shortage.admitted_fraction, correction = shortage.correction, slots = capacity.slots,
                busy = capacity.busy; "shedding");
        }
    }

    /// Whether requests of a route make calls to other services, or may.
    pub(crate) fn is_chain(&self, route: Route) -> bool {
        self.inner.borrow().chains.cost(route).len() != 1
    }

    /// What a request of a route is expected to take at each service, for a log line.
    pub(crate) fn cost(&self, route: Route) -> String {
        let inner = self.inner.borrow();
        let cost = inner.chains.cost(route).iter();
        let told = cost.map(|(service, slot_s)| format!("{service}:{:.0}ms", slot_s * 1_000.0));
        told.collect::<Vec<_>>().join(" ")
    }
}
