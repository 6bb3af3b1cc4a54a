//! Measures, by fleet size, the traffic, processor time and state of one node's membership, and how
//! fast changes propagate.
//!
//! The nodes run in one process, on virtual time and a lossless network. Bytes are averages over
//! the nodes, headers included; processor time is only that of the membership.
//!
//! ```text
//! cargo run --release -p cassiashunt-member --example member_cost [-- PERIOD_MS [MARK_SLOTS [NODES...]]]
//! ```

#[path = "../tests/common/mod.rs"]
mod common;

use cassiashunt_member::{
    Event, Load, Options, Phase,
    cost::{Cost, Fleet, HEADER_BYTES},
    msg::{Body, Message, Ping},
};
use cassiashunt_types::prelude::*;
use common::Net;
use prost::Message as _;

const FLEET_SIZES: [u16; 7] = [5, 10, 20, 40, 100, 300, 1_000];

/// Number of nodes that attest: three in each of five failure domains.
const ATTESTING_NODES: usize = 15;
const ATTESTING_PER_DOMAIN: usize = 3;

/// Period in which attesting nodes renew their attestations.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);

/// Simulated duration of a measurement, in seconds.
const MEASURED_SECONDS: u32 = 10;

struct Row {
    nodes: u16,
    sent: f64,
    received: f64,
    formula: f64,
    cpu_micros: f64,
    state_bytes: usize,
    ages: Ages,
    propagation_ms: f64,
    join: Join,
}

/// Time and received bytes until a new node knows every other node.
struct Join {
    millis: f64,
    received: u64,
}

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).map(parse_arg).collect();
    let mut opts = Options::default();
    if let Some(period) = args.first() {
        opts.period = Duration::from_millis(*period);
    }
    if let Some(slots) = args.get(1) {
        opts.mark_slots = usize::try_from(*slots).expect("MARK_SLOTS exceeds usize");
    }
    let mut sizes: Vec<u16> = args.iter().skip(2).map(|size| fleet_size(*size)).collect();
    if sizes.is_empty() {
        sizes = FLEET_SIZES.to_vec();
    }
    println!(
        "{:>5} {:>8} {:>8} {:>8} {:>8} {:>9} {:>6} {:>9} {:>9} {:>6} {:>7} {:>6} {:>7}",
        "nodes",
        "sent",
        "received",
        "formula",
        "cpu",
        "state",
        "mean",
        "youngest",
        "majority",
        "worst",
        "spread",
        "join",
        "join"
    );
    println!(
        "{:>5} {:>8} {:>8} {:>8} {:>8} {:>9} {:>6} {:>9} {:>9} {:>6} {:>7} {:>6} {:>7}",
        "", "B/s", "B/s", "B/s", "us/s", "B", "ms", "ms", "ms", "ms", "ms", "ms", "B"
    );
    let rows: Vec<Row> = sizes
        .into_iter()
        .map(|nodes| measure(opts, nodes))
        .collect();
    for row in &rows {
        print_row(row);
    }
    println!("heartbeats from each node to all others, once a second:");
    for row in &rows {
        println!("{:>5} {:>8} B/s sent", row.nodes, heartbeats(row.nodes));
    }
    println!("slope per node, least squares:");
    println!("  sent     {:.3} B/s", slope(&rows, |row| row.sent));
    println!("  received {:.3} B/s", slope(&rows, |row| row.received));
    println!("  cpu      {:.3} us/s", slope(&rows, |row| row.cpu_micros));
    println!(
        "  state    {:.1} B",
        slope(&rows, |row| row.state_bytes as f64)
    );
}

fn parse_arg(arg: String) -> u64 {
    arg.parse().expect("an argument is not a number")
}

fn fleet_size(size: u64) -> u16 {
    size.try_into().expect("a fleet size exceeds u16")
}

fn print_row(row: &Row) {
    println!(
        "{:>5} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>9} {:>6.0} {:>9.0} {:>9.0} {:>6.0} {:>7.0} {:>6.0} {:>7}",
        row.nodes,
        row.sent,
        row.received,
        row.formula,
        row.cpu_micros,
        row.state_bytes,
        row.ages.mean(),
        row.ages.youngest,
        row.ages.majority,
        row.ages.worst,
        row.propagation_ms,
        row.join.millis,
        row.join.received
    );
}

/// Bytes a second that a node would send with one heartbeat a second to every other node.
fn heartbeats(nodes: u16) -> usize {
    let load = Load {
        threshold: 10,
        load: 100,
    };
    let heartbeat = Message {
        from: u64::MAX,
        load: load.number(),
        body: Some(Body::Ping(Ping {
            seq: 1,
            ..Default::default()
        })),
        ..Default::default()
    };
    let bytes = heartbeat.encoded_len() + HEADER_BYTES;
    (1..usize::from(nodes)).map(|_| bytes).sum()
}

fn slope(rows: &[Row], value: impl Fn(&Row) -> f64) -> f64 {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|r| f64::from(r.nodes)).sum::<f64>() / count;
    let mean_y = rows.iter().map(&value).sum::<f64>() / count;
    let distance = |row: &Row| f64::from(row.nodes) - mean_x;
    let covariance: f64 = rows.iter().map(|r| distance(r) * (value(r) - mean_y)).sum();
    covariance / rows.iter().map(|r| distance(r).powi(2)).sum::<f64>()
}

fn measure(opts: Options, nodes: u16) -> Row {
    let mut net = common::converged(1, opts, nodes);
    let attesting = ATTESTING_NODES.min(usize::from(nodes));
    for id in net.ids() {
        let load = Load {
            threshold: 10,
            load: 100,
        };
        net.act(id, Event::SetLoad(load));
    }
    run_attesting(&mut net, attesting, 120);
    net.measures_cpu = true;
    let before = snapshot(&net);
    let ages = run_attesting(&mut net, attesting, 2 * MEASURED_SECONDS);
    let after = snapshot(&net);
    net.measures_cpu = false;
    let seconds = f64::from(MEASURED_SECONDS);
    let fleet = Fleet {
        nodes: usize::from(nodes),
        attesting,
        changes_per_second: 0.0,
    };
    let first = net.ids()[0];
    let state_bytes = net.processes[&first].members.state_bytes();
    Row {
        nodes,
        sent: (after.sent - before.sent) / seconds,
        received: (after.received - before.received) / seconds,
        formula: Cost::of(&opts, &fleet).sent,
        cpu_micros: (after.cpu_seconds - before.cpu_seconds) * 1e6 / seconds,
        state_bytes,
        ages,
        propagation_ms: propagation_ms(&mut net),
        join: join(&mut net, nodes),
    }
}

struct Snapshot {
    sent: f64,
    received: f64,
    cpu_seconds: f64,
}

/// The current counters, averaged over the nodes.
fn snapshot(net: &Net) -> Snapshot {
    let count = net.processes.len() as f64;
    let mean =
        |value: fn(&common::Process) -> f64| net.processes.values().map(value).sum::<f64>() / count;
    Snapshot {
        sent: mean(|p| p.sent as f64),
        received: mean(|p| p.received as f64),
        cpu_seconds: mean(|p| p.cpu_time.as_secs_f64()),
    }
}

/// Ages of attestations in milliseconds, over all nodes and samples.
#[derive(Default)]
struct Ages {
    sum: f64,
    count: f64,
    /// The maximum, over nodes and samples, of the age of a node's youngest attestation.
    youngest: f64,
    /// The maximum age up to which a node had a majority of each domain's attestations.
    majority: f64,
    worst: f64,
}

impl Ages {
    fn mean(&self) -> f64 {
        self.sum / self.count
    }

    /// Adds the ages at one node, by domain.
    fn add(&mut self, domains: &[Vec<f64>]) {
        let all = domains.iter().flatten().copied();
        self.sum += all.clone().sum::<f64>();
        self.count += all.clone().count() as f64;
        self.worst = self.worst.max(all.clone().fold(0.0, f64::max));
        self.youngest = self.youngest.max(all.fold(f64::INFINITY, f64::min));
        for ages in domains {
            let mut ages = ages.clone();
            ages.sort_by(f64::total_cmp);
            self.majority = self.majority.max(ages[ages.len() / 2]);
        }
    }
}

/// Runs with periodic renewals; returns the ages just before each renewal.
fn run_attesting(net: &mut Net, attesting: usize, renewals: u32) -> Ages {
    let mut ages = Ages::default();
    let attesters: Vec<NodeId> = net.ids().into_iter().take(attesting).collect();
    for _ in 0..renewals {
        for id in &attesters {
            let at = net.local(*id);
            let body = id.0.to_be_bytes().to_vec();
            net.act(*id, Event::Attest { body, at });
        }
        net.run(RENEWAL_PERIOD);
        for id in net.ids() {
            ages.add(&ages_at(net, id, &attesters));
        }
    }
    ages
}

fn ages_at(net: &Net, id: NodeId, attesters: &[NodeId]) -> Vec<Vec<f64>> {
    let held: Vec<_> = net.processes[&id]
        .members
        .attestations(net.local(id))
        .collect();
    let age = |node: &NodeId| {
        let attestation = held.iter().find(|a| a.node == *node);
        attestation.map_or(f64::INFINITY, |a| a.age.as_secs_f64() * 1e3)
    };
    attesters
        .chunks(ATTESTING_PER_DOMAIN)
        .map(|domain| domain.iter().map(age).collect())
        .collect()
}

/// The time until every node knows that one is draining, in milliseconds.
fn propagation_ms(net: &mut Net) -> f64 {
    let id = net.ids()[0];
    let start = net.now;
    net.act(id, Event::SetPhase(Phase::Draining));
    let knows = |p: &common::Process| {
        let member = p.members.get(id);
        member.is_some_and(|m| m.record.phase == Phase::Draining)
    };
    while !net.processes.values().all(knows) {
        net.run(Duration::from_millis(20));
    }
    net.now.since(start).as_secs_f64() * 1e3
}

fn join(net: &mut Net, nodes: u16) -> Join {
    let start = net.now;
    let id = net.start(common::addr(nodes + 1), &[common::addr(1), common::addr(2)]);
    let knows_all = |net: &Net| net.processes[&id].members.live_peers() == usize::from(nodes);
    while !knows_all(net) {
        net.run(Duration::from_millis(20));
    }
    Join {
        millis: net.now.since(start).as_secs_f64() * 1e3,
        received: net.processes[&id].received,
    }
}
