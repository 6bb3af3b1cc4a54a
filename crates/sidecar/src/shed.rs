//! Load shedding before a chain starts, from the demand of clients and the capacity of services
//! over all nodes.

use std::{cell::RefCell, collections::BTreeMap};

use cassiashunt_admit::{
    Priority,
    chain::{ChainCosts, RouteUse},
    chain_admission::{Capacity, ChainAdmission, Demand, Options},
    repeats::{Options as RepeatOptions, RepeatAdmission, Tries},
};
use cassiashunt_types::prelude::*;

use crate::explain::Price;

/// Interval between updates of the costs of chains.
const COST_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

struct Inner {
    admission: ChainAdmission,
    repeats: RepeatAdmission,
    chains: ChainCosts,
    updated: Time,
    /// The capacities that the last decision was based on.
    capacities: BTreeMap<Service, Capacity>,
}

/// Decides whether a chain may start, and keeps the demand, costs and capacities for it.
pub(crate) struct Shedding {
    inner: RefCell<Inner>,
}

impl Shedding {
    /// Sheds nothing yet; repeats are counted over `window`.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            inner: RefCell::new(Inner {
                admission: ChainAdmission::new(Options::default()),
                repeats: RepeatAdmission::new(RepeatOptions {
                    window,
                    // A chain that is refused comes back and is refused again; one that fails may still be
                    // served by its repeat (`docs/design/repeats.md`).
                    good_chance: 0.0,
                    ..RepeatOptions::default()
                }),
                chains: ChainCosts::default(),
                updated: Time::ZERO,
                capacities: BTreeMap::new(),
            }),
        }
    }

    /// Whether a client's request is admitted.
    pub(crate) fn admit(&self, route: Route, priority: u8) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Inner {
            admission,
            repeats,
            chains,
            ..
        } = &mut *inner;
        let priority = Priority(priority);
        let cost = chains.cost(route);
        if !repeats.admit(route, priority, chains.run_counts(route)) {
            admission.count(priority, cost);
            return false;
        }
        admission.admit(route, priority, cost)
    }

    /// Records a try that reached a server.
    pub(crate) fn on_try(&self, service: Service, has_passed: bool) {
        self.inner.borrow_mut().repeats.on_try(service, has_passed);
    }

    /// Whether calls of this priority may be repeated at a service, as far as other priorities need
    /// its repeats.
    pub(crate) fn may_repeat(&self, priority: u8, service: Service) -> bool {
        let inner = self.inner.borrow();
        inner.repeats.may_repeat(Priority(priority), service)
    }

    /// This node's tries by service.
    pub(crate) fn tries(&self) -> BTreeMap<Service, Tries> {
        self.inner.borrow().repeats.tries().clone()
    }

    /// Recomputes the allocation of repeats from the tries and the demand of all nodes, in slots.
    pub(crate) fn step_repeats(
        &self,
        now: Time,
        tries: BTreeMap<Service, Tries>,
        demand: &BTreeMap<(Priority, Service), f64>,
    ) {
        let mut inner = self.inner.borrow_mut();
        let Inner {
            repeats, chains, ..
        } = &mut *inner;
        let calls = demand.iter().filter_map(|((priority, service), slots)| {
            let slot_s = chains.mean_slot_s(*service).filter(|it| *it > 0.0)?;
            Some(((*priority, *service), slots / slot_s))
        });
        repeats.step(now, tries, calls.collect());
    }

    /// Records the demand at all other nodes.
    pub(crate) fn on_others_demand(&self, now: Time, demand: Vec<Demand>) {
        self.inner
            .borrow_mut()
            .admission
            .on_demand(now, "others", demand);
    }

    /// Records the cost and calls of runs, as reported by an owner or by all other owners of a
    /// service together.
    pub(crate) fn on_uses(&self, now: Time, owner: &str, service: Service, uses: Vec<RouteUse>) {
        let chains = &mut self.inner.borrow_mut().chains;
        chains.on_report(now, owner, service, uses);
    }

    /// The known costs, to be stored so that they survive a restart of all nodes.
    pub(crate) fn summary(&self) -> BTreeMap<Service, Vec<RouteUse>> {
        self.inner.borrow().chains.summary()
    }

    /// Restores costs that were stored before a restart.
    pub(crate) fn restore(&self, now: Time, summary: BTreeMap<Service, Vec<RouteUse>>) {
        self.inner.borrow_mut().chains.restore(now, summary);
    }

    /// The mean time that a run of a route holds a slot at the servers of a service; `None` if not known.
    pub(crate) fn slot_time(&self, service: Service, route: Route) -> Option<Duration> {
        self.inner.borrow().chains.slot_time(service, route)
    }

    /// The pace of an owner's server relative to the others of its service; `None` if not known.
    pub(crate) fn pace(&self, node: &str) -> Option<f64> {
        self.inner.borrow().chains.pace(node)
    }

    /// This node's demand, to be sent to the other nodes.
    pub(crate) fn demand(&self) -> Vec<Demand> {
        self.inner.borrow().admission.demand()
    }

    /// Recomputes the admitted fractions from new capacities.
    pub(crate) fn step(&self, now: Time, capacities: BTreeMap<Service, Capacity>) {
        let mut inner = self.inner.borrow_mut();
        if now.since(inner.updated) >= COST_UPDATE_INTERVAL {
            inner.updated = now;
            inner.chains.update(now);
        }
        inner.admission.step(now, &capacities);
        inner.capacities = capacities;
    }

    /// The slots of each service and how many are busy, as of the last decision.
    pub(crate) fn capacities(&self) -> BTreeMap<Service, Capacity> {
        self.inner.borrow().capacities.clone()
    }

    /// The bottleneck service of a request, and the fraction of its priority that is admitted
    /// there, for the log line of a refusal.
    pub(crate) fn bottleneck(&self, route: Route, priority: u8) -> Option<(Service, f64)> {
        let inner = self.inner.borrow();
        let (cost, calls) = (inner.chains.cost(route), inner.chains.run_counts(route));
        let priority = Priority(priority);
        let repeats = inner.repeats.bottleneck(priority, calls);
        let slots = inner.admission.bottleneck(priority, cost);
        let bottlenecks = repeats.into_iter().chain(slots);
        bottlenecks.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    /// The price of a request at each service that its chain uses. Counts no demand.
    pub(crate) fn prices(&self, route: Route, priority: u8) -> Vec<Price> {
        let inner = self.inner.borrow();
        let prices = inner.chains.cost(route).iter().map(|cost| {
            let capacity = inner.capacities.get(&cost.0).copied().unwrap_or_default();
            let bottleneck = inner.admission.bottleneck(Priority(priority), &[*cost]);
            Price {
                service: cost.0.as_str().into(),
                slot_time: Duration::from_secs_f64(cost.1),
                slots: capacity.slots,
                busy: capacity.busy,
                admitted: bottleneck.map_or(1.0, |(_, fraction)| fraction),
            }
        });
        prices.collect()
    }

    /// The expected time of a run of a route, its calls included.
    pub(crate) fn run_time(&self, route: Route) -> Duration {
        let inner = self.inner.borrow();
        let slot_s = inner.chains.cost(route).iter().map(|(_, slot_s)| *slot_s);
        Duration::from_secs_f64(slot_s.fold(0.0, f64::max))
    }

    /// Logs the services that can't serve all of their demand, with the inputs of that decision; to
    /// be called about once a second.
    pub(crate) fn log_shortages(&self) {
        let inner = self.inner.borrow();
        for shortage in inner.admission.shortages() {
            let capacity = inner
                .capacities
                .get(&shortage.service)
                .copied()
                .unwrap_or_default();
            log::info!(service:% = shortage.service, priority = shortage.priority.0,
                part = shortage.admitted_fraction, correction = shortage.correction, slots = capacity.slots,
                busy = capacity.busy; "shedding");
        }
        for shortage in inner.repeats.shortages() {
            log::info!(service:% = shortage.service, priority = shortage.priority.0,
                part = shortage.fraction, passing = shortage.yielded,
                repeats_left = shortage.repeats_left; "repeats-short");
        }
    }

    /// Whether requests of a route call other services, or may do so (if their cost is not known).
    pub(crate) fn is_chain(&self, route: Route) -> bool {
        self.inner.borrow().chains.cost(route).len() != 1
    }

    /// The expected cost of a request of a route at each service, as text for a log line.
    pub(crate) fn cost_text(&self, route: Route) -> String {
        let inner = self.inner.borrow();
        let cost = inner.chains.cost(route).iter();
        let texts = cost.map(|(service, slot_s)| format!("{service}:{:.0}ms", slot_s * 1_000.0));
        texts.collect::<Vec<_>>().join(" ")
    }
}
