//! Admits or refuses clients' requests before their chains start, by the demand of all clients.
//!
//! Every node reports the demand of its clients: the slots of each service that they need at each
//! priority. From the sum, each node calculates the fraction of each priority that fits the
//! capacity: higher priorities first, and the same fraction at every node for the priority that
//! fits only partially. The calls of admitted requests then find free slots, and no work is spent
//! on chains that fail halfway. Costs are estimates, so a slow correction follows the measured load
//! of the owners.

use std::{
    collections::{BTreeMap, HashMap},
    ops::AddAssign,
};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Priority;

/// Settings of chain admission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The share of a service's slots that is allocated. The remainder absorbs random variation of
    /// the arrivals, which would otherwise fill the owners' queues.
    pub target: f64,
    /// The time constant with which demand is averaged.
    pub demand_time: Duration,
    /// The age above which another node's demand is discarded.
    pub max_age: Duration,
    /// The target of the correction: running and waiting requests divided by slots.
    pub aimed_load: f64,
    /// The time constant with which the load is averaged. Chains take about this time to reach the
    /// last services that they call; a faster correction would oscillate.
    pub load_time: Duration,
    /// The relative change of the correction per second and unit of difference between the target
    /// and the load.
    pub gain: f64,
    /// The minimum and the maximum of the correction.
    pub bounds: (f64, f64),
}

impl Default for Options {
    fn default() -> Self {
        Self {
            target: 0.95,
            demand_time: Duration::from_millis(600),
            max_age: Duration::from_secs(2),
            aimed_load: 0.97,
            load_time: Duration::from_millis(500),
            gain: 0.8,
            bounds: (0.75, 1.2),
        }
    }
}

/// The minimum admitted fraction of a priority, so that its costs continue to be measured.
const MIN_ADMITTED_FRACTION: f64 = 0.01;
/// The cost, in slot seconds, below which a request counts as independent of a service.
const NEGLIGIBLE_COST_S: f64 = 0.002;

/// The demand of clients at a service and a priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The priority.
    pub priority: Priority,
    /// The service.
    pub service: Service,
    /// Slots that would be in use if all requests were admitted.
    pub slots: f64,
}

/// The slots of a service and their use, summed over its owners.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Capacity {
    /// Requests that may run concurrently.
    pub slots: f64,
    /// Running and waiting requests.
    pub busy: f64,
}

impl Capacity {
    /// Running and waiting requests divided by slots; none if there are no slots.
    #[must_use]
    pub fn load(&self) -> Option<f64> {
        (self.slots > 0.0).then(|| self.busy / self.slots)
    }
}

impl AddAssign for Capacity {
    fn add_assign(&mut self, other: Self) {
        self.slots += other.slots;
        self.busy += other.busy;
    }
}

/// A service whose demand exceeds its capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// The service.
    pub service: Service,
    /// The highest priority that is not admitted completely.
    pub priority: Priority,
    /// The admitted fraction of that priority.
    pub admitted_fraction: f64,
    /// The factor that corrects the allocated slots.
    pub correction: f64,
}

/// Chain admission at one node.
#[derive(Debug)]
pub struct ChainAdmission {
    opts: Options,
    requested_slot_s: BTreeMap<(Priority, Service), f64>,
    own_demand: BTreeMap<(Priority, Service), f64>,
    peer_demands: HashMap<String, (Time, Vec<Demand>)>,
    corrections: BTreeMap<Service, f64>,
    loads: BTreeMap<Service, f64>,
    admitted_fractions: BTreeMap<(Priority, Service), f64>,
    credits: HashMap<Route, f64>,
    last_step: Option<Time>,
}

impl ChainAdmission {
    /// Creates chain admission without any demand.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            requested_slot_s: BTreeMap::new(),
            own_demand: BTreeMap::new(),
            peer_demands: HashMap::new(),
            corrections: BTreeMap::new(),
            loads: BTreeMap::new(),
            admitted_fractions: BTreeMap::new(),
            credits: HashMap::new(),
            last_step: None,
        }
    }

    /// Records another node's demand under its name, in place of its earlier one.
    pub fn on_demand(&mut self, now: Time, node: &str, demand: Vec<Demand>) {
        self.peer_demands.insert(node.to_owned(), (now, demand));
    }

    /// This node's demand, to be sent to the other nodes.
    #[must_use]
    pub fn demand(&self) -> Vec<Demand> {
        let reported = self.own_demand.iter().filter(|(_, slots)| **slots > 0.01);
        reported
            .map(|((priority, service), slots)| Demand {
                priority: *priority,
                service: *service,
                slots: *slots,
            })
            .collect()
    }

    /// Recalculates the admitted fraction of each priority. To be called about ten times a second.
    pub fn step(&mut self, now: Time, capacities: &BTreeMap<Service, Capacity>) {
        let elapsed = self
            .last_step
            .map_or(Duration::ZERO, |last_step| now.since(last_step));
        self.last_step = Some(now);
        if elapsed.is_zero() {
            return;
        }
        self.average_demand(elapsed);
        self.update_corrections(elapsed, capacities);
        self.allocate(now, capacities);
    }

    /// Counts a request as demand, without a decision.
    pub fn count(&mut self, priority: Priority, cost: &[(Service, f64)]) {
        for (service, slot_s) in cost {
            *self
                .requested_slot_s
                .entry((priority, *service))
                .or_default() += slot_s;
        }
    }

    /// Returns whether a request is admitted. It counts as demand in either case.
    pub fn admit(&mut self, route: Route, priority: Priority, cost: &[(Service, f64)]) -> bool {
        self.count(priority, cost);
        let mut fraction: f64 = 1.0;
        for (service, slot_s) in cost {
            if *slot_s >= NEGLIGIBLE_COST_S {
                let fraction_at_service =
                    self.admitted_fractions.get(&(priority, *service)).copied();
                fraction = fraction.min(fraction_at_service.unwrap_or(1.0));
            }
        }
        if fraction >= 1.0 {
            return true;
        }
        let credit = self.credits.entry(route).or_insert(0.5);
        *credit += fraction;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// The bottleneck service of requests with this cost, and the admitted fraction of their
    /// priority there; none if the priority is admitted completely.
    #[must_use]
    pub fn bottleneck(
        &self,
        priority: Priority,
        cost: &[(Service, f64)],
    ) -> Option<(Service, f64)> {
        let relevant = cost
            .iter()
            .filter(|(_, slot_s)| *slot_s >= NEGLIGIBLE_COST_S);
        let admitted_fractions = relevant.filter_map(|(service, _)| {
            let fraction = self.admitted_fractions.get(&(priority, *service))?;
            Some((*service, *fraction))
        });
        let bottleneck = admitted_fractions.min_by(|(_, a), (_, b)| a.total_cmp(b));
        bottleneck.filter(|(_, fraction)| *fraction < 1.0)
    }

    /// The services whose demand exceeds their capacity, each with the highest priority that is not
    /// admitted completely and the current correction.
    #[must_use]
    pub fn shortages(&self) -> Vec<Shortage> {
        let mut shortages: BTreeMap<Service, Shortage> = BTreeMap::new();
        for ((priority, service), fraction) in self
            .admitted_fractions
            .iter()
            .filter(|(_, fraction)| **fraction < 1.0)
        {
            let correction = self.corrections.get(service).copied().unwrap_or(1.0);
            let shortage = shortages.entry(*service).or_insert(Shortage {
                service: *service,
                priority: *priority,
                admitted_fraction: *fraction,
                correction,
            });
            if *priority > shortage.priority {
                shortage.priority = *priority;
                shortage.admitted_fraction = *fraction;
            }
        }
        shortages.into_values().collect()
    }

    fn average_demand(&mut self, elapsed: Duration) {
        let gain = (elapsed.as_secs_f64() / self.opts.demand_time.as_secs_f64()).min(1.0);
        for slots in self.own_demand.values_mut() {
            *slots *= 1.0 - gain;
        }
        for (key, slot_s) in std::mem::take(&mut self.requested_slot_s) {
            let rate = slot_s / elapsed.as_secs_f64();
            *self.own_demand.entry(key).or_default() += gain * rate;
        }
    }

    /// Lowers the correction of services whose load is above the target. Raises it where the load is
    /// below the target although requests are refused, and up to one again otherwise.
    fn update_corrections(&mut self, elapsed: Duration, capacities: &BTreeMap<Service, Capacity>) {
        let elapsed = elapsed.as_secs_f64();
        let weight = (elapsed / self.opts.load_time.as_secs_f64()).min(1.0);
        let (min, max) = self.opts.bounds;
        for (service, capacity) in capacities {
            let current = capacity.busy / capacity.slots.max(1.0);
            let load = self.loads.entry(*service).or_insert(current);
            *load += weight * (current - *load);
            let is_refusing = self
                .admitted_fractions
                .iter()
                .any(|((_, it), fraction)| it == service && *fraction < 1.0);
            let correction = self.corrections.entry(*service).or_insert(1.0);
            let below_target = self.opts.aimed_load - *load;
            if below_target < 0.0 || is_refusing || *correction < 1.0 {
                let change = (self.opts.gain * elapsed * below_target).clamp(-0.5, 0.5);
                *correction = (*correction * (1.0 + change)).clamp(min, max);
            }
        }
    }

    fn allocate(&mut self, now: Time, capacities: &BTreeMap<Service, Capacity>) {
        let max_age = self.opts.max_age;
        self.peer_demands
            .retain(|_, (received, _)| now.since(*received) <= max_age);
        let mut total = self.own_demand.clone();
        for demand in self.peer_demands.values().flat_map(|(_, demand)| demand) {
            *total.entry((demand.priority, demand.service)).or_default() += demand.slots;
        }
        self.admitted_fractions.clear();
        for (service, capacity) in capacities {
            let correction = self.corrections.get(service).copied().unwrap_or(1.0);
            let mut free_slots = capacity.slots * self.opts.target * correction;
            // Highest priority first.
            let demanded = total.iter().rev().filter(|((_, it), _)| it == service);
            for ((priority, service), slots) in demanded {
                let fraction =
                    (free_slots / slots.max(f64::MIN_POSITIVE)).clamp(MIN_ADMITTED_FRACTION, 1.0);
                free_slots = (free_slots - slots * fraction).max(0.0);
                self.admitted_fractions
                    .insert((*priority, *service), fraction);
            }
        }
    }
}
