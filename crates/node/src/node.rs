//! A node and what its threads share.

use std::{
    fmt, io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Instant,
};

use cassiashunt_admit::ingress::Ingress;
use cassiashunt_control::Control;
use cassiashunt_http::Limits as HttpLimits;
use cassiashunt_member::Lifecycle;
use cassiashunt_timer::{Clock, Service as Timer};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Seal, Secret};

use crate::{
    Settings, Wiring,
    config::Config,
    duty,
    fleet::Fleet,
    ingress::{self, Held},
    limits::Limits,
    link::{self, Links, Path, Submit},
    once::Once,
    operator,
    owner::{self, Backend, Gate, Job, Owner, Reply},
    stats::Stats,
    suspects::Suspects,
    ticket::Tickets,
};

/// How often a stopping node looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// What the threads of a node share.
pub(crate) struct Shared {
    pub id: NodeId,
    pub settings: Settings,
    pub clock: Clock,
    pub config: Config,
    pub fleet: Fleet,
    pub links: Links,
    pub tickets: Arc<Tickets>,
    pub owner: OnceLock<Arc<Owner>>,
    pub held: Arc<Held>,
    pub stats: Stats,
    pub suspects: Suspects,
    pub limits: Limits,
    pub once: Once,
    pub platform: cassiashunt_platform::Http,
    pub control: duty::Control,
    pub wiring: Wiring,
    pub seen: duty::Seen,
    control_value: RwLock<Arc<Control>>,
    is_repairing: AtomicBool,
    lifecycle: Mutex<Lifecycle>,
    shed: Mutex<Ingress>,
    is_draining: AtomicBool,
    drain_asked: AtomicBool,
}

impl Shared {
    /// Whether this node is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Asks the process to stop the node gracefully.
    pub(crate) fn ask_to_drain(&self) {
        self.drain_asked.store(true, Ordering::Release);
    }

    /// Shedding before a chain starts.
    pub(crate) fn shed(&self) -> MutexGuard<'_, Ingress> {
        self.shed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The node's own life.
    pub(crate) fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        self.lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a control value in force.
    pub(crate) fn set_control(&self, control: &Control) {
        let shared = Arc::new(control.clone());
        *self
            .control_value
            .write()
            .unwrap_or_else(PoisonError::into_inner) = shared;
        self.limits.apply_control(control);
        self.once.apply_control(control);
    }

    /// The control value in force, as it travels; `None` before the first.
    pub(crate) fn control_bytes(&self) -> Option<Vec<u8>> {
        let control = self
            .control_value
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let is_set = control.revision > Revision(0);
        is_set.then(|| serde_json::to_vec(&**control).expect("a control value is plain JSON"))
    }

    /// Whether a repair of the platform may begin; at most one runs at a time.
    pub(crate) fn begin_repair(&self) -> bool {
        !self.is_repairing.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_repair(&self) {
        self.is_repairing.store(false, Ordering::Release);
    }

    /// Takes in the services that a chain called.
    pub(crate) fn on_visits(
        &self,
        now: Time,
        route: Route,
        services: impl IntoIterator<Item = Service>,
    ) {
        let mut shed = self.shed();
        for service in services {
            shed.on_visit(now, route, service);
        }
    }

    /// Gives up a request that this node itself owns.
    pub(crate) fn cancel_local(&self, reply: &Reply) {
        if let Some(owner) = self.owner.get() {
            owner.cancel(reply);
        }
    }

    /// Whether a request with this key may start or go on to its server at this moment.
    pub(crate) fn check_touch(&self, now: Time, key: KeyId) -> Result<(), Refusal> {
        if key == KeyId(0) {
            return Ok(());
        }
        self.control.check(now)
    }

    /// The owner's last look at a request before the server gets it.
    pub(crate) fn check_job(&self, now: Time, job: &Job) -> Result<(), Refusal> {
        self.check_touch(now, job.key)?;
        let withdrawn = job.key != KeyId(0) && !self.config.is_key_active(job.key);
        if withdrawn && self.config.revision() >= job.revision {
            return Err(Refusal::not_run(Reason::KeyWithdrawn));
        }
        Ok(())
    }
}

/// Why a node did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address of the settings cannot be used.
    Bind {
        /// The settings key.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The operating system gives no thread.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { key, addr, source } => {
                write!(f, "{key}: cannot listen at {addr}: {source}")
            }
            Self::Thread(source) => write!(f, "cannot start a thread: {source}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(err: io::Error) -> Self {
        Self::Thread(err)
    }
}

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Everything in flight was finished.
    Drained,
    /// The longest time for a stop passed with requests in flight.
    TimedOut {
        /// Requests that were cut off.
        cut_off: usize,
    },
}

/// The sockets that a node listens at.
struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    control: UdpSocket,
}

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    callers: Arc<ingress::Acceptor>,
    peers: Arc<link::Acceptor>,
    operators: operator::Server,
    addresses: Addresses,
    timer: Option<Timer>,
    duties: duty::Duties,
    threads: Vec<JoinHandle<()>>,
}

/// Where a running node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Where an address cannot be used or the operating system gives no thread.
    pub fn start(settings: Settings, wiring: Wiring) -> Result<Self, StartError> {
        let sockets = bind(&settings)?;
        let addr = |listener: &TcpListener| listener.local_addr();
        let peer_addr = addr(&sockets.peers)?;
        let clock = Clock::new();
        let shared = Arc::new(share(settings, clock, peer_addr, wiring));
        let timer = Timer::start(clock)?;
        let mut threads = own(&shared)?;
        let callers = ingress::Acceptor::new(caller_options(&shared.settings), Arc::clone(&shared));
        let peers = link::Acceptor::new(peer_options(&shared), Submit::new(&shared));
        let operators = operator::Server::start(&shared)?;
        let addresses = Addresses {
            callers: addr(&sockets.callers)?,
            peers: peer_addr,
            operators: operators.addr(),
        };
        let duties = duty::Duties::start(&shared, &timer, sockets.control)?;
        threads.push(listen(
            "callers",
            &callers,
            sockets.callers,
            ingress::Acceptor::run,
        )?);
        threads.push(listen("peers", &peers, sockets.peers, link::Acceptor::run)?);
        log::info!(event = "node-started", node:% = shared.id, callers:% = addresses.callers; "");
        let timer = Some(timer);
        Ok(Self {
            shared,
            callers,
            peers,
            operators,
            addresses,
            timer,
            duties,
            threads,
        })
    }

    /// The node's number.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.shared.id
    }

    /// Where the node listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The table revision in force at this node.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.shared.config.revision()
    }

    /// Whether an operator has asked for a graceful stop.
    #[must_use]
    pub fn is_asked_to_drain(&self) -> bool {
        self.shared.drain_asked.load(Ordering::Acquire)
    }

    /// Stops gracefully: refuses new work, finishes what is in flight, hands over, and ends.
    #[must_use]
    pub fn stop(mut self) -> Stopped {
        log::info!(event = "node-draining", node:% = self.shared.id; "");
        let times = self.shared.settings.times.clone();
        let started = Instant::now();
        self.shared.is_draining.store(true, Ordering::Release);
        self.duties.drain(&self.shared);
        self.shared.limits.drain(&self.shared);
        if let Some(owner) = self.shared.owner.get() {
            owner.drain();
        }
        let accept_until = started + Duration::from_millis(times.drain_accept_ms);
        let until = started + Duration::from_millis(times.drain_ms);
        while Instant::now() < until && !self.is_done(accept_until) {
            thread::sleep(DRAIN_LOOK);
        }
        let cut_off = self.in_flight();
        self.duties.stop();
        self.end();
        log::info!(event = "node-stopped", node:% = self.shared.id, cut_off = cut_off; "");
        if cut_off == 0 {
            Stopped::Drained
        } else {
            Stopped::TimedOut { cut_off }
        }
    }

    /// Ends at once, as if the process were killed.
    pub fn kill(mut self) {
        self.end();
    }

    /// Whether nothing is in flight and callers had their time to move.
    fn is_done(&self, accept_until: Instant) -> bool {
        let quiet = self.in_flight() == 0;
        let moved = self.callers.open() == 0 || Instant::now() >= accept_until;
        quiet && moved
    }

    fn in_flight(&self) -> usize {
        let owned = self.shared.owner.get().map_or(0, |owner| owner.in_flight());
        owned + self.callers.busy()
    }

    fn end(&mut self) {
        self.callers.stop();
        self.peers.stop();
        wake(self.addresses.callers);
        wake(self.addresses.peers);
        self.operators.stop();
        if let Some(owner) = self.shared.owner.get() {
            owner.stop();
        }
        self.duties.end();
        self.shared.links.close();
        if let Some(timer) = self.timer.take() {
            timer.stop();
        }
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!(event = "thread-panicked"; "");
            }
        }
    }
}

/// Lets a listener that waits in `accept` look at its stop flag.
fn wake(addr: SocketAddr) {
    // A listener that is gone needs no waking.
    let _ = TcpStream::connect_timeout(&addr, Duration::from_millis(100));
}

fn bind(settings: &Settings) -> Result<Sockets, StartError> {
    let place = &settings.node;
    let fail = |key, addr| move |source| StartError::Bind { key, addr, source };
    let callers = TcpListener::bind(place.callers).map_err(fail("node.callers", place.callers))?;
    let peers = TcpListener::bind(place.peers).map_err(fail("node.peers", place.peers))?;
    let addr = peers.local_addr()?;
    let control = UdpSocket::bind(addr).map_err(fail("node.peers", addr))?;
    Ok(Sockets {
        callers,
        peers,
        control,
    })
}

fn share(settings: Settings, clock: Clock, peer_addr: SocketAddr, wiring: Wiring) -> Shared {
    let id = NodeId::random();
    let secret = Secret::new(settings.node.secret.as_bytes());
    let domain = settings.node.failure_domain;
    let connect = Duration::from_millis(settings.times.connect_ms);
    let links = Links::new(link::Options {
        node: id,
        secret: secret.clone(),
        domain,
        connect,
        frames: settings.bounds.link_frames,
        cross_domain_delay: Duration::from_micros(settings.delays.cross_domain_us),
        wiring: wiring.clone(),
    });
    let platform = cassiashunt_platform::Http::new(cassiashunt_platform::HttpOptions {
        url: settings.platform.url.clone(),
        ..Default::default()
    });
    Shared {
        id,
        clock,
        config: Config::default(),
        fleet: Fleet::new(domain, settings.policy.choice),
        links,
        tickets: Arc::default(),
        owner: OnceLock::new(),
        held: Held::new(settings.bounds.held_bytes),
        stats: Stats::default(),
        suspects: Suspects::new(clock.now(), id),
        limits: Limits::new(id),
        once: Once::new(id),
        seen: duty::Seen::default(),
        control_value: RwLock::default(),
        is_repairing: AtomicBool::new(false),
        platform,
        wiring,
        control: duty::Control::new(Seal::new(id, secret), peer_addr),
        lifecycle: Mutex::new(Lifecycle::new()),
        shed: Mutex::new(Ingress::new(Default::default())),
        is_draining: AtomicBool::new(false),
        drain_asked: AtomicBool::new(false),
        settings,
    }
}

/// Sets up the owner of the backend server, where there is one.
fn own(shared: &Arc<Shared>) -> Result<Vec<JoinHandle<()>>, StartError> {
    let Some(server) = &shared.settings.server else {
        return Ok(Vec::new());
    };
    let times = &shared.settings.times;
    let connect = Duration::from_millis(times.connect_ms);
    let backend = Backend::new(server.address, server.connections as usize, connect);
    let opts = owner::Options {
        slots: server.slots,
        health_path: server.health.clone(),
        warm_up: Duration::from_millis(times.warm_up_ms),
    };
    let tickets = Arc::clone(&shared.tickets);
    let owner = Owner::new(shared.clock, opts, backend, tickets, Gate::new(shared));
    let threads = owner.spawn()?;
    if shared.owner.set(owner).is_err() {
        log::error!(event = "owner-set-twice"; "");
    }
    Ok(threads)
}

fn caller_options(settings: &Settings) -> ingress::Options {
    let bounds = &settings.bounds;
    let limits = HttpLimits {
        head_bytes: bounds.head_bytes,
        body_bytes: bounds.body_bytes,
        receive: Duration::from_millis(settings.times.receive_ms),
        send: Duration::from_millis(settings.times.send_ms),
        ..HttpLimits::default()
    };
    ingress::Options {
        connections: bounds.connections,
        limits,
    }
}

fn peer_options(shared: &Arc<Shared>) -> link::AcceptorOptions {
    let settings = &shared.settings;
    let weak = Arc::downgrade(shared);
    let path = move |peer| Path {
        delay: weak
            .upgrade()
            .map_or(Duration::ZERO, |shared| shared.delay_to(peer)),
        is_cut: is_cut_from(weak.clone(), peer),
    };
    link::AcceptorOptions {
        node: shared.id,
        secret: Secret::new(settings.node.secret.as_bytes()),
        frames: settings.bounds.link_frames,
        body_bytes: settings.bounds.body_bytes,
        handshake: Duration::from_millis(settings.times.connect_ms),
        path: Arc::new(path),
    }
}

/// Whether nothing passes to `peer` now.
fn is_cut_from(shared: Weak<Shared>, peer: NodeId) -> Arc<dyn Fn() -> bool + Send + Sync> {
    Arc::new(move || {
        let Some(shared) = shared.upgrade() else {
            return false;
        };
        let addr = shared.control.addr_of(peer);
        addr.is_some_and(|addr| shared.wiring.is_cut(addr))
    })
}

impl Shared {
    /// The delay that an experiment adds to what is sent to `peer`.
    fn delay_to(&self, peer: NodeId) -> Duration {
        let domain = self.control.domain_of(peer);
        let crosses = domain.is_some_and(|domain| domain != self.settings.node.failure_domain);
        let micros = if crosses {
            self.settings.delays.cross_domain_us
        } else {
            0
        };
        Duration::from_micros(micros)
    }
}

fn listen<A: Send + Sync + 'static>(
    name: &str,
    acceptor: &Arc<A>,
    listener: TcpListener,
    run: fn(&Arc<A>, &TcpListener),
) -> Result<JoinHandle<()>, StartError> {
    let acceptor = Arc::clone(acceptor);
    let accept = move || run(&acceptor, &listener);
    Ok(thread::Builder::new().name(name.into()).spawn(accept)?)
}
