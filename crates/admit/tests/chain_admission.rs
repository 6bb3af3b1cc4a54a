//! Load patterns of the users' worst days, replayed in virtual time against the decision before a
//! chain starts.

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

/// Stores on the Lagos sheet: three servers of 34 slots, 32 of each in use.
const SLOTS: u64 = 96;
/// A tin read, and a stock read of a client.
const TIN_MS: f64 = 55.0;
const STOCK_MS: f64 = 88.0;
/// Tin reads of a chain, four after the other on two ways at once.
const WAYS: usize = 2;
const READS: usize = 4;
/// A chain's work before its first tin read.
const BEFORE_MS: f64 = 250.0;
/// How long a call waits for a slot before its chain breaks off.
const PATIENCE_MS: u64 = 500;

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
        name.parse().expect("a plain name")
    }

    /// Requests a second on a usual day.
    fn rate(self) -> f64 {
        match self {
            Self::SignOff => 53.8,
            Self::Stock => 41.6,
            Self::Schedule => 134.0,
        }
    }

    fn slot_s(self) -> f64 {
        match self {
            Self::Stock => STOCK_MS / 1_000.0,
            _ => TIN_MS * (WAYS * READS) as f64 / 1_000.0,
        }
    }
}

/// What became of a class.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    asked: u32,
    refused: u32,
    broken: u32,
    served: u32,
}

struct Chain {
    class: Class,
    /// Reads left on each way.
    left: [usize; WAYS],
    is_broken: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Ask(usize, usize),
    Free(usize, usize),
    Step,
}

struct World {
    rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    chains: Vec<Chain>,
    /// Calls that wait: by priority, then by time.
    waiting: BTreeMap<(Reverse<u8>, u64, u64), (usize, usize)>,
    busy: u64,
    root: Option<ChainAdmission>,
    tallies: [Tally; 3],
}

fn stores() -> Service {
    "stores".parse().expect("a plain name")
}

impl World {
    fn new(root: Option<ChainAdmission>) -> Self {
        Self {
            rng: Rng::with_seed(7),
            events: BinaryHeap::new(),
            order: 0,
            chains: Vec::new(),
            waiting: BTreeMap::new(),
            busy: 0,
            root,
            tallies: [Tally::default(); 3],
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }

    /// Plays `seconds` of demand at `times` the usual, in microseconds; counts from the third
    /// second on.
    fn play(mut self, times: f64, seconds: u64) -> [Tally; 3] {
        let end = seconds * 1_000_000;
        self.push(0, Event::Arrive);
        self.push(0, Event::Step);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            match event {
                Event::Arrive if at < end => self.arrive(at, times),
                Event::Step if at < end => self.step(at),
                Event::Arrive | Event::Step => {}
                Event::Ask(chain, way) => self.ask(at, chain, way),
                Event::Free(chain, way) => self.free(at, chain, way),
            }
        }
        self.tallies
    }

    fn arrive(&mut self, at: u64, times: f64) {
        let total: f64 = CLASSES.iter().map(|class| class.rate()).sum();
        let next = self.exponential(1_000_000.0 / (total * times));
        self.push(at + next as u64, Event::Arrive);
        let mut drawn = self.rng.f64() * total;
        let class = CLASSES.into_iter().find(|class| {
            drawn -= class.rate();
            drawn < 0.0
        });
        let class = class.unwrap_or(Class::Schedule);
        let counts = at >= 3_000_000;
        let cost = [(stores(), class.slot_s())];
        let passes = self
            .root
            .as_mut()
            .is_none_or(|root| root.admit(class.route(), class.priority(), &cost));
        let tally = &mut self.tallies[class as usize];
        tally.asked += u32::from(counts);
        if !passes {
            tally.refused += u32::from(counts);
            return;
        }
        let left = if class == Class::Stock {
            [1, 0]
        } else {
            [READS; WAYS]
        };
        self.chains.push(Chain {
            class,
            left,
            is_broken: !counts,
        });
        let chain = self.chains.len() - 1;
        let before = if class == Class::Stock {
            0.0
        } else {
            BEFORE_MS
        };
        for way in (0..WAYS).filter(|way| left[*way] > 0) {
            self.push(at + (before * 1_000.0) as u64, Event::Ask(chain, way));
        }
    }

    fn ask(&mut self, at: u64, chain: usize, way: usize) {
        let priority = self.chains[chain].class.priority();
        self.order += 1;
        self.waiting
            .insert((Reverse(priority.0), at, self.order), (chain, way));
        self.start(at);
    }

    fn start(&mut self, at: u64) {
        while self.busy < SLOTS {
            let Some(((_, asked, _), (chain, way))) = self.waiting.pop_first() else {
                return;
            };
            if at - asked > PATIENCE_MS * 1_000 {
                self.chains[chain].is_broken = true;
                let counts = at >= 3_000_000;
                self.tallies[self.chains[chain].class as usize].broken += u32::from(counts);
                continue;
            }
            let mean = if self.chains[chain].class == Class::Stock {
                STOCK_MS
            } else {
                TIN_MS
            };
            let work = self.exponential(mean * 1_000.0);
            self.busy += 1;
            self.push(at + work as u64, Event::Free(chain, way));
        }
    }

    fn free(&mut self, at: u64, chain: usize, way: usize) {
        self.busy -= 1;
        self.chains[chain].left[way] -= 1;
        let state = &self.chains[chain];
        if state.left[way] > 0 && !state.is_broken {
            self.push(at, Event::Ask(chain, way));
        } else if state.left == [0; WAYS] && !state.is_broken {
            self.tallies[state.class as usize].served += 1;
        }
        self.start(at);
    }

    fn step(&mut self, at: u64) {
        let capacity = Capacity {
            slots: SLOTS as f64,
            busy: (self.busy + self.waiting.len() as u64) as f64,
        };
        if let Some(root) = &mut self.root {
            root.step(
                Time::from_micros(1_000_000 + at),
                &BTreeMap::from([(stores(), capacity)]),
            );
        }
        self.push(at + 100_000, Event::Step);
    }
}

fn share(tally: Tally) -> f64 {
    f64::from(tally.served) / f64::from(tally.asked)
}

/// Lagos at 1.7 times its usual demand: 146 slots asked of 96.
#[test]
fn at_a_surge_that_cannot_be_served_whole_the_urgent_is_served_and_no_work_is_wasted() {
    let with = World::new(Some(ChainAdmission::new(Options::default()))).play(1.7, 20);
    let without = World::new(None).play(1.7, 20);
    let [sign_off, stock, schedule] = with;
    assert!(share(sign_off) > 0.97, "{with:?}");
    assert!(share(stock) > 0.97, "{with:?}");
    // Nine tenths of the slots do work that counts.
    let fits = (0.9 * SLOTS as f64 - 1.7 * (53.8 * 0.44 + 41.6 * 0.088)) / (1.7 * 134.0 * 0.44);
    assert!(share(schedule) > fits, "{} of {fits}", share(schedule));
    let broken: u32 = with.iter().map(|tally| tally.broken).sum();
    let asked: u32 = with.iter().map(|tally| tally.asked).sum();
    assert!(f64::from(broken) < 0.03 * f64::from(asked), "{with:?}");
    let [_, _, schedule_without] = without;
    assert!(
        share(schedule) > 1.25 * share(schedule_without),
        "{without:?}"
    );
}

#[test]
fn on_a_usual_day_nothing_is_refused() {
    let tallies = World::new(Some(ChainAdmission::new(Options::default()))).play(0.8, 20);
    for tally in tallies {
        assert!(
            f64::from(tally.refused) < 0.01 * f64::from(tally.asked),
            "{tallies:?}"
        );
    }
}

#[test]
fn every_node_lets_the_same_part_pass_whoever_has_the_clients() {
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
    let part = |root: &ChainAdmission| {
        root.bottleneck(Class::Schedule.priority(), &cost)
            .expect("short")
            .1
    };
    assert!(
        (part(&busy) - part(&idle)).abs() < 0.05,
        "{} {}",
        part(&busy),
        part(&idle)
    );
    let fits = 96.0 * 0.95 / (10.0 * 41.0 * 0.44);
    assert!(
        (part(&busy) - fits).abs() < 0.3 * fits,
        "{} of {fits}",
        part(&busy)
    );
}

#[test]
fn a_node_that_says_nothing_any_more_is_not_counted() {
    let mut root = ChainAdmission::new(Options::default());
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
    root.on_demand(Time::from_millis(1_000), "gone", vec![demand]);
    root.step(Time::from_millis(1_000), &capacities);
    root.step(Time::from_millis(1_100), &capacities);
    assert!(!root.shortages().is_empty());
    root.step(Time::from_millis(4_000), &capacities);
    assert!(root.shortages().is_empty());
    assert!(root.admit(Class::Schedule.route(), Class::Schedule.priority(), &cost));
}
