//! One run: a fleet, its load, its faults, and the judgement.

use std::{
    collections::BTreeMap,
    fmt, fs,
    net::TcpStream,
    os::unix::process::ExitStatusExt as _,
    path::PathBuf,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Fault as StoreFault, Run};
use eyre::{WrapErr as _, ensure};
use rustix::process::Signal;

use crate::{
    client::Client,
    faults::{Fault, GRACE, HOLDERS, Manner, Mix, Planned, schedule},
    history::{CRASHING, History, Ran, Sent, Stop, Violation},
    keys::{Keys, LASTING},
    proxy::Fault as LinkFault,
    site::{Member, SERVICES, Site},
};

/// Clients of each node.
const CLIENTS: usize = 2;
/// The longest pause of a client between two requests, in milliseconds.
const PAUSE_MS: u64 = 30;
/// Further clients of each node that keep their connections for long pauses, where nodes stop while
/// servers are slow.
const LATE_CLIENTS: usize = 6;
/// The longest pause of these.
const LATE_PAUSE_MS: u64 = 3_000;
/// How long a request of a clinging client may take, in milliseconds: also less than is left of a
/// stop.
const CLINGING_LIMIT_MS: std::ops::Range<u64> = 300..8_000;
/// The longest pause of a client that holds a connection, once it has begun to send, in milliseconds.
const HOLDER_PAUSE_MS: u64 = 200;
/// How long the load has paused when a node is stopped in calm.
const CALM_BEFORE: Duration = Duration::from_millis(500);
/// How long a request may take.
const TIME_LIMIT: Duration = Duration::from_millis(2_000);
/// How long, where servers may take longer than is left of a stop.
const LONG_TIME_LIMIT: Duration = Duration::from_millis(8_000);
/// The time of a route, where requests have [`TIME_LIMIT`].
const ROUTE_TIME: Duration = Duration::from_millis(1_500);
/// The time between two heartbeats of a server.
const BEAT_EVERY: Duration = Duration::from_millis(300);
/// How long a server that ended is away.
const AWAY: Duration = Duration::from_millis(600);
/// How long the fleet may take to serve everywhere, at its start and after the last fault.
const RECOVERY: Duration = Duration::from_secs(15);
/// Violations of one promise that are printed.
const MAX_SHOWN: usize = 3;
/// The most memory that a node may use, in kilobytes.
const MEMORY_KB: u64 = 64 * 1024;

/// What is to be run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program of the nodes.
    pub binary: PathBuf,
    /// Where settings and logs go; made where it is not there.
    pub folder: PathBuf,
    /// What the faults are drawn from.
    pub seed: u64,
    /// Which faults.
    pub mix: Mix,
    /// Nodes, each with a server.
    pub nodes: usize,
    /// How long there is load and faults.
    pub span: Duration,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The faults that were played.
    pub planned: Vec<Planned>,
    /// Requests, and how many of them were served.
    pub sent: usize,
    /// Requests that were served.
    pub served: usize,
    /// The most memory that a node used, in kilobytes.
    pub peak_kb: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            sent,
            served,
            peak_kb,
            ..
        } = self;
        let faults = self.planned.len();
        write!(
            f,
            "{faults} faults, {served} of {sent} served, peak {peak_kb} KB"
        )?;
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            let count = counts.entry(violation.promise).or_insert(0);
            *count += 1;
            if *count <= MAX_SHOWN {
                write!(f, "\n  {violation}")?;
            }
        }
        for (promise, count) in counts {
            write!(f, "\n  {promise}: {count} times")?;
        }
        Ok(())
    }
}

/// Plays one seed.
///
/// # Errors
///
/// Where the fleet can't be started; broken promises are in the report.
pub fn run(opts: &Options) -> eyre::Result<Report> {
    ensure!(
        opts.nodes >= SERVICES.len(),
        "too few nodes for the services"
    );
    fs::create_dir_all(&opts.folder).wrap_err("can't make the folder")?;
    let grace = opts.mix.grace(opts.seed);
    let site = Site::new(&opts.folder, opts.nodes, grace).wrap_err("can't start the stand-ins")?;
    let soak = Soak {
        opts,
        grace,
        site,
        keys: Keys::default(),
        sent: Mutex::default(),
        stops: Mutex::default(),
        others: Mutex::default(),
        is_over: AtomicBool::new(false),
        is_crashing: AtomicBool::new(false),
        calm: Mutex::default(),
        is_calm: AtomicBool::new(false),
    };
    soak.play()
}

struct Soak<'a> {
    opts: &'a Options,
    /// How long a planned stop may take.
    grace: Duration,
    site: Site,
    keys: Keys,
    sent: Mutex<Vec<Sent>>,
    stops: Mutex<Vec<Stop>>,
    /// Violations that the history does not show.
    others: Mutex<Vec<Violation>>,
    is_over: AtomicBool,
    /// Whether somebody sends requests under which servers end.
    is_crashing: AtomicBool,
    /// Held by a stop in calm.
    calm: Mutex<()>,
    /// Whether the load pauses.
    is_calm: AtomicBool,
}

impl Soak<'_> {
    fn play(&self) -> eyre::Result<Report> {
        let (version, keys) = self.keys.table();
        self.put_table(version, &keys);
        for member in &self.site.members {
            member.server.crash_under(CRASHING, AWAY);
            member
                .start(&self.opts.binary)
                .wrap_err("can't start a node")?;
        }
        let planned = {
            let Options {
                seed,
                mix,
                nodes,
                span,
                ..
            } = *self.opts;
            schedule(seed, mix, nodes, span)
        };
        let began = thread::scope(|scope| {
            scope.spawn(|| self.beat());
            let began = self.wait_until_served();
            if began {
                let nodes = self.site.members.len();
                for at in 0..nodes * CLIENTS {
                    scope.spawn(move || self.call(self.client(at % nodes), PAUSE_MS));
                }
                if self.opts.mix.has_slow_servers() {
                    for at in 0..nodes * LATE_CLIENTS {
                        scope.spawn(move || self.call(self.client(at % nodes), LATE_PAUSE_MS));
                    }
                }
                if self.opts.mix == Mix::Cling {
                    for at in 0..nodes {
                        scope.spawn(move || self.cling(at));
                    }
                }
                scope.spawn(|| self.send_crashing());
                self.disturb(&planned);
                if !self.wait_until_served() {
                    self.add("the fleet recovers", format!("not within {RECOVERY:?}"));
                }
            }
            self.is_over.store(true, Ordering::Release);
            began
        });
        ensure!(began, "the fleet does not serve within {RECOVERY:?}");
        Ok(self.judge(planned))
    }

    fn judge(&self, planned: Vec<Planned>) -> Report {
        let mut peak_kb = 0;
        for (at, member) in self.site.members.iter().enumerate() {
            if let Some(process) = member.process().as_mut() {
                peak_kb = peak_kb.max(process.peak_kb().unwrap_or_default());
                if let Some(status) = process.ended() {
                    self.add(
                        "nodes do not end by themselves",
                        format!("node-{at}: {status}"),
                    );
                }
            }
        }
        if peak_kb > MEMORY_KB {
            self.add("memory is bounded", format!("{peak_kb} KB"));
        }
        let history = self.history();
        let mut violations = history.violations();
        violations.extend(lock(&self.others).drain(..));
        Report {
            planned,
            sent: history.sent.len(),
            served: history.sent.iter().filter(|it| it.is_served()).count(),
            peak_kb,
            violations,
        }
    }

    fn history(&self) -> History {
        let members = self.site.members.iter().enumerate();
        let of =
            |(at, it): (usize, &Member)| it.server.runs().into_iter().map(move |run| (at, run));
        let runs = members.flat_map(of);
        let ran = runs.map(|(node, run)| Ran {
            node,
            target: run.first_line.split(' ').nth(1).unwrap_or_default().into(),
            workspace: all(&run, "x-tenant"),
            caller: all(&run, "x-caller-service"),
            key: all(&run, "x-api-key"),
            attempt: run.attempt,
            at: run.at,
            takes: run.takes,
        });
        History {
            mix: self.opts.mix,
            sent: lock(&self.sent).clone(),
            ran: ran.collect(),
            withdrawn: self.keys.withdrawn(),
            stops: lock(&self.stops).clone(),
            grace: self.grace,
            services: self.site.members.iter().map(|it| it.service).collect(),
        }
    }

    fn put_table(&self, version: u64, keys: &[String]) {
        let limit = match self.opts.mix {
            Mix::Stops | Mix::Cling | Mix::Calm => LONG_TIME_LIMIT,
            Mix::Planned | Mix::Servers | Mix::All | Mix::Foreign => ROUTE_TIME,
        };
        self.site.put_table(version, keys, limit);
    }

    fn add(&self, promise: &'static str, what: String) {
        lock(&self.others).push(Violation { promise, what });
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }

    /// Sends the heartbeats of all servers.
    fn beat(&self) {
        let mut sequence = 0;
        while !self.is_over() {
            sequence += 1;
            for member in self.site.members.iter().filter(|it| !it.server.is_away()) {
                // The node may be stopped.
                let _ = member
                    .server
                    .beat(member.heartbeats, member.service, "ready", sequence);
            }
            thread::sleep(BEAT_EVERY);
        }
    }

    /// A client of a node; through the proxy where its connections may be disturbed.
    fn client(&self, at: usize) -> Client {
        let member = &self.site.members[at];
        match self.opts.mix {
            Mix::All => Client::new(at, member.from_clients.address(), TIME_LIMIT),
            Mix::Planned | Mix::Servers => Client::new(at, member.requests, TIME_LIMIT),
            Mix::Foreign => Client::new(at, member.requests, TIME_LIMIT).stating(true),
            Mix::Stops | Mix::Cling | Mix::Calm => {
                Client::new(at, member.requests, LONG_TIME_LIMIT)
            }
        }
    }

    /// Whether every node serves every service soon.
    fn wait_until_served(&self) -> bool {
        let until = Instant::now() + RECOVERY;
        (0..self.site.members.len()).all(|at| {
            SERVICES.iter().all(|service| {
                let mut client = self.client(at);
                loop {
                    let target = format!("/{service}/read/{:x}", fastrand::u64(..));
                    let sent = client.send(target, false, LASTING.into());
                    let is_served = sent.is_some_and(|sent| {
                        let is_served = sent.is_served();
                        lock(&self.sent).push(sent);
                        is_served
                    });
                    if is_served || Instant::now() >= until {
                        break is_served;
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
    }

    /// One client's requests, all to the same node.
    fn call(&self, mut client: Client, pause_ms: u64) {
        while !self.is_over() {
            if !self.is_calm.load(Ordering::Acquire) {
                self.send_one(&mut client);
            }
            thread::sleep(Duration::from_millis(fastrand::u64(..pause_ms)));
        }
    }

    /// Sends a request of any kind; `false` where the node takes no connection.
    fn send_one(&self, client: &mut Client) -> bool {
        let service = SERVICES[fastrand::usize(..SERVICES.len())];
        let is_write = fastrand::u8(..3) == 0;
        let kind = if is_write { "write" } else { "read" };
        let target = format!("/{service}/{kind}/{:x}", fastrand::u64(..));
        let sent = client.send(target, is_write, self.keys.draw());
        let is_taken = sent.is_some();
        lock(&self.sent).extend(sent);
        is_taken
    }

    /// Sends one request after the other to a node, half of them on new connections.
    fn cling(&self, at: usize) {
        let mut client = self.clinging_client(at);
        while !self.is_over() {
            if fastrand::bool() {
                client.close();
            }
            self.send_one(&mut client);
            thread::sleep(Duration::from_millis(fastrand::u64(..HOLDER_PAUSE_MS)));
        }
    }

    fn clinging_client(&self, at: usize) -> Client {
        let limit = Duration::from_millis(fastrand::u64(CLINGING_LIMIT_MS));
        Client::new(at, self.site.members[at].requests, limit)
    }

    /// Sends the request under which servers end, at any node, while it is asked for.
    fn send_crashing(&self) {
        while !self.is_over() {
            thread::sleep(Duration::from_millis(fastrand::u64(20..150)));
            if !self.is_crashing.load(Ordering::Acquire) {
                continue;
            }
            let mut client = self.client(fastrand::usize(..self.site.members.len()));
            let target = format!("/{}{CRASHING}", SERVICES[1]);
            if let Some(sent) = client.send(target, false, LASTING.into()) {
                lock(&self.sent).push(sent);
            }
        }
    }

    /// Begins and ends the faults at their times; all are over when it returns.
    fn disturb(&self, planned: &[Planned]) {
        let began = Instant::now();
        thread::scope(|scope| {
            for one in planned {
                let wait = one.at.saturating_sub(began.elapsed());
                thread::sleep(wait);
                scope.spawn(move || {
                    self.begin(&one.fault);
                    self.hold(&one.fault, one.span);
                    self.end(&one.fault);
                });
            }
            thread::sleep(self.opts.span.saturating_sub(began.elapsed()));
        });
        self.heal();
    }

    /// Lets a fault last.
    fn hold(&self, fault: &Fault, span: Duration) {
        match fault {
            Fault::Writer(at, writing, seed) => writing.play(&self.site, *at, *seed, span),
            _ => thread::sleep(span),
        }
    }

    fn begin(&self, fault: &Fault) {
        let member = |at: &usize| &self.site.members[*at];
        match fault {
            Fault::Stop(at) => self.stop(*at, Manner::Plain),
            Fault::StopIn(at, manner) => self.stop(*at, *manner),
            Fault::CalmStop(at, work, percents) => self.stop_in_calm(*at, *work, percents),
            Fault::Kill(at) => drop(member(at).process().take()),
            Fault::Pause(at) => signal(member(at), Signal::STOP),
            Fault::Keys | Fault::Table => {
                let is_withdrawn = *fault == Fault::Keys;
                let put = |version, keys: &[String]| self.put_table(version, keys);
                self.keys.change(is_withdrawn, put);
            }
            Fault::Serve(at, behaviour) => member(at).server.set_usual(behaviour.clone()),
            Fault::Crash => self.is_crashing.store(true, Ordering::Release),
            Fault::Store(fault) => self.site.store.set_fault(*fault),
            Fault::StoreOfOne(at, fault) => member(at).to_store.set_fault(*fault),
            Fault::ServerLink(at, fault) => member(at).to_server.set_fault(*fault),
            Fault::ClientLink(at, fault) => member(at).from_clients.set_fault(*fault),
            Fault::Compact => self.site.store.compact(),
            // It writes while the fault lasts.
            Fault::Writer(..) => {}
        }
    }

    fn end(&self, fault: &Fault) {
        let member = |at: &usize| &self.site.members[*at];
        match fault {
            Fault::Stop(at) | Fault::StopIn(at, _) | Fault::CalmStop(at, ..) | Fault::Kill(at) => {
                if let Err(err) = member(at).start(&self.opts.binary) {
                    self.add("nodes start again", format!("node-{at}: {err}"));
                }
            }
            Fault::Pause(at) => signal(member(at), Signal::CONT),
            Fault::Serve(at, _) => member(at).server.set_usual(Behaviour::Serve),
            Fault::Crash => self.is_crashing.store(false, Ordering::Release),
            Fault::Store(_) => self.site.store.set_fault(StoreFault::None),
            Fault::StoreOfOne(at, _) => member(at).to_store.set_fault(StoreFault::None),
            Fault::ServerLink(at, _) => member(at).to_server.set_fault(LinkFault::None),
            Fault::ClientLink(at, _) => member(at).from_clients.set_fault(LinkFault::None),
            Fault::Keys | Fault::Table | Fault::Compact | Fault::Writer(..) => {}
        }
    }

    /// Asks a node to stop while the load pauses, and clients hold its connections.
    fn stop_in_calm(&self, at: usize, work: Duration, percents: &[u32; HOLDERS]) {
        // Those that would overlap are left out.
        let Ok(_calm) = self.calm.try_lock() else {
            return;
        };
        self.is_calm.store(true, Ordering::Release);
        thread::sleep(CALM_BEFORE);
        let holders = percents.map(|percent| {
            let mut client = self.clinging_client(at);
            self.send_one(&mut client);
            (percent, client)
        });
        let set_servers = |usual: Behaviour| {
            for member in &self.site.members {
                member.server.set_usual(usual.clone());
            }
        };
        set_servers(Behaviour::Slow(work));
        let began = Instant::now();
        thread::scope(|scope| {
            for (percent, client) in holders {
                let wait = self.grace * percent / 100;
                scope.spawn(move || self.send_late(client, wait, began + self.grace));
            }
            self.stop(at, Manner::Plain);
        });
        set_servers(Behaviour::Serve);
        self.is_calm.store(false, Ordering::Release);
    }

    /// Sends nothing for a time, then one request after the other until the process is gone.
    fn send_late(&self, mut client: Client, wait: Duration, until: Instant) {
        thread::sleep(wait);
        while self.send_one(&mut client) && Instant::now() < until {
            thread::sleep(Duration::from_millis(fastrand::u64(..HOLDER_PAUSE_MS)));
        }
    }

    /// Asks a node to stop, and waits for its end.
    fn stop(&self, at: usize, manner: Manner) {
        let member = &self.site.members[at];
        let mut process = member.process();
        let Some(running) = process.as_mut() else {
            return;
        };
        if manner == Manner::WithoutStore {
            member.to_store.set_fault(StoreFault::Silent);
        }
        if manner == Manner::AfterReload {
            running.signal(Signal::HUP);
        }
        // A signal ends a process that has only just begun, and has nothing open yet.
        let is_young =
            !running.handles(Signal::TERM) && TcpStream::connect(member.requests).is_err();
        let asked = Instant::now();
        lock(&self.stops).push(Stop {
            node: at,
            at: asked,
        });
        let scale = self.grace.div_duration_f64(GRACE);
        // A paused process stops when it goes on.
        running.signal(Signal::TERM);
        running.signal(Signal::CONT);
        match manner {
            Manner::Plain | Manner::AfterReload | Manner::WithoutStore => {}
            Manner::Twice(after) => {
                thread::sleep(after.mul_f64(scale));
                running.signal(Signal::TERM);
            }
            Manner::Paused(after, span) => {
                thread::sleep(after.mul_f64(scale));
                running.signal(Signal::STOP);
                thread::sleep(span.mul_f64(scale));
                running.signal(Signal::CONT);
            }
        }
        match running.wait(self.grace.saturating_sub(asked.elapsed())) {
            Some(status) if status.success() => {}
            Some(status) if is_young && status.signal() == Some(Signal::TERM.as_raw()) => {}
            Some(status) => self.add("planned stops end well", format!("node-{at}: {status}")),
            None => self.add("planned stops end in time", format!("node-{at} {manner:?}")),
        }
        if manner == Manner::WithoutStore {
            member.to_store.set_fault(StoreFault::None);
        }
        *process = None;
    }

    /// Ends whatever is left of the faults.
    fn heal(&self) {
        self.is_crashing.store(false, Ordering::Release);
        self.site.store.set_fault(StoreFault::None);
        for at in 0..self.site.members.len() {
            for fault in [
                Fault::Stop(at),
                Fault::Pause(at),
                Fault::Serve(at, Behaviour::Serve),
                Fault::StoreOfOne(at, StoreFault::None),
                Fault::ServerLink(at, LinkFault::None),
                Fault::ClientLink(at, LinkFault::None),
            ] {
                self.end(&fault);
            }
        }
    }
}

/// All values of a field.
fn all(run: &Run, name: &str) -> String {
    let of = run.headers.iter();
    let of = of.filter(|(it, _)| it.eq_ignore_ascii_case(name));
    let values: Vec<_> = of.map(|(_, value)| value.as_str()).collect();
    values.join(", ")
}

fn signal(member: &Member, signal: Signal) {
    if let Some(process) = member.process().as_mut() {
        process.signal(signal);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
