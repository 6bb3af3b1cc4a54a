//! Decides on clients' requests before their chains start, by what all of them ask for.
//!
//! Every node tells what its clients ask for: slots of each service at each priority. Each node
//! works out from the sum which part of each priority fits: the more urgent first, and of the
//! first that does not fit whole an equal part at every node. Calls of admitted requests then find
//! room, and no work is spent on chains that break off. A slow correction follows what the owners
//! see, since costs are estimates.

use std::{
    collections::{BTreeMap, HashMap},
    ops::AddAssign,
};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Priority;

/// Settings of the decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The part of a service's slots that is given out; the rest takes up the randomness of
    /// arrivals, which would otherwise fill the owners' queues.
    pub target: f64,
    /// The time over which demand is averaged.
    pub demand_time: Duration,
    /// The age at which a node's word is no longer used.
    pub max_age: Duration,
    /// Running and waiting requests over slots that the correction aims at.
    pub aimed_load: f64,
    /// The time over which the load is averaged. Chains take about as long to show up at the
    /// services at their end, and a quicker correction would swing.
    pub load_time: Duration,
    /// The relative change of the correction in a second for each unit of load off the aim.
    pub gain: f64,
    /// The least and the most of the correction.
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

/// The least part of a priority that is let pass, so that its costs stay known.
const LEAST_PART: f64 = 0.01;
/// A cost, in slot seconds, that does not make a request depend on a service.
const NEGLIGIBLE_S: f64 = 0.002;
/// What clients ask of a service at a priority, in slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The priority.
    pub priority: Priority,
    /// The service.
    pub service: Service,
    /// Slots that would be in use if all of it were admitted.
    pub slots: f64,
}

/// What a service has and does, over all its owners.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Capacity {
    /// Requests that may run at once.
    pub slots: f64,
    /// Requests that run or wait.
    pub busy: f64,
}

impl Capacity {
    /// What runs or waits, in parts of the slots; nothing where there are none.
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

/// A service at which not all of the demand fits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shortage {
    /// The service.
    pub service: Service,
    /// The most urgent priority that does not fit whole.
    pub priority: Priority,
    /// The part of it that fits.
    pub admitted_fraction: f64,
    /// The correction of what is given out.
    pub correction: f64,
}

/// The decision at one node.
#[derive(Debug)]
pub struct ChainAdmission {
    opts: Options,
    asked: BTreeMap<(Priority, Service), f64>,
    local: BTreeMap<(Priority, Service), f64>,
    peers: HashMap<String, (Time, Vec<Demand>)>,
    corrections: BTreeMap<Service, f64>,
    loads: BTreeMap<Service, f64>,
    parts: BTreeMap<(Priority, Service), f64>,
    credits: HashMap<Route, f64>,
    stepped: Option<Time>,
}

impl ChainAdmission {
    /// A decision that knows of no demand.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            asked: BTreeMap::new(),
            local: BTreeMap::new(),
            peers: HashMap::new(),
            corrections: BTreeMap::new(),
            loads: BTreeMap::new(),
            parts: BTreeMap::new(),
            credits: HashMap::new(),
            stepped: None,
        }
    }

    /// Takes in another node's demand, under its name.
    pub fn on_demand(&mut self, now: Time, node: &str, demand: Vec<Demand>) {
        self.peers.insert(node.to_owned(), (now, demand));
    }

    /// This node's demand, for the others.
    #[must_use]
    pub fn demand(&self) -> Vec<Demand> {
        let told = self.local.iter().filter(|(_, slots)| **slots > 0.01);
        told.map(|((priority, service), slots)| Demand {
            priority: *priority,
            service: *service,
            slots: *slots,
        })
        .collect()
    }

    /// Works out which part of each priority fits; to be called about ten times a second.
    pub fn step(&mut self, now: Time, capacities: &BTreeMap<Service, Capacity>) {
        let spent = self
            .stepped
            .map_or(Duration::ZERO, |stepped| now.since(stepped));
        self.stepped = Some(now);
        if spent.is_zero() {
            return;
        }
        self.average(spent);
        self.correct(spent, capacities);
        self.divide(now, capacities);
    }

    /// Decides on one request. It counts as demand whatever the decision.
    pub fn admit(&mut self, route: Route, priority: Priority, cost: &[(Service, f64)]) -> bool {
        let mut part: f64 = 1.0;
        for (service, slot_s) in cost {
            *self.asked.entry((priority, *service)).or_default() += slot_s;
            if *slot_s >= NEGLIGIBLE_S {
                let fits = self.parts.get(&(priority, *service)).copied();
                part = part.min(fits.unwrap_or(1.0));
            }
        }
        if part >= 1.0 {
            return true;
        }
        let credit = self.credits.entry(route).or_insert(0.5);
        *credit += part;
        let passes = *credit >= 1.0;
        if passes {
            *credit -= 1.0;
        }
        passes
    }

    /// The service that a request with this cost finds scarcest, and the part of its priority that
    /// fits there; nothing where all of it fits.
    #[must_use]
    pub fn bottleneck(
        &self,
        priority: Priority,
        cost: &[(Service, f64)],
    ) -> Option<(Service, f64)> {
        let needed = cost.iter().filter(|(_, slot_s)| *slot_s >= NEGLIGIBLE_S);
        let parts = needed.filter_map(|(service, _)| {
            let part = self.parts.get(&(priority, *service))?;
            Some((*service, *part))
        });
        let scarcest = parts.min_by(|(_, a), (_, b)| a.total_cmp(b));
        scarcest.filter(|(_, part)| *part < 1.0)
    }

    /// The services at which not all of the demand fits: the least part that is let pass, and the
    /// correction in force.
    #[must_use]
    pub fn shortages(&self) -> Vec<Shortage> {
        let mut shortages: BTreeMap<Service, Shortage> = BTreeMap::new();
        for ((priority, service), part) in self.parts.iter().filter(|(_, part)| **part < 1.0) {
            let correction = self.corrections.get(service).copied().unwrap_or(1.0);
            let shortage = shortages.entry(*service).or_insert(Shortage {
                service: *service,
                priority: *priority,
                admitted_fraction: *part,
                correction,
            });
            if *priority > shortage.priority {
                shortage.priority = *priority;
                shortage.admitted_fraction = *part;
            }
        }
        shortages.into_values().collect()
    }

    fn average(&mut self, spent: Duration) {
        let gain = (spent.as_secs_f64() / self.opts.demand_time.as_secs_f64()).min(1.0);
        for slots in self.local.values_mut() {
            *slots *= 1.0 - gain;
        }
        for (key, slot_s) in std::mem::take(&mut self.asked) {
            let rate = slot_s / spent.as_secs_f64();
            *self.local.entry(key).or_default() += gain * rate;
        }
    }

    /// Gives less out where owners are over the aim, and more where they are below it although
    /// requests are refused.
    fn correct(&mut self, spent: Duration, capacities: &BTreeMap<Service, Capacity>) {
        let spent = spent.as_secs_f64();
        let weight = (spent / self.opts.load_time.as_secs_f64()).min(1.0);
        let (least, most) = self.opts.bounds;
        for (service, capacity) in capacities {
            let seen = capacity.busy / capacity.slots.max(1.0);
            let load = self.loads.entry(*service).or_insert(seen);
            *load += weight * (seen - *load);
            let is_refusing = self
                .parts
                .iter()
                .any(|((_, it), part)| it == service && *part < 1.0);
            let correction = self.corrections.entry(*service).or_insert(1.0);
            let off = self.opts.aimed_load - *load;
            if off < 0.0 || is_refusing || *correction < 1.0 {
                let change = (self.opts.gain * spent * off).clamp(-0.5, 0.5);
                *correction = (*correction * (1.0 + change)).clamp(least, most);
            }
        }
    }

    fn divide(&mut self, now: Time, capacities: &BTreeMap<Service, Capacity>) {
        let max_age = self.opts.max_age;
        self.peers
            .retain(|_, (received, _)| now.since(*received) <= max_age);
        let mut total = self.local.clone();
        for demand in self.peers.values().flat_map(|(_, demand)| demand) {
            *total.entry((demand.priority, demand.service)).or_default() += demand.slots;
        }
        self.parts.clear();
        for (service, capacity) in capacities {
            let correction = self.corrections.get(service).copied().unwrap_or(1.0);
            let mut left = capacity.slots * self.opts.target * correction;
            // The most urgent first.
            let asked = total.iter().rev().filter(|((_, it), _)| it == service);
            for ((priority, service), slots) in asked {
                let part = (left / slots.max(f64::MIN_POSITIVE)).clamp(LEAST_PART, 1.0);
                left = (left - slots * part).max(0.0);
                self.parts.insert((*priority, *service), part);
            }
        }
    }
}
