//! Compares what may attest freshness, and measures its cost:
//! `cargo run --release -p cassiashunt-control --example ways`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use cassiashunt_control::{Control, Domain, FreshnessTracker, Heads, RelayEntry, freshness, msg};
use cassiashunt_types::{NodeId, Revision, Time};
use prost::Message;
use support::{Fault, FaultKind, NODES, NODES_PER_DOMAIN, Plan, run};

const SEEDS: u64 = 20;

fn side_of(domain: usize) -> Vec<bool> {
    (0..NODES)
        .map(|node| node / NODES_PER_DOMAIN == domain)
        .collect()
}

fn lasting(at_secs: u64, kind: FaultKind) -> Fault {
    Fault {
        at: Time::from_millis(at_secs * 1_000),
        kind,
    }
}

/// Share of the requests from the fourth to the fourteenth second that were served.
fn served(platform_only: bool, faults: &[Fault]) -> (f64, f64) {
    let (mut served, mut all, mut calls) = (0, 0, 0);
    let during = Time::from_millis(4_000)..Time::from_millis(14_000);
    for seed in 0..SEEDS {
        let history = run(Plan {
            seed,
            platform_only,
            faults: faults.to_vec(),
            ..Plan::default()
        });
        let runs = history
            .runs
            .iter()
            .filter(|run| during.contains(&run.at))
            .count();
        let refusals = history
            .refusals
            .iter()
            .filter(|at| during.contains(at))
            .count();
        served += runs;
        all += runs + refusals;
        calls += history.calls;
    }
    let seconds = Plan::default().span.as_secs_f64() * SEEDS as f64;
    (100.0 * served as f64 / all as f64, calls as f64 / seconds)
}

fn availability() {
    let span = Duration::from_secs(10);
    let outage = FaultKind::Outage(span);
    let cut = FaultKind::Split(side_of(2), [true, true], span);
    let lost = FaultKind::Split(side_of(2), [true, false], span);
    let cases = [
        ("ordinary day", vec![]),
        ("platform down for 10 s", vec![lasting(4, outage.clone())]),
        (
            "domain cut off, platform reached by both",
            vec![lasting(4, cut)],
        ),
        (
            "domain cut off from all, platform up",
            vec![lasting(4, lost.clone())],
        ),
        (
            "domain cut off, platform down",
            vec![lasting(4, lost), lasting(4, outage)],
        ),
    ];
    println!("{NODES} nodes in 3 domains, {SEEDS} seeds, share served in the 10 s of the fault");
    for (label, faults) in cases {
        let (alone, _) = served(true, &faults);
        let (both, calls) = served(false, &faults);
        println!(
            "{label:<42} platform alone {alone:>6.2}%  platform or relays {both:>6.2}%  platform calls {calls:.1}/s"
        );
    }
}

fn control(domains: u64) -> Control {
    let entry = |node| RelayEntry {
        node: NodeId(node),
        since: Revision(1),
    };
    let domain = |d: u64| Domain {
        name: format!("domain-{d}")
            .parse()
            .expect("a short word is a name"),
        relays: (3 * d..3 * d + 3).map(entry).collect(),
        previous: Vec::new(),
    };
    Control {
        revision: Revision(1),
        domains: (0..domains).map(domain).collect(),
        shards: Vec::new(),
    }
}

fn cost() {
    const ROUNDS: u32 = 20_000;
    println!(
        "one node, a round = hearing an answer with a report of each relay, deciding, passing on"
    );
    for domains in [3, 5, 10] {
        let heads = Heads {
            table: Revision(1_000),
            control: Revision(1),
        };
        let mut touch = FreshnessTracker::new(freshness::Options::default());
        touch.apply_control(&control(domains));
        touch.apply_table(heads.table);
        let report = |relay| msg::Report {
            relay,
            bearer: relay,
            table: 1_000,
            control: 1,
            age_micros: 350_000,
            platform_age_micros: Some(700_000),
            vouches: true,
        };
        let reports: Vec<msg::Report> = (0..3 * domains).map(report).collect();
        let bytes: usize = reports.iter().map(|r| r.encoded_len() + 2).sum();
        let begun = Instant::now();
        for round in 0..ROUNDS {
            let now = Time::from_millis(u64::from(round) * 10);
            for report in &reports {
                touch.on_report(now, now, report);
            }
            assert!(touch.check(now, heads).is_ok());
            assert!(!touch.latest_reports(now).is_empty());
        }
        let each = begun.elapsed() / ROUNDS;
        let now = Time::from_millis(u64::from(ROUNDS) * 10);
        let summary = touch
            .summary(now)
            .expect("it heard of every relay just now");
        let told = summary.encoded_len() + 2;
        println!(
            "{domains} domains: a summary takes {told} bytes; reports take {bytes}, {each:?} a round"
        );
    }
}

const SOURCES: usize = 15;
const STEP_MILLIS: u64 = 10;
const STEPS: u64 = 2_000;
const STEPS_BEFORE_COUNTING: u64 = 200;

/// Nodes that ask others at random, some of which hear of the platform themselves.
struct Gossip {
    fleet: Vec<FreshnessTracker>,
    asks: u32,
    period_millis: u64,
    rng: fastrand::Rng,
    out_of_touch: u64,
    checks: u64,
    oldest_micros: u64,
}

const HEADS: Heads = Heads {
    table: Revision(1_000),
    control: Revision(1),
};

impl Gossip {
    fn new(nodes: usize, asks: u32, period_millis: u64) -> Self {
        let mut touch = FreshnessTracker::new(freshness::Options::default());
        touch.apply_control(&control(5));
        touch.apply_table(HEADS.table);
        Self {
            fleet: vec![touch; nodes],
            asks,
            period_millis,
            rng: fastrand::Rng::with_seed(1),
            out_of_touch: 0,
            checks: 0,
            oldest_micros: 0,
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            let now = Time::from_millis(5_000 + step * STEP_MILLIS);
            for node in 0..self.fleet.len() {
                let phase = (node as u64 * 7 + step) % (self.period_millis / STEP_MILLIS);
                match (node < SOURCES, phase) {
                    (true, _) => self.fleet[node].on_report(now, now, &source()),
                    (false, 0) => self.ask_others(node, now),
                    (false, _) => {}
                }
                if step > STEPS_BEFORE_COUNTING {
                    self.count(node, now);
                }
            }
        }
    }

    fn ask_others(&mut self, node: usize, now: Time) {
        let asked = now.before(Duration::from_millis(2));
        for _ in 0..self.asks {
            let other = self.rng.usize(0..self.fleet.len());
            if let Some(summary) = self.fleet[other].summary(now) {
                self.fleet[node].on_summary(now, asked, &summary);
            }
        }
    }

    fn count(&mut self, node: usize, now: Time) {
        let touch = &self.fleet[node];
        self.checks += 1;
        self.out_of_touch += u64::from(touch.check(now, HEADS).is_err());
        let age = touch.summary(now).map_or(2_000_000, |told| told.age_micros);
        self.oldest_micros = self.oldest_micros.max(age);
    }
}

/// A report of a relay whose knowledge is 0.5 s old.
fn source() -> msg::Report {
    msg::Report {
        relay: 1,
        bearer: 1,
        table: 1_000,
        control: 1,
        age_micros: 500_000,
        platform_age_micros: Some(500_000),
        vouches: true,
    }
}

/// How old the fleet's knowledge is when a few nodes have it and all tell it on.
fn spread() {
    println!("told on from {SOURCES} nodes that know it 0.5 s late, 20 s");
    for (nodes, asks, period) in [
        (100, 3, 300),
        (1_000, 3, 300),
        (1_000, 3, 200),
        (1_000, 2, 300),
    ] {
        let mut gossip = Gossip::new(nodes, asks, period);
        gossip.run();
        println!(
            "{nodes} nodes, {asks} asks in {period} ms: oldest {} ms, out of touch {:.4}%",
            gossip.oldest_micros / 1_000,
            100.0 * gossip.out_of_touch as f64 / gossip.checks as f64
        );
    }
}

fn main() {
    availability();
    cost();
    spread();
}
