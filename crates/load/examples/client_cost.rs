//! What one call costs by the load's own client and by a `ureq` agent, against the same stand-in.
//!
//! `cargo run --release -p cassiashunt-load --example client_cost`
//!
//! Each way makes calls from several threads at once, in turns, and the median latency and the
//! processor time per call, the stand-in's part included, are printed for each turn.

use std::{
    fs,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_load::{
    Experiment, Outcome,
    client::{Call, Client},
    fleet::Ingress,
    report::Latency,
};
use cassiashunt_resolve::IpResolver;
use cassiashunt_standin::server::{self, ID_HEADER};
use eyre::{OptionExt, ensure};
use ureq::unversioned::transport::DefaultConnector;

/// Threads that call at once.
const THREADS: usize = 4;
/// Calls of each thread in a turn.
const CALLS: usize = 20_000;
/// Turns of each way.
const TURNS: usize = 3;
/// The length of a clock tick in /proc, in milliseconds.
const TICK_MS: u64 = 10;

/// An experiment with one kind of request.
const EXPERIMENT: &str = r#"
name = "cost"
requests-per-second = 1
failure-domains = ["one"]
services = [{ name = "desk", servers = 1, slots = 64, connections = 256, endpoints = [
    { path = "/desk/read", service-time = { mean-ms = 0.0 }, bytes = 500 },
] }]
requests = [{ route = "read", class = "read", path = "/desk/read", share = 1, timeout-ms = 5000 }]
workspaces = [{ name = "first", key = "k", rate = 1, burst = 1, share = 1 }]
phases = [{ name = "only", seconds = 1 }]
variants = [{ name = "direct", launch = "direct" }]
"#;

fn main() -> eyre::Result<()> {
    let experiment = Experiment::parse("cost", EXPERIMENT)?;
    let options = server::Options {
        slots: 64,
        records: 0,
        endpoints: experiment.services[0].endpoints.clone(),
        ..Default::default()
    };
    let handle = server::serve(options)?;
    let ingress = vec![Ingress {
        addr: handle.addr,
        service: None,
    }];
    let client = Client::new(&experiment, &experiment.variants[0], ingress)?;
    let config = config();
    let agent = ureq::Agent::from(config.clone());
    let unresolved = ureq::Agent::with_parts(config, DefaultConnector::default(), IpResolver);
    for _ in 0..TURNS {
        turn("own", || own(&client))?;
        turn("ureq", || by_ureq(&agent, handle.addr))?;
        turn("ureq without lookups", || by_ureq(&unresolved, handle.addr))?;
    }
    Ok(())
}

fn config() -> ureq::config::Config {
    let config = ureq::Agent::config_builder();
    config
        .max_idle_connections_per_host(THREADS)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
}

fn own(client: &Client<'_>) -> eyre::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(5);
    let call = Call {
        id: "a-1",
        workspace: 0,
        kind: 0,
        deadline,
    };
    let tried = client.send(&call, &mut fastrand::Rng::with_seed(1));
    ensure!(tried.outcome == Outcome::Whole, "{tried:?}");
    Ok(())
}

fn by_ureq(agent: &ureq::Agent, addr: SocketAddr) -> eyre::Result<()> {
    let uri = format!("http://{addr}/desk/read");
    let mut answer = agent.get(uri).header(ID_HEADER, "a-1").call()?;
    let body = answer.body_mut().read_to_vec()?;
    ensure!(body == server::body("a-1", body.len()), "another body");
    Ok(())
}

fn turn(name: &str, call: impl Fn() -> eyre::Result<()> + Sync) -> eyre::Result<()> {
    let before = cpu_ms()?;
    let latencies = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(|| timed(&call))).collect();
        let ended = threads
            .into_iter()
            .map(|thread| thread.join().expect("no caller panics"));
        ended.collect::<eyre::Result<Vec<_>>>()
    })?;
    let calls = u32::try_from(THREADS * CALLS)?;
    let cpu_micros = f64::from(u32::try_from(cpu_ms()? - before)?) * 1_000.0 / f64::from(calls);
    let latency = Latency::of(latencies.into_iter().flatten());
    println!(
        "{name:<20} p50 {:.3} ms  p99 {:.3} ms  processor time {cpu_micros:.1} us a call",
        latency.p50, latency.p99,
    );
    Ok(())
}

fn timed(call: &impl Fn() -> eyre::Result<()>) -> eyre::Result<Vec<Duration>> {
    let each = (0..CALLS).map(|_| {
        let start = Instant::now();
        call().map(|()| start.elapsed())
    });
    each.collect()
}

/// The processor time of this process so far, by the 14th and 15th field of /proc/self/stat.
fn cpu_ms() -> eyre::Result<u64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or_eyre("/proc/self/stat has another form")?;
    let fields: Vec<_> = fields.split(' ').collect();
    Ok((fields[11].parse::<u64>()? + fields[12].parse::<u64>()?) * TICK_MS)
}
