//! One node's membership.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;

use crate::{
    Action, Attestation, Change, Claim, Departure, Event, Load, LoadReport, Member, Options, Phase,
    Reach, Record,
    contests::Contests,
    load::Hint,
    msg::{self, Ack, Body, Message, Page, Ping, Pull, Relay, Update},
    probes::{Probe, Probes},
    recent::Recent,
    reports::{ATTESTATION_BYTES, Reports},
    rumors::Rumors,
    view::{self, Applied, View},
};

/// The most addresses that are kept from rosters.
const SEEDS: usize = 64;

/// Peers that are told goodbye directly.
const FAREWELLS: usize = 4;

/// One node's view of the fleet and its part in keeping it.
#[derive(Debug)]
pub struct Members {
    opts: Options,
    rng: fastrand::Rng,
    view: View,
    probes: Probes,
    rumors: Rumors,
    reports: Reports,
    contests: Contests,
    seeds: Vec<SocketAddr>,
    recent: Recent,
    last_tick: Option<Time>,
    last_revive: Time,
    next_pull: Time,
    /// The first id that the first copy of the members still lacks.
    copy_from: Option<u64>,
    evicted: bool,
    out: Vec<Action>,
}

impl Members {
    /// A node that knows only itself.
    #[must_use]
    pub fn new(opts: Options, me: Record, mut rng: fastrand::Rng) -> Self {
        let mut rumors = Rumors::new(me.id);
        rumors.add(me.id);
        Self {
            opts,
            reports: Reports::new(me.id),
            view: View::new(&opts, me),
            probes: Probes::new(&mut rng),
            rng,
            rumors,
            contests: Contests::default(),
            seeds: Vec::new(),
            recent: Recent::default(),
            last_tick: None,
            last_revive: Time::ZERO,
            next_pull: Time::ZERO,
            copy_from: Some(0),
            evicted: false,
            out: Vec::new(),
        }
    }

    /// Takes in one event and gives what follows.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if self.evicted {
            return Vec::new();
        }
        match event {
            Event::Tick => self.tick(now),
            Event::Receive { from, msg } => self.receive(now, from, msg),
            Event::Seeds(seeds) => self.add_seeds(now, &seeds),
            Event::SetPhase(phase) => self.set_phase(phase),
            Event::SetBackend { service, slots } => self.restate(|record| {
                record.service = service;
                record.slots = slots;
            }),
            Event::SetLoad(load) => self.view.set_own_load(now, load),
            Event::Attest { body, at } => self.attest(now, body, at),
            Event::StopAttesting => self.reports.remove(self.id()),
        }
        std::mem::take(&mut self.out)
    }

    /// This process.
    #[must_use]
    pub fn id(&self) -> NodeId {
        self.view.me().record.id
    }

    /// This node as it describes itself.
    #[must_use]
    pub fn me(&self) -> &Record {
        &self.view.me().record
    }

    /// The incarnation of this node's own statement.
    #[must_use]
    pub fn incarnation(&self) -> u32 {
        self.view.me().incarnation
    }

    /// One member, this node included.
    #[must_use]
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.view.get(id)
    }

    /// Every peer, in the order of ids; this node is not among them.
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

    /// Whether the first copy of the members has arrived.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.copy_from.is_none()
    }

    /// Whether the member is known to be gone for good.
    #[must_use]
    pub fn has_departed(&self, id: NodeId) -> bool {
        self.view.tombstones().contains(id)
    }

    /// Every attestation with its age, this node's own included.
    pub fn attestations(&self, now: Time) -> impl Iterator<Item = Attestation<'_>> + '_ {
        self.reports.iter(now)
    }

    /// The settings.
    #[must_use]
    pub fn options(&self) -> &Options {
        &self.opts
    }

    /// The bytes of state, without what allocators add.
    #[must_use]
    pub fn state_bytes(&self) -> usize {
        let member = size_of::<Member>() + 2 * size_of::<NodeId>() + size_of::<u32>();
        let tombstone = 2 * size_of::<NodeId>();
        let rumor = 3 * size_of::<NodeId>();
        size_of::<Self>()
            + self.view.len() * member
            + self.view.tombstones().len() * tombstone
            + self.rumors.len() * rumor
            + self.reports.state_bytes()
    }

    fn tick(&mut self, now: Time) {
        self.survive_pause(now);
        self.expire_probes(now);
        let applied = self.view.expire(now, &self.opts);
        self.take_in(applied);
        self.reports.expire(now, &self.opts);
        self.probe_next(now);
        self.revive(now);
        self.copy();
    }

    /// Draws no conclusion from silence while this process itself was not running.
    fn survive_pause(&mut self, now: Time) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        if now.since(last) >= self.opts.probe_timeout {
            self.probes.clear();
            self.contests.clear();
            self.view.restart_suspicions(now);
        }
    }

    fn expire_probes(&mut self, now: Time) {
        let overdue = self.probes.expire(now, &self.opts);
        for (seq, target) in overdue.relay {
            self.relay(seq, target);
        }
        for target in overdue.silent {
            self.contests.remove(target);
            self.suspect(now, target);
        }
    }

    fn suspect(&mut self, now: Time, target: NodeId) {
        let applied = self.view.suspect(now, target);
        let is_new = !applied.changes.is_empty();
        self.take_in(applied);
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

    /// Looks for members beyond a cut: one that is unreachable, and one from the rosters.
    fn revive(&mut self, now: Time) {
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
        let excess = self.seeds.len().saturating_sub(SEEDS);
        self.seeds.drain(..excess);
        self.ping_seed(now);
    }

    /// Asks for the next part of the first copy of the members.
    fn copy(&mut self) {
        let Some(first) = self.copy_from else {
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
        let want = self.reports.wants(&mut self.rng);
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
            self.answer_gone(from, &msg);
            return;
        }
        // What a first copy tells is known to the others already.
        let is_copy = self.copy_from.is_some() && matches!(msg.body, Some(Body::Page(_)));
        let before = self.out.len();
        for update in &msg.updates {
            self.apply(now, update, !is_copy);
        }
        let changes = self.out.len() - before;
        if self.evicted {
            return;
        }
        for report in &msg.attestations {
            self.store(now, report);
        }
        self.note_load(now, id, msg.load);
        match msg.body {
            Some(Body::Ping(ping)) => self.on_ping(now, from, id, &ping),
            Some(Body::Ack(ack)) => self.on_ack(now, from, id, &ack),
            Some(Body::Relay(relay)) => self.on_relay(now, from, &relay),
            Some(Body::Pull(pull)) => self.on_pull(from, &pull),
            Some(Body::Page(page)) => self.on_page(now, from, &page, changes),
            None => {}
        }
    }

    /// Tells a process that is held for gone; nothing else of what it says counts.
    fn answer_gone(&mut self, from: SocketAddr, msg: &Message) {
        if !matches!(msg.body, Some(Body::Ping(_))) {
            return;
        }
        let msg = Message {
            from: self.id().0,
            updates: vec![view::gone(NodeId(msg.from))],
            ..Default::default()
        };
        self.out.push(Action::Send { to: from, msg });
    }

    fn apply(&mut self, now: Time, update: &Update, is_news: bool) {
        if update.id == self.id().0 {
            self.hear_of_self(update);
            return;
        }
        let mut applied = self.view.apply(now, update);
        if applied.is_known {
            // The sender knows as much: one node less to tell.
            let sends = self.opts.sends(self.view.len());
            self.rumors.sent(NodeId(update.id), sends);
        }
        if !is_news {
            applied.news.clear();
        }
        if let Some(addr) = applied.contested {
            self.contest(now, addr, update);
        }
        self.take_in(applied);
    }

    /// Asks an address that two processes claim.
    fn contest(&mut self, now: Time, addr: SocketAddr, update: &Update) {
        if self.contests.add(now, addr, update) {
            self.ping_at(now, NodeId(update.id), addr);
        }
    }

    /// Removes the processes that came before the one that answered at `addr`.
    fn settle(&mut self, now: Time, addr: SocketAddr, holder: NodeId, asked: Time) {
        let applied = self.view.settle(addr, holder, asked);
        self.take_in(applied);
        let settled = self.contests.settle(addr, holder, asked);
        for id in settled.earlier {
            let mut applied = Applied::default();
            self.view.bury(id, Departure::Replaced, &mut applied);
            self.take_in(applied);
        }
        if let Some(update) = settled.holder {
            self.apply(now, &update, true);
        }
    }

    fn hear_of_self(&mut self, update: &Update) {
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
        self.rumors.add(self.id());
        self.out.push(Action::Refuted);
    }

    fn take_in(&mut self, applied: Applied) {
        for id in applied.news {
            self.rumors.add(id);
        }
        for id in applied.stale {
            self.rumors.add_if_absent(id);
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
                self.reports.remove(id);
                Action::Left(id, why)
            }
        };
        self.out.push(action);
    }

    fn store(&mut self, now: Time, report: &msg::Attestation) {
        let node = NodeId(report.node);
        if node != self.id() && !self.has_departed(node) {
            let sends = self.opts.sends(self.view.len());
            self.reports.store(now, &self.opts, report, sends);
        }
    }

    fn note_load(&mut self, now: Time, id: NodeId, number: u32) {
        let Some(load) = Load::from_number(number) else {
            return;
        };
        self.view.set_load(id, LoadReport { load, at: now });
        self.recent.add(id);
    }

    fn on_ping(&mut self, now: Time, from: SocketAddr, asker: NodeId, ping: &Ping) {
        let me = self.id();
        let is_meant = ping.to == me.0;
        if let Some(incarnation) = ping.suspect.filter(|_| is_meant) {
            self.refute(incarnation);
        }
        let is_news = !is_meant || ping.suspect.is_some();
        let bucket = self.some_bucket();
        let is_prober_unknown = self.view.get(asker).is_none();
        let ack = Ack {
            seq: ping.seq,
            responder: 0,
            is_prober_unknown,
            marks: self.reports.marks(now, self.opts.mark_slots),
            bucket,
            checksum: self.view.checksum(bucket),
            loads: self.hints(now, asker),
        };
        let wanted = self.reports.answer(&ping.want);
        let mut msg = self.message(Body::Ack(ack), is_news.then_some(me));
        for report in wanted {
            if !msg.attestations.contains(&report) {
                msg.attestations.push(report);
            }
        }
        if is_prober_unknown {
            // Lets a process that took an address over learn whose place it takes.
            msg.updates
                .extend(self.view.at_addr(from).map(Member::to_update));
        }
        self.out.push(Action::Send { to: from, msg });
    }

    fn some_bucket(&mut self) -> u32 {
        // A random id falls into a random bucket, but a small fleet leaves most of them empty.
        let start = NodeId(self.rng.u64(..));
        let mut after = self.view.range(start.0, u64::MAX);
        let member = after.next().unwrap_or_else(|| self.view.me());
        view::bucket_of(member.record.id)
    }

    /// Loads of some members heard of lately, packed.
    fn hints(&mut self, now: Time, asker: NodeId) -> Vec<u8> {
        let mut buf = Vec::new();
        for id in self
            .recent
            .choose(&mut self.rng, asker, self.opts.load_slots)
        {
            if let Some(report) = self.view.get(id).and_then(|m| m.load) {
                Hint::new(id, &report, now).write(&mut buf);
            }
        }
        buf
    }

    fn on_ack(&mut self, now: Time, from: SocketAddr, sender: NodeId, ack: &Ack) {
        if ack.is_prober_unknown {
            self.rumors.add_if_absent(self.id());
        }
        if let Some(probe) = self.probes.close(ack.seq) {
            self.on_answer(now, from, sender, ack, probe);
            self.compare(now, from, ack);
        } else if let Some(errand) = self.probes.close_errand(ack.seq) {
            let answer = Ack {
                seq: errand.seq,
                responder: errand.target.0,
                ..Default::default()
            };
            if sender == errand.target {
                self.send(errand.asker, Body::Ack(answer));
            }
        }
    }

    fn on_answer(&mut self, now: Time, from: SocketAddr, sender: NodeId, ack: &Ack, probe: Probe) {
        for node in self.reports.mark_all(now, probe.sent, &ack.marks) {
            self.out.push(Action::Attested(node));
        }
        for hint in Hint::read_all(&ack.loads) {
            self.view.set_load_by_tag(now, hint);
        }
        if ack.responder == 0 && from == probe.addr {
            self.settle(now, from, sender, probe.sent);
        }
    }

    /// Pulls a bucket in which the other node's members differ.
    fn compare(&mut self, now: Time, from: SocketAddr, ack: &Ack) {
        let is_due = now >= self.next_pull;
        if ack.checksum == 0 || !is_due || self.copy_from.is_some() {
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
        let seq = self.probes.open_errand(now, from, relay.seq, target);
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
        let is_copy = page.last == u64::MAX && self.copy_from.is_some();
        if is_copy {
            self.copy_from = (page.next != 0).then_some(page.next);
        } else if page.next != 0 {
            let (first, last) = (page.next, page.last);
            self.send(from, Body::Pull(Pull { first, last }));
        }
        if changes > 0 {
            // There may be more than news can carry.
            self.next_pull = now + self.opts.period;
        }
    }

    fn set_phase(&mut self, phase: Phase) {
        if phase == Phase::Gone {
            self.say_goodbye();
        } else if phase != self.me().phase {
            self.restate(|record| record.phase = phase);
        }
    }

    fn say_goodbye(&mut self) {
        let me = self.id();
        for to in self.random_peers(FAREWELLS, me) {
            let msg = Message {
                from: me.0,
                updates: vec![view::gone(me)],
                ..Default::default()
            };
            self.out.push(Action::Send { to, msg });
        }
        self.evicted = true;
    }

    /// Changes what this node says about itself.
    fn restate(&mut self, change: impl FnOnce(&mut Record)) {
        let me = self.view.me_mut();
        change(&mut me.record);
        me.incarnation = me.incarnation.saturating_add(1);
        self.rumors.add(self.id());
    }

    fn attest(&mut self, now: Time, body: Vec<u8>, at: Time) {
        if body.len() <= ATTESTATION_BYTES {
            self.reports.attest(now, &self.opts, body, at);
        }
    }

    fn addr_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.view.get(id).map(|m| m.record.addr)
    }

    /// Addresses of up to `count` random peers that answer, other than `except`.
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

    /// A message with as much news as fits; news about `first` in any case.
    fn message(&mut self, body: Body, first: Option<NodeId>) -> Message {
        let sends = self.opts.sends(self.view.len());
        let load = self.view.me().load.map_or(0, |report| report.load.number());
        Message {
            from: self.id().0,
            load,
            updates: self.rumors.take(first, sends, self.opts.news_bytes, |id| {
                self.view.news_of(id)
            }),
            attestations: self.reports.news(self.opts.report_slots, sends),
            body: Some(body),
        }
    }
}
