//! A simulation of twelve nodes in three failure domains under scheduled faults, in virtual time.

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
use history::{Accepted, History, HolderAction, Run};

pub const NODES: usize = 12;
pub const NODES_PER_DOMAIN: usize = 4;
const DOMAINS: [&str; 3] = ["apapa", "ikeja", "lekki"];
const GOSSIP_INTERVAL_MICROS: u64 = 200_000;
const TICK_INTERVAL_MICROS: u64 = 50_000;
const REQUEST_INTERVAL_MICROS: u64 = 25_000;
const CALL_TIMEOUT_MICROS: u64 = 800_000;
pub const SHARD: ShardKey = ShardKey {
    kind: ShardKind::Limit,
    id: ShardId(0),
};

#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub span: Duration,
    pub loss_percent: u64,
    pub late_percent: u64,
    pub skewed_clocks: bool,
    /// No node counts the reports of relays for their domains: only the platform attests freshness.
    pub platform_only: bool,
    pub faults: Vec<Fault>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 0,
            span: Duration::from_secs(16),
            loss_percent: 0,
            late_percent: 0,
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
    /// The node claims the shard, whatever the state of its holder.
    Claim(usize),
    /// The node replaces the second node by the third in the relay set of its domain.
    Replace(usize, usize, usize),
    /// The node replaces the relay at this index of its domain by the other node.
    ReplaceAt(usize, usize, usize),
    /// The node does nothing for this long; messages to it are delayed until then.
    Pause(usize, Duration),
    /// Messages pass only between nodes of the same side; the flags say which side reaches the
    /// platform.
    Partition(Vec<bool>, [bool; 2], Duration),
    /// Messages from the first node to the second are lost.
    LinkDown(usize, usize, Duration),
    /// No node reaches the platform.
    Outage(Duration),
    /// The node does not reach the platform.
    PlatformUnreachable(usize, Duration),
    /// Answers of the platform to the node are lost.
    LostAnswers(usize, Duration),
    /// The node ends and does not restart.
    Kill(usize),
    /// The first node begins a planned stop and hands its roles over to the second.
    Stop(usize, usize),
    /// The platform is restored to its state this many table revisions ago.
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
    tracker: FreshnessTracker,
    relay: Relay,
    control: Control,
    table: Revision,
    edits: BTreeMap<u64, Option<Acceptance>>,
    claim: Option<Claim>,
    clock_offset_micros: u64,
    clock_rate_per_mille: u64,
    paused_until: u64,
    platform_unreachable_until: u64,
    answers_lost_until: u64,
}

#[derive(Debug, Clone, Default)]
struct Platform {
    table: Revision,
    edits: BTreeMap<u64, Revision>,
    control: Control,
}

pub struct Simulation {
    plan: Plan,
    rng: fastrand::Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    nodes: Vec<Node>,
    killed: BTreeSet<usize>,
    platform: Platform,
    previous_states: Vec<Platform>,
    outage_until: u64,
    partition: Option<(Vec<bool>, [bool; 2], u64)>,
    links_down: Vec<(usize, usize, u64)>,
    pub history: History,
}

pub fn run(plan: Plan) -> History {
    let mut simulation = Simulation::new(plan);
    simulation.run();
    simulation.history
}

/// The failure domain of a node.
pub fn domain(node: usize) -> FailureDomain {
    DOMAINS[node / NODES_PER_DOMAIN]
        .parse()
        .expect("a lower-case word is a valid label")
}

fn id(node: usize) -> NodeId {
    NodeId(node as u64 + 100)
}

/// Three relays in each failure domain, without previous relay sets.
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

impl Simulation {
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
            killed: BTreeSet::new(),
            platform: Platform {
                table: Revision(1),
                edits: BTreeMap::new(),
                control,
            },
            previous_states: Vec::new(),
            outage_until: 0,
            partition: None,
            links_down: Vec::new(),
            history: History::default(),
            plan,
        }
    }

    fn run(&mut self) {
        let end = self.plan.span.as_micros() as u64;
        for node in 0..NODES {
            self.apply_newer(node, Revision(1), &first_control());
            for event in [Event::Tick(node), Event::Gossip(node), Event::Request(node)] {
                let jitter = self.rng.u64(0..REQUEST_INTERVAL_MICROS);
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
            let event = self
                .events
                .remove(&id)
                .expect("event is queued more than once");
            self.step(event);
        }
    }

    fn step(&mut self, event: Event) {
        if let Some(node) = actor(&event) {
            if self.killed.contains(&node) {
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

    fn local_time(&self, node: usize) -> Time {
        let node = &self.nodes[node];
        Time::from_micros(node.clock_offset_micros + self.now * node.clock_rate_per_mille / 1_000)
    }

    fn true_now(&self) -> Time {
        Time::from_micros(self.now)
    }

    fn tick(&mut self, node: usize) {
        let now = self.local_time(node);
        self.relay_event(node, relay::Event::Tick);
        for report in self.nodes[node].relay.reports(now) {
            self.nodes[node].tracker.on_report(now, now, &report);
        }
        let mut actions = Vec::new();
        for acceptance in self.nodes[node].edits.values_mut().flatten() {
            actions.extend(acceptance.tick(now));
        }
        if let Some(claim) = &mut self.nodes[node].claim {
            actions.extend(claim.tick(now));
        }
        self.perform(node, actions);
        self.complete_edits(node);
        self.push(self.now + TICK_INTERVAL_MICROS, Event::Tick(node));
    }

    fn relay_event(&mut self, node: usize, event: relay::Event) {
        let now = self.local_time(node);
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

    fn perform(&mut self, node: usize, actions: Vec<ChangeAction>) {
        for action in actions {
            match action {
                ChangeAction::ReadControl => self.call(node, Call::ReadControl),
                ChangeAction::AskRelay(relay) => {
                    let to = (self.nodes[node].tracker.bearer(relay).0 - 100) as usize;
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

    /// Relays query two relays and one node of their own domain for reports; other nodes query one
    /// node of their own domain and two random nodes for summaries.
    fn gossip(&mut self, node: usize) {
        let own = node / NODES_PER_DOMAIN * NODES_PER_DOMAIN;
        let own_domain_node = self.rng.usize(own..own + NODES_PER_DOMAIN);
        let wants_reports = self.nodes[node].relay.is_relay() || self.plan.platform_only;
        let relays: Vec<usize> = self.nodes[node]
            .control
            .relays()
            .map(|relay| (self.nodes[node].tracker.bearer(relay).0 - 100) as usize)
            .collect();
        for index in 0..3 {
            let to = match index {
                0 => own_domain_node,
                _ if wants_reports && !relays.is_empty() => relays[self.rng.usize(0..relays.len())],
                _ => self.rng.usize(0..NODES),
            };
            let asked = self.local_time(node);
            let ping = Message::Ping {
                asked,
                wants_reports,
            };
            self.send(node, to, ping);
        }
        self.push(self.now + GOSSIP_INTERVAL_MICROS, Event::Gossip(node));
    }

    fn request(&mut self, node: usize) {
        let now = self.local_time(node);
        let me = &self.nodes[node];
        let applied = Heads {
            table: me.table,
            control: me.control.revision,
        };
        let at = self.true_now();
        if me.tracker.check(now, applied).is_ok() {
            let table = me.table;
            self.history.runs.push(Run { at, node, table });
            if let Some(Stage::Ready(epoch)) = me.claim.as_ref().map(Claim::stage)
                && me.control.epoch(SHARD) == epoch
            {
                self.history
                    .holder_actions
                    .push(HolderAction { at, node, epoch });
            }
        } else {
            self.history.refusals.push(at);
        }
        self.push(self.now + REQUEST_INTERVAL_MICROS, Event::Request(node));
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local_time(to);
        match message {
            Message::Ping {
                asked,
                wants_reports,
            } => {
                let me = &self.nodes[to];
                let mut reports = me.relay.reports(now);
                reports.extend(me.tracker.latest_reports(now));
                reports.retain(|_| wants_reports);
                let summary = me.tracker.summary(now).filter(|_| !self.plan.platform_only);
                let pong = Pong {
                    asked,
                    reports,
                    summary,
                    table: me.table,
                    control: me.control.clone(),
                };
                self.send(to, from, Message::Pong(pong));
            }
            Message::Pong(pong) => self.on_pong(to, pong),
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

    fn on_pong(&mut self, node: usize, pong: Pong) {
        let now = self.local_time(node);
        for report in pong.reports {
            self.nodes[node].tracker.on_report(now, pong.asked, &report);
            self.relay_event(node, relay::Event::ReportReceived(report));
        }
        if let Some(summary) = pong.summary {
            self.nodes[node]
                .tracker
                .on_summary(now, pong.asked, &summary);
        }
        self.apply_newer(node, pong.table, &pong.control);
    }

    fn on_relay_applied(&mut self, node: usize, applied: &msg::Applied) {
        let now = self.local_time(node);
        let mut actions = Vec::new();
        for acceptance in self.nodes[node].edits.values_mut().flatten() {
            actions.extend(acceptance.on_relay_applied(applied));
        }
        if let Some(claim) = &mut self.nodes[node].claim {
            actions.extend(claim.on_relay_applied(now, applied));
        }
        self.perform(node, actions);
        self.complete_edits(node);
    }

    /// The node applies the revisions that are newer than its own.
    fn apply_newer(&mut self, node: usize, table: Revision, control: &Control) {
        let me = &mut self.nodes[node];
        let is_new = control.revision > me.control.revision;
        if table > me.table {
            me.table = table;
            me.tracker.apply_table(table);
            self.relay_event(node, relay::Event::Table(table));
        }
        if is_new {
            let me = &mut self.nodes[node];
            me.control = control.clone();
            let mut trusted = control.clone();
            if self.plan.platform_only {
                trusted.domains.clear();
            }
            me.tracker.apply_control(&trusted);
            self.relay_event(node, relay::Event::Control(control.clone()));
        }
    }

    fn complete_edits(&mut self, node: usize) {
        let at = self.true_now();
        let done: Vec<u64> = self.nodes[node]
            .edits
            .iter()
            .filter(|(_, acceptance)| {
                acceptance
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
        let all = self.previous_states.iter().chain([&self.platform]);
        let found = all.filter_map(|platform| platform.edits.get(&id)).max();
        *found.expect("an accepted edit is in no state of the platform")
    }

    fn call(&mut self, node: usize, call: Call) {
        self.history.calls += 1;
        let delay = self.delay();
        self.push(
            self.now + CALL_TIMEOUT_MICROS,
            Event::CallTimeout(node, call.clone()),
        );
        self.push(self.now + delay, Event::AtPlatform(node, call));
    }

    fn reaches_platform(&self, node: usize) -> bool {
        let by_side = self.partition.as_ref().is_none_or(|(sides, reach, until)| {
            self.now >= *until || reach[usize::from(sides[node])]
        });
        by_side
            && self.now >= self.outage_until
            && self.now >= self.nodes[node].platform_unreachable_until
    }

    fn at_platform(&mut self, node: usize, call: Call) {
        if !self.reaches_platform(node) {
            return;
        }
        let answer = self.platform.answer(&mut self.previous_states, call);
        let is_answer_lost = self.now < self.nodes[node].answers_lost_until;
        if !is_answer_lost && self.rng.u64(0..100) >= self.plan.loss_percent {
            let delay = self.delay();
            self.push(self.now + delay, Event::Answered(node, answer));
        }
    }

    fn answered(&mut self, node: usize, answer: Answer) {
        let now = self.local_time(node);
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
                self.apply_newer(node, table, &control);
            }
            Answer::Control(control) => {
                let mut actions = Vec::new();
                for acceptance in self.nodes[node].edits.values_mut().flatten() {
                    actions.extend(acceptance.on_control_read(now, &control));
                }
                if let Some(claim) = &mut self.nodes[node].claim {
                    actions.extend(claim.on_control_read(now, &control));
                }
                self.apply_newer(node, Revision(0), &control);
                self.perform(node, actions);
                self.complete_edits(node);
            }
            Answer::Withdrawn { id, table } => self.withdrawn(node, id, table),
        }
    }

    fn withdrawn(&mut self, node: usize, id: u64, table: Option<Revision>) {
        let now = self.local_time(node);
        let is_open = matches!(self.nodes[node].edits.get(&id), Some(None));
        let Some(table) = table.filter(|_| is_open) else {
            return;
        };
        self.apply_newer(node, table, &Control::default());
        let me = &mut self.nodes[node];
        let mut acceptance = Acceptance::table(me.domain, table, &me.control);
        let actions = acceptance.on_durable(now);
        me.edits.insert(id, Some(acceptance));
        self.perform(node, actions);
    }

    /// The answer to an edit may be lost: look the edit up by its id instead of writing it again.
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
            FaultKind::ReplaceAt(node, index, into) => {
                let relays = self.nodes[node].control.domain(domain(node));
                if let Some(out) = relays.and_then(|d| d.nodes().nth(index)) {
                    self.replace(node, out, id(into));
                }
            }
            FaultKind::Pause(node, span) => self.nodes[node].paused_until = now + micros(span),
            FaultKind::Partition(sides, reach, span) => {
                self.partition = Some((sides, reach, now + micros(span)));
            }
            FaultKind::LinkDown(from, to, span) => {
                self.links_down.push((from, to, now + micros(span)))
            }
            FaultKind::Outage(span) => self.outage_until = now + micros(span),
            FaultKind::PlatformUnreachable(node, span) => {
                self.nodes[node].platform_unreachable_until = now + micros(span)
            }
            FaultKind::LostAnswers(node, span) => {
                self.nodes[node].answers_lost_until = now + micros(span)
            }
            FaultKind::Kill(node) => {
                self.killed.insert(node);
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
        self.killed.contains(&node) || self.now < self.nodes[node].paused_until
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
        let now = self.local_time(node);
        let me = &mut self.nodes[node];
        let expected = me.control.epoch(SHARD);
        let mut claim = Claim::new(me.id, me.domain, SHARD, expected, ClaimOptions::default());
        let actions = claim.tick(now);
        me.claim = Some(claim);
        self.perform(node, actions);
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
        let at = self.previous_states.len().saturating_sub(back as usize);
        if let Some(state) = self.previous_states.get(at).cloned() {
            self.previous_states.push(self.platform.clone());
            self.platform = state;
        }
    }

    fn delay(&mut self) -> u64 {
        match self.rng.u64(0..100) < self.plan.late_percent {
            true => self.rng.u64(0..4_000_000),
            false => self.rng.u64(300..5_000),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let is_partitioned = self
            .partition
            .as_ref()
            .is_some_and(|(sides, _, until)| now < *until && sides[from] != sides[to]);
        let is_link_down = self
            .links_down
            .iter()
            .any(|down| down.0 == from && down.1 == to && now < down.2);
        if is_partitioned || is_link_down || self.rng.u64(0..100) < self.plan.loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.u64(0..100) < self.plan.loss_percent);
        for _ in 0..copies {
            let delay = self.delay();
            self.push(now + delay, Event::Deliver(from, to, message.clone()));
        }
    }
}

impl Platform {
    fn answer(&mut self, previous_states: &mut Vec<Platform>, call: Call) -> Answer {
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
                previous_states.push(self.clone());
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
        tracker: FreshnessTracker::new(freshness::Options::default()),
        relay: Relay::new(id(node), relay::Options::default()),
        control: Control::default(),
        table: Revision::default(),
        edits: BTreeMap::new(),
        claim: None,
        clock_offset_micros: if skewed { rng.u64(0..1_000_000_000) } else { 0 },
        clock_rate_per_mille: if skewed { rng.u64(990..=1_010) } else { 1_000 },
        paused_until: 0,
        platform_unreachable_until: 0,
        answers_lost_until: 0,
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

/// Random withdrawals and claims among faults of every kind except a restored platform.
pub fn random_faults(rng: &mut fastrand::Rng, span: Duration) -> Vec<Fault> {
    let mut faults: Vec<Fault> = (0..rng.usize(4..14))
        .map(|_| random_fault(rng, span))
        .collect();
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

fn random_fault(rng: &mut fastrand::Rng, span: Duration) -> Fault {
    let fault_span = Duration::from_millis(rng.u64(50..7_000));
    let node = rng.usize(0..NODES);
    let other = rng.usize(0..NODES);
    let neighbour = node / NODES_PER_DOMAIN * NODES_PER_DOMAIN + rng.usize(0..NODES_PER_DOMAIN);
    let kind = match rng.u32(0..14) {
        0 | 1 => FaultKind::Pause(node, fault_span),
        2 => FaultKind::Partition(random_sides(rng), [true, false], fault_span),
        3 => FaultKind::Partition(domain_sides(rng), [true, false], fault_span),
        4 => FaultKind::Partition(random_sides(rng), [rng.bool(), rng.bool()], fault_span),
        5 => FaultKind::LinkDown(node, other, fault_span),
        6 => FaultKind::Outage(fault_span),
        7 => FaultKind::PlatformUnreachable(node, fault_span),
        8 => FaultKind::LostAnswers(node, fault_span),
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
