//! One node's part in the membership protocol.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;

use crate::{
    Action, Attestation, Change, Claim, Departure, Event, Load, LoadReport, Member, Options, Phase,
    Reach, Record,
    addr_conflicts::AddrConflicts,
    attestations::{Attestations, MAX_ATTESTATION_BYTES},
    gossip_queue::GossipQueue,
    load::Hint,
    msg::{self, Ack, Body, Message, Page, Ping, Pull, Relay, Update},
    probes::{Probe, Probes},
    recent_senders::RecentSenders,
    view::{self, Applied, View},
};

/// Maximum number of seed addresses that are kept; the oldest are dropped.
const MAX_SEEDS: usize = 64;

/// Number of peers to which a leaving node sends its departure directly.
const DEPARTURE_RECIPIENTS: usize = 4;

/// One node's view of the fleet, maintained by probes and gossip.
#[derive(Debug)]
pub struct Members {
    opts: Options,
    rng: fastrand::Rng,
    view: View,
    probes: Probes,
    gossip: GossipQueue,
    attestations: Attestations,
    conflicts: AddrConflicts,
    seeds: Vec<SocketAddr>,
    recent_senders: RecentSenders,
    last_tick: Option<Time>,
    last_revive: Time,
    next_pull: Time,
    /// The first id that the initial sync still lacks; `None` once it is complete.
    sync_from: Option<u64>,
    evicted: bool,
    out: Vec<Action>,
}

impl Members {
    /// A node whose view contains only itself.
    #[must_use]
    pub fn new(opts: Options, me: Record, mut rng: fastrand::Rng) -> Self {
        let mut gossip = GossipQueue::new(me.id);
        gossip.add(me.id);
        Self {
            opts,
            attestations: Attestations::new(me.id),
            view: View::new(&opts, me),
            probes: Probes::new(&mut rng),
            rng,
            gossip,
            conflicts: AddrConflicts::default(),
            seeds: Vec::new(),
            recent_senders: RecentSenders::default(),
            last_tick: None,
            last_revive: Time::ZERO,
            next_pull: Time::ZERO,
            sync_from: Some(0),
            evicted: false,
            out: Vec::new(),
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.evicted {
            return Vec::new();
        }
        match event {
            Event::Tick => self.tick(now),
            Event::Receive { from, msg } => self.receive(now, from, msg),
            Event::Seeds(seeds) => self.add_seeds(now, &seeds),
            Event::SetPhase(phase) => self.set_phase(phase),
            Event::SetBackend { service, slots } => self.update_record(|record| {
                record.service = service;
                record.slots = slots;
            }),
            Event::SetLoad(load) => self.view.set_own_load(now, load),
            Event::Attest { body, at } => self.attest(now, body, at),
            Event::StopAttesting => self.attestations.remove(self.id()),
        }
        std::mem::take(&mut self.out)
    }

    /// The id of this process.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.view.me().record.id
    }

    /// This node's description of itself.
    #[must_use]
    pub fn me(&self) -> &Record {
        &self.view.me().record
    }

    /// The incarnation of this node's description of itself.
    #[must_use]
    pub fn incarnation(&self) -> u32 {
        self.view.me().incarnation
    }

    /// One member, this node included.
    #[must_use]
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.view.get(id)
    }

    /// Every peer, ordered by id; this node is not included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + '_ {
        self.view.peers()
    }

    /// The records of this node and of the peers that are not unreachable.
    pub fn live(&self) -> impl Iterator<Item = &Record> + '_ {
        let peers = self.iter().filter(|m| m.reach != Reach::Unreachable);
        std::iter::once(self.me()).chain(peers.map(|m| &m.record))
    }

    /// The number of peers that are not unreachable.
    #[must_use]
    pub fn live_peers(&self) -> usize {
        self.live().count() - 1
    }

    /// Whether the initial sync of the members is complete.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.sync_from.is_none()
    }

    /// Whether the member has a tombstone: it left or was replaced, and cannot join again.
    #[must_use]
    pub fn has_departed(&self, id: NodeId) -> bool {
        self.view.tombstones().contains(id)
    }

    /// Every attestation of known age, this node's own included.
    pub fn attestations(&self, now: Time) -> impl Iterator<Item = Attestation<'_>> + '_ {
        self.attestations.iter(now)
    }

    /// The options passed at creation.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.opts
    }

    /// Estimated bytes of state, without allocator overhead.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let member = size_of::<Member>() + 2 * size_of::<NodeId>() + size_of::<u32>();
        let tombstone = 2 * size_of::<NodeId>();
        let queued = 3 * size_of::<NodeId>();
        size_of::<Self>()
            + self.view.len() * member
            + self.view.tombstones().len() * tombstone
            + self.gossip.len() * queued
            + self.attestations.state_bytes()
    }

    fn tick(&mut self, now: Time) {
        self.reset_after_pause(now);
        self.expire_probes(now);
        let applied = self.view.expire(now, &self.opts);
        self.record_applied(applied);
        self.attestations.expire(now, &self.opts);
        self.probe_next(now);
        self.probe_unreachable(now);
        self.sync();
    }

    /// Discards open probes and restarts suspicions if this process itself was paused, as unanswered
    /// probes then say nothing about peers.
    fn reset_after_pause(&mut self, now: Time) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        if now.since(last) >= self.opts.probe_timeout {
            self.probes.clear();
            self.conflicts.clear();
            self.view.restart_suspicions(now);
        }
    }

    fn expire_probes(&mut self, now: Time) {
        let overdue = self.probes.expire(now, &self.opts);
        for (seq, target) in overdue.relay {
            self.relay(seq, target);
        }
        for target in overdue.unanswered {
            self.conflicts.remove(target);
            self.suspect(now, target);
        }
    }

    fn suspect(&mut self, now: Time, target: NodeId) {
        let applied = self.view.suspect(now, target);
        let is_new = !applied.changes.is_empty();
        self.record_applied(applied);
        if is_new {
            self.ping(now, target);
        }
    }

    fn relay(&mut self, seq: u32, target: NodeId) {
        let Some(addr) = self.addr_of(target) else {
            return;
        };
        for peer in self.random_peers(self.opts.relays, target) {
            let body = Body::Relay(Relay {
                seq,
                to: target.0,
                addr: msg::addr_to_bytes(addr),
            });
            self.send(peer, body);
        }
    }

    fn probe_next(&mut self, now: Time) {
        let view = &self.view;
        let target = self.probes.next_target(
            &mut self.rng,
            |id| view.get(id).is_some(),
            |id| view.get(id).is_some_and(|m| m.reach != Reach::Unreachable),
        );
        match target {
            Some(target) => self.ping(now, target),
            None => self.ping_seed(now),
        }
    }

    /// Probes one unreachable member and one seed address, to find members again after a network
    /// partition.
    fn probe_unreachable(&mut self, now: Time) {
        if now.since(self.last_revive) < self.opts.revive_period {
            return;
        }
        self.last_revive = now;
        if let Some(id) = self.rng.choice(self.view.unreachable()) {
            self.ping(now, id);
        }
        self.ping_seed(now);
    }

    fn ping_seed(&mut self, now: Time) {
        let view = &self.view;
        self.seeds.retain(|addr| view.at_addr(*addr).is_none());
        if let Some(&addr) = self.rng.choice(&self.seeds) {
            self.ping_addr(now, addr);
        }
    }

    fn add_seeds(&mut self, now: Time, seeds: &[SocketAddr]) {
        for addr in seeds {
            if !self.seeds.contains(addr) && self.view.at_addr(*addr).is_none() {
                self.seeds.push(*addr);
            }
        }
        let excess = self.seeds.len().saturating_sub(MAX_SEEDS);
        self.seeds.drain(..excess);
        self.ping_seed(now);
    }

    /// Requests the next page of the initial sync.
    fn sync(&mut self) {
        let Some(first) = self.sync_from else {
            return;
        };
        let me = self.id();
        if let Some(peer) = self.random_peers(1, me).pop() {
            let last = u64::MAX;
            self.send(peer, Body::Pull(Pull { first, last }));
        }
    }

    fn ping(&mut self, now: Time, target: NodeId) {
        let Some(member) = self.view.get(target) else {
            return;
        };
        self.ping_at(now, target, member.record.addr);
    }

    fn ping_at(&mut self, now: Time, target: NodeId, addr: SocketAddr) {
        let seq = self.probes.open(now, Some(target), addr);
        let ping = self.ping_body(seq, target);
        self.send(addr, Body::Ping(ping));
    }

    fn ping_body(&mut self, seq: u32, target: NodeId) -> Ping {
        let want = self.attestations.wants(&mut self.rng);
        let suspected = self.view.get(target).filter(|m| m.reach != Reach::Alive);
        Ping {
            seq,
            to: target.0,
            suspect: suspected.map(|m| m.incarnation),
            want,
        }
    }

    fn ping_addr(&mut self, now: Time, addr: SocketAddr) {
        let ping = Ping {
            seq: self.probes.open(now, None, addr),
            ..Default::default()
        };
        let first = Some(self.id());
        self.send_with(addr, Body::Ping(ping), first);
    }

    fn receive(&mut self, now: Time, from: SocketAddr, msg: Message) {
        let id = NodeId(msg.from);
        if id == self.id() {
            return;
        }
        if self.view.tombstones().contains(id) {
            self.answer_departed(from, &msg);
            return;
        }
        // The other nodes already know the members of an initial sync, so they are not gossiped.
        let is_sync = self.sync_from.is_some() && matches!(msg.body, Some(Body::Page(_)));
        let before = self.out.len();
        for update in &msg.updates {
            self.apply(now, update, !is_sync);
        }
        let changes = self.out.len() - before;
        if self.evicted {
            return;
        }
        for attestation in &msg.attestations {
            self.store(now, attestation);
        }
        self.record_load(now, id, msg.load);
        match msg.body {
            Some(Body::Ping(ping)) => self.on_ping(now, from, id, &ping),
            Some(Body::Ack(ack)) => self.on_ack(now, from, id, &ack),
            Some(Body::Relay(relay)) => self.on_relay(now, from, &relay),
            Some(Body::Pull(pull)) => self.on_pull(from, &pull),
            Some(Body::Page(page)) => self.on_page(now, from, &page, changes),
            None => {}
        }
    }

    /// Answers a ping of a departed process with its departure; its messages are otherwise ignored.
    fn answer_departed(&mut self, from: SocketAddr, msg: &Message) {
        if !matches!(msg.body, Some(Body::Ping(_))) {
            return;
        }
        let msg = Message {
            from: self.id().0,
            updates: vec![view::departed(NodeId(msg.from))],
            ..Default::default()
        };
        self.out.push(Action::Send { to: from, msg });
    }

    fn apply(&mut self, now: Time, update: &Update, gossips: bool) {
        if update.id == self.id().0 {
            self.apply_to_self(update);
            return;
        }
        let mut applied = self.view.apply(now, update);
        if applied.is_known {
            // The sender has the same state, so it counts as one send.
            let sends = self.opts.sends(self.view.len());
            self.gossip.sent(NodeId(update.id), sends);
        }
        if !gossips {
            applied.to_gossip.clear();
        }
        if let Some(addr) = applied.conflict {
            self.probe_conflict(now, addr, update);
        }
        self.record_applied(applied);
    }

    /// Probes an address that two processes claim.
    fn probe_conflict(&mut self, now: Time, addr: SocketAddr, update: &Update) {
        if self.conflicts.add(now, addr, update) {
            self.ping_at(now, NodeId(update.id), addr);
        }
    }

    /// Removes the processes that the one that answered at `addr` has replaced.
    fn resolve_conflict(&mut self, now: Time, addr: SocketAddr, holder: NodeId, ping_sent: Time) {
        let applied = self.view.resolve_conflict(addr, holder, ping_sent);
        self.record_applied(applied);
        let resolved = self.conflicts.resolve(addr, holder, ping_sent);
        for id in resolved.replaced {
            let mut applied = Applied::default();
            self.view
                .mark_departed(id, Departure::Replaced, &mut applied);
            self.record_applied(applied);
        }
        if let Some(update) = resolved.holder {
            self.apply(now, &update, true);
        }
    }

    fn apply_to_self(&mut self, update: &Update) {
        match Claim::from_number(update.claim) {
            Some(Claim::Departed) => {
                self.evicted = true;
                self.out.push(Action::Evicted);
            }
            Some(Claim::Suspect | Claim::Unreachable) => self.refute(update.incarnation),
            Some(Claim::Alive) | None => {}
        }
    }

    fn refute(&mut self, incarnation: u32) {
        let me = self.view.me_mut();
        if incarnation < me.incarnation {
            return;
        }
        me.incarnation = incarnation.saturating_add(1);
        self.gossip.add(self.id());
        self.out.push(Action::Refuted);
    }

    fn record_applied(&mut self, applied: Applied) {
        for id in applied.to_gossip {
            self.gossip.add(id);
        }
        for id in applied.stale {
            self.gossip.add_if_absent(id);
        }
        for change in applied.changes {
            self.report(change);
        }
    }

    fn report(&mut self, change: Change) {
        let action = match change {
            Change::Joined(id) => {
                self.probes.add(&mut self.rng, id);
                Action::Joined(id)
            }
            Change::Changed(id) => Action::Changed(id),
            Change::Left(id, why) => {
                self.attestations.remove(id);
                Action::Left(id, why)
            }
        };
        self.out.push(action);
    }

    fn store(&mut self, now: Time, attestation: &msg::Attestation) {
        let node = NodeId(attestation.node);
        if node != self.id() && !self.has_departed(node) {
            let sends = self.opts.sends(self.view.len());
            self.attestations.store(now, &self.opts, attestation, sends);
        }
    }

    fn record_load(&mut self, now: Time, id: NodeId, number: u32) {
        let Some(load) = Load::from_number(number) else {
            return;
        };
        self.view.set_load(id, LoadReport { load, at: now });
        self.recent_senders.add(id);
    }

    fn on_ping(&mut self, now: Time, from: SocketAddr, prober: NodeId, ping: &Ping) {
        let me = self.id();
        let is_target = ping.to == me.0;
        if let Some(incarnation) = ping.suspect.filter(|_| is_target) {
            self.refute(incarnation);
        }
        let needs_own_update = !is_target || ping.suspect.is_some();
        let bucket = self.random_bucket();
        let is_prober_unknown = self.view.get(prober).is_none();
        let ack = Ack {
            seq: ping.seq,
            responder: 0,
            is_prober_unknown,
            marks: self.attestations.marks(now, self.opts.mark_slots),
            bucket,
            checksum: self.view.checksum(bucket),
            loads: self.hints(now, prober),
        };
        let wanted = self.attestations.answer(&ping.want);
        let mut msg = self.message(Body::Ack(ack), needs_own_update.then_some(me));
        for attestation in wanted {
            if !msg.attestations.contains(&attestation) {
                msg.attestations.push(attestation);
            }
        }
        if is_prober_unknown {
            // Identifies the previous process to one that has taken over its address.
            msg.updates
                .extend(self.view.at_addr(from).map(Member::to_update));
        }
        self.out.push(Action::Send { to: from, msg });
    }

    fn random_bucket(&mut self) -> u32 {
        // Picks the bucket of a random member, as most buckets of a small fleet are empty.
        let start = NodeId(self.rng.u64(..));
        let mut after = self.view.range(start.0, u64::MAX);
        let member = after.next().unwrap_or_else(|| self.view.me());
        view::bucket_of(member.record.id)
    }

    /// Load hints about random recent senders, packed.
    fn hints(&mut self, now: Time, prober: NodeId) -> Vec<u8> {
        let mut buf = Vec::new();
        for id in self
            .recent_senders
            .choose(&mut self.rng, prober, self.opts.load_slots)
        {
            if let Some(report) = self.view.get(id).and_then(|m| m.load) {
                Hint::new(id, &report, now).write(&mut buf);
            }
        }
        buf
    }

    fn on_ack(&mut self, now: Time, from: SocketAddr, sender: NodeId, ack: &Ack) {
        if ack.is_prober_unknown {
            self.gossip.add_if_absent(self.id());
        }
        if let Some(probe) = self.probes.close(ack.seq) {
            self.on_answer(now, from, sender, ack, probe);
            self.compare_bucket(now, from, ack);
        } else if let Some(probe) = self.probes.close_relayed(ack.seq) {
            let answer = Ack {
                seq: probe.seq,
                responder: probe.target.0,
                ..Default::default()
            };
            if sender == probe.target {
                self.send(probe.requester, Body::Ack(answer));
            }
        }
    }

    fn on_answer(&mut self, now: Time, from: SocketAddr, sender: NodeId, ack: &Ack, probe: Probe) {
        for node in self.attestations.apply_marks(now, probe.sent, &ack.marks) {
            self.out.push(Action::Attested(node));
        }
        for hint in Hint::read_all(&ack.loads) {
            self.view.set_load_by_tag(now, hint);
        }
        if ack.responder == 0 && from == probe.addr {
            self.resolve_conflict(now, from, sender, probe.sent);
        }
    }

    /// Pulls a bucket whose checksum differs at the other node.
    fn compare_bucket(&mut self, now: Time, from: SocketAddr, ack: &Ack) {
        let is_due = now >= self.next_pull;
        if ack.checksum == 0 || !is_due || self.sync_from.is_some() {
            return;
        }
        if ack.checksum != self.view.checksum(ack.bucket) {
            self.next_pull = now + self.opts.pull_period;
            let (first, last) = view::bucket_range(ack.bucket);
            self.send(from, Body::Pull(Pull { first, last }));
        }
    }

    fn on_relay(&mut self, now: Time, from: SocketAddr, relay: &Relay) {
        let Some(addr) = msg::addr_from_bytes(&relay.addr) else {
            return;
        };
        let target = NodeId(relay.to);
        let seq = self.probes.open_relayed(now, from, relay.seq, target);
        let ping = self.ping_body(seq, target);
        self.send(addr, Body::Ping(ping));
    }

    fn on_pull(&mut self, from: SocketAddr, pull: &Pull) {
        let (updates, next) = self.view.page(pull, self.opts.page_bytes);
        let last = pull.last;
        let msg = Message {
            from: self.id().0,
            updates,
            body: Some(Body::Page(Page { next, last })),
            ..Default::default()
        };
        self.out.push(Action::Send { to: from, msg });
    }

    fn on_page(&mut self, now: Time, from: SocketAddr, page: &Page, changes: usize) {
        let is_sync = page.last == u64::MAX && self.sync_from.is_some();
        if is_sync {
            self.sync_from = (page.next != 0).then_some(page.next);
        } else if page.next != 0 {
            let (first, last) = (page.next, page.last);
            self.send(from, Body::Pull(Pull { first, last }));
        }
        if changes > 0 {
            // More members may differ than gossip can carry.
            self.next_pull = now + self.opts.period;
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        if phase == Phase::Gone {
            self.announce_departure();
        } else if phase != self.me().phase {
            self.update_record(|record| record.phase = phase);
        }
    }

    fn announce_departure(&mut self) {
        let me = self.id();
        for to in self.random_peers(DEPARTURE_RECIPIENTS, me) {
            let msg = Message {
                from: me.0,
                updates: vec![view::departed(me)],
                ..Default::default()
            };
            self.out.push(Action::Send { to, msg });
        }
        self.evicted = true;
    }

    /// Changes this node's description of itself, in a new incarnation.
    fn update_record(&mut self, change: impl FnOnce(&mut Record)) {
        let me = self.view.me_mut();
        change(&mut me.record);
        me.incarnation = me.incarnation.saturating_add(1);
        self.gossip.add(self.id());
    }

    fn attest(&mut self, now: Time, body: Vec<u8>, at: Time) {
        if body.len() <= MAX_ATTESTATION_BYTES {
            self.attestations.attest(now, &self.opts, body, at);
        }
    }

    fn addr_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.view.get(id).map(|m| m.record.addr)
    }

    /// Addresses of up to `count` random alive peers other than `except`.
    fn random_peers(&mut self, count: usize, except: NodeId) -> Vec<SocketAddr> {
        let peers: Vec<SocketAddr> = self
            .view
            .peers()
            .filter(|m| m.reach == Reach::Alive && m.record.id != except)
            .map(|m| m.record.addr)
            .collect();
        self.rng.choose_multiple(peers, count)
    }

    fn send(&mut self, to: SocketAddr, body: Body) {
        self.send_with(to, body, None);
    }

    fn send_with(&mut self, to: SocketAddr, body: Body, first: Option<NodeId>) {
        let msg = self.message(body, first);
        self.out.push(Action::Send { to, msg });
    }

    /// A message with as many gossiped updates as fit; the one about `first` is always included.
    fn message(&mut self, body: Body, first: Option<NodeId>) -> Message {
        let sends = self.opts.sends(self.view.len());
        let load = self.view.me().load.map_or(0, |report| report.load.number());
        Message {
            from: self.id().0,
            load,
            updates: self.gossip.take(first, sends, self.opts.news_bytes, |id| {
                self.view.gossip_update(id)
            }),
            attestations: self.attestations.take_gossip(self.opts.report_slots, sends),
            body: Some(body),
        }
    }
}
