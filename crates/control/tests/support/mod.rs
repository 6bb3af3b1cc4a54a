//! Schedules of faults over a handful of nodes in three failure domains, in virtual time.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod history;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use cassiashunt_control::{
    Acceptance, ChangeAction, Claim, ClaimOptions, Control, Domain, FreshnessTracker, Heads,
    Outcome, Relay, RelayEntry, ShardKey, ShardKind, Stage, edit, freshness, msg, relay,
};
use cassiashunt_types::{FailureDomain, NodeId, Revision, ShardId, Time};
use history::{Accepted, Act, History, Run};

pub const NODES: usize = 12;
pub const NODES_PER_DOMAIN: usize = 4;
const DOMAINS: [&str; 3] = ["apapa", "ikeja", "lekki"];
const GOSSIP: u64 = 200_000;
const TICK: u64 = 50_000;
const REQUEST: u64 = 25_000;
const CALL_TIMEOUT: u64 = 800_000;
pub const SHARD: ShardKey = ShardKey {
    kind: ShardKind::Limit,
    id: ShardId(0),
};

#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub span: Duration,
    pub loss: u64,
    pub late: u64,
    pub skewed_clocks: bool,
    /// Nobody trusts the relays' word for their domains: the platform alone attests.
    pub platform_only: bool,
    pub faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 0,
            span: Duration::from_secs(16),
            loss: 0,
            late: 0,
            skewed_clocks: false,
            platform_only: false,
            faults: Vec::new(),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Fault {
    pub at: Time,
    pub kind: FaultKind,
}

#[derive(Debug, Clone)]
pub enum FaultKind {
    /// The node withdraws a key.
    Withdraw(usize),
    /// The node claims the shard, whatever became of its holder.
    Claim(usize),
    /// The node replaces the first relay by the second in its domain.
    Replace(usize, usize, usize),
    /// The node replaces whichever relay of its domain stands at this place by the second.
    ReplaceAt(usize, usize, usize),
    /// The node does nothing for this long; messages wait for it.
    Pause(usize, Duration),
    /// Messages pass only between nodes of the same side; each side may reach the platform.
    Split(Vec<bool>, [bool; 2], Duration),
    /// Messages from the first to the second are lost.
    Cut(usize, usize, Duration),
    /// Nobody reaches the platform.
    Outage(Duration),
    /// The node does not reach the platform.
    Blind(usize, Duration),
    /// Answers of the platform are lost on their way to the node.
    LostAnswers(usize, Duration),
    /// The node is gone.
    Kill(usize),
    /// The first stops as planned and hands its roles to the second.
    Stop(usize, usize),
    /// The platform is restored to what it held this many table revisions ago.
    Restore(u64),
}

#[derive(Debug, Clone)]
enum Message {
    Ping { asked: Time, wants_reports: bool },
    Pong(Pong),
    AskApplied { relay: NodeId },
    Applied(msg::Applied),
    HandOver(msg::HandOver),
}

#[derive(Debug, Clone)]
struct Pong {
    asked: Time,
    reports: Vec<msg::Report>,
    summary: Option<msg::Summary>,
    table: Revision,
    control: Control,
}

#[derive(Debug, Clone)]
enum Call {
    ReadHeads { asked: Time },
    ReadControl,
    Withdraw { expected: Revision, id: u64 },
    FindEdit { id: u64 },
    WriteControl { value: Control },
    WriteBack { table: Revision, control: Control },
}

#[derive(Debug, Clone)]
enum Answer {
    Heads {
        asked: Time,
        table: Revision,
        control: Control,
    },
    Control(Control),
    Withdrawn {
        id: u64,
        table: Option<Revision>,
    },
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Gossip(usize),
    Request(usize),
    Deliver(usize, usize, Message),
    AtPlatform(usize, Call),
    Answered(usize, Answer),
    CallTimeout(usize, Call),
    Fault(usize),
}

struct Node {
    id: NodeId,
    domain: FailureDomain,
    touch: FreshnessTracker,
    relay: Relay,
    control: Control,
    table: Revision,
    edits: BTreeMap<u64, Option<Acceptance>>,
    claim: Option<Claim>,
    offset: u64,
    per_mille: u64,
    paused_until: u64,
    blind_until: u64,
    deaf_until: u64,
}

#[derive(Debug, Clone, Default)]
struct Platform {
    table: Revision,
    edits: BTreeMap<u64, Revision>,
    control: Control,
}

pub struct World {
    plan: Plan,
    rng: fastrand::Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Node>,
    dead: BTreeSet<usize>,
    platform: Platform,
    past: Vec<Platform>,
    outage_until: u64,
    split: Option<(Vec<bool>, [bool; 2], u64)>,
    cuts: Vec<(usize, usize, u64)>,
    pub history: History,
}

pub fn run(plan: Plan) -> History {
    let mut world = World::new(plan);
    world.run();
    world.history
}

/// The failure domain of a node.
pub fn domain(node: usize) -> FailureDomain {
    DOMAINS[node / NODES_PER_DOMAIN]
        .parse()
        .expect("a plain word is a name")
}

fn id(node: usize) -> NodeId {
    NodeId(node as u64 + 100)
}

/// Three relays in each failure domain, none of them new.
pub fn first_control() -> Control {
    let entry = |node| RelayEntry {
        node: id(node),
        since: Revision(1),
    };
    let domain = |first: usize| Domain {
        name: domain(first),
        relays: (first..first + 3).map(entry).collect(),
        previous: Vec::new(),
    };
    Control {
        revision: Revision(1),
        domains: (0..3).map(|d| domain(d * NODES_PER_DOMAIN)).collect(),
        shards: Vec::new(),
    }
}

impl World {
    fn new(plan: Plan) -> Self {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let control = first_control();
        let nodes = (0..NODES)
            .map(|n| node(n, &mut rng, plan.skewed_clocks))
            .collect();
        Self {
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            nodes,
            dead: BTreeSet::new(),
            platform: Platform {
                table: Revision(1),
                edits: BTreeMap::new(),
                control,
            },
            past: Vec::new(),
            outage_until: 0,
            split: None,
            cuts: Vec::new(),
            history: History::default(),
            plan,
        }
    }

    fn run(&mut self) {
        let end = self.plan.span.as_micros() as u64;
        for node in 0..NODES {
            self.learn(node, Revision(1), &first_control());
            for event in [Event::Tick(node), Event::Gossip(node), Event::Request(node)] {
                let jitter = self.rng.u64(0..REQUEST);
                self.push(jitter, event);
            }
        }
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
            self.step(event);
        }
    }

    fn step(&mut self, event: Event) {
        if let Some(node) = actor(&event) {
            if self.dead.contains(&node) {
                return;
            }
            if self.now < self.nodes[node].paused_until {
                let wake = self.nodes[node].paused_until;
                return self.push(wake, event);
            }
        }
        match event {
            Event::Tick(node) => self.tick(node),
            Event::Gossip(node) => self.gossip(node),
            Event::Request(node) => self.request(node),
            Event::Deliver(from, to, message) => self.deliver(from, to, message),
            Event::AtPlatform(node, call) => self.at_platform(node, call),
            Event::Answered(node, answer) => self.answered(node, answer),
            Event::CallTimeout(node, call) => self.call_timeout(node, call),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue
            .push(Reverse((at.max(self.now), self.next_event)));
    }

    fn local(&self, node: usize) -> Time {
        let node = &self.nodes[node];
        Time::from_micros(node.offset + self.now * node.per_mille / 1_000)
    }

    fn true_now(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn tick(&mut self, node: usize) {
        let now = self.local(node);
        self.relay_event(node, relay::Event::Tick);
        for report in self.nodes[node].relay.reports(now) {
            self.nodes[node].touch.on_report(now, now, &report);
        }
        let mut asks = Vec::new();
        for accept in self.nodes[node].edits.values_mut().flatten() {
            asks.extend(accept.tick(now));
        }
        if let Some(claim) = &mut self.nodes[node].claim {
            asks.extend(claim.tick(now));
        }
        self.ask(node, asks);
        self.settle_edits(node);
        self.push(self.now + TICK, Event::Tick(node));
    }

    fn relay_event(&mut self, node: usize, event: relay::Event) {
        let now = self.local(node);
        for action in self.nodes[node].relay.on(now, event) {
            match action {
                relay::Action::ReadHeads => self.call(node, Call::ReadHeads { asked: now }),
                relay::Action::PrunePrevious { domain, relay } => {
                    if let Ok(value) =
                        edit::prune_previous(&self.nodes[node].control, domain, relay)
                    {
                        self.call(node, Call::WriteControl { value });
                    }
                }
                relay::Action::HandOver(msg) => {
                    let to = (msg.to - 100) as usize;
                    self.send(node, to, Message::HandOver(msg));
                }
                relay::Action::Reverted { .. } => {
                    let table = self.nodes[node].table;
                    let control = self.nodes[node].control.clone();
                    self.call(node, Call::WriteBack { table, control });
                }
            }
        }
    }

    fn ask(&mut self, node: usize, asks: Vec<ChangeAction>) {
        for ask in asks {
            match ask {
                ChangeAction::ReadControl => self.call(node, Call::ReadControl),
                ChangeAction::AskRelay(relay) => {
                    let to = (self.nodes[node].touch.bearer(relay).0 - 100) as usize;
                    self.send(node, to, Message::AskApplied { relay });
                }
                ChangeAction::WriteClaim => self.write_claim(node),
            }
        }
    }

    fn write_claim(&mut self, node: usize) {
        let me = &self.nodes[node];
        let Some(claim) = &me.claim else { return };
        let take_over = edit::TakeOver {
            key: SHARD,
            expected: claim.expected(),
            primary: me.id,
            backup: None,
            lossy: false,
        };
        match edit::take_over(&me.control, take_over) {
            Ok(value) => self.call(node, Call::WriteControl { value }),
            Err(_) => self.call(node, Call::ReadControl),
        }
    }

    /// Relays ask two relays and one near node for reports; others ask one near node and two of
    /// any, and are content with summaries.
    fn gossip(&mut self, node: usize) {
        let own = node / NODES_PER_DOMAIN * NODES_PER_DOMAIN;
        let near = self.rng.usize(own..own + NODES_PER_DOMAIN);
        let wants_reports = self.nodes[node].relay.is_relay() || self.plan.platform_only;
        let relays: Vec<usize> = self.nodes[node]
            .control
            .relays()
            .map(|relay| (self.nodes[node].touch.bearer(relay).0 - 100) as usize)
            .collect();
        for place in 0..3 {
            let to = match place {
                0 => near,
                _ if wants_reports && !relays.is_empty() => relays[self.rng.usize(0..relays.len())],
                _ => self.rng.usize(0..NODES),
            };
            let asked = self.local(node);
            let ping = Message::Ping {
                asked,
                wants_reports,
            };
            self.send(node, to, ping);
        }
        self.push(self.now + GOSSIP, Event::Gossip(node));
    }

    fn request(&mut self, node: usize) {
        let now = self.local(node);
        let me = &self.nodes[node];
        let applied = Heads {
            table: me.table,
            control: me.control.revision,
        };
        let at = self.true_now();
        if me.touch.check(now, applied).is_ok() {
            let table = me.table;
            self.history.runs.push(Run { at, node, table });
            if let Some(Stage::Ready(epoch)) = me.claim.as_ref().map(Claim::stage)
                && me.control.epoch(SHARD) == epoch
            {
                self.history.acts.push(Act { at, node, epoch });
            }
        } else {
            self.history.refusals.push(at);
        }
        self.push(self.now + REQUEST, Event::Request(node));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local(to);
        match message {
            Message::Ping {
                asked,
                wants_reports,
            } => {
                let me = &self.nodes[to];
                let mut reports = me.relay.reports(now);
                reports.extend(me.touch.latest_reports(now));
                reports.retain(|_| wants_reports);
                let summary = me.touch.summary(now).filter(|_| !self.plan.platform_only);
                let pong = Pong {
                    asked,
                    reports,
                    summary,
                    table: me.table,
                    control: me.control.clone(),
                };
                self.send(to, from, Message::Pong(pong));
            }
            Message::Pong(pong) => self.heard(to, pong),
            Message::AskApplied { relay } => {
                let all = self.nodes[to].relay.applied();
                if let Some(applied) = all.into_iter().find(|a| a.relay == relay.0) {
                    self.send(to, from, Message::Applied(applied));
                }
            }
            Message::Applied(applied) => self.on_relay_applied(to, &applied),
            Message::HandOver(msg) => self.relay_event(to, relay::Event::HandedOver(msg)),
        }
    }

    fn heard(&mut self, node: usize, pong: Pong) {
        let now = self.local(node);
        for report in pong.reports {
            self.nodes[node].touch.on_report(now, pong.asked, &report);
            self.relay_event(node, relay::Event::ReportReceived(report));
        }
        if let Some(summary) = pong.summary {
            self.nodes[node].touch.on_summary(now, pong.asked, &summary);
        }
        self.learn(node, pong.table, &pong.control);
    }

    fn on_relay_applied(&mut self, node: usize, applied: &msg::Applied) {
        let now = self.local(node);
        let mut asks = Vec::new();
        for accept in self.nodes[node].edits.values_mut().flatten() {
            asks.extend(accept.on_relay_applied(applied));
        }
        if let Some(claim) = &mut self.nodes[node].claim {
            asks.extend(claim.on_relay_applied(now, applied));
        }
        self.ask(node, asks);
        self.settle_edits(node);
    }

    /// The node applies what is newer than it has.
    fn learn(&mut self, node: usize, table: Revision, control: &Control) {
        let me = &mut self.nodes[node];
        let is_new = control.revision > me.control.revision;
        if table > me.table {
            me.table = table;
            me.touch.apply_table(table);
            self.relay_event(node, relay::Event::Table(table));
        }
        if is_new {
            let me = &mut self.nodes[node];
            me.control = control.clone();
            let mut trusted = control.clone();
            if self.plan.platform_only {
                trusted.domains.clear();
            }
            me.touch.apply_control(&trusted);
            self.relay_event(node, relay::Event::Control(control.clone()));
        }
    }

    fn settle_edits(&mut self, node: usize) {
        let at = self.true_now();
        let done: Vec<u64> = self.nodes[node]
            .edits
            .iter()
            .filter(|(_, accept)| {
                accept
                    .as_ref()
                    .is_some_and(|a| a.outcome() == Outcome::Accepted)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in done {
            self.nodes[node].edits.remove(&id);
            let table = self.edit_revision(id);
            self.history.accepted.push(Accepted { at, table });
        }
    }

    fn edit_revision(&self, id: u64) -> Revision {
        let all = self.past.iter().chain([&self.platform]);
        let found = all.filter_map(|platform| platform.edits.get(&id)).max();
        *found.expect("an accepted edit was durable once")
    }

    fn call(&mut self, node: usize, call: Call) {
        self.history.calls += 1;
        let delay = self.delay();
        self.push(
            self.now + CALL_TIMEOUT,
            Event::CallTimeout(node, call.clone()),
        );
        self.push(self.now + delay, Event::AtPlatform(node, call));
    }

    fn reaches_platform(&self, node: usize) -> bool {
        let by_side = self.split.as_ref().is_none_or(|(sides, reach, until)| {
            self.now >= *until || reach[usize::from(sides[node])]
        });
        by_side && self.now >= self.outage_until && self.now >= self.nodes[node].blind_until
    }

    fn at_platform(&mut self, node: usize, call: Call) {
        if !self.reaches_platform(node) {
            return;
        }
        let answer = self.platform.answer(&mut self.past, call);
        let is_deaf = self.now < self.nodes[node].deaf_until;
        if !is_deaf && self.rng.u64(0..100) >= self.plan.loss {
            let delay = self.delay();
            self.push(self.now + delay, Event::Answered(node, answer));
        }
    }

    fn answered(&mut self, node: usize, answer: Answer) {
        let now = self.local(node);
        match answer {
            Answer::Heads {
                asked,
                table,
                control,
            } => {
                let heads = Heads {
                    table,
                    control: control.revision,
                };
                self.relay_event(node, relay::Event::HeadsRead { asked, heads });
                self.learn(node, table, &control);
            }
            Answer::Control(control) => {
                let mut asks = Vec::new();
                for accept in self.nodes[node].edits.values_mut().flatten() {
                    asks.extend(accept.on_control_read(now, &control));
                }
                if let Some(claim) = &mut self.nodes[node].claim {
                    asks.extend(claim.on_control_read(now, &control));
                }
                self.learn(node, Revision(0), &control);
                self.ask(node, asks);
                self.settle_edits(node);
            }
            Answer::Withdrawn { id, table } => self.withdrawn(node, id, table),
        }
    }

    fn withdrawn(&mut self, node: usize, id: u64, table: Option<Revision>) {
        let now = self.local(node);
        let is_open = matches!(self.nodes[node].edits.get(&id), Some(None));
        let Some(table) = table.filter(|_| is_open) else {
            return;
        };
        self.learn(node, table, &Control::default());
        let me = &mut self.nodes[node];
        let mut accept = Acceptance::table(me.domain, table, &me.control);
        let asks = accept.on_durable(now);
        me.edits.insert(id, Some(accept));
        self.ask(node, asks);
    }

    /// The answer of an edit may be lost: look its id up, and never write it again.
    fn call_timeout(&mut self, node: usize, call: Call) {
        let id = match call {
            Call::Withdraw { id, .. } | Call::FindEdit { id } => id,
            _ => return,
        };
        if matches!(self.nodes[node].edits.get(&id), Some(None)) {
            self.call(node, Call::FindEdit { id });
        }
    }

    fn fault(&mut self, fault: usize) {
        let micros = |span: Duration| span.as_micros() as u64;
        let now = self.now;
        match self.plan.faults[fault].kind.clone() {
            FaultKind::Withdraw(node) => self.withdraw(node, fault as u64),
            FaultKind::Claim(node) => self.claim(node),
            FaultKind::Replace(node, out, into) => self.replace(node, id(out), id(into)),
            FaultKind::ReplaceAt(node, place, into) => {
                let relays = self.nodes[node].control.domain(domain(node));
                if let Some(out) = relays.and_then(|d| d.nodes().nth(place)) {
                    self.replace(node, out, id(into));
                }
            }
            FaultKind::Pause(node, span) => self.nodes[node].paused_until = now + micros(span),
            FaultKind::Split(sides, reach, span) => {
                self.split = Some((sides, reach, now + micros(span)));
            }
            FaultKind::Cut(from, to, span) => self.cuts.push((from, to, now + micros(span))),
            FaultKind::Outage(span) => self.outage_until = now + micros(span),
            FaultKind::Blind(node, span) => self.nodes[node].blind_until = now + micros(span),
            FaultKind::LostAnswers(node, span) => self.nodes[node].deaf_until = now + micros(span),
            FaultKind::Kill(node) => {
                self.dead.insert(node);
            }
            FaultKind::Stop(node, to) => {
                if !self.is_busy(node) {
                    let to = Some(id(to)).filter(|to| *to != id(node));
                    self.relay_event(node, relay::Event::Stop { to });
                }
            }
            FaultKind::Restore(back) => self.restore(back),
        }
    }

    fn is_busy(&self, node: usize) -> bool {
        self.dead.contains(&node) || self.now < self.nodes[node].paused_until
    }

    fn withdraw(&mut self, node: usize, id: u64) {
        if self.is_busy(node) {
            return;
        }
        let expected = self.nodes[node].table;
        self.nodes[node].edits.insert(id, None);
        self.call(node, Call::Withdraw { expected, id });
    }

    fn claim(&mut self, node: usize) {
        if self.is_busy(node) {
            return;
        }
        let now = self.local(node);
        let me = &mut self.nodes[node];
        let expected = me.control.epoch(SHARD);
        let mut claim = Claim::new(me.id, me.domain, SHARD, expected, ClaimOptions::default());
        let asks = claim.tick(now);
        me.claim = Some(claim);
        self.ask(node, asks);
    }

    fn replace(&mut self, node: usize, out: NodeId, into: NodeId) {
        let replace = edit::Replace {
            domain: domain(node),
            remove: Some(out),
            add: Some(into),
        };
        if self.is_busy(node) {
            return;
        }
        if let Ok(value) = edit::replace(&self.nodes[node].control, replace) {
            self.call(node, Call::WriteControl { value });
        }
    }

    fn restore(&mut self, back: u64) {
        let at = self.past.len().saturating_sub(back as usize);
        if let Some(past) = self.past.get(at).cloned() {
            self.past.push(self.platform.clone());
            self.platform = past;
        }
    }

    fn delay(&mut self) -> u64 {
        match self.rng.u64(0..100) < self.plan.late {
            true => self.rng.u64(0..4_000_000),
            false => self.rng.u64(300..5_000),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let apart = self
            .split
            .as_ref()
            .is_some_and(|(sides, _, until)| now < *until && sides[from] != sides[to]);
        let is_cut = self
            .cuts
            .iter()
            .any(|cut| cut.0 == from && cut.1 == to && now < cut.2);
        if apart || is_cut || self.rng.u64(0..100) < self.plan.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.u64(0..100) < self.plan.loss);
        for _ in 0..copies {
            let delay = self.delay();
            self.push(now + delay, Event::Deliver(from, to, message.clone()));
        }
    }
}

impl Platform {
    fn answer(&mut self, past: &mut Vec<Platform>, call: Call) -> Answer {
        match call {
            Call::ReadHeads { asked } => Answer::Heads {
                asked,
                table: self.table,
                control: self.control.clone(),
            },
            Call::ReadControl => Answer::Control(self.control.clone()),
            Call::FindEdit { id } => Answer::Withdrawn {
                id,
                table: self.edits.get(&id).copied(),
            },
            Call::Withdraw { expected, id } => {
                if self.table != expected || self.edits.contains_key(&id) {
                    return Answer::Withdrawn { id, table: None };
                }
                past.push(self.clone());
                self.table = expected.next();
                self.edits.insert(id, self.table);
                let table = Some(self.table);
                Answer::Withdrawn { id, table }
            }
            Call::WriteControl { value } => {
                if value.revision == self.control.revision.next() {
                    self.control = value;
                }
                Answer::Control(self.control.clone())
            }
            Call::WriteBack { table, control } => {
                self.table = self.table.max(table);
                if control.revision > self.control.revision {
                    self.control = control;
                }
                Answer::Control(self.control.clone())
            }
        }
    }
}

fn node(node: usize, rng: &mut fastrand::Rng, skewed: bool) -> Node {
    Node {
        id: id(node),
        domain: domain(node),
        touch: FreshnessTracker::new(freshness::Options::default()),
        relay: Relay::new(id(node), relay::Options::default()),
        control: Control::default(),
        table: Revision::default(),
        edits: BTreeMap::new(),
        claim: None,
        offset: if skewed { rng.u64(0..1_000_000_000) } else { 0 },
        per_mille: if skewed { rng.u64(990..=1_010) } else { 1_000 },
        paused_until: 0,
        blind_until: 0,
        deaf_until: 0,
    }
}

fn actor(event: &Event) -> Option<usize> {
    match event {
        Event::Tick(node) | Event::Gossip(node) | Event::Request(node) => Some(*node),
        Event::Deliver(_, to, _) => Some(*to),
        Event::Answered(node, _) | Event::CallTimeout(node, _) => Some(*node),
        Event::AtPlatform(..) | Event::Fault(_) => None,
    }
}

/// Draws withdrawals and claims among faults of every kind but a restored platform.
pub fn draw_faults(rng: &mut fastrand::Rng, span: Duration) -> Vec<Fault> {
    let mut faults: Vec<Fault> = (0..rng.usize(4..14)).map(|_| draw(rng, span)).collect();
    for _ in 0..5 {
        let kind = FaultKind::Withdraw(rng.usize(0..NODES));
        faults.push(at_random(rng, span, kind));
    }
    for _ in 0..2 {
        let kind = FaultKind::Claim(rng.usize(0..NODES));
        faults.push(at_random(rng, span, kind));
    }
    faults
}

fn draw(rng: &mut fastrand::Rng, span: Duration) -> Fault {
    let lasting = Duration::from_millis(rng.u64(50..7_000));
    let node = rng.usize(0..NODES);
    let other = rng.usize(0..NODES);
    let neighbour = node / NODES_PER_DOMAIN * NODES_PER_DOMAIN + rng.usize(0..NODES_PER_DOMAIN);
    let kind = match rng.u32(0..14) {
        0 | 1 => FaultKind::Pause(node, lasting),
        2 => FaultKind::Split(random_sides(rng), [true, false], lasting),
        3 => FaultKind::Split(domain_sides(rng), [true, false], lasting),
        4 => FaultKind::Split(random_sides(rng), [rng.bool(), rng.bool()], lasting),
        5 => FaultKind::Cut(node, other, lasting),
        6 => FaultKind::Outage(lasting),
        7 => FaultKind::Blind(node, lasting),
        8 => FaultKind::LostAnswers(node, lasting),
        9 => FaultKind::Kill(node),
        10 => FaultKind::Stop(node, neighbour),
        _ => FaultKind::ReplaceAt(node, rng.usize(0..3), neighbour),
    };
    at_random(rng, span, kind)
}

fn at_random(rng: &mut fastrand::Rng, span: Duration, kind: FaultKind) -> Fault {
    let at = Time::from_micros(rng.u64(1_500_000..span.as_micros() as u64));
    Fault { at, kind }
}

fn random_sides(rng: &mut fastrand::Rng) -> Vec<bool> {
    (0..NODES).map(|_| rng.bool()).collect()
}

fn domain_sides(rng: &mut fastrand::Rng) -> Vec<bool> {
    let sides: Vec<bool> = (0..3).map(|_| rng.bool()).collect();
    (0..NODES)
        .map(|node| sides[node / NODES_PER_DOMAIN])
        .collect()
}
