//! Schedules of faults over holders and authorities in virtual time, and the histories they leave.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod history;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use cassiashunt_limit::{
    Attempt, Authority, Decision, Holder, InitialTokens, Key, Limit, authority, holder, msg,
};
use cassiashunt_types::{ClockDrift, Epoch, NodeId, Reason, Time};
use history::{Edit, History};

/// F: how old the last answer of the register may be for an authority to act.
pub const FRESHNESS: Duration = Duration::from_secs(2);
const POLL: u64 = 10_000;
const READ: u64 = 200_000;
const PATIENCE: u64 = 10_000;

/// What a schedule may bring about.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub holders: usize,
    pub span: Duration,
    pub limit: Limit,
    pub start: InitialTokens,
    /// Requests a second over all holders.
    pub demand: u64,
    /// Share of the requests that come to the first holder, in percent.
    pub skew: u64,
    /// Chance in percent that a message is lost, and as much that it is doubled.
    pub loss: u64,
    pub delay: std::ops::Range<u64>,
    /// Chance in percent of a delay of up to three seconds.
    pub late: u64,
    pub skewed_clocks: bool,
    pub minute_ends: Time,
    pub faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 0,
            holders: 5,
            span: Duration::from_secs(16),
            limit: Limit::Rate {
                per_sec: 100,
                burst: 60,
            },
            start: InitialTokens::Full,
            demand: 250,
            skew: 50,
            loss: 0,
            delay: 300..1_500,
            late: 0,
            skewed_clocks: false,
            minute_ends: Time::from_millis(60_000),
            faults: Vec::new(),
        }
    }
}

/// A fault with its true time.
#[derive(Debug, Clone)]
pub struct Fault {
    pub at: Time,
    pub kind: FaultKind,
}

#[derive(Debug, Clone)]
pub enum FaultKind {
    /// The node does nothing for this long; messages wait for it.
    Pause(usize, Duration),
    /// Messages from the first to the second are lost for this long.
    Cut(usize, usize, Duration),
    /// The node is cut off both ways from everybody and from the register.
    Isolate(usize, Duration),
    /// The authority does not reach the register, but everybody else.
    Blind(usize, Duration),
    /// The node is gone for good.
    Kill(usize),
    /// Another authority claims the shard, whatever became of the present one.
    Succeed,
    /// The present authority stops as planned and hands over to the next.
    HandOver,
    /// The platform answers nobody; the relays still do.
    Outage(Duration),
    /// The table is edited.
    Edit(Limit),
}

#[derive(Debug, Clone)]
enum Event {
    Poll(usize),
    Request(usize),
    LastTry(usize, usize),
    ToAuthority(usize, usize, msg::HolderFrame),
    ToHolder(usize, usize, msg::AuthorityFrame),
    HandedOver(usize, msg::HandOver),
    Announce(usize),
    Follow(usize, usize, Epoch),
    ReadRegister(usize),
    Fault(usize),
}

struct Clock {
    offset: u64,
    per_mille: u64,
}

impl Clock {
    fn local(&self, at: u64) -> Time {
        Time::from_micros(self.offset + at * self.per_mille / 1_000)
    }
}

struct HolderNode {
    holder: Holder,
    authority: Option<usize>,
    waiting: Vec<usize>,
}

struct AuthorityNode {
    epoch: Epoch,
    authority: Option<Authority>,
    ready_at: Time,
    read: Option<(Time, Epoch)>,
}

pub struct World {
    plan: Plan,
    key: Key,
    rng: fastrand::Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    clocks: Vec<Clock>,
    holders: Vec<HolderNode>,
    authorities: Vec<AuthorityNode>,
    paused_until: Vec<u64>,
    dead: BTreeSet<usize>,
    cuts: Vec<(usize, usize, u64)>,
    isolated: Vec<u64>,
    blind: Vec<u64>,
    outage_until: u64,
    register: (Epoch, usize),
    limit: Limit,
    pub history: History,
}

/// Runs a plan to its end.
pub fn run(plan: Plan) -> History {
    let mut world = World::new(plan);
    world.run();
    world.history
}

impl World {
    fn new(plan: Plan) -> Self {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let nodes = plan.holders + 3;
        let counts_minutes = matches!(plan.limit, Limit::Minute { .. });
        let clocks = (0..nodes).map(|node| {
            let is_authority = node >= plan.holders;
            let skewed = plan.skewed_clocks && !(is_authority && counts_minutes);
            clock(&mut rng, skewed)
        });
        let clocks = clocks.collect();
        let holders = (0..plan.holders).map(holder_node).collect();
        let authorities = (0..3).map(|_| authority_node()).collect();
        let key = Key::workspace("hoa-sen".parse().expect("a plain word is a name"));
        let key = match plan.limit {
            Limit::Rate { .. } => key,
            Limit::Minute { .. } => cell_of(key),
        };
        Self {
            key,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            clocks,
            holders,
            authorities,
            paused_until: vec![0; nodes],
            dead: BTreeSet::new(),
            cuts: Vec::new(),
            isolated: vec![0; nodes],
            blind: vec![0; nodes],
            outage_until: 0,
            register: (Epoch(0), 0),
            limit: plan.limit,
            history: History {
                edits: vec![Edit {
                    at: Time::ZERO,
                    limit: plan.limit,
                }],
                ..History::default()
            },
            plan,
        }
    }

    fn run(&mut self) {
        let end = self.plan.span.as_micros() as u64;
        self.claim(0);
        self.authorities[0].ready_at = Time::ZERO;
        for holder in 0..self.plan.holders {
            let jitter = self.rng.u64(0..POLL);
            self.push(jitter, Event::Poll(holder));
        }
        for candidate in 0..3 {
            self.push(0, Event::ReadRegister(candidate));
            self.push(1_000, Event::Announce(candidate));
        }
        self.push_request(end);
        for fault in 0..self.plan.faults.len() {
            let at = self.plan.faults[fault].at.as_micros();
            self.push(at, Event::Fault(fault));
        }
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let event = self.events.remove(&id).expect("each id is queued once");
            self.step(event, end);
        }
    }

    fn step(&mut self, event: Event, end: u64) {
        if let Some(node) = self.actor(&event) {
            if self.dead.contains(&node) {
                return;
            }
            if self.now < self.paused_until[node] {
                let wake = self.paused_until[node];
                return self.push(wake, event);
            }
        }
        match event {
            Event::Poll(holder) => self.poll(holder),
            Event::Request(holder) => self.request(holder, end),
            Event::LastTry(holder, request) => self.retry(holder, request, Attempt::Last),
            Event::ToAuthority(from, to, frame) => self.at_authority(from, to, &frame),
            Event::ToHolder(_, to, frame) => self.at_holder(to, &frame),
            Event::HandedOver(candidate, msg) => self.handed_over(candidate, &msg),
            Event::Announce(candidate) => self.announce(candidate),
            Event::Follow(from, to, epoch) => self.follow(from, to, epoch),
            Event::ReadRegister(candidate) => self.read_register(candidate),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn actor(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Poll(holder) | Event::LastTry(holder, _) => Some(*holder),
            Event::ToHolder(_, to, _) | Event::Follow(_, to, _) => Some(*to),
            Event::ToAuthority(_, to, _) => Some(self.node(*to)),
            Event::Announce(c) | Event::ReadRegister(c) | Event::HandedOver(c, _) => {
                Some(self.node(*c))
            }
            Event::Request(_) | Event::Fault(_) => None,
        }
    }

    fn node(&self, candidate: usize) -> usize {
        self.plan.holders + candidate
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((at.max(self.now), self.next_event)));
    }

    fn local(&self, node: usize) -> Time {
        self.clocks[node].local(self.now)
    }

    fn push_request(&mut self, end: u64) {
        let gap = 2_000_000 / self.plan.demand.max(1);
        let at = self.now + self.rng.u64(0..gap.max(2));
        let first = self.rng.u64(0..100) < self.plan.skew;
        let holder = match first {
            true => 0,
            false => self.rng.usize(0..self.plan.holders),
        };
        if at < end {
            self.push(at, Event::Request(holder));
        }
    }

    fn request(&mut self, holder: usize, end: u64) {
        self.push_request(end);
        let is_up = !self.dead.contains(&holder) && self.now >= self.paused_until[holder];
        if !is_up {
            return;
        }
        let request = self.history.arrive(Time::from_micros(self.now));
        self.attempt(holder, request, Attempt::First);
    }

    fn attempt(&mut self, holder: usize, request: usize, attempt: Attempt) {
        let local = self.local(holder);
        let keys = [self.key];
        match self.holders[holder]
            .holder
            .try_take(local, &keys, 1, attempt)
        {
            Decision::Taken => self.history.admit(request, Time::from_micros(self.now)),
            Decision::Refused(refusal) => self.history.refuse(request, refusal.reason),
            Decision::Wait => {
                self.holders[holder].waiting.push(request);
                if attempt == Attempt::First {
                    self.push(self.now + PATIENCE, Event::LastTry(holder, request));
                    self.send_frame(holder);
                }
            }
        }
    }

    fn retry(&mut self, holder: usize, request: usize, attempt: Attempt) {
        let waiting = &mut self.holders[holder].waiting;
        let Some(at) = waiting.iter().position(|other| *other == request) else {
            return;
        };
        waiting.remove(at);
        self.attempt(holder, request, attempt);
    }

    fn poll(&mut self, holder: usize) {
        self.send_frame(holder);
        self.push(self.now + POLL, Event::Poll(holder));
    }

    fn send_frame(&mut self, holder: usize) {
        let local = self.local(holder);
        let node = &mut self.holders[holder];
        let (Some(frame), Some(to)) = (node.holder.poll(local), node.authority) else {
            return;
        };
        self.history.messages += 1;
        let to_node = self.node(to);
        self.send(holder, to_node, Event::ToAuthority(holder, to, frame));
    }

    fn at_authority(&mut self, from: usize, candidate: usize, frame: &msg::HolderFrame) {
        let node = self.node(candidate);
        let local = self.local(node);
        if !self.may_act(candidate, local) {
            return;
        }
        let authority = self.authorities[candidate].authority.as_mut();
        let answer = authority.and_then(|authority| authority.handle_frame(local, frame));
        if let Some(answer) = answer {
            self.history.messages += 1;
            self.send(node, from, Event::ToHolder(node, from, answer));
        }
    }

    /// The fence: ready, and an answer of the register that names this epoch is fresh.
    fn may_act(&mut self, candidate: usize, local: Time) -> bool {
        let state = &mut self.authorities[candidate];
        let is_fresh = state
            .read
            .is_some_and(|(asked, epoch)| epoch == state.epoch && local.since(asked) < FRESHNESS);
        let may = state.epoch != Epoch(0) && is_fresh && local >= state.ready_at;
        if may && state.authority.is_none() {
            let minute_ends = self.plan.minute_ends;
            let mut authority =
                Authority::new(state.epoch, minute_ends, authority::Options::default());
            let start = match state.epoch {
                Epoch(1) => self.plan.start,
                _ => InitialTokens::Empty,
            };
            authority.set_limit(local, self.key, self.limit, start);
            state.authority = Some(authority);
        }
        may
    }

    fn at_holder(&mut self, holder: usize, frame: &msg::AuthorityFrame) {
        let local = self.local(holder);
        self.holders[holder].holder.handle_frame(local, frame);
        let waiting = std::mem::take(&mut self.holders[holder].waiting);
        for request in waiting {
            self.attempt(holder, request, Attempt::Retry);
        }
    }

    fn announce(&mut self, candidate: usize) {
        self.tell_holders(candidate);
        self.push(self.now + POLL * 10, Event::Announce(candidate));
    }

    fn tell_holders(&mut self, candidate: usize) {
        let node = self.node(candidate);
        let local = self.local(node);
        if !self.may_act(candidate, local) {
            return;
        }
        let epoch = self.authorities[candidate].epoch;
        for holder in 0..self.plan.holders {
            self.send(node, holder, Event::Follow(candidate, holder, epoch));
        }
    }

    fn follow(&mut self, candidate: usize, holder: usize, epoch: Epoch) {
        let node = &mut self.holders[holder];
        let known = node.authority.map(|known| self.authorities[known].epoch);
        if known.is_none_or(|known| epoch > known) {
            node.authority = Some(candidate);
            node.holder.follow_epoch(epoch);
        }
    }

    fn read_register(&mut self, candidate: usize) {
        let node = self.node(candidate);
        let local = self.local(node);
        let by_relays = self.rng.u64(0..100) < 90;
        let is_up = self.now >= self.outage_until || by_relays;
        if is_up && self.now >= self.isolated[node].max(self.blind[node]) {
            self.authorities[candidate].read = Some((local, self.register.0));
        }
        self.push(self.now + READ, Event::ReadRegister(candidate));
    }

    fn claim(&mut self, candidate: usize) {
        let node = self.node(candidate);
        let local = self.local(node);
        self.register = (self.register.0.next(), candidate);
        let validity = authority::Options::default().validity;
        let wait = ClockDrift::default().max_elapsed(FRESHNESS + validity);
        self.authorities[candidate] = AuthorityNode {
            epoch: self.register.0,
            authority: None,
            ready_at: local + wait,
            read: None,
        };
    }

    fn fault(&mut self, fault: usize) {
        let micros = |span: Duration| span.as_micros() as u64;
        match self.plan.faults[fault].kind.clone() {
            FaultKind::Pause(node, span) => self.paused_until[node] = self.now + micros(span),
            FaultKind::Cut(from, to, span) => self.cuts.push((from, to, self.now + micros(span))),
            FaultKind::Isolate(node, span) => self.isolated[node] = self.now + micros(span),
            FaultKind::Blind(node, span) => self.blind[node] = self.now + micros(span),
            FaultKind::Kill(node) => {
                self.dead.insert(node);
            }
            FaultKind::Succeed => self.succeed(),
            FaultKind::HandOver => self.hand_over(),
            FaultKind::Outage(span) => self.outage_until = self.now + micros(span),
            FaultKind::Edit(limit) => self.edit(limit),
        }
    }

    fn succeed(&mut self) {
        let next = (self.register.1 + 1) % 3;
        let node = self.node(next);
        let can_write = self.now >= self.isolated[node] && self.now >= self.outage_until;
        if can_write && !self.dead.contains(&node) {
            self.claim(next);
        }
    }

    fn hand_over(&mut self) {
        let candidate = self.register.1;
        let node = self.node(candidate);
        let is_up = !self.dead.contains(&node) && self.now >= self.paused_until[node];
        let local = self.local(node);
        let state = &mut self.authorities[candidate];
        let Some(authority) = state.authority.take().filter(|_| is_up) else {
            return;
        };
        state.epoch = Epoch(0);
        let next = (candidate + 1) % 3;
        let msg = authority.hand_over(local);
        self.send(node, self.node(next), Event::HandedOver(next, msg));
    }

    fn handed_over(&mut self, candidate: usize, msg: &msg::HandOver) {
        let node = self.node(candidate);
        let can_write = self.now >= self.isolated[node] && self.now >= self.outage_until;
        if self.register.0 != Epoch(msg.epoch) || !can_write {
            return;
        }
        self.claim(candidate);
        let local = self.local(node);
        let epoch = self.register.0;
        let minute_ends = self.plan.minute_ends;
        let mut authority = Authority::new(epoch, minute_ends, authority::Options::default());
        authority.set_limit(local, self.key, self.limit, msg.initial_tokens(&self.key));
        self.authorities[candidate] = AuthorityNode {
            epoch,
            authority: Some(authority),
            ready_at: local,
            read: Some((local, epoch)),
        };
        self.tell_holders(candidate);
    }

    fn edit(&mut self, limit: Limit) {
        self.limit = limit;
        let at = Time::from_micros(self.now);
        self.history.edits.push(Edit { at, limit });
        for candidate in 0..3 {
            let local = self.local(self.node(candidate));
            if let Some(authority) = &mut self.authorities[candidate].authority {
                authority.set_limit(local, self.key, limit, InitialTokens::Empty);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let now = self.now;
        let is_cut = self
            .cuts
            .iter()
            .any(|cut| cut.0 == from && cut.1 == to && now < cut.2);
        let is_apart = now < self.isolated[from] || now < self.isolated[to];
        if is_cut || is_apart || self.rng.u64(0..100) < self.plan.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.u64(0..100) < self.plan.loss);
        for _ in 0..copies {
            let late = self.rng.u64(0..100) < self.plan.late;
            let delay = match late {
                true => self.rng.u64(0..3_000_000),
                false => self.rng.u64(self.plan.delay.clone()),
            };
            self.push(now + delay, event.clone());
        }
    }
}

fn clock(rng: &mut fastrand::Rng, skewed: bool) -> Clock {
    Clock {
        offset: if skewed { rng.u64(0..1_000_000_000) } else { 0 },
        per_mille: if skewed { rng.u64(990..=1_010) } else { 1_000 },
    }
}

fn holder_node(id: usize) -> HolderNode {
    HolderNode {
        holder: Holder::new(NodeId(id as u64 + 1), holder::Options::default()),
        authority: None,
        waiting: Vec::new(),
    }
}

fn authority_node() -> AuthorityNode {
    AuthorityNode {
        epoch: Epoch(0),
        authority: None,
        ready_at: Time::ZERO,
        read: None,
    }
}

fn cell_of(key: Key) -> Key {
    let route = "rental-desk/deposit"
        .parse()
        .expect("a plain word is a name");
    let class = "reservation".parse().expect("a plain word is a name");
    Key::cell(key.workspace, route, class)
}

/// Draws faults of every kind, some at once.
pub fn draw_faults(rng: &mut fastrand::Rng, holders: usize, span: Duration) -> Vec<Fault> {
    let count = rng.usize(2..8);
    let mut faults: Vec<Fault> = (0..count).map(|_| draw(rng, holders, span)).collect();
    for _ in 0..2 {
        let at = Time::from_micros(rng.u64(0..span.as_micros() as u64));
        faults.push(Fault {
            at,
            kind: FaultKind::Succeed,
        });
    }
    faults
}

fn draw(rng: &mut fastrand::Rng, holders: usize, span: Duration) -> Fault {
    let at = Time::from_micros(rng.u64(0..span.as_micros() as u64));
    let lasting = Duration::from_millis(rng.u64(50..5_000));
    let any = rng.usize(0..holders + 3);
    let authority = holders + rng.usize(0..3);
    let holder = rng.usize(0..holders);
    let kind = match rng.u32(0..11) {
        0 => FaultKind::Pause(any, lasting),
        1 => FaultKind::Pause(authority, lasting),
        2 => FaultKind::Cut(holder, authority, lasting),
        3 => FaultKind::Cut(authority, holder, lasting),
        4 => FaultKind::Isolate(authority, lasting),
        5 => FaultKind::Isolate(holder, lasting),
        6 => FaultKind::Blind(authority, lasting),
        7 | 8 => FaultKind::HandOver,
        9 => FaultKind::Outage(lasting),
        _ => FaultKind::Kill(any),
    };
    Fault { at, kind }
}

/// Whether a reason tells the caller that it was over its limit.
pub fn is_over(reason: Reason) -> bool {
    matches!(reason, Reason::OverLimit | Reason::OverMinute)
}
