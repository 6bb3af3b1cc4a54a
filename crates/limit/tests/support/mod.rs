//! Simulation of holders and authorities in virtual time under a schedule of faults. It records a
//! history of requests for the checks.

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

/// An authority acts only while its last answer from the register is younger than this.
pub const FRESHNESS: Duration = Duration::from_secs(2);
const POLL_INTERVAL_MICROS: u64 = 10_000;
const REGISTER_READ_INTERVAL_MICROS: u64 = 200_000;
const REQUEST_WAIT_MICROS: u64 = 10_000;

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub holders: usize,
    pub span: Duration,
    pub limit: Limit,
    pub start: InitialTokens,
    /// Client requests per second, total of all holders.
    pub demand_per_sec: u64,
    /// Percentage of the requests that arrive at the first holder. The others are spread evenly.
    pub skew_percent: u64,
    /// Probability in percent that a message is lost, and equally that it is duplicated.
    pub loss_percent: u64,
    pub delay_micros: std::ops::Range<u64>,
    /// Probability in percent that a message is delayed by up to three seconds.
    pub late_percent: u64,
    pub skewed_clocks: bool,
    pub minute_ends: Time,
    pub faults: Vec<Fault>,
}

impl Default for Scenario {
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
            demand_per_sec: 250,
            skew_percent: 50,
            loss_percent: 0,
            delay_micros: 300..1_500,
            late_percent: 0,
            skewed_clocks: false,
            minute_ends: Time::from_millis(60_000),
            faults: Vec::new(),
        }
    }
}

/// A fault and when it occurs, in true time.
#[derive(Debug, Clone)]
pub struct Fault {
    pub at: Time,
    pub kind: FaultKind,
}

#[derive(Debug, Clone)]
pub enum FaultKind {
    /// The node does nothing for this long. Its messages are delivered afterwards.
    Pause(usize, Duration),
    /// Messages from the first to the second node are lost for this long.
    CutLink(usize, usize, Duration),
    /// The node is cut off from all other nodes, in both directions, and from the register.
    Isolate(usize, Duration),
    /// The authority can't reach the register, but reaches all other nodes.
    CutFromRegister(usize, Duration),
    /// The node stops permanently.
    Kill(usize),
    /// The next authority claims the shard, whether or not the present one still runs.
    Claim,
    /// The present authority makes a planned stop and hands over to the next.
    HandOver,
    /// The platform answers no requests. Relays still do.
    PlatformOutage(Duration),
    /// The limit in the table is edited.
    Edit(Limit),
}

#[derive(Debug, Clone)]
enum Event {
    Poll(usize),
    Request(usize),
    LastAttempt(usize, usize),
    ToAuthority(usize, usize, msg::HolderFrame),
    ToHolder(usize, usize, msg::AuthorityFrame),
    HandedOver(usize, msg::HandOver),
    Announce(usize),
    EpochAnnounced(usize, usize, Epoch),
    ReadRegister(usize),
    Fault(usize),
}

struct Clock {
    offset_micros: u64,
    per_mille: u64,
}

impl Clock {
    fn local(&self, at: u64) -> Time {
        Time::from_micros(self.offset_micros + at * self.per_mille / 1_000)
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
    last_read: Option<(Time, Epoch)>,
}

pub struct Simulation {
    scenario: Scenario,
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
    killed: BTreeSet<usize>,
    cut_links: Vec<(usize, usize, u64)>,
    isolated_until: Vec<u64>,
    register_cut_until: Vec<u64>,
    outage_until: u64,
    register: (Epoch, usize),
    limit: Limit,
    pub history: History,
}

/// Runs a scenario to its end.
pub fn run(scenario: Scenario) -> History {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.history
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let nodes = scenario.holders + 3;
        let counts_minutes = matches!(scenario.limit, Limit::Minute { .. });
        let clocks = (0..nodes).map(|node| {
            let is_authority = node >= scenario.holders;
            let skewed = scenario.skewed_clocks && !(is_authority && counts_minutes);
            clock(&mut rng, skewed)
        });
        let clocks = clocks.collect();
        let holders = (0..scenario.holders).map(holder_node).collect();
        let authorities = (0..3).map(|_| authority_node()).collect();
        let key = Key::workspace("hoa-sen".parse().expect("the label is valid"));
        let key = match scenario.limit {
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
            killed: BTreeSet::new(),
            cut_links: Vec::new(),
            isolated_until: vec![0; nodes],
            register_cut_until: vec![0; nodes],
            outage_until: 0,
            register: (Epoch(0), 0),
            limit: scenario.limit,
            history: History {
                edits: vec![Edit {
                    at: Time::ZERO,
                    limit: scenario.limit,
                }],
                ..History::default()
            },
            scenario,
        }
    }

    fn run(&mut self) {
        let end = self.scenario.span.as_micros() as u64;
        self.claim(0);
        self.authorities[0].ready_at = Time::ZERO;
        for holder in 0..self.scenario.holders {
            let jitter = self.rng.u64(0..POLL_INTERVAL_MICROS);
            self.push(jitter, Event::Poll(holder));
        }
        for candidate in 0..3 {
            self.push(0, Event::ReadRegister(candidate));
            self.push(1_000, Event::Announce(candidate));
        }
        self.push_request(end);
        for fault in 0..self.scenario.faults.len() {
            let at = self.scenario.faults[fault].at.as_micros();
            self.push(at, Event::Fault(fault));
        }
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            let event = self
                .events
                .remove(&id)
                .expect("each queued id has one event");
            self.step(event, end);
        }
    }

    fn step(&mut self, event: Event, end: u64) {
        if let Some(node) = self.actor(&event) {
            if self.killed.contains(&node) {
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
            Event::LastAttempt(holder, request) => self.retry(holder, request, Attempt::Last),
            Event::ToAuthority(from, to, frame) => self.handle_holder_frame(from, to, &frame),
            Event::ToHolder(_, to, frame) => self.handle_authority_frame(to, &frame),
            Event::HandedOver(candidate, msg) => self.handle_hand_over(candidate, &msg),
            Event::Announce(candidate) => self.announce(candidate),
            Event::EpochAnnounced(from, to, epoch) => self.handle_epoch(from, to, epoch),
            Event::ReadRegister(candidate) => self.read_register(candidate),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn actor(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Poll(holder) | Event::LastAttempt(holder, _) => Some(*holder),
            Event::ToHolder(_, to, _) | Event::EpochAnnounced(_, to, _) => Some(*to),
            Event::ToAuthority(_, to, _) => Some(self.node(*to)),
            Event::Announce(c) | Event::ReadRegister(c) | Event::HandedOver(c, _) => {
                Some(self.node(*c))
            }
            Event::Request(_) | Event::Fault(_) => None,
        }
    }

    fn node(&self, candidate: usize) -> usize {
        self.scenario.holders + candidate
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
        let max_interval_micros = 2_000_000 / self.scenario.demand_per_sec.max(1);
        let at = self.now + self.rng.u64(0..max_interval_micros.max(2));
        let first = self.rng.u64(0..100) < self.scenario.skew_percent;
        let holder = match first {
            true => 0,
            false => self.rng.usize(0..self.scenario.holders),
        };
        if at < end {
            self.push(at, Event::Request(holder));
        }
    }

    fn request(&mut self, holder: usize, end: u64) {
        self.push_request(end);
        let is_up = !self.killed.contains(&holder) && self.now >= self.paused_until[holder];
        if !is_up {
            return;
        }
        let request = self.history.record_arrival(Time::from_micros(self.now));
        self.attempt(holder, request, Attempt::First);
    }

    fn attempt(&mut self, holder: usize, request: usize, attempt: Attempt) {
        let local = self.local(holder);
        let keys = [self.key];
        match self.holders[holder]
            .holder
            .try_take(local, &keys, 1, attempt)
        {
            Decision::Taken => self
                .history
                .record_admission(request, Time::from_micros(self.now)),
            Decision::Refused(refusal) => self.history.record_refusal(request, refusal.reason),
            Decision::Wait => {
                self.holders[holder].waiting.push(request);
                if attempt == Attempt::First {
                    self.push(
                        self.now + REQUEST_WAIT_MICROS,
                        Event::LastAttempt(holder, request),
                    );
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
        self.push(self.now + POLL_INTERVAL_MICROS, Event::Poll(holder));
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

    fn handle_holder_frame(&mut self, from: usize, candidate: usize, frame: &msg::HolderFrame) {
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

    /// Whether the authority may grant now: its wait after the claim is over, and it has a fresh
    /// answer of the register that names its epoch. Creates the authority on first success.
    fn may_act(&mut self, candidate: usize, local: Time) -> bool {
        let state = &mut self.authorities[candidate];
        let is_fresh = state
            .last_read
            .is_some_and(|(at, epoch)| epoch == state.epoch && local.since(at) < FRESHNESS);
        let may = state.epoch != Epoch(0) && is_fresh && local >= state.ready_at;
        if may && state.authority.is_none() {
            let minute_ends = self.scenario.minute_ends;
            let mut authority =
                Authority::new(state.epoch, minute_ends, authority::Options::default());
            let start = match state.epoch {
                Epoch(1) => self.scenario.start,
                _ => InitialTokens::Empty,
            };
            authority.set_limit(local, self.key, self.limit, start);
            state.authority = Some(authority);
        }
        may
    }

    fn handle_authority_frame(&mut self, holder: usize, frame: &msg::AuthorityFrame) {
        let local = self.local(holder);
        self.holders[holder].holder.handle_frame(local, frame);
        let waiting = std::mem::take(&mut self.holders[holder].waiting);
        for request in waiting {
            self.attempt(holder, request, Attempt::Retry);
        }
    }

    fn announce(&mut self, candidate: usize) {
        self.announce_epoch(candidate);
        self.push(
            self.now + POLL_INTERVAL_MICROS * 10,
            Event::Announce(candidate),
        );
    }

    fn announce_epoch(&mut self, candidate: usize) {
        let node = self.node(candidate);
        let local = self.local(node);
        if !self.may_act(candidate, local) {
            return;
        }
        let epoch = self.authorities[candidate].epoch;
        for holder in 0..self.scenario.holders {
            self.send(
                node,
                holder,
                Event::EpochAnnounced(candidate, holder, epoch),
            );
        }
    }

    fn handle_epoch(&mut self, candidate: usize, holder: usize, epoch: Epoch) {
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
        let relay_answers = self.rng.u64(0..100) < 90;
        let is_up = self.now >= self.outage_until || relay_answers;
        if is_up && self.now >= self.isolated_until[node].max(self.register_cut_until[node]) {
            self.authorities[candidate].last_read = Some((local, self.register.0));
        }
        self.push(
            self.now + REGISTER_READ_INTERVAL_MICROS,
            Event::ReadRegister(candidate),
        );
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
            last_read: None,
        };
    }

    fn fault(&mut self, fault: usize) {
        let micros = |span: Duration| span.as_micros() as u64;
        match self.scenario.faults[fault].kind.clone() {
            FaultKind::Pause(node, span) => self.paused_until[node] = self.now + micros(span),
            FaultKind::CutLink(from, to, span) => {
                self.cut_links.push((from, to, self.now + micros(span)))
            }
            FaultKind::Isolate(node, span) => self.isolated_until[node] = self.now + micros(span),
            FaultKind::CutFromRegister(node, span) => {
                self.register_cut_until[node] = self.now + micros(span)
            }
            FaultKind::Kill(node) => {
                self.killed.insert(node);
            }
            FaultKind::Claim => self.claim_by_next(),
            FaultKind::HandOver => self.hand_over(),
            FaultKind::PlatformOutage(span) => self.outage_until = self.now + micros(span),
            FaultKind::Edit(limit) => self.edit(limit),
        }
    }

    fn claim_by_next(&mut self) {
        let next = (self.register.1 + 1) % 3;
        let node = self.node(next);
        let can_write = self.now >= self.isolated_until[node] && self.now >= self.outage_until;
        if can_write && !self.killed.contains(&node) {
            self.claim(next);
        }
    }

    fn hand_over(&mut self) {
        let candidate = self.register.1;
        let node = self.node(candidate);
        let is_up = !self.killed.contains(&node) && self.now >= self.paused_until[node];
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

    fn handle_hand_over(&mut self, candidate: usize, msg: &msg::HandOver) {
        let node = self.node(candidate);
        let can_write = self.now >= self.isolated_until[node] && self.now >= self.outage_until;
        if self.register.0 != Epoch(msg.epoch) || !can_write {
            return;
        }
        self.claim(candidate);
        let local = self.local(node);
        let epoch = self.register.0;
        let minute_ends = self.scenario.minute_ends;
        let mut authority = Authority::new(epoch, minute_ends, authority::Options::default());
        authority.set_limit(local, self.key, self.limit, msg.initial_tokens(&self.key));
        self.authorities[candidate] = AuthorityNode {
            epoch,
            authority: Some(authority),
            ready_at: local,
            last_read: Some((local, epoch)),
        };
        self.announce_epoch(candidate);
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
            .cut_links
            .iter()
            .any(|link| link.0 == from && link.1 == to && now < link.2);
        let is_isolated = now < self.isolated_until[from] || now < self.isolated_until[to];
        if is_cut || is_isolated || self.rng.u64(0..100) < self.scenario.loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.u64(0..100) < self.scenario.loss_percent);
        for _ in 0..copies {
            let is_late = self.rng.u64(0..100) < self.scenario.late_percent;
            let delay_micros = match is_late {
                true => self.rng.u64(0..3_000_000),
                false => self.rng.u64(self.scenario.delay_micros.clone()),
            };
            self.push(now + delay_micros, event.clone());
        }
    }
}

fn clock(rng: &mut fastrand::Rng, skewed: bool) -> Clock {
    Clock {
        offset_micros: if skewed { rng.u64(0..1_000_000_000) } else { 0 },
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
        last_read: None,
    }
}

fn cell_of(key: Key) -> Key {
    let route = "rental-desk/deposit".parse().expect("the label is valid");
    let class = "reservation".parse().expect("the label is valid");
    Key::cell(key.workspace, route, class)
}

/// Draws random faults of every kind except edits; some overlap.
pub fn draw_faults(rng: &mut fastrand::Rng, holders: usize, span: Duration) -> Vec<Fault> {
    let count = rng.usize(2..8);
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_fault(rng, holders, span)).collect();
    for _ in 0..2 {
        let at = Time::from_micros(rng.u64(0..span.as_micros() as u64));
        faults.push(Fault {
            at,
            kind: FaultKind::Claim,
        });
    }
    faults
}

fn draw_fault(rng: &mut fastrand::Rng, holders: usize, span: Duration) -> Fault {
    let at = Time::from_micros(rng.u64(0..span.as_micros() as u64));
    let length = Duration::from_millis(rng.u64(50..5_000));
    let any = rng.usize(0..holders + 3);
    let authority = holders + rng.usize(0..3);
    let holder = rng.usize(0..holders);
    let kind = match rng.u32(0..11) {
        0 => FaultKind::Pause(any, length),
        1 => FaultKind::Pause(authority, length),
        2 => FaultKind::CutLink(holder, authority, length),
        3 => FaultKind::CutLink(authority, holder, length),
        4 => FaultKind::Isolate(authority, length),
        5 => FaultKind::Isolate(holder, length),
        6 => FaultKind::CutFromRegister(authority, length),
        7 | 8 => FaultKind::HandOver,
        9 => FaultKind::PlatformOutage(length),
        _ => FaultKind::Kill(any),
    };
    Fault { at, kind }
}

/// Whether a refusal was due to a limit.
pub fn is_over(reason: Reason) -> bool {
    matches!(reason, Reason::OverLimit | Reason::OverMinute)
}
