//! `cassiashunt demo`: a fleet at work, step by step, in one process.

mod caller;
mod tally;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread::{self, ScopedJoinHandle},
    time::{Duration, Instant},
};

use cassiashunt_fleet::{Fleet, Options, ServerOptions};
use cassiashunt_node::{Stopped, settings::Times};
use cassiashunt_standin::server::{self, Child, Endpoint, ServiceTime};
use eyre::{Result, bail, eyre};

use self::{
    caller::{Caller, Kind, Outcome},
    tally::Tally,
};
use crate::exit::Exit;

/// The failure domains of the fleet.
const DOMAINS: [&str; 3] = ["ikeja", "apapa", "lekki"];
/// The workspace whose key is withdrawn.
const LEAVING: &str = "ward-7";
/// Its key.
const LEAVING_KEY: &str = "cassia_0123456789abcdef0123456789abcdef";
/// The workspace that goes on.
const STAYING: &str = "ward-8";
/// Its key.
const STAYING_KEY: &str = "cassia_fedcba9876543210fedcba9876543210";
/// Requests that a backend server runs at once.
const SLOTS: usize = 8;
/// Requests of the quiet step.
const QUIET_REQUESTS: usize = 60;
/// Threads that send sign-offs in a burst.
const SIGN_OFF_THREADS: usize = 8;
/// Threads that read sections in a burst.
const READ_THREADS: usize = 56;
/// How long the burst lasts.
const BURST: Duration = Duration::from_secs(4);
/// How much slower the servers of `rota` are in the burst.
const SLOW_FACTOR: f64 = 10.0;
/// The pause after each answer, so that callers do not spin on refusals.
const REST: Duration = Duration::from_millis(5);
/// Threads that call the node that drains.
const DRAIN_THREADS: usize = 6;
/// How long they call it before it is told to drain.
const BEFORE_DRAIN: Duration = Duration::from_millis(300);
/// How long a withdrawn key may take to be refused at a node.
const REFUSAL_PATIENCE: Duration = Duration::from_secs(10);
/// How long nodes may shed after an overload.
const RECOVERY_PATIENCE: Duration = Duration::from_secs(10);

/// Shows a fleet at work and tells each step.
pub fn run() -> Result<Exit> {
    if std::env::var_os("CASSIASHUNT_LOG").is_none() {
        log::set_max_level(log::LevelFilter::Error);
    }
    let fleet = start()?;
    make_table(&fleet)?;
    serve(&fleet)?;
    edit(&fleet)?;
    withdraw(&fleet)?;
    overload(&fleet);
    recover(&fleet)?;
    drain(&fleet)?;
    println!("done");
    Ok(Exit::Done)
}

fn start() -> Result<Fleet> {
    let began = Instant::now();
    let fleet = Fleet::start(options()?)?;
    println!(
        "fleet: {} nodes, each with a backend server, in {} failure domains, up in {}",
        fleet.members.len(),
        DOMAINS.len(),
        millis(began),
    );
    for member in &fleet.members {
        let server = member.settings.server.as_ref();
        let service = server.map_or_else(String::new, |server| server.service.to_string());
        let domain = member.settings.node.failure_domain;
        let callers = member.addresses.callers;
        println!("  {service} in {domain}: callers at {callers}");
    }
    Ok(fleet)
}

/// Two services with a backend server in each failure domain; those of `rota` call `stores`.
fn options() -> Result<Options> {
    let stock = Child {
        path: "/stock".into(),
        ..Child::default()
    };
    let rota = vec![
        endpoint("/sections", 5.0, vec![stock.clone()]),
        endpoint("/sign-off", 5.0, vec![stock]),
    ];
    let stores = vec![endpoint("/stock", 2.0, Vec::new())];
    let mut servers = Vec::new();
    for (service, endpoints) in [("rota", rota), ("stores", stores)] {
        for domain in DOMAINS {
            servers.push(ServerOptions {
                service: service.parse()?,
                domain: domain.parse()?,
                standin: server::Options {
                    slots: SLOTS,
                    endpoints: endpoints.clone(),
                    ..Default::default()
                },
            });
        }
    }
    let domains = DOMAINS.iter().map(|domain| domain.parse());
    Ok(Options {
        domains: domains.collect::<Result<_, _>>()?,
        servers,
        times: Times {
            roster_write_ms: 500,
            roster_read_ms: 500,
            ..Times::default()
        },
        ..Options::default()
    })
}

fn endpoint(path: &str, mean_ms: f64, children: Vec<Child>) -> Endpoint {
    Endpoint {
        path: path.into(),
        service_time: ServiceTime {
            mean_ms,
            ..Default::default()
        },
        children,
        ..Default::default()
    }
}

fn make_table(fleet: &Fleet) -> Result<()> {
    fleet.bind("GET /sections", "sections", "read", "rota")?;
    fleet.bind("POST /sign-off", "sign-off", "sign-off", "rota")?;
    fleet.bind("GET /stock", "stock", "read", "stores")?;
    fleet.set("*,*,sign-off", "priority", "255")?;
    fleet.give_key(LEAVING, LEAVING_KEY)?;
    let revision = fleet.give_key(STAYING, STAYING_KEY)?;
    println!(
        "table: 3 routes, sign-offs shed last, a key each for {LEAVING} and {STAYING}; revision {}",
        revision.0
    );
    Ok(())
}

fn serve(fleet: &Fleet) -> Result<()> {
    let caller = Caller::new(STAYING_KEY);
    let addrs = callers(fleet);
    let mut tally = Tally::default();
    for number in 0..QUIET_REQUESTS {
        let addr = addrs[number % addrs.len()];
        let kind = Kind::of(number);
        tally.count(kind, caller.send(addr, kind).outcome);
    }
    println!("requests: {QUIET_REQUESTS} sent, to every node in turn");
    tally.print();
    tally.ensure_whole()
}

fn edit(fleet: &Fleet) -> Result<()> {
    let began = Instant::now();
    let row = format!("{STAYING},*,*");
    let revision = fleet.set(&row, "weight", "5")?;
    println!(
        "edit: {row} weight 5 is revision {}, in force at every node after {}",
        revision.0,
        millis(began),
    );
    Ok(())
}

fn withdraw(fleet: &Fleet) -> Result<()> {
    let caller = Caller::new(LEAVING_KEY);
    let addrs = callers(fleet);
    for addr in &addrs {
        let seen = caller.send(*addr, Kind::Read);
        if seen.outcome != Outcome::Served {
            bail!("{LEAVING} should be served before its key is withdrawn, but: {seen:?}");
        }
    }
    let began = Instant::now();
    fleet.withdraw_keys(LEAVING.parse()?)?;
    for addr in &addrs {
        wait_refused(&caller, *addr, began)?;
    }
    println!(
        "key: {LEAVING}'s was withdrawn, and every node refused it on connections already open \
         after {}",
        millis(began),
    );
    Ok(())
}

fn wait_refused(caller: &Caller, addr: SocketAddr, began: Instant) -> Result<()> {
    while caller.send(addr, Kind::Read).outcome == Outcome::Served {
        if began.elapsed() >= REFUSAL_PATIENCE {
            bail!("the node at {addr} still serves a withdrawn key");
        }
        thread::sleep(REST);
    }
    Ok(())
}

fn overload(fleet: &Fleet) {
    set_slow(fleet, SLOW_FACTOR);
    let addrs = callers(fleet);
    let until = Instant::now() + BURST;
    let tallies: Vec<Tally> = thread::scope(|scope| {
        let kinds = (0..SIGN_OFF_THREADS)
            .map(|_| Kind::SignOff)
            .chain((0..READ_THREADS).map(|_| Kind::Read));
        let threads: Vec<_> = kinds
            .enumerate()
            .map(|(number, kind)| {
                let addr = addrs[number % addrs.len()];
                scope.spawn(move || call_until(addr, kind, || Instant::now() >= until))
            })
            .collect();
        threads.into_iter().map(join).collect()
    });
    set_slow(fleet, 1.0);
    println!(
        "overload: servers of rota {SLOW_FACTOR} times slower for {} s, {READ_THREADS} threads \
         read and {SIGN_OFF_THREADS} send sign-offs",
        BURST.as_secs()
    );
    merge(tallies).print();
}

/// Waits until every node serves reads again.
fn recover(fleet: &Fleet) -> Result<()> {
    let caller = Caller::new(STAYING_KEY);
    let began = Instant::now();
    for addr in callers(fleet) {
        while caller.send(addr, Kind::Read).outcome != Outcome::Served {
            if began.elapsed() >= RECOVERY_PATIENCE {
                bail!("the node at {addr} still sheds after the overload");
            }
            thread::sleep(REST);
        }
    }
    println!(
        "recovery: every node served a read again after {}",
        millis(began)
    );
    Ok(())
}

fn set_slow(fleet: &Fleet, factor: f64) {
    let rota = &fleet.members[..DOMAINS.len()];
    for member in rota {
        member.server.set(|options| options.slow_factor = factor);
    }
}

fn drain(fleet: &Fleet) -> Result<()> {
    let addr = fleet.members[0].addresses.callers;
    let is_done = AtomicBool::new(false);
    let (stopped, tallies) = thread::scope(|scope| {
        let call = |number| {
            let is_done = &is_done;
            let kind = Kind::of(number);
            scope.spawn(move || call_until(addr, kind, || is_done.load(Ordering::Acquire)))
        };
        let threads: Vec<_> = (0..DRAIN_THREADS).map(call).collect();
        thread::sleep(BEFORE_DRAIN);
        let stopped = fleet.stop_node(0);
        is_done.store(true, Ordering::Release);
        let tallies: Vec<Tally> = threads.into_iter().map(join).collect();
        (stopped, tallies)
    });
    let tally = merge(tallies);
    println!("drain: the node at {addr} was stopped while {DRAIN_THREADS} threads called it");
    tally.print();
    tally.ensure_whole()?;
    match stopped.ok_or_else(|| eyre!("the node did not run"))? {
        Stopped::Drained => println!("  it ended with nothing cut off"),
        Stopped::TimedOut { cut_off } => bail!("the stop cut off {cut_off} requests"),
    }
    Ok(())
}

/// Sends requests of one kind until told to end, or until the node closes the connection.
fn call_until(addr: SocketAddr, kind: Kind, is_done: impl Fn() -> bool) -> Tally {
    let caller = Caller::new(STAYING_KEY);
    let mut tally = Tally::default();
    while !is_done() {
        let seen = caller.send(addr, kind);
        if seen.outcome == Outcome::NotConnected {
            break;
        }
        tally.count(kind, seen.outcome);
        if seen.closes {
            break;
        }
        thread::sleep(REST);
    }
    tally
}

fn join(thread: ScopedJoinHandle<'_, Tally>) -> Tally {
    thread.join().expect("callers do not panic")
}

fn merge(tallies: Vec<Tally>) -> Tally {
    let mut all = Tally::default();
    for tally in tallies {
        all.add(tally);
    }
    all
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    let members = fleet.members.iter();
    members.map(|member| member.addresses.callers).collect()
}

fn millis(since: Instant) -> String {
    format!("{} ms", since.elapsed().as_millis())
}
