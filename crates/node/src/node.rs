//! A running node.

use std::{
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Instant,
};

use cassiashunt_http::Limits as HttpLimits;
use cassiashunt_member::DrainSchedule;
use cassiashunt_timer::{Clock, Service as Timer};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Secret;

use crate::{
    Settings, Wiring, duty, ingress,
    link::{self, Path, Submit},
    operator,
    owner::{self, Backend, Gate, Owner},
    shared::Shared,
    start::{StartError, Stopped},
};

/// How often a stopping node looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// The time that the connections of other nodes have to close in order, at least and at most.
const MIN_CLOSE: Duration = Duration::from_millis(500);
const MAX_CLOSE: Duration = Duration::from_secs(2);

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
        let shared = Arc::new(Shared::new(settings, clock, peer_addr, wiring));
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
        self.shared.is_asked_to_drain()
    }

    /// Stops gracefully: refuses new work, finishes what is in flight, hands over, and ends.
    #[must_use]
    pub fn stop(mut self) -> Stopped {
        log::info!(event = "node-draining", node:% = self.shared.id; "");
        let drain = self.shared.begin_drain();
        let until = Instant::now() + drain.ends().since(self.shared.clock.now());
        self.duties.drain(&self.shared);
        self.shared.limits.drain(&self.shared);
        if let Some(owner) = self.shared.owner.get() {
            owner.drain();
        }
        while Instant::now() < until && !self.is_done(drain) {
            thread::sleep(DRAIN_LOOK);
        }
        self.close_callers(until);
        let cut_off = self.in_flight();
        // Before the goodbye, at which peers give up their connections to this node.
        self.close_links(until);
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

    /// Whether the server's runs have ended and callers had their time to move. Neither begins
    /// again, whatever callers still send.
    fn is_done(&self, drain: DrainSchedule) -> bool {
        let moved = self.callers.open() == 0 || self.shared.clock.now() >= drain.notice_ends();
        self.owned() == 0 && moved
    }

    fn owned(&self) -> usize {
        self.shared.owner.get().map_or(0, |owner| owner.in_flight())
    }

    fn in_flight(&self) -> usize {
        self.owned() + self.callers.busy()
    }

    /// Answers what is read on callers' connections, also on those that wait to be accepted, and
    /// closes them in order.
    fn close_callers(&self, until: Instant) {
        self.callers.stop();
        while !self.callers.is_closed() && Instant::now() < until {
            wake(self.addresses.callers);
            thread::sleep(DRAIN_LOOK);
        }
    }

    /// Closes the connections that other nodes made, in order.
    fn close_links(&self, until: Instant) {
        let now = Instant::now();
        self.peers.stop();
        wake(self.addresses.peers);
        self.peers
            .close(until.clamp(now + MIN_CLOSE, now + MAX_CLOSE));
    }

    fn end(&mut self) {
        self.callers.kill();
        self.peers.stop();
        wake(self.addresses.callers);
        wake(self.addresses.peers);
        self.peers.cut();
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
        body_memory: bounds.waiting_bytes,
    }
}

fn peer_options(shared: &Arc<Shared>) -> link::AcceptorOptions {
    let settings = &shared.settings;
    let weak = Arc::downgrade(shared);
    let path = move |peer| {
        let (delays, cuts) = (weak.clone(), weak.clone());
        let delay = delays.upgrade().map(|shared| shared.delay_to(peer));
        let is_cut = move || {
            cuts.upgrade()
                .is_some_and(|shared| shared.is_cut_from(peer))
        };
        Path {
            delay: delay.unwrap_or_default(),
            is_cut: Arc::new(is_cut),
        }
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
