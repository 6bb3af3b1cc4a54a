//! Load patterns of the platform's peak days, replayed in virtual time against chain admission.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use cassiashunt_admit::{
    Priority,
    chain_admission::{Capacity, ChainAdmission, Demand, Options},
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// Slots of the stores service in the Lagos load sheet: three servers of 34, 32 of each in use.
const STORES_SLOTS: u64 = 96;
/// Mean service times of a tin read and of a client's stock read.
const TIN_READ_MS: f64 = 55.0;
const STOCK_READ_MS: f64 = 88.0;
/// A chain makes its tin reads on two concurrent branches, four in sequence on each.
const BRANCHES: usize = 2;
const READS_PER_BRANCH: usize = 4;
/// The time of a chain before its first tin read.
const LEAD_TIME_MS: f64 = 250.0;
/// The longest wait of a call for a slot, after which its chain fails.
const SLOT_TIMEOUT_MS: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    SignOff,
    Stock,
    Schedule,
}

const CLASSES: [Class; 3] = [Class::SignOff, Class::Stock, Class::Schedule];

impl Class {
    fn priority(self) -> Priority {
        Priority(match self {
            Self::SignOff => 198,
            Self::Stock => 196,
            Self::Schedule => 194,
        })
    }

    fn route(self) -> Route {
        let name = match self {
            Self::SignOff => "sign-off",
            Self::Stock => "stock",
            Self::Schedule => "schedule",
        };
        name.parse().expect("a valid name")
    }

    /// Requests per second on a normal day.
    fn rate(self) -> f64 {
        match self {
            Self::SignOff => 53.8,
            Self::Stock => 41.6,
            Self::Schedule => 134.0,
        }
    }

    fn slot_s(self) -> f64 {
        match self {
            Self::Stock => STOCK_READ_MS / 1_000.0,
            _ => TIN_READ_MS * (BRANCHES * READS_PER_BRANCH) as f64 / 1_000.0,
        }
    }
}

/// The outcomes of one class.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: u32,
    refused: u32,
    failed: u32,
    served: u32,
}

struct Chain {
    class: Class,
    /// Remaining reads of each branch.
    remaining_reads: [usize; BRANCHES],
    is_failed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    RequestSlot(usize, usize),
    ReleaseSlot(usize, usize),
    Step,
}

struct Simulation {
    rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    chains: Vec<Chain>,
    /// Waiting calls, by priority, then by time.
    waiting: BTreeMap<(Reverse<u8>, u64, u64), (usize, usize)>,
    busy: u64,
    admission: Option<ChainAdmission>,
    tallies: [Tally; 3],
}

fn stores() -> Service {
    "stores".parse().expect("a valid name")
}

impl Simulation {
    fn new(admission: Option<ChainAdmission>) -> Self {
        Self {
            rng: Rng::with_seed(7),
            events: BinaryHeap::new(),
            sequence: 0,
            chains: Vec::new(),
            waiting: BTreeMap::new(),
            busy: 0,
            admission,
            tallies: [Tally::default(); 3],
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }

    /// Simulates `seconds` of demand at `load_factor` times the normal one. Event times are in
    /// microseconds; requests are counted after the first three seconds.
    fn run(mut self, load_factor: f64, seconds: u64) -> [Tally; 3] {
        let end = seconds * 1_000_000;
        self.push(0, Event::Arrive);
        self.push(0, Event::Step);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            match event {
                Event::Arrive if at < end => self.arrive(at, load_factor),
                Event::Step if at < end => self.step(at),
                Event::Arrive | Event::Step => {}
                Event::RequestSlot(chain, branch) => self.request_slot(at, chain, branch),
                Event::ReleaseSlot(chain, branch) => self.release_slot(at, chain, branch),
            }
        }
        self.tallies
    }

    fn arrive(&mut self, at: u64, load_factor: f64) {
        let total: f64 = CLASSES.iter().map(|class| class.rate()).sum();
        let next = self.exponential(1_000_000.0 / (total * load_factor));
        self.push(at + next as u64, Event::Arrive);
        let mut remaining_rate = self.rng.f64() * total;
        let class = CLASSES.into_iter().find(|class| {
            remaining_rate -= class.rate();
            remaining_rate < 0.0
        });
        let class = class.unwrap_or(Class::Schedule);
        let is_counted = at >= 3_000_000;
        let cost = [(stores(), class.slot_s())];
        let is_admitted = self
            .admission
            .as_mut()
            .is_none_or(|admission| admission.admit(class.route(), class.priority(), &cost));
        let tally = &mut self.tallies[class as usize];
        tally.offered += u32::from(is_counted);
        if !is_admitted {
            tally.refused += u32::from(is_counted);
            return;
        }
        let remaining_reads = if class == Class::Stock {
            [1, 0]
        } else {
            [READS_PER_BRANCH; BRANCHES]
        };
        self.chains.push(Chain {
            class,
            remaining_reads,
            is_failed: !is_counted,
        });
        let chain = self.chains.len() - 1;
        let lead_time_ms = if class == Class::Stock {
            0.0
        } else {
            LEAD_TIME_MS
        };
        for branch in (0..BRANCHES).filter(|branch| remaining_reads[*branch] > 0) {
            self.push(
                at + (lead_time_ms * 1_000.0) as u64,
                Event::RequestSlot(chain, branch),
            );
        }
    }

    fn request_slot(&mut self, at: u64, chain: usize, branch: usize) {
        let priority = self.chains[chain].class.priority();
        self.sequence += 1;
        self.waiting
            .insert((Reverse(priority.0), at, self.sequence), (chain, branch));
        self.start(at);
    }

    fn start(&mut self, at: u64) {
        while self.busy < STORES_SLOTS {
            let Some(((_, enqueued, _), (chain, branch))) = self.waiting.pop_first() else {
                return;
            };
            if at - enqueued > SLOT_TIMEOUT_MS * 1_000 {
                self.chains[chain].is_failed = true;
                let is_counted = at >= 3_000_000;
                self.tallies[self.chains[chain].class as usize].failed += u32::from(is_counted);
                continue;
            }
            let mean_ms = if self.chains[chain].class == Class::Stock {
                STOCK_READ_MS
            } else {
                TIN_READ_MS
            };
            let service_time_us = self.exponential(mean_ms * 1_000.0);
            self.busy += 1;
            self.push(
                at + service_time_us as u64,
                Event::ReleaseSlot(chain, branch),
            );
        }
    }

    fn release_slot(&mut self, at: u64, chain: usize, branch: usize) {
        self.busy -= 1;
        self.chains[chain].remaining_reads[branch] -= 1;
        let state = &self.chains[chain];
        if state.remaining_reads[branch] > 0 && !state.is_failed {
            self.push(at, Event::RequestSlot(chain, branch));
        } else if state.remaining_reads == [0; BRANCHES] && !state.is_failed {
            self.tallies[state.class as usize].served += 1;
        }
        self.start(at);
    }

    fn step(&mut self, at: u64) {
        let capacity = Capacity {
            slots: STORES_SLOTS as f64,
            busy: (self.busy + self.waiting.len() as u64) as f64,
        };
        if let Some(admission) = &mut self.admission {
            admission.step(
                Time::from_micros(1_000_000 + at),
                &BTreeMap::from([(stores(), capacity)]),
            );
        }
        self.push(at + 100_000, Event::Step);
    }
}

fn served_share(tally: Tally) -> f64 {
    f64::from(tally.served) / f64::from(tally.offered)
}

/// The Lagos load sheet at 1.7 times its normal demand: 146 slots are needed, 96 exist.
#[test]
fn in_a_surge_above_capacity_high_priorities_are_served_and_little_work_is_wasted() {
    let with = Simulation::new(Some(ChainAdmission::new(Options::default()))).run(1.7, 20);
    let without = Simulation::new(None).run(1.7, 20);
    let [sign_off, stock, schedule] = with;
    assert!(served_share(sign_off) > 0.97, "{with:?}");
    assert!(served_share(stock) > 0.97, "{with:?}");
    // 90% of the slots do work for requests that are served.
    let expected =
        (0.9 * STORES_SLOTS as f64 - 1.7 * (53.8 * 0.44 + 41.6 * 0.088)) / (1.7 * 134.0 * 0.44);
    assert!(
        served_share(schedule) > expected,
        "{} of {expected}",
        served_share(schedule)
    );
    let failed: u32 = with.iter().map(|tally| tally.failed).sum();
    let offered: u32 = with.iter().map(|tally| tally.offered).sum();
    assert!(f64::from(failed) < 0.03 * f64::from(offered), "{with:?}");
    let [_, _, schedule_without] = without;
    assert!(
        served_share(schedule) > 1.25 * served_share(schedule_without),
        "{without:?}"
    );
}

#[test]
fn at_normal_load_nearly_nothing_is_refused() {
    let tallies = Simulation::new(Some(ChainAdmission::new(Options::default()))).run(0.8, 20);
    for tally in tallies {
        assert!(
            f64::from(tally.refused) < 0.01 * f64::from(tally.offered),
            "{tallies:?}"
        );
    }
}

#[test]
fn all_nodes_admit_the_same_fraction_whatever_their_own_demand() {
    let mut busy = ChainAdmission::new(Options::default());
    let mut idle = ChainAdmission::new(Options::default());
    let cost = [(stores(), 0.44)];
    let capacity = Capacity {
        slots: 96.0,
        busy: 90.0,
    };
    let capacities = BTreeMap::from([(stores(), capacity)]);
    for step in 0..40_u64 {
        let now = Time::from_millis(1_000 + step * 100);
        for _ in 0..40 {
            busy.admit(Class::Schedule.route(), Class::Schedule.priority(), &cost);
        }
        idle.admit(Class::Schedule.route(), Class::Schedule.priority(), &cost);
        idle.on_demand(now, "busy", busy.demand());
        busy.on_demand(now, "idle", idle.demand());
        busy.step(now, &capacities);
        idle.step(now, &capacities);
    }
    let fraction = |admission: &ChainAdmission| {
        admission
            .bottleneck(Class::Schedule.priority(), &cost)
            .expect("the service is short of slots")
            .1
    };
    assert!(
        (fraction(&busy) - fraction(&idle)).abs() < 0.05,
        "{} {}",
        fraction(&busy),
        fraction(&idle)
    );
    let expected = 96.0 * 0.95 / (10.0 * 41.0 * 0.44);
    assert!(
        (fraction(&busy) - expected).abs() < 0.3 * expected,
        "{} of {expected}",
        fraction(&busy)
    );
}

#[test]
fn demand_of_a_node_that_sends_no_more_expires() {
    let mut admission = ChainAdmission::new(Options::default());
    let cost = [(stores(), 0.44)];
    let capacities = BTreeMap::from([(
        stores(),
        Capacity {
            slots: 96.0,
            busy: 10.0,
        },
    )]);
    let demand = Demand {
        priority: Priority(198),
        service: stores(),
        slots: 500.0,
    };
    admission.on_demand(Time::from_millis(1_000), "departed", vec![demand]);
    admission.step(Time::from_millis(1_000), &capacities);
    admission.step(Time::from_millis(1_100), &capacities);
    assert!(!admission.shortages().is_empty());
    admission.step(Time::from_millis(4_000), &capacities);
    assert!(admission.shortages().is_empty());
    assert!(admission.admit(Class::Schedule.route(), Class::Schedule.priority(), &cost));
}
