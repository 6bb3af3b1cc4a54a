//! Measures what an idle fleet costs each node, by the size of the fleet.
//!
//! Nodes, their stand-in backend servers and the platform's stand-in run in one process. Processor
//! time is that of the nodes' own threads, taken by name; resident memory is that of the whole
//! process, so its slope includes one idle stand-in a node. Bytes are those of sealed datagrams,
//! without IP and UDP headers.
//!
//! ```text
//! cargo run --release -p cassiashunt-fleet --example fleet_cost [-- DOMAINS [NODES...]]
//! ```

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use cassiashunt_fleet::{Fleet, Options, ServerOptions};
use cassiashunt_node::settings::Times;
use cassiashunt_platform::Calls;
use cassiashunt_standin::server;
use cassiashunt_types::prelude::FailureDomain;
use eyre::{Result, WrapErr as _};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Sizes of the fleet where none are given.
const SIZES: [usize; 4] = [5, 10, 20, 40];
/// Failure domains where none are given.
const DOMAINS: usize = 5;
/// Slots of a backend server; each is a thread in the node.
const SLOTS: usize = 2;
/// Time between the fleet's start and the measurement.
const SETTLE: Duration = Duration::from_secs(6);
/// How long is measured.
const MEASURE: Duration = Duration::from_secs(8);
/// Names of a node's threads that work while no request comes.
const THREADS: [&str; 11] = [
    "control",
    "control-receive",
    "limits",
    "platform",
    "fetch",
    "timer",
    "owner-queue",
    "owner-probe",
    "repair",
    "link-read",
    "link-write",
];
/// The counter of bytes that all nodes of the process sent for control.
const SENT: &str = "cassiashunt_control_sent_bytes_total";
/// Time between two writes, and two reads, of the rosters, so that a fleet that starts from nothing
/// comes together soon. Reads and writes are to be corrected for it: the defaults are 10 s and 30 s.
const ROSTER_MILLIS: u64 = 2_000;
/// The kernel's page size.
const PAGE_BYTES: f64 = 4096.0;

/// What was measured of a fleet of one size.
struct Row {
    nodes: usize,
    /// Microseconds of processor time a second and node, in the order of [`THREADS`].
    cpu_micros: Vec<f64>,
    sent: f64,
    resident_kib: f64,
    threads: usize,
    /// Reads and writes a second of the whole fleet.
    reads: f64,
    writes: f64,
}

/// Counters at one moment.
struct Sample {
    at: Instant,
    cpu_nanos: Vec<u64>,
    sent: u64,
    calls: Calls,
}

fn main() -> Result<()> {
    let args = std::env::args().skip(1).map(|arg| arg.parse::<usize>());
    let args = args.collect::<Result<Vec<_>, _>>()?;
    let domains = args.first().copied().unwrap_or(DOMAINS);
    let sizes = args.get(1..).filter(|sizes| !sizes.is_empty());
    let metrics = PrometheusBuilder::new().install_recorder()?;
    println!("{domains} failure domains, {SLOTS} slots a server, {MEASURE:?} measured");
    println!(
        "{:>5} {:>9} {:>7} {:>9} {:>8} {:>7} {:>8}",
        "nodes", "cpu", "sent", "resident", "threads", "reads", "writes"
    );
    println!(
        "{:>5} {:>9} {:>7} {:>9} {:>8} {:>7} {:>8}",
        "", "us/s/node", "B/s/node", "KiB", "", "/s", "/s"
    );
    let mut rows = Vec::new();
    for nodes in sizes.unwrap_or(&SIZES) {
        let row = measure(domains, *nodes, &metrics)?;
        print(&row);
        rows.push(row);
    }
    print_threads(&rows);
    if rows.len() > 1 {
        print_slopes(&rows);
    }
    Ok(())
}

fn measure(domains: usize, nodes: usize, metrics: &PrometheusHandle) -> Result<Row> {
    let fleet = Fleet::start(options(domains, nodes)?)?;
    thread::sleep(SETTLE);
    let before = Sample::take(&fleet, metrics)?;
    thread::sleep(MEASURE);
    let after = Sample::take(&fleet, metrics)?;
    let seconds = (after.at - before.at).as_secs_f64();
    let each = seconds * nodes as f64;
    let pairs = after.cpu_nanos.iter().zip(&before.cpu_nanos);
    let writes = after.calls.swap - before.calls.swap;
    let calls = after.calls.total() - before.calls.total();
    Ok(Row {
        nodes,
        cpu_micros: pairs
            .map(|(after, before)| after.saturating_sub(*before) as f64 / 1e3 / each)
            .collect(),
        sent: (after.sent - before.sent) as f64 / each,
        resident_kib: resident_kib()?,
        threads: fs::read_dir("/proc/self/task")?.count(),
        reads: (calls - writes) as f64 / seconds,
        writes: writes as f64 / seconds,
    })
}

fn options(domains: usize, nodes: usize) -> Result<Options> {
    let names = (0..domains).map(|number| format!("domain-{number}").parse());
    let domains: Vec<FailureDomain> = names.collect::<Result<_, _>>()?;
    let service = "stores".parse()?;
    let servers = (0..nodes).map(|number| ServerOptions {
        service,
        domain: domains[number % domains.len()],
        standin: server::Options {
            slots: SLOTS,
            ..Default::default()
        },
    });
    Ok(Options {
        servers: servers.collect(),
        domains,
        times: Times {
            roster_write_ms: ROSTER_MILLIS,
            roster_read_ms: ROSTER_MILLIS,
            ..Default::default()
        },
        ..Default::default()
    })
}

impl Sample {
    fn take(fleet: &Fleet, metrics: &PrometheusHandle) -> Result<Self> {
        Ok(Self {
            at: Instant::now(),
            cpu_nanos: cpu_nanos()?,
            sent: counter(&metrics.render()),
            calls: fleet.platform.memory().calls(),
        })
    }
}

/// Processor time of the nodes' threads so far, in the order of [`THREADS`].
fn cpu_nanos() -> Result<Vec<u64>> {
    let mut sums = vec![0; THREADS.len()];
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        // A thread that ends meanwhile has no files left.
        let Ok(name) = fs::read_to_string(task.join("comm")) else {
            continue;
        };
        let Some(place) = THREADS.iter().position(|known| *known == name.trim()) else {
            continue;
        };
        let Ok(stat) = fs::read_to_string(task.join("schedstat")) else {
            continue;
        };
        let nanos = stat.split_whitespace().next().unwrap_or("0");
        sums[place] += nanos.parse::<u64>()?;
    }
    Ok(sums)
}

fn counter(text: &str) -> u64 {
    let line = text.lines().find(|line| line.starts_with(SENT));
    let value = line.and_then(|line| line.split_whitespace().last());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn resident_kib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).unwrap_or("0");
    let pages: f64 = pages.parse().wrap_err("statm holds numbers")?;
    Ok(pages * PAGE_BYTES / 1024.0)
}

fn print(row: &Row) {
    println!(
        "{:>5} {:>9.0} {:>7.0} {:>9.0} {:>8} {:>7.2} {:>8.2}",
        row.nodes,
        row.cpu_micros.iter().sum::<f64>(),
        row.sent,
        row.resident_kib,
        row.threads,
        row.reads,
        row.writes
    );
}

fn print_threads(rows: &[Row]) {
    println!("processor time by thread, us/s/node:");
    for (place, name) in THREADS.iter().enumerate() {
        let values = rows
            .iter()
            .map(|row| format!("{:>8.1}", row.cpu_micros[place]));
        println!("  {name:<16}{}", values.collect::<String>());
    }
}

fn print_slopes(rows: &[Row]) {
    println!("slope for each further node, least squares:");
    let cpu = slope(rows, |row| row.cpu_micros.iter().sum());
    println!("  cpu of one node  {cpu:.2} us/s");
    println!("  sent by one node {:.2} B/s", slope(rows, |row| row.sent));
    let resident = slope(rows, |row| row.resident_kib);
    println!("  resident, all    {resident:.0} KiB");
    println!(
        "  threads, all     {:.1}",
        slope(rows, |row| row.threads as f64)
    );
    println!("  reads, all       {:.3} /s", slope(rows, |row| row.reads));
    println!("  writes, all      {:.3} /s", slope(rows, |row| row.writes));
}

fn slope(rows: &[Row], y: impl Fn(&Row) -> f64) -> f64 {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.nodes as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(&y).sum::<f64>() / count;
    let products = rows
        .iter()
        .map(|row| (row.nodes as f64 - mean_x) * (y(row) - mean_y));
    let squares = rows.iter().map(|row| (row.nodes as f64 - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}
