//! Starts and stops the duties.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Weak,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
    time::{SystemTime, UNIX_EPOCH},
};

use cassiashunt_member::{Action, Event as MemberEvent, Members, Phase, Reach, Record, Step, msg};
use cassiashunt_route::Presence;
use cassiashunt_timer::{
    Service as Timer,
    service::{Options as Every, Subscription},
};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Envelope, Kind, Seal};
use metrics::counter;
use prost::Message as _;

use super::{
    event::Event,
    message::{AppliedRevisions, AskApplied, ConfigBody, ConfigMessage},
    platform, udp,
};
use crate::{fleet::Announced, node::Shared};

/// Events that may wait for the control thread.
const EVENTS: usize = 4_096;

/// The running duties.
pub(crate) struct Duties {
    tx: SyncSender<Event>,
    subscriptions: Vec<Subscription>,
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
        let mut subscriptions = Vec::new();
        let period = cassiashunt_member::Options::default().period;
        let tick = timer.subscribe(Every::every(period), tx.clone(), |_| Event::Tick);
        subscriptions.push(tick.map_err(io::Error::other)?);
        subscriptions.extend(start_owner_duties(shared, timer)?);
        let seal = shared.control.seal.clone();
        let (receiving, udp_tx) = (socket.try_clone()?, tx.clone());
        spawn("control-receive", move || {
            udp::receive(&receiving, &seal, &udp_tx)
        })?;
        let worker = Worker::new(shared, socket);
        spawn("control", move || worker.run(&rx))?;
        let (weak, platform_tx) = (Arc::downgrade(shared), tx.clone());
        spawn("platform", move || platform::run(&weak, &platform_tx))?;
        Ok(Self { tx, subscriptions })
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
    }

    fn tell(&self, event: Event) {
        if self.tx.send(event).is_err() {
            log::error!(event = "control-thread-gone"; "");
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.into()).spawn(run)
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

/// How often the owner's queue is looked over.
const OWNER_TICK: Duration = Duration::from_millis(5);
/// How often the backend server is probed.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// The control thread.
struct Worker {
    shared: Weak<Shared>,
    socket: UdpSocket,
    seal: Seal,
    members: Members,
    id: NodeId,
}

impl Worker {
    fn new(shared: &Arc<Shared>, socket: UdpSocket) -> Self {
        let server = shared.settings.server.as_ref();
        let me = Record {
            id: shared.id,
            addr: shared.control.addr,
            domain: shared.settings.node.failure_domain,
            service: server.map(|server| server.service),
            slots: server.map_or(0, |server| server.slots),
            phase: Phase::Joining,
            start: wall_clock_millis(),
        };
        let rng = fastrand::Rng::new();
        Self {
            shared: Arc::downgrade(shared),
            socket,
            seal: shared.control.seal.clone(),
            members: Members::new(Default::default(), me, rng),
            id: shared.id,
        }
    }

    fn run(mut self, rx: &Receiver<Event>) {
        for event in rx {
            let Some(shared) = self.shared.upgrade() else {
                return;
            };
            let is_last = matches!(event, Event::Phase(Phase::Gone));
            self.on(&shared, event);
            if is_last {
                return;
            }
        }
    }

    fn on(&mut self, shared: &Shared, event: Event) {
        match event {
            Event::Tick => {
                self.live(shared);
                self.member(shared, MemberEvent::Tick);
            }
            Event::Datagram { from, envelope } => match Kind::try_from(envelope.kind) {
                Ok(Kind::Member) => {
                    if let Ok(msg) = msg::Message::decode(envelope.payload.as_slice()) {
                        self.member(shared, MemberEvent::Receive { from, msg });
                    }
                }
                Ok(Kind::Config) => self.on_config(shared, from, &envelope),
                _ => log::debug!(event = "control-kind-unknown", from:% = from; ""),
            },
            Event::AskApplied => self.ask_applied(),
            Event::Seeds(seeds) => self.member(shared, MemberEvent::Seeds(seeds)),
            Event::Phase(phase) => self.member(shared, MemberEvent::SetPhase(phase)),
        }
    }

    fn ask_applied(&self) {
        for member in self.members.live().filter(|record| record.id != self.id) {
            let body = ConfigBody::Ask(AskApplied {});
            self.send_config(member.addr, body);
        }
    }

    fn on_config(&self, shared: &Shared, from: SocketAddr, envelope: &Envelope) {
        let Ok(message) = ConfigMessage::decode(envelope.payload.as_slice()) else {
            return;
        };
        match message.body {
            Some(ConfigBody::Ask(_)) => {
                let table = shared.config.revision().0;
                let applied = AppliedRevisions { table, control: 0 };
                self.send_config(from, ConfigBody::Applied(applied));
            }
            Some(ConfigBody::Applied(applied)) => {
                shared
                    .control
                    .set_applied(NodeId(envelope.from), Revision(applied.table));
            }
            None => {}
        }
    }

    fn send_config(&self, to: SocketAddr, body: ConfigBody) {
        let message = ConfigMessage { body: Some(body) };
        self.send(to, Kind::Config, message.encode_to_vec());
    }

    fn send(&self, to: SocketAddr, kind: Kind, payload: Vec<u8>) {
        let datagram = self.seal.seal(None, kind, payload);
        counter!("cassiashunt_control_sent_bytes_total").increment(datagram.len() as u64);
        // A lost datagram is as good as one that was never sent.
        let _ = self.socket.send_to(&datagram, to);
    }

    /// Moves the node's own life on.
    fn live(&mut self, shared: &Shared) {
        let phase = shared.lifecycle().phase();
        let is_ready = shared.owner.get().is_none_or(|owner| owner.is_up());
        let next = match phase {
            Phase::Joining if is_ready => Step::Joined,
            Phase::Warming => Step::Warm,
            _ => return,
        };
        if let Some(phase) = step(shared, next) {
            self.member(shared, MemberEvent::SetPhase(phase));
            self.announce_self(shared);
        }
    }

    fn announce_self(&self, shared: &Shared) {
        announce(shared, self.members.me(), true);
    }

    fn member(&mut self, shared: &Shared, event: MemberEvent) {
        let now = shared.clock.now();
        for action in self.members.on(now, event) {
            self.act(shared, action);
        }
    }

    fn act(&self, shared: &Shared, action: Action) {
        match action {
            Action::Send { to, msg } => {
                self.send(to, Kind::Member, msg.encode_to_vec());
            }
            Action::Joined(id) | Action::Changed(id) => {
                if let Some(member) = self.members.get(id) {
                    shared.control.set_domain(id, member.record.domain);
                    announce(shared, &member.record, member.reach != Reach::Unreachable);
                }
            }
            Action::Left(id, _) => {
                shared.control.forget(id);
                shared.fleet.remove(id);
                shared.links.forget(id);
                shared.shed().on_gone(id);
            }
            Action::Attested(_) | Action::Refuted => {}
            Action::Evicted => log::error!(event = "node-evicted", node:% = self.id; ""),
        }
    }
}

/// Makes a server known to the request path.
fn announce(shared: &Shared, record: &Record, is_reachable: bool) {
    let Some(service) = record.service else {
        return;
    };
    let presence = match record.phase {
        _ if !is_reachable => Presence::Unreachable,
        phase if phase.takes_work() => Presence::Serving,
        _ => Presence::Draining,
    };
    let server = Announced {
        node: record.id,
        addr: record.addr,
        domain: record.domain,
        service,
        slots: record.slots,
        presence,
        is_cold: record.phase == Phase::Warming,
    };
    shared.fleet.upsert(shared.clock.now(), &server);
}

/// Orders processes at one address; no promise depends on it.
fn wall_clock_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
