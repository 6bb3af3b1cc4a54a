//! The control thread.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Weak,
        mpsc::{Receiver, SyncSender},
    },
};

use cassiashunt_control::{
    Candidate, ChangeAction, Control, ShardKey, ShardKind, due_replacement,
    msg::{Applied, HandOver},
};
use cassiashunt_member::{Event as MemberEvent, Phase, Step as LifeStep};
use cassiashunt_ring::Ring;
use cassiashunt_table::LineId;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Envelope, Kind, ValueKind};
use prost::Message as _;

use super::{
    event::Event,
    fetch,
    freshness::{Freshness, Step},
    homes::{Homes, Scene},
    membership::Membership,
    message::{AppliedRevisions, AskApplied, ConfigBody, ConfigMessage},
    missing::Missing,
    net::Net,
    platform::{Answer, ControlEdit, Request},
    shards::{ClaimAsk, Shards, View, first},
    spread::Spreading,
};
use crate::{link::Peer, shared::Shared};

/// Ticks between two looks at relays, shards and missing configuration.
const SLOW_TICKS: u32 = 5;

/// What the control thread uses of the other duties.
pub(super) struct Rings {
    pub calls: Ring<Request>,
    pub fetches: Ring<fetch::Request>,
}

/// The control thread.
pub(super) struct Worker {
    shared: Weak<Shared>,
    net: Net,
    rings: Rings,
    membership: Membership,
    freshness: Freshness,
    spreading: Spreading,
    shards: Shards,
    homes: Homes,
    /// Nodes that take work, as of the last look.
    takers: Vec<Candidate>,
    /// Holders of shards that are surely gone or leaving, as of the last look.
    gone: Vec<NodeId>,
    missing: Missing,
    ticks: u32,
}

impl Worker {
    pub(super) fn new(shared: &Arc<Shared>, net: Net, rings: Rings) -> Self {
        let domain = shared.settings.node.failure_domain;
        let freshness = Duration::from_millis(shared.settings.times.freshness_ms);
        Self {
            shared: Arc::downgrade(shared),
            membership: Membership::new(shared, net.clone(), rings.calls.clone()),
            freshness: Freshness::new(shared, rings.calls.clone()),
            spreading: Spreading::default(),
            shards: Shards::new(shared.id, domain, freshness),
            homes: homes(shared, domain, freshness),
            takers: Vec::new(),
            gone: Vec::new(),
            missing: Missing::default(),
            net,
            rings,
            ticks: 0,
        }
    }

    pub(super) fn run(mut self, rx: &Receiver<Event>) {
        self.call(Request::ReadHeads);
        for event in rx {
            let Some(shared) = self.shared.upgrade() else {
                return;
            };
            if matches!(event, Event::Stop) {
                return;
            }
            self.on(&shared, event);
        }
    }

    fn on(&mut self, shared: &Arc<Shared>, event: Event) {
        match event {
            Event::Tick => self.tick(shared),
            Event::Datagram { from, envelope } => self.receive(shared, from, &envelope),
            Event::Platform(answer) => self.on_answer(shared, answer),
            Event::Control(control) => self.on_control(shared, &control),
            Event::Table(revision) => self.on_table(shared, revision),
            Event::Spread { revision, done } => self.spread(shared, revision, done),
            Event::AskApplied => self.ask_everybody(),
            Event::Phase(phase) => self.on_phase(shared, phase),
            Event::Stop => {}
        }
    }

    fn tick(&mut self, shared: &Arc<Shared>) {
        let now = shared.clock.now();
        self.live(shared);
        self.membership.tick(shared);
        let steps = self.freshness.tick(shared, &mut self.membership);
        self.follow(shared, steps);
        let asks = self.spreading.tick(now);
        self.ask(shared, asks);
        let asks = self.shards.tick(now);
        self.ask_claims(shared, asks);
        self.settle_claims(shared);
        self.tick_homes(shared);
        shared.suspects.tick(shared);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SLOW_TICKS) {
            self.look_over(shared);
        }
    }

    /// Moves the node's own life on.
    fn live(&mut self, shared: &Shared) {
        let phase = shared.lifecycle().phase();
        let is_ready = shared.owner.get().is_none_or(|owner| owner.is_up());
        let next = match phase {
            Phase::Joining if is_ready => LifeStep::Joined,
            Phase::Warming => LifeStep::Warm,
            _ => return,
        };
        if let Some(phase) = super::step(shared, next) {
            self.membership.on(shared, MemberEvent::SetPhase(phase));
            self.membership.announce_self(shared);
        }
    }

    fn on_phase(&mut self, shared: &Arc<Shared>, phase: Phase) {
        if phase == Phase::Draining {
            let steps = self.freshness.stop(shared, &self.membership);
            self.follow(shared, steps);
            self.hand_over_limits(shared);
        }
        self.membership.on(shared, MemberEvent::SetPhase(phase));
        self.membership.announce_self(shared);
    }

    fn receive(&mut self, shared: &Arc<Shared>, from: SocketAddr, envelope: &Envelope) {
        let payload = envelope.payload.as_slice();
        match Kind::try_from(envelope.kind) {
            Ok(Kind::Member) => self.membership.receive(shared, from, payload),
            Ok(Kind::Config) => self.on_config(shared, from, envelope),
            Ok(Kind::Once) => self.on_once(shared, payload),
            Ok(Kind::Suspect) => shared.suspects.receive(shared, from, payload),
            Ok(Kind::Limit) => shared.limits.receive(shared, from, payload),
            _ => log::debug!(event = "control-kind-unknown", from:% = from; ""),
        }
    }

    fn on_config(&mut self, shared: &Arc<Shared>, from: SocketAddr, envelope: &Envelope) {
        let Ok(message) = ConfigMessage::decode(envelope.payload.as_slice()) else {
            return;
        };
        match message.body {
            Some(ConfigBody::Ask(ask)) => self.answer_ask(shared, from, ask),
            Some(ConfigBody::Applied(applied)) => {
                self.on_applied(shared, NodeId(envelope.from), &applied);
            }
            Some(ConfigBody::HandOver(msg)) => {
                let steps = self.freshness.handed_over(shared, msg);
                self.follow(shared, steps);
            }
            None => {}
        }
    }

    /// Tells which revisions are in force here, and looks for a newer table that the asker knows.
    fn answer_ask(&mut self, shared: &Arc<Shared>, from: SocketAddr, ask: AskApplied) {
        if ask.table > shared.config.revision().0 && self.freshness.is_relay() {
            self.call(Request::ReadHeads);
        }
        let body = ConfigBody::Applied(self.applied(shared, ask));
        self.send_config(from, body);
    }

    fn applied(&self, shared: &Shared, ask: AskApplied) -> AppliedRevisions {
        let relays = self.freshness.applied();
        let (line, revision) = (LineId(ask.line), Revision(ask.table));
        let accounts = ask.line == 0 || shared.config.accounts_for(line, revision);
        AppliedRevisions {
            table: if accounts {
                shared.config.revision().0
            } else {
                0
            },
            control: self.freshness.control().revision.0,
            relays: relays.iter().map(|applied| applied.relay).collect(),
        }
    }

    fn on_applied(&mut self, shared: &Arc<Shared>, node: NodeId, applied: &AppliedRevisions) {
        shared.control.set_applied(node, Revision(applied.table));
        let now = shared.clock.now();
        for relay in &applied.relays {
            let (table, control) = (applied.table, applied.control);
            let applied = Applied {
                relay: *relay,
                table,
                control,
            };
            let asks = self.spreading.relay_applied(now, &applied);
            self.ask(shared, asks);
            let asks = self.shards.relay_applied(now, &applied);
            self.ask_claims(shared, asks);
            let asks = self.homes.relay_applied(now, &applied);
            self.ask_claims(shared, asks);
        }
        self.settle_claims(shared);
    }

    fn on_answer(&mut self, shared: &Arc<Shared>, answer: Answer) {
        self.membership.on_answer(shared, &answer);
        if let Answer::Heads {
            control: Some(control),
            ..
        }
        | Answer::Control { control } = &answer
        {
            self.on_control(shared, control);
        }
        self.on_table(shared, shared.config.revision());
        let steps = self.freshness.on_answer(shared, &answer);
        self.follow(shared, steps);
        if let Answer::Control { control } = &answer {
            let now = shared.clock.now();
            let asks = self.spreading.control_read(now, control);
            self.ask(shared, asks);
            let asks = self.shards.control_read(now, control);
            self.ask_claims(shared, asks);
            let asks = self.homes.control_read(now, control);
            self.ask_claims(shared, asks);
        }
    }

    fn on_control(&mut self, shared: &Arc<Shared>, control: &Control) {
        let steps = self.freshness.apply_control(shared, control);
        self.homes.apply_control(self.freshness.control());
        self.follow(shared, steps);
    }

    fn on_table(&mut self, shared: &Arc<Shared>, revision: Revision) {
        let steps = self.freshness.apply_table(shared, revision);
        self.follow(shared, steps);
    }

    fn follow(&mut self, shared: &Arc<Shared>, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::HandOver(msg) => self.hand_over(msg),
                Step::Reverted => super::repair::start(shared),
            }
        }
    }

    fn hand_over(&self, msg: HandOver) {
        if let Some(addr) = self.membership.addr(NodeId(msg.to)) {
            self.send_config(addr, ConfigBody::HandOver(msg));
        }
    }

    fn spread(&mut self, shared: &Arc<Shared>, revision: Revision, done: SyncSender<()>) {
        self.on_table(shared, shared.config.revision());
        let now = shared.clock.now();
        let domain = shared.settings.node.failure_domain;
        let control = self.freshness.control().clone();
        let asks = self.spreading.begin(now, domain, revision, &control, done);
        self.ask(shared, asks);
    }

    fn ask(&mut self, shared: &Arc<Shared>, asks: Vec<ChangeAction>) {
        for ask in asks {
            match ask {
                ChangeAction::AskRelay(relay) => self.ask_relay(shared, relay),
                ChangeAction::ReadControl => self.read_control(),
                ChangeAction::WriteClaim => log::error!(event = "claim-without-shard"; ""),
            }
        }
    }

    fn ask_claims(&mut self, shared: &Arc<Shared>, asks: Vec<ClaimAsk>) {
        for ask in asks {
            match ask {
                ClaimAsk::Write(claim) => self.edit_control(ControlEdit::TakeOver(claim)),
                ClaimAsk::Plain(ask) => self.ask(shared, vec![ask]),
            }
        }
    }

    /// Gives the limit shards that this node is the authority of to their next nodes.
    fn hand_over_limits(&self, shared: &Arc<Shared>) {
        let others = self.takers.iter().map(|member| member.node);
        let others: Vec<NodeId> = others.filter(|node| *node != shared.id).collect();
        shared.limits.hand_over(shared, |id| {
            let kind = ShardKind::Limit;
            first(ShardKey { kind, id }, &others)
        });
    }

    /// Looks which holders of shards are gone or leaving.
    fn look_for_gone(&mut self, shared: &Shared) {
        let now = shared.clock.now();
        let members = &self.membership.members;
        self.gone = self.missing.gone(now, self.freshness.control(), members);
    }

    fn tick_homes(&mut self, shared: &Arc<Shared>) {
        let scene = Scene {
            now: shared.clock.now(),
            control: self.freshness.control(),
            live: &self.takers,
            gone: &self.gone,
        };
        let (sends, asks) = self.homes.tick(&scene);
        shared
            .control
            .set_open_homes(self.homes.open(self.freshness.control()));
        for send in sends {
            shared.once.send(shared, send);
        }
        self.ask_claims(shared, asks);
    }

    fn on_once(&mut self, shared: &Shared, payload: &[u8]) {
        let Ok(msg) = cassiashunt_once::msg::Message::decode(payload) else {
            return;
        };
        let now = shared.clock.now();
        shared.once.receive(now, &msg);
        let scene = Scene {
            now,
            control: self.freshness.control(),
            live: &self.takers,
            gone: &self.gone,
        };
        let in_touch = shared.control.check(now).is_ok();
        for send in self.homes.receive(&scene, &msg, in_touch) {
            shared.once.send(shared, send);
        }
    }

    fn settle_claims(&mut self, shared: &Arc<Shared>) {
        for won in self.shards.take_won() {
            shared.limits.begin_epoch(shared, won.key.id, won.epoch);
        }
    }

    /// Asks whoever bears the relay's role, which may be this node.
    fn ask_relay(&mut self, shared: &Arc<Shared>, relay: NodeId) {
        let head = shared.config.head();
        let line = head.and_then(|head| head.line()).map_or(0, |line| line.0);
        let ask = AskApplied {
            table: shared.config.revision().0,
            line,
        };
        let bearer = self.freshness.bearer(relay);
        if bearer == shared.id {
            let applied = self.applied(shared, ask);
            self.on_applied(shared, bearer, &applied);
        } else if let Some(addr) = self.membership.addr(bearer) {
            self.send_config(addr, ConfigBody::Ask(ask));
        }
    }

    fn ask_everybody(&self) {
        for record in self.membership.members.live() {
            if record.id != self.membership.members.id() {
                self.send_config(record.addr, ConfigBody::Ask(AskApplied::default()));
            }
        }
    }

    fn send_config(&self, to: SocketAddr, body: ConfigBody) {
        let message = ConfigMessage { body: Some(body) };
        self.net
            .send(to, None, Kind::Config, message.encode_to_vec());
    }

    /// Looks whether relays or shards fall to this node, and whether it misses configuration.
    fn look_over(&mut self, shared: &Arc<Shared>) {
        self.fetch_newer(shared);
        self.publish_relays(shared);
        let live = self.membership.members.live().map(|record| record.id);
        shared
            .suspects
            .on_members(shared.clock.now(), live.collect());
        if !shared.lifecycle().phase().takes_work() {
            return;
        }
        let takers = self
            .membership
            .members
            .live()
            .filter(|record| record.phase.takes_work());
        let live: Vec<Candidate> = takers
            .map(|record| Candidate {
                node: record.id,
                domain: record.domain,
            })
            .collect();
        let domain = shared.settings.node.failure_domain;
        if let Some(replace) = due_replacement(self.freshness.control(), domain, &live)
            && replace.add == Some(shared.id)
        {
            self.edit_control(ControlEdit::Replace(replace));
        }
        self.takers = live;
        let nodes: Vec<NodeId> = self.takers.iter().map(|member| member.node).collect();
        self.look_for_gone(shared);
        let view = View {
            control: self.freshness.control(),
            live: &nodes,
            gone: &self.gone,
        };
        let is_handed = |id, epoch| shared.limits.is_handed(id, epoch);
        let acts = |id| shared.limits.is_authority(id);
        let now = shared.clock.now();
        self.shards.look_over(now, &view, is_handed, acts);
        let scene = Scene {
            now: shared.clock.now(),
            control: self.freshness.control(),
            live: &self.takers,
            gone: &self.gone,
        };
        self.homes.look_over(&scene);
    }

    /// Tells the operators' threads who the relays of this failure domain are.
    fn publish_relays(&self, shared: &Shared) {
        let domain = self
            .freshness
            .control()
            .domain(shared.settings.node.failure_domain);
        let relays = domain.into_iter().flat_map(|domain| domain.nodes());
        let bearers = relays.map(|relay| self.freshness.bearer(relay));
        let peers = bearers.filter_map(|node| self.peer(shared, node));
        shared.control.set_own_relays(peers.collect());
    }

    fn peer(&self, shared: &Shared, node: NodeId) -> Option<Peer> {
        let record = match node == shared.id {
            true => self.membership.members.me(),
            false => &self.membership.members.get(node)?.record,
        };
        Some(Peer {
            node,
            addr: record.addr,
            domain: record.domain,
        })
    }

    /// Fetches what others are known to have; at the start, asks the platform.
    fn fetch_newer(&self, shared: &Shared) {
        if self.freshness.control().revision == Revision(0) {
            self.call(Request::ReadHeads);
        }
        let newest = self.freshness.newest();
        if newest.table > shared.config.revision() {
            self.fetch(shared, ValueKind::Table);
        }
        if newest.control > self.freshness.control().revision {
            self.fetch(shared, ValueKind::Control);
        }
    }

    /// Asks the relays, those of this failure domain first.
    fn fetch(&self, shared: &Shared, kind: ValueKind) {
        let own = shared.settings.node.failure_domain;
        let now = shared.clock.now();
        let attesting = self.membership.members.attestations(now);
        let others = attesting.filter(|attestation| attestation.node != shared.id);
        let members = others.filter_map(|a| self.membership.members.get(a.node));
        let mut peers: Vec<Peer> = members
            .map(|member| Peer {
                node: member.record.id,
                addr: member.record.addr,
                domain: member.record.domain,
            })
            .collect();
        fastrand::shuffle(&mut peers);
        peers.sort_by_key(|peer| peer.domain != own);
        if self
            .rings
            .fetches
            .push(fetch::Request { kind, peers })
            .is_err()
        {
            log::debug!(event = "fetch-ring-full"; "");
        }
    }

    fn read_control(&self) {
        self.edit_control(ControlEdit::Restore);
    }

    fn edit_control(&self, edit: ControlEdit) {
        let known = self.freshness.control().clone();
        self.call(Request::EditControl { known, edit });
    }

    fn call(&self, req: Request) {
        if self.rings.calls.push(req).is_err() {
            log::warn!(event = "platform-ring-full"; "the call is made later");
        }
    }
}

fn homes(shared: &Shared, domain: FailureDomain, freshness: Duration) -> Homes {
    let window = Duration::from_millis(shared.settings.times.record_ms);
    let needs_backup = !shared.settings.node.other_failure_domains.is_empty();
    Homes::new(shared.id, domain, freshness, window, needs_backup)
}
