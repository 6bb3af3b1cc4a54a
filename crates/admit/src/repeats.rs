//! Repeats as a second capacity of a service, beside its slots.
//!
//! A server may reject or fail tries while it has free slots. Each such try has to be repeated, and the
//! fleet's repeats are limited. From the share of tries that pass, the *yield*, follows how many
//! repeats a chain needs at each service that it calls. The repeats that are left are allocated to
//! priorities, the highest first. A chain that can't be expected to end is refused before it starts.

use std::{
    collections::{BTreeMap, HashMap},
    ops::AddAssign,
};

use cassiashunt_types::prelude::*;

use crate::Priority;

/// Settings of the allocation of repeats.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The time constant with which the counted tries are forgotten.
    pub tries_time: Duration,
    /// The weight of a try in a node's own yield, which shows a change before the sums of all nodes do.
    pub try_weight: f64,
    /// The time constant with which a node's own yield returns to that of all nodes.
    pub return_time: Duration,
    /// The maximum number of tries of a call.
    pub max_tries: u32,
    /// The chance of a chain without any repeat from which on it is started in any case.
    pub good_chance: f64,
    /// The window of the budgets.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            tries_time: Duration::from_millis(500),
            try_weight: 0.1,
            return_time: Duration::from_millis(300),
            max_tries: 12,
            good_chance: 0.5,
            window: Duration::from_secs(10),
        }
    }
}

/// The minimum fraction of a priority that is started, so that the yield continues to be measured.
const MIN_ADMITTED_FRACTION: f64 = 0.02;
/// The minimum number of repeats per second that is allocated: what is left is known too late to
/// count single ones.
const MIN_REPEATS_PER_S: f64 = 1.0;
/// The allowed fraction of a priority's repeats below which none of its calls is repeated.
const MIN_REPEATED_FRACTION: f64 = 0.05;
/// Tries that count as passed beside the measured ones.
const PRIOR_TRIES: f64 = 2.0;
/// The number of calls per request below which it counts as independent of a service.
const NEGLIGIBLE_CALLS: f64 = 0.05;

/// The tries at a service, and what its budget of repeats allows, summed over nodes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tries {
    /// Recent tries that a server answered.
    pub passed: f64,
    /// Recent tries that a server rejected or failed.
    pub failed: f64,
    /// Repeats that the budget allows in a window.
    pub repeats_limit: f64,
    /// Repeats that the budget allows now.
    pub repeats_left: f64,
    /// First tries in the window, in the one half a window earlier and in the one before.
    pub first_tries: [f64; 3],
    /// First tries in the window of those that has most at each node.
    pub most_first_tries: f64,
}

impl AddAssign for Tries {
    fn add_assign(&mut self, other: Self) {
        self.passed += other.passed;
        self.failed += other.failed;
        self.repeats_limit += other.repeats_limit;
        self.repeats_left += other.repeats_left;
        for (sum, other) in self.first_tries.iter_mut().zip(other.first_tries) {
            *sum += other;
        }
        self.most_first_tries += other.most_first_tries;
    }
}

impl Tries {
    /// The share of tries that pass; close to one if there were few.
    #[must_use]
    pub fn yielded(&self) -> f64 {
        (self.passed + PRIOR_TRIES) / (self.passed + self.failed + PRIOR_TRIES)
    }

    /// The repeats per second to allocate: a window's limit spread evenly while half of it is left,
    /// more while more is left, and so much less near its end that chains under way do not use it up.
    #[must_use]
    pub fn repeats_per_s(&self, window: Duration) -> f64 {
        let left = self.repeats_left.min(self.repeats_limit).max(0.0);
        (self.repeats_limit / 2.0 + left).min(4.0 * left) / window.as_secs_f64()
    }

    /// The part of its own best window that each node may base its budget on: windows of most first
    /// tries may differ between nodes, and the fleet's limit counts one window for all.
    #[must_use]
    pub fn window_share(&self) -> f64 {
        let most = self.first_tries.iter().copied().fold(0.0, f64::max);
        if self.most_first_tries > 0.0 {
            (most / self.most_first_tries).min(1.0)
        } else {
            1.0
        }
    }
}

/// What a service's repeats allow at a priority.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allotment {
    /// The service.
    pub service: Service,
    /// The highest priority whose repeats are not all allowed.
    pub priority: Priority,
    /// The fraction of it that is allowed.
    pub fraction: f64,
    /// The share of tries that pass.
    pub yielded: f64,
    /// The repeats that the budget allows now, over all nodes.
    pub repeats_left: f64,
}

/// The allocation of repeats at one node.
#[derive(Debug, Default)]
pub struct RepeatAdmission {
    opts: Options,
    own_tries: BTreeMap<Service, Tries>,
    own_yields: BTreeMap<Service, f64>,
    calls: BTreeMap<(Priority, Service), f64>,
    services: BTreeMap<Service, Tries>,
    fractions: BTreeMap<(Priority, Service), f64>,
    credits: HashMap<Route, f64>,
    last_step: Option<Time>,
}

impl RepeatAdmission {
    /// Creates the allocation without any tries.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            ..Self::default()
        }
    }

    /// Records a try that reached a server.
    pub fn on_try(&mut self, service: Service, has_passed: bool) {
        let tries = self.own_tries.entry(service).or_default();
        if has_passed {
            tries.passed += 1.0;
        } else {
            tries.failed += 1.0;
        }
        let passed = f64::from(u8::from(has_passed));
        let own_yield = self.own_yields.entry(service).or_insert(1.0);
        *own_yield += self.opts.try_weight * (passed - *own_yield);
    }

    /// This node's tries, without its budgets.
    #[must_use]
    pub fn tries(&self) -> &BTreeMap<Service, Tries> {
        &self.own_tries
    }

    /// Recalculates the allocation, from the tries and the calls per second of all nodes. To be called
    /// about ten times a second.
    pub fn step(
        &mut self,
        now: Time,
        tries: BTreeMap<Service, Tries>,
        calls: BTreeMap<(Priority, Service), f64>,
    ) {
        self.services = tries;
        self.calls = calls;
        self.average(now);
        self.fractions.clear();
        for (service, tries) in &self.services {
            let fractions = self.allocate(*service, tries.yielded());
            let keyed = fractions.map(|(priority, fraction)| ((priority, *service), fraction));
            self.fractions.extend(keyed.collect::<Vec<_>>());
        }
    }

    /// The fraction of each priority's repeats that is allowed, the highest priority first, where this
    /// share of tries passes.
    fn allocate(&self, service: Service, yielded: f64) -> impl Iterator<Item = (Priority, f64)> {
        let tries = self.service(service);
        let mut repeats = tries.repeats_per_s(self.opts.window).max(MIN_REPEATS_PER_S);
        let repeats_per_call = self.repeats_per_call(yielded);
        let calls = self.calls.iter().rev();
        let demanded = calls.filter(move |((_, it), _)| *it == service);
        demanded.map(move |((priority, _), calls_per_s)| {
            let needed = calls_per_s * repeats_per_call;
            let fraction = (repeats / needed.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
            repeats -= needed * fraction;
            (*priority, fraction)
        })
    }

    /// Whether calls of this priority may be repeated at a service, as far as more urgent ones need its
    /// repeats.
    #[must_use]
    pub fn may_repeat(&self, priority: Priority, service: Service) -> bool {
        let own_yield = self.own_yields.get(&service).copied().unwrap_or(1.0);
        let fraction = if own_yield < self.yielded(service) {
            let mut fractions = self.allocate(service, own_yield);
            fractions
                .find(|(it, _)| *it == priority)
                .map_or(1.0, |it| it.1)
        } else {
            self.fraction(priority, service)
        };
        fraction >= MIN_REPEATED_FRACTION
    }

    /// Returns whether a request that makes these calls is started.
    pub fn admit(&mut self, route: Route, priority: Priority, calls: &[(Service, f64)]) -> bool {
        let Some((_, fraction)) = self.bottleneck(priority, calls) else {
            return true;
        };
        let credit = self.credits.entry(route).or_insert(0.5);
        *credit += fraction;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }

    /// The service whose repeats bound requests that make these calls, and the fraction of them that
    /// is started; none if all are.
    #[must_use]
    pub fn bottleneck(
        &self,
        priority: Priority,
        calls: &[(Service, f64)],
    ) -> Option<(Service, f64)> {
        // Without calls of its own it wastes nothing when it is refused.
        if calls.len() < 2 {
            return None;
        }
        let relevant = calls.iter().filter(|(_, count)| *count >= NEGLIGIBLE_CALLS);
        let mut chance = 1.0;
        let mut bottleneck: Option<(Service, f64)> = None;
        for (service, count) in relevant {
            chance *= self.yielded(*service).powf(*count);
            let fraction = self.fraction(priority, *service);
            if fraction < bottleneck.map_or(1.0, |(_, it)| it) {
                bottleneck = Some((*service, fraction));
            }
        }
        bottleneck
            .filter(|_| chance < self.opts.good_chance)
            .map(|(service, fraction)| (service, fraction.max(MIN_ADMITTED_FRACTION)))
    }

    /// The fraction of a priority's repeats at a service that is allowed.
    #[must_use]
    pub fn fraction(&self, priority: Priority, service: Service) -> f64 {
        let known = self.fractions.get(&(priority, service)).copied();
        known.unwrap_or(1.0)
    }

    /// The share of tries at a service that pass.
    #[must_use]
    pub fn yielded(&self, service: Service) -> f64 {
        self.services.get(&service).map_or(1.0, Tries::yielded)
    }

    /// The tries at a service, as of the last step.
    #[must_use]
    pub fn service(&self, service: Service) -> Tries {
        self.services.get(&service).copied().unwrap_or_default()
    }

    /// The services whose repeats are short.
    #[must_use]
    pub fn shortages(&self) -> Vec<Allotment> {
        let mut shortages: BTreeMap<Service, Allotment> = BTreeMap::new();
        for ((priority, service), fraction) in self.fractions.iter().filter(|it| *it.1 < 1.0) {
            let tries = self.service(*service);
            // In ascending order of priorities: the highest one remains.
            shortages.insert(
                *service,
                Allotment {
                    service: *service,
                    priority: *priority,
                    fraction: *fraction,
                    yielded: tries.yielded(),
                    repeats_left: tries.repeats_left,
                },
            );
        }
        shortages.into_values().collect()
    }

    /// The expected repeats of a call.
    fn repeats_per_call(&self, yielded: f64) -> f64 {
        let failed = (1.0 - yielded).clamp(0.0, 1.0);
        (1..self.opts.max_tries)
            .map(|tries| failed.powf(f64::from(tries)))
            .sum()
    }

    fn average(&mut self, now: Time) {
        let last_step = self.last_step.replace(now);
        let elapsed_s = last_step.map_or(0.0, |it| now.since(it).as_secs_f64());
        if elapsed_s <= 0.0 {
            return;
        }
        let kept = (-elapsed_s / self.opts.tries_time.as_secs_f64()).exp();
        for tries in self.own_tries.values_mut() {
            tries.passed *= kept;
            tries.failed *= kept;
        }
        let gain = (elapsed_s / self.opts.return_time.as_secs_f64()).min(1.0);
        for (service, own_yield) in &mut self.own_yields {
            let yielded = self.services.get(service).map_or(1.0, Tries::yielded);
            *own_yield += gain * (yielded - *own_yield);
        }
    }
}
