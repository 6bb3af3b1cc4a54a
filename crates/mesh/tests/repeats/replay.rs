//! Nodes, their clients and servers in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use cassiashunt_admit::{
    Priority,
    chain_admission::{ChainAdmission, Options as ChainOptions},
    repeats::{Options, RepeatAdmission, Tries},
};
use cassiashunt_mesh::Sum;
use cassiashunt_route::retry::{Budget, WindowBudget, budget};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// The rule: repeats in a window, as a share of the first tries, and those allowed besides.
const RATIO: f64 = 0.2;
const SLACK: f64 = 99.0;
const WINDOW_US: u64 = 10_000_000;
/// The share of the ratio that nodes use.
const USED_SHARE: f64 = 0.85;
const NODES: usize = 24;
const SERVERS: usize = 8;
const SERVICES: usize = 4;
const MAX_ATTEMPTS: usize = 2;
const MAX_TRIES: usize = 12;
const END_S: f64 = 40.0;
const TROUBLE_S: (f64, f64) = (20.0, 28.5);
const STEP_US: u64 = 100_000;

/// One kind of clients' requests.
#[derive(Debug)]
pub struct Class {
    priority: u8,
    per_s: f64,
    /// The services of its runs in sequence, and the number of runs.
    runs: &'static [(usize, usize)],
}

impl Class {
    pub const fn new(priority: u8, per_s: f64, runs: &'static [(usize, usize)]) -> Self {
        Self {
            priority,
            per_s,
            runs,
        }
    }
}

/// How tries at a server end.
#[derive(Debug, Clone, Copy)]
pub struct Fate {
    /// The share that it rejects without running it.
    pub rejected: f64,
    /// The share whose answer is lost.
    pub lost: f64,
}

/// Who may repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shares {
    /// Fixed shares of the ratio, three tries, no refusals.
    Fixed,
    /// By what chains need.
    Priced,
}

/// What clients got, and what the budgets bound.
#[derive(Debug, Default)]
pub struct Report {
    /// The served share by class while servers fail.
    pub during: Vec<f64>,
    /// The same from 2 s after that on.
    pub after: Vec<f64>,
    pub refused: u32,
    /// The most by which a window's repeats exceeded the ratio, by service.
    excess: Vec<f64>,
}

impl Report {
    pub fn assert_within_budget(&self) {
        for (service, excess) in self.excess.iter().enumerate() {
            assert!(
                *excess <= SLACK,
                "service {service}: {excess} repeats over the ratio"
            );
        }
    }
}

struct Node {
    repeats: RepeatAdmission,
    /// The demand, in runs per second.
    demand: ChainAdmission,
    budgets: Vec<WindowBudget>,
    fixed: Vec<Budget>,
    own: Sum,
    is_down: bool,
    is_cut: bool,
    window_shares: Vec<f64>,
}

impl Node {
    fn new() -> Self {
        let fixed = || {
            Budget::new(budget::Options {
                ratio: RATIO * 0.3,
                floor: 1,
                window: Duration::from_micros(WINDOW_US),
            })
        };
        Self {
            repeats: RepeatAdmission::new(Options::default()),
            demand: ChainAdmission::new(ChainOptions::default()),
            budgets: (0..SERVICES)
                .map(|_| WindowBudget::new(Duration::from_micros(WINDOW_US)))
                .collect(),
            fixed: (0..SERVICES).map(|_| fixed()).collect(),
            own: Sum::default(),
            is_down: false,
            is_cut: false,
            window_shares: vec![1.0; SERVICES],
        }
    }

    fn report(&self, now: Time) -> Sum {
        let mut tries = self.repeats.tries().clone();
        for (service, budget) in self.budgets.iter().enumerate() {
            let first_tries = budget.first_tries(now);
            let ratio = RATIO * USED_SHARE * self.window_shares[service];
            let tries = tries.entry(name(service)).or_default();
            *tries = Tries {
                repeats_limit: ratio * first_tries.most(),
                repeats_left: budget.left(now, ratio).max(0.0),
                first_tries: [first_tries.current, first_tries.half, first_tries.previous],
                most_first_tries: first_tries.most(),
                ..*tries
            };
        }
        Sum {
            nodes: 1,
            tries,
            demand: self
                .demand
                .demand()
                .into_iter()
                .map(|it| ((it.priority, it.service), it.slots))
                .collect(),
            ..Sum::default()
        }
    }
}

struct Chain {
    class: usize,
    began_us: u64,
    /// The services still to be called, the next one last.
    calls: Vec<usize>,
    node: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Call(usize),
    Step,
}

pub struct Replay {
    classes: &'static [Class],
    shares: Shares,
    fate: fn(f64, usize, usize) -> Fate,
    pub load: fn(f64) -> f64,
    pub disturbed: bool,
    pub moves: bool,
    rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    chains: Vec<Chain>,
    /// When first tries and repeats reached a service.
    first_tries: Vec<Vec<u64>>,
    repeats: Vec<Vec<u64>>,
    /// Offered and served, by class, while servers fail and after.
    counts: Vec<[(u32, u32); 2]>,
    refused: u32,
}

fn name(service: usize) -> Service {
    format!("service-{service}").parse().expect("a valid name")
}

fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

impl Replay {
    pub fn new(
        classes: &'static [Class],
        shares: Shares,
        fate: fn(f64, usize, usize) -> Fate,
    ) -> Self {
        Self {
            classes,
            shares,
            fate,
            load: |_| 1.0,
            disturbed: false,
            moves: false,
            rng: Rng::with_seed(7),
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: (0..NODES).map(|_| Node::new()).collect(),
            chains: Vec::new(),
            first_tries: vec![Vec::new(); SERVICES],
            repeats: vec![Vec::new(); SERVICES],
            counts: vec![[(0, 0); 2]; classes.len()],
            refused: 0,
        }
    }

    pub fn run(mut self) -> Report {
        for class in 0..self.classes.len() {
            self.push(0, Event::Arrive(class));
        }
        self.push(0, Event::Step);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(class) => self.arrive(now, class),
                Event::Call(chain) => self.call(now, chain),
                Event::Step => self.step(now),
            }
        }
        let share = |(offered, served): (u32, u32)| f64::from(served) / f64::from(offered.max(1));
        Report {
            during: self.counts.iter().map(|it| share(it[0])).collect(),
            after: self.counts.iter().map(|it| share(it[1])).collect(),
            refused: self.refused,
            excess: (0..SERVICES).map(|it| self.excess(it)).collect(),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        if seconds(at) < END_S {
            self.sequence += 1;
            self.events.push(Reverse((at, self.sequence, event)));
        }
    }

    fn phase(at: u64) -> Option<usize> {
        let at = seconds(at);
        if (TROUBLE_S.0..TROUBLE_S.1).contains(&at) {
            return Some(0);
        }
        (TROUBLE_S.1 + 2.0..END_S - 2.0).contains(&at).then_some(1)
    }

    fn arrive(&mut self, now: u64, class: usize) {
        let spec = &self.classes[class];
        let rate = spec.per_s * (self.load)(seconds(now));
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.push(now + (gap * 1e6) as u64, Event::Arrive(class));
        if let Some(phase) = Self::phase(now) {
            self.counts[class][phase].0 += 1;
        }
        let Some(node) = self.live_node(now) else {
            return;
        };
        let runs: Vec<_> = spec
            .runs
            .iter()
            .map(|(service, runs)| (name(*service), *runs as f64))
            .collect();
        let route = format!("class-{class}").parse().expect("a valid name");
        let demand = &mut self.nodes[node].demand;
        demand.count(Priority(spec.priority), &runs);
        if self.shares == Shares::Priced
            && !self.nodes[node]
                .repeats
                .admit(route, Priority(spec.priority), &runs)
        {
            self.refused += 1;
            return;
        }
        let calls = spec.runs.iter().rev();
        let calls = calls
            .flat_map(|(service, runs)| std::iter::repeat_n(*service, *runs))
            .collect();
        self.chains.push(Chain {
            class,
            began_us: now,
            calls,
            node,
        });
        self.push(now, Event::Call(self.chains.len() - 1));
    }

    /// The node where a client's request or a server's call begins. Clients that move leave a half
    /// of the nodes at 20 s.
    fn live_node(&mut self, now: u64) -> Option<usize> {
        let live: Vec<_> = (0..NODES).filter(|it| !self.nodes[*it].is_down).collect();
        let half = |it: &usize| !self.moves || it.is_multiple_of(2) == (seconds(now) < 20.0);
        let live: Vec<_> = live.into_iter().filter(half).collect();
        self.rng.choice(&live).copied()
    }

    /// Makes the next call of a chain, with all its tries.
    fn call(&mut self, now: u64, chain: usize) {
        let Some(service) = self.chains[chain].calls.pop() else {
            let chain = &self.chains[chain];
            if let Some(phase) = Self::phase(chain.began_us) {
                self.counts[chain.class][phase].1 += 1;
            }
            return;
        };
        let node = self.chains[chain].node;
        let (mut at, mut tries, mut servers) = (now, 0, Vec::new());
        self.first_tries[service].push(now);
        self.nodes[node].budgets[service].on_first_try(Time::from_micros(now));
        self.nodes[node].fixed[service].on_first_try(Time::from_micros(now));
        loop {
            tries += 1;
            let server = if servers.len() < MAX_ATTEMPTS {
                self.rng.usize(0..SERVERS)
            } else {
                servers[self.rng.usize(0..servers.len())]
            };
            if !servers.contains(&server) {
                servers.push(server);
            }
            let fate = (self.fate)(seconds(at), service, server);
            let draw = self.rng.f64();
            let has_passed = draw >= fate.rejected + fate.lost;
            self.nodes[node].repeats.on_try(name(service), has_passed);
            if has_passed {
                break;
            }
            let is_rejected = draw < fate.rejected;
            let may_go_on = is_rejected || servers.len() < MAX_ATTEMPTS;
            if !may_go_on || !self.take_repeat(at, chain, service, tries) {
                return;
            }
            at += 4_000;
            self.repeats[service].push(at);
        }
        // The node beside the server that ran it makes the next call.
        if let Some(node) = self.live_node(now) {
            self.chains[chain].node = node;
            self.push(at + 35_000, Event::Call(chain));
        }
    }

    fn take_repeat(&mut self, at: u64, chain: usize, service: usize, tries: usize) -> bool {
        let now = Time::from_micros(at);
        let Chain {
            class, calls, node, ..
        } = &self.chains[chain];
        let spec = &self.classes[*class];
        let is_call = calls.len() + 1 < spec.runs.iter().map(|it| it.1).sum();
        let node = &mut self.nodes[*node];
        if self.shares == Shares::Fixed {
            let is_allowed = tries < MAX_ATTEMPTS && node.fixed[service].allows_retry(now);
            if is_allowed {
                node.fixed[service].on_retry(now);
            }
            return is_allowed;
        }
        let may_repeat = node
            .repeats
            .may_repeat(Priority(spec.priority), name(service));
        let ratio = RATIO * USED_SHARE * node.window_shares[service];
        let is_allowed = tries < MAX_TRIES
            && (!is_call || may_repeat)
            && node.budgets[service].left(now, ratio) >= 1.0;
        if is_allowed {
            node.budgets[service].on_repeats(now, 1);
        }
        is_allowed
    }

    /// Tells all nodes the sum of the last step.
    fn step(&mut self, now: u64) {
        self.push(now + STEP_US, Event::Step);
        self.disturb(now);
        let at = Time::from_micros(now);
        let mut total = Sum::default();
        for node in self.nodes.iter().filter(|it| !it.is_down && !it.is_cut) {
            total.add(&node.own);
        }
        for node in &mut self.nodes {
            if !node.is_cut {
                for (service, share) in node.window_shares.iter_mut().enumerate() {
                    *share = total
                        .tries
                        .get(&name(service))
                        .map_or(1.0, Tries::window_share);
                }
                let (tries, demand) = (total.tries.clone(), total.demand.clone());
                node.repeats.step(at, tries, demand);
            }
            node.demand.step(at, &BTreeMap::new());
            node.own = node.report(at);
        }
    }

    /// Kills, cuts off and restarts nodes in turn.
    fn disturb(&mut self, now: u64) {
        if !self.disturbed || seconds(now) < 18.0 {
            return;
        }
        let turn = (now / STEP_US / 10) as usize;
        for (at, node) in self.nodes.iter_mut().enumerate() {
            let was_down = std::mem::replace(&mut node.is_down, (at + turn).is_multiple_of(6));
            if was_down && !node.is_down {
                *node = Node::new();
            }
            node.is_cut = (at + turn) % 6 == 3;
        }
    }

    /// The most by which the repeats of a window exceed the ratio of its first tries.
    fn excess(&self, service: usize) -> f64 {
        let mut times: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        times.insert("first", self.first_tries[service].clone());
        times.insert("repeat", self.repeats[service].clone());
        times.values_mut().for_each(|it| it.sort_unstable());
        let count = |kind: &str, from: u64, to: u64| {
            let times = &times[kind];
            (times.partition_point(|it| *it < to) - times.partition_point(|it| *it < from)) as f64
        };
        let ends = (0..(END_S * 20.0) as u64)
            .map(|it| it * 50_000)
            .filter(|it| *it > WINDOW_US);
        let excess = ends.map(|end| {
            let first = |back: u64| {
                let end = end - back;
                count("first", end.saturating_sub(WINDOW_US), end)
            };
            let most = first(0).max(first(WINDOW_US / 2)).max(first(WINDOW_US));
            count("repeat", end - WINDOW_US, end) - RATIO * most
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}
