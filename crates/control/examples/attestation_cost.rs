//! Compares the sources that may attest freshness and measures their cost:
//! `cargo run --release -p cassiashunt-control --example attestation_cost`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use cassiashunt_control::{Control, Domain, FreshnessTracker, Heads, RelayEntry, freshness, msg};
use cassiashunt_types::{NodeId, Revision, Time};
use prost::Message;
use support::{Fault, FaultKind, NODES, NODES_PER_DOMAIN, Plan, run};

const SEED_COUNT: u64 = 20;

fn side_of(domain: usize) -> Vec<bool> {
    (0..NODES)
        .map(|node| node / NODES_PER_DOMAIN == domain)
        .collect()
}

fn fault_at(at_secs: u64, kind: FaultKind) -> Fault {
    Fault {
        at: Time::from_millis(at_secs * 1_000),
        kind,
    }
}

/// The percentage of the requests from the fourth to the fourteenth second that were served, and
/// the calls to the platform per second.
fn served(platform_only: bool, faults: &[Fault]) -> (f64, f64) {
    let (mut served, mut all, mut calls) = (0, 0, 0);
    let during = Time::from_millis(4_000)..Time::from_millis(14_000);
    for seed in 0..SEED_COUNT {
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
    let seconds = Plan::default().span.as_secs_f64() * SEED_COUNT as f64;
    (100.0 * served as f64 / all as f64, calls as f64 / seconds)
}

fn availability() {
    let span = Duration::from_secs(10);
    let outage = FaultKind::Outage(span);
    let partition = FaultKind::Partition(side_of(2), [true, true], span);
    let isolated = FaultKind::Partition(side_of(2), [true, false], span);
    let cases = [
        ("no fault", vec![]),
        ("platform down for 10 s", vec![fault_at(4, outage.clone())]),
        (
            "domain partitioned, platform reached by both",
            vec![fault_at(4, partition)],
        ),
        (
            "domain isolated, platform up",
            vec![fault_at(4, isolated.clone())],
        ),
        (
            "domain isolated, platform down",
            vec![fault_at(4, isolated), fault_at(4, outage)],
        ),
    ];
    println!(
        "{NODES} nodes in 3 domains, {SEED_COUNT} seeds, share served in the 10 s of the fault"
    );
    for (label, faults) in cases {
        let (platform_alone, _) = served(true, &faults);
        let (with_relays, calls) = served(false, &faults);
        println!(
            "{label:<42} platform alone {platform_alone:>6.2}%  platform or relays {with_relays:>6.2}%  platform calls {calls:.1}/s"
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
            .expect("a domain name is a valid label"),
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
    const ROUND_COUNT: u32 = 20_000;
    println!(
        "one node, a round = receiving an answer with a report of each relay, deciding, forwarding"
    );
    for domains in [3, 5, 10] {
        let heads = Heads {
            table: Revision(1_000),
            control: Revision(1),
        };
        let mut tracker = FreshnessTracker::new(freshness::Options::default());
        tracker.apply_control(&control(domains));
        tracker.apply_table(heads.table);
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
        let started = Instant::now();
        for round in 0..ROUND_COUNT {
            let now = Time::from_millis(u64::from(round) * 10);
            for report in &reports {
                tracker.on_report(now, now, report);
            }
            assert!(tracker.check(now, heads).is_ok());
            assert!(!tracker.latest_reports(now).is_empty());
        }
        let each = started.elapsed() / ROUND_COUNT;
        let now = Time::from_millis(u64::from(ROUND_COUNT) * 10);
        let summary = tracker
            .summary(now)
            .expect("every relay reported in the last round");
        let summary_bytes = summary.encoded_len() + 2;
        println!(
            "{domains} domains: a summary takes {summary_bytes} bytes; reports take {bytes}, {each:?} a round"
        );
    }
}

const SOURCE_NODES: usize = 15;
const STEP_MILLIS: u64 = 10;
const STEP_COUNT: u64 = 2_000;
const WARM_UP_STEPS: u64 = 200;

/// Nodes that query random others; the first [`SOURCE_NODES`] nodes receive reports of a relay.
struct GossipSimulation {
    fleet: Vec<FreshnessTracker>,
    queries: u32,
    period_millis: u64,
    rng: fastrand::Rng,
    out_of_touch: u64,
    checks: u64,
    max_age_micros: u64,
}

const APPLIED_HEADS: Heads = Heads {
    table: Revision(1_000),
    control: Revision(1),
};

impl GossipSimulation {
    fn new(nodes: usize, queries: u32, period_millis: u64) -> Self {
        let mut tracker = FreshnessTracker::new(freshness::Options::default());
        tracker.apply_control(&control(5));
        tracker.apply_table(APPLIED_HEADS.table);
        Self {
            fleet: vec![tracker; nodes],
            queries,
            period_millis,
            rng: fastrand::Rng::with_seed(1),
            out_of_touch: 0,
            checks: 0,
            max_age_micros: 0,
        }
    }

    fn run(&mut self) {
        for step in 0..STEP_COUNT {
            let now = Time::from_millis(5_000 + step * STEP_MILLIS);
            for node in 0..self.fleet.len() {
                let phase = (node as u64 * 7 + step) % (self.period_millis / STEP_MILLIS);
                match (node < SOURCE_NODES, phase) {
                    (true, _) => self.fleet[node].on_report(now, now, &relay_report()),
                    (false, 0) => self.query_others(node, now),
                    (false, _) => {}
                }
                if step > WARM_UP_STEPS {
                    self.count(node, now);
                }
            }
        }
    }

    fn query_others(&mut self, node: usize, now: Time) {
        let asked = now.before(Duration::from_millis(2));
        for _ in 0..self.queries {
            let other = self.rng.usize(0..self.fleet.len());
            if let Some(summary) = self.fleet[other].summary(now) {
                self.fleet[node].on_summary(now, asked, &summary);
            }
        }
    }

    fn count(&mut self, node: usize, now: Time) {
        let tracker = &self.fleet[node];
        self.checks += 1;
        self.out_of_touch += u64::from(tracker.check(now, APPLIED_HEADS).is_err());
        let age = tracker
            .summary(now)
            .map_or(2_000_000, |summary| summary.age_micros);
        self.max_age_micros = self.max_age_micros.max(age);
    }
}

/// A report whose revisions were read 0.5 s ago.
fn relay_report() -> msg::Report {
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

/// Measures the age of the summaries when a few nodes receive reports and all nodes forward
/// summaries.
fn summary_age() {
    println!("summaries forwarded from {SOURCE_NODES} nodes with reports 0.5 s old, for 20 s");
    for (nodes, queries, period) in [
        (100, 3, 300),
        (1_000, 3, 300),
        (1_000, 3, 200),
        (1_000, 2, 300),
    ] {
        let mut simulation = GossipSimulation::new(nodes, queries, period);
        simulation.run();
        println!(
            "{nodes} nodes, {queries} queries in {period} ms: oldest {} ms, out of touch {:.4}%",
            simulation.max_age_micros / 1_000,
            100.0 * simulation.out_of_touch as f64 / simulation.checks as f64
        );
    }
}

fn main() {
    availability();
    cost();
    summary_age();
}
