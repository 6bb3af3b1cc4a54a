//! Starts and stops the duties.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
};

use cassiashunt_member::{Phase, Step};
use cassiashunt_ring::Ring;
use cassiashunt_timer::{
    Service as Timer,
    service::{Options as Every, Subscription},
};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Seal;

use super::{
    event::Event,
    fetch,
    net::Net,
    platform, udp,
    worker::{Rings, Worker},
};
use crate::shared::Shared;

/// Events that may wait for the control thread.
const EVENTS: usize = 4_096;
/// Platform calls that may wait.
const CALLS: usize = 256;
/// Threads that call the platform.
const CALLERS: usize = 2;
/// Fetches that may wait.
const FETCHES: usize = 2;
/// How often the owner's queue is looked over.
const OWNER_TICK: Duration = Duration::from_millis(20);
/// How often the backend server is probed.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// How often grants are asked for ahead of need.
const LIMIT_TICK: Duration = Duration::from_millis(20);

/// The running duties.
pub(crate) struct Duties {
    tx: SyncSender<Event>,
    calls: Ring<platform::Request>,
    fetches: Ring<fetch::Request>,
    subscriptions: Vec<Subscription>,
    is_stopped: Arc<AtomicBool>,
    addr: SocketAddr,
}

impl Duties {
    /// Starts every duty.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        timer: &Timer,
        socket: UdpSocket,
    ) -> io::Result<Self> {
        let (tx, rx) = sync_channel(EVENTS);
        shared.control.set_events(tx.clone());
        let addr = socket.local_addr()?;
        let socket = Arc::new(socket);
        let seal = shared.control.seal().clone();
        let net = Net::new(Arc::downgrade(&socket), seal.clone(), shared.wiring.clone());
        shared.limits.set_net(net.clone());
        shared.once.set_net(net.clone());
        shared.suspects.set_net(net.clone());
        let (calls, fetches) = (Ring::new(CALLS), Ring::new(FETCHES));
        let is_stopped = Arc::new(AtomicBool::new(false));
        start_receiver(&socket, seal, &is_stopped, &tx)?;
        start_callers(shared, &calls, &tx)?;
        let (fetching, ring, fetched) = (Arc::clone(shared), fetches.clone(), tx.clone());
        spawn("fetch", move || fetch::run(&fetching, &ring, &fetched))?;
        let rings = Rings {
            calls: calls.clone(),
            fetches: fetches.clone(),
        };
        let worker = Worker::new(shared, net, rings);
        spawn("control", move || {
            worker.run(&rx);
            // Its goodbye was the last datagram of this node.
            drop(socket);
        })?;
        let mut subscriptions = start_owner_duties(shared, timer)?;
        subscriptions.push(start_limits(shared, timer)?);
        let period = cassiashunt_member::Options::default().period;
        let tick = timer.subscribe(Every::every(period), tx.clone(), |_| Event::Tick);
        subscriptions.push(tick.map_err(io::Error::other)?);
        Ok(Self {
            tx,
            calls,
            fetches,
            subscriptions,
            is_stopped,
            addr,
        })
    }

    /// Tells the fleet that the node takes no more work.
    pub(crate) fn drain(&self, shared: &Shared) {
        step(shared, Step::Drain);
        self.tell(Event::Phase(Phase::Draining));
    }

    /// Says goodbye and ends the duties.
    pub(crate) fn stop(&mut self) {
        self.subscriptions.clear();
        self.tell(Event::Phase(Phase::Gone));
        self.end();
    }

    /// Ends the duties without a goodbye.
    pub(crate) fn end(&mut self) {
        self.subscriptions.clear();
        self.tell(Event::Stop);
        self.calls.close();
        self.fetches.close();
        self.is_stopped.store(true, Ordering::Release);
        wake(self.addr);
    }

    fn tell(&self, event: Event) {
        if self.tx.send(event).is_err() {
            log::debug!(event = "control-thread-gone"; "");
        }
    }
}

/// Lets a receiver that waits look at its stop flag.
fn wake(addr: SocketAddr) {
    let sent = UdpSocket::bind((addr.ip(), 0)).and_then(|socket| socket.send_to(&[], addr));
    if let Err(err) = sent {
        log::warn!(event = "receiver-not-woken"; "{err}");
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.into()).spawn(run)
}

fn start_receiver(
    socket: &Arc<UdpSocket>,
    seal: Seal,
    is_stopped: &Arc<AtomicBool>,
    tx: &SyncSender<Event>,
) -> io::Result<()> {
    let (socket, is_stopped, tx) = (Arc::clone(socket), Arc::clone(is_stopped), tx.clone());
    spawn("control-receive", move || {
        udp::receive(&socket, &seal, &is_stopped, &tx);
    })?;
    Ok(())
}

fn start_callers(
    shared: &Arc<Shared>,
    calls: &Ring<platform::Request>,
    tx: &SyncSender<Event>,
) -> io::Result<()> {
    for _ in 0..CALLERS {
        let (shared, ring, tx) = (Arc::clone(shared), calls.clone(), tx.clone());
        spawn("platform", move || platform::run(&shared, &ring, &tx))?;
    }
    Ok(())
}

/// Follows a step of the node's own life.
pub(super) fn step(shared: &Shared, step: Step) -> Option<Phase> {
    let fired = shared.lifecycle().fire(step);
    match fired {
        Ok(phase) => {
            log::info!(event = "node-phase", phase = phase.as_str(); "");
            Some(phase)
        }
        Err(err) => {
            log::debug!(event = "node-phase-refused"; "{err}");
            None
        }
    }
}

/// Keeps the owner's queue and the server's state up to date.
fn start_owner_duties(shared: &Arc<Shared>, timer: &Timer) -> io::Result<Vec<Subscription>> {
    let Some(owner) = shared.owner.get() else {
        return Ok(Vec::new());
    };
    let (queue, ticks) = timer
        .ticks(Every::every(OWNER_TICK), 1)
        .map_err(io::Error::other)?;
    let ticked = Arc::clone(owner);
    spawn("owner-queue", move || {
        ticks.iter().for_each(|_| ticked.tick())
    })?;
    let every = Every {
        first: Duration::ZERO,
        period: Some(PROBE_PERIOD),
    };
    let (probe, probes) = timer.ticks(every, 1).map_err(io::Error::other)?;
    let probed = Arc::clone(owner);
    spawn("owner-probe", move || {
        probes.iter().for_each(|_| probed.probe())
    })?;
    Ok(vec![queue, probe])
}

/// Draws grants ahead of need.
fn start_limits(shared: &Arc<Shared>, timer: &Timer) -> io::Result<Subscription> {
    let (limits, ticks) = timer
        .ticks(Every::every(LIMIT_TICK), 1)
        .map_err(io::Error::other)?;
    let weak = Arc::downgrade(shared);
    let poll = move || {
        for _ in ticks {
            let Some(shared) = weak.upgrade() else { return };
            shared.limits.poll(&shared);
            shared.once.flush(&shared);
        }
    };
    spawn("limits", poll)?;
    Ok(limits)
}
