//! Simulation of nodes, a network, a platform and callers in virtual time, with injected faults.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use cassiashunt_once::{
    Attempt, Decision, Key, Outcome, Outgoing, Request, home::Options, issue, msg::Message,
    shard_of,
};
use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, Time, Verdict, Workspace};

pub mod history;
pub mod node;

use history::{CallerResult, History, Run};
use node::{Control, Node, SHARD, Swap};

const FAILURE_DOMAINS: usize = 3;
const TICK_MICROS: u64 = 20_000;
const TICKS_PER_CONTROL_READ: u64 = 10;

/// The kind of a fault.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// The node crashes; a new one starts in its place.
    Crash,
    /// The node handles no event for a while.
    Pause,
    /// The node does not reach the platform for a while.
    CutFromPlatform,
    /// The node does not reach other nodes for a while.
    Isolate,
    /// All other nodes that reach the platform consider the node failed for a while.
    Suspect,
}

/// The nodes a fault affects.
#[derive(Debug, Clone, Copy)]
pub enum Target {
    Slot(usize),
    Primary,
    Backup,
    Both,
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: Time,
    pub kind: FaultKind,
    pub target: Target,
    pub span: Duration,
}

#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub nodes: usize,
    pub keys: usize,
    pub sends_per_key: usize,
    pub span: Duration,
    pub options: Options,
    /// Percentage of messages that are lost, and likewise duplicated and delayed.
    pub network_fault_percent: u32,
    pub faults: Vec<Fault>,
}

#[derive(Debug)]
enum Event {
    Deliver(NodeId, Message),
    Request {
        slot: usize,
        key: usize,
    },
    Tick {
        slot: usize,
        count: u64,
    },
    Read {
        node: NodeId,
        asked: Time,
        control: Control,
    },
    Swap(Swap),
    Run {
        node: NodeId,
        attempt: Attempt,
    },
    Ended {
        node: NodeId,
        attempt: Attempt,
        outcome: Outcome,
    },
    Fault(Fault),
}

struct Slot {
    node: Node,
    running: BTreeMap<Attempt, (usize, usize)>,
    /// Rate of the node's clock, in thousandths of the true rate.
    clock_rate_thousandths: u64,
    paused_until: Time,
    cut_from_platform_until: Time,
    isolated_until: Time,
    suspected_until: Time,
}

struct Simulation {
    rng: fastrand::Rng,
    scenario: Scenario,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    slots: Vec<Slot>,
    slot_of: BTreeMap<NodeId, usize>,
    crashed: BTreeMap<NodeId, Time>,
    control: Control,
    key_texts: Vec<Option<String>>,
    send_count: usize,
    history: History,
}

/// Draws random faults, most of them at the home and its backup.
pub fn draw_faults(
    rng: &mut fastrand::Rng,
    nodes: usize,
    span: Duration,
    count: usize,
) -> Vec<Fault> {
    let draw = |_| Fault {
        at: Time::from_micros(rng.u64(1_000_000..span.as_micros() as u64)),
        kind: [
            FaultKind::Crash,
            FaultKind::Pause,
            FaultKind::CutFromPlatform,
            FaultKind::Isolate,
            FaultKind::Suspect,
        ][rng.usize(0..5)],
        target: match rng.u32(0..8) {
            0..3 => Target::Primary,
            3..5 => Target::Backup,
            5 => Target::Both,
            _ => Target::Slot(rng.usize(0..nodes)),
        },
        span: Duration::from_millis(rng.u64(200..4_000)),
    };
    (0..count).map(draw).collect()
}

pub fn run(scenario: Scenario) -> History {
    let mut sim = Simulation::new(scenario);
    while let Some(Reverse((at, number))) = sim.queue.pop() {
        let event = sim
            .events
            .remove(&number)
            .expect("each event is queued once");
        sim.now = at;
        if at > Time::ZERO + sim.scenario.span {
            break;
        }
        sim.handle(event);
    }
    sim.history
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut sim = Self {
            rng: fastrand::Rng::with_seed(scenario.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            slots: Vec::new(),
            slot_of: BTreeMap::new(),
            crashed: BTreeMap::new(),
            control: Control::default(),
            key_texts: vec![None; scenario.keys],
            send_count: 0,
            history: History::default(),
            scenario,
        };
        for slot in 0..sim.scenario.nodes {
            let id = sim.rng.u64(..);
            let rate = sim.rng.u64(991..=1009);
            sim.slots.push(Slot {
                node: Node::new(NodeId(id), sim.scenario.options),
                running: BTreeMap::new(),
                clock_rate_thousandths: rate,
                paused_until: Time::ZERO,
                cut_from_platform_until: Time::ZERO,
                isolated_until: Time::ZERO,
                suspected_until: Time::ZERO,
            });
            sim.slot_of.insert(NodeId(id), slot);
            let at = Duration::from_micros(sim.rng.u64(0..TICK_MICROS));
            sim.after(at, Event::Tick { slot, count: 0 });
        }
        let last = sim.scenario.span.as_micros() as u64 * 9 / 10;
        for key in 0..sim.scenario.keys {
            let first = sim.rng.u64(2_000_000..last);
            for _ in 0..sim.scenario.sends_per_key {
                let near = first + sim.rng.u64(0..3_000_000);
                let at = if sim.rng.bool() {
                    near
                } else {
                    sim.rng.u64(first..=last)
                };
                let slot = sim.rng.usize(0..sim.scenario.nodes);
                sim.after(Duration::from_micros(at), Event::Request { slot, key });
            }
        }
        for fault in sim.scenario.faults.clone() {
            sim.after(fault.at.since(Time::ZERO), Event::Fault(fault));
        }
        sim
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((self.now + span, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn local_time(&self, slot: usize) -> Time {
        Time::from_micros(self.now.as_micros() * self.slots[slot].clock_rate_thousandths / 1_000)
    }

    fn delay(&mut self) -> Duration {
        let is_late = self.rng.u32(0..100) < self.scenario.network_fault_percent;
        let max_micros = if is_late { 3_000_000 } else { 4_000 };
        Duration::from_micros(self.rng.u64(300..max_micros))
    }

    /// The slot an event is for; `None` for a crashed node.
    fn slot_of_event(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Deliver(node, _)
            | Event::Read { node, .. }
            | Event::Run { node, .. }
            | Event::Ended { node, .. } => self.slot_of.get(node).copied(),
            Event::Request { slot, .. } | Event::Tick { slot, .. } => Some(*slot),
            Event::Swap(_) | Event::Fault(_) => None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => return self.apply_fault(fault),
            Event::Swap(swap) => return self.swap(swap),
            _ => {}
        }
        let Some(slot) = self.slot_of_event(&event) else {
            return;
        };
        let until = self.slots[slot].paused_until;
        if self.now < until {
            let jitter = Duration::from_micros(self.rng.u64(0..200));
            return self.after(until.since(self.now) + jitter, event);
        }
        let now = self.local_time(slot);
        match event {
            Event::Deliver(_, msg) => {
                let sends = self.slots[slot].node.handle_message(now, &msg);
                self.send(slot, sends);
            }
            Event::Read { asked, control, .. } => {
                self.slots[slot].node.apply_control(now, asked, control)
            }
            Event::Request { key, .. } => self.request(slot, now, key),
            Event::Tick { count, .. } => self.tick(slot, now, count),
            Event::Run { attempt, .. } => self.start(slot, attempt),
            Event::Ended {
                attempt, outcome, ..
            } => self.end(slot, now, attempt, outcome),
            Event::Swap(_) | Event::Fault(_) => {}
        }
    }

    fn send(&mut self, from: usize, sends: Vec<Outgoing>) {
        for send in sends {
            let Some(to) = self.slot_of.get(&send.to).copied() else {
                continue;
            };
            let is_cut = |slot: usize| self.slots[slot].isolated_until > self.now;
            let is_lost = self.rng.u32(0..100) < self.scenario.network_fault_percent;
            if to != from && (is_cut(to) || is_cut(from) || is_lost) {
                continue;
            }
            let is_duplicated = self.rng.u32(0..100) < self.scenario.network_fault_percent;
            for _ in 0..=usize::from(is_duplicated) {
                let delay = self.delay();
                self.after(delay, Event::Deliver(send.to, send.msg.clone()));
            }
        }
    }

    /// A caller sends a request, with a key that it chose itself or that a node issued.
    fn request(&mut self, slot: usize, now: Time, key: usize) {
        let workspace: Workspace = "ward".parse().expect("valid workspace name");
        let epoch = self.slots[slot].node.epoch().max(Epoch(1));
        let random = u128::from(self.rng.u64(..));
        let text = self.key_texts[key].get_or_insert_with(|| match key % 3 {
            0 => issue(SHARD, epoch, random),
            _ => caller_chosen_key(workspace, key),
        });
        let digest = Key::new(workspace, text);
        self.send_count += 1;
        let send_id = self.send_count;
        let req = Request {
            key: digest,
            fingerprint: key as u64,
            deadline: now + Duration::from_secs(3),
        };
        let node = &mut self.slots[slot].node;
        match node.client.begin(req) {
            Ok(attempt) => {
                node.open_attempts.insert(attempt, (send_id, key));
            }
            Err(refusal) => {
                self.record_result(send_id, key, CallerResult::Refused(refusal.verdict))
            }
        }
    }

    fn record_result(&mut self, send_id: usize, key: usize, result: CallerResult) {
        self.history.results.push((send_id, key, result));
    }

    fn tick(&mut self, slot: usize, now: Time, count: u64) {
        let event = Event::Tick {
            slot,
            count: count + 1,
        };
        self.after(Duration::from_micros(TICK_MICROS), event);
        if count.is_multiple_of(TICKS_PER_CONTROL_READ)
            && self.slots[slot].cut_from_platform_until <= self.now
        {
            let node = self.slots[slot].node.id;
            let control = self.control;
            let delay = self.delay();
            self.after(
                delay,
                Event::Read {
                    node,
                    asked: now,
                    control,
                },
            );
        }
        self.hand_over(slot, now);
        let failed: BTreeSet<NodeId> = self.failed_as_seen_by(slot);
        let others =
            (0..self.slots.len()).filter(|other| other % FAILURE_DOMAINS != slot % FAILURE_DOMAINS);
        let mut live: Vec<NodeId> = others.map(|other| self.slots[other].node.id).collect();
        live.retain(|node| !failed.contains(node));
        self.rng.shuffle(&mut live);
        let may_claim = self.rng.u32(0..10) == 0;
        let node = &mut self.slots[slot].node;
        let (sends, swap) = node.tick(now, &live, |node| failed.contains(&node), may_claim);
        self.send(slot, sends);
        if let Some(swap) = swap.filter(|_| self.slots[slot].cut_from_platform_until <= self.now) {
            let delay = self.delay();
            self.after(delay, Event::Swap(swap));
        }
    }

    fn failed_as_seen_by(&self, me: usize) -> BTreeSet<NodeId> {
        let detected_crashes = self
            .crashed
            .iter()
            .filter(|(_, detected_at)| **detected_at <= self.now);
        let is_cut_from_platform = self.slots[me].cut_from_platform_until > self.now;
        let suspected = self.slots.iter().enumerate().filter(|(slot, other)| {
            *slot != me && !is_cut_from_platform && other.suspected_until > self.now
        });
        detected_crashes
            .map(|(node, _)| *node)
            .chain(suspected.map(|(_, other)| other.node.id))
            .collect()
    }

    fn hand_over(&mut self, slot: usize, now: Time) {
        let open: Vec<Attempt> = self.slots[slot]
            .node
            .open_attempts
            .keys()
            .copied()
            .collect();
        for attempt in open {
            let node = &mut self.slots[slot].node;
            let (send_id, key) = node.open_attempts[&attempt];
            let decision = match node.is_in_touch(now) {
                true => node.client.hand_over(now, attempt),
                false => Decision::Refused(node.client.give_up(now, attempt, Reason::NotInTouch)),
            };
            match decision {
                Decision::Wait => continue,
                Decision::Run => {
                    let node = node.id;
                    let span = Duration::from_micros(self.rng.u64(0..2_000));
                    self.after(span, Event::Run { node, attempt });
                    let ids = self.slots[slot].node.open_attempts.remove(&attempt);
                    self.slots[slot]
                        .running
                        .insert(attempt, ids.expect("the attempt is open"));
                    continue;
                }
                Decision::Answered(bytes) => {
                    let of = usize::from_le_bytes(
                        bytes
                            .try_into()
                            .expect("an answer holds the id of its send"),
                    );
                    self.record_result(send_id, key, CallerResult::Answer { of });
                }
                Decision::Refused(refusal) => {
                    self.record_result(send_id, key, CallerResult::Refused(refusal.verdict));
                }
            }
            self.slots[slot].node.open_attempts.remove(&attempt);
        }
    }

    /// The request reaches the server, which runs or refuses it.
    fn start(&mut self, slot: usize, attempt: Attempt) {
        let node = self.slots[slot].node.id;
        let (send_id, key) = self.slots[slot].running[&attempt];
        let outcome = match self.rng.u32(0..10) {
            0 => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => Outcome::Answered(send_id.to_le_bytes().as_slice().into()),
        };
        if outcome != Outcome::NotRun {
            let at = self.now;
            self.history.runs.push(Run { key, send_id, at });
        }
        let span = Duration::from_millis(self.rng.u64(2..600));
        self.after(
            span,
            Event::Ended {
                node,
                attempt,
                outcome,
            },
        );
    }

    fn end(&mut self, slot: usize, now: Time, attempt: Attempt, outcome: Outcome) {
        let (send_id, key) = self.slots[slot]
            .running
            .remove(&attempt)
            .expect("the attempt is running");
        let result = match &outcome {
            Outcome::Answered(_) => CallerResult::Answer { of: send_id },
            Outcome::NotRun => CallerResult::Refused(Verdict::NotRun),
            Outcome::TooLarge | Outcome::Unknown => {
                CallerResult::Refused(Refusal::may_have_run(Reason::Lost).verdict)
            }
        };
        self.slots[slot].node.client.finish(now, attempt, outcome);
        self.record_result(send_id, key, result);
    }

    fn swap(&mut self, swap: Swap) {
        if self.control.epoch == swap.expected {
            self.control = Control {
                epoch: swap.expected.next(),
                primary: Some(swap.primary),
                backup: swap.backup,
            };
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        let slot_of = |node: Option<NodeId>| node.and_then(|it| self.slot_of.get(&it)).copied();
        let (primary, backup) = (slot_of(self.control.primary), slot_of(self.control.backup));
        let targets: Vec<usize> = match fault.target {
            Target::Slot(slot) => vec![slot],
            Target::Primary => primary.into_iter().collect(),
            Target::Backup => backup.into_iter().collect(),
            Target::Both => primary.into_iter().chain(backup).collect(),
        };
        let until = self.now + fault.span;
        for at in targets {
            let slot = &mut self.slots[at];
            match fault.kind {
                FaultKind::Crash => self.crash(at),
                FaultKind::Pause => slot.paused_until = until,
                FaultKind::CutFromPlatform => slot.cut_from_platform_until = until,
                FaultKind::Isolate => slot.isolated_until = until,
                FaultKind::Suspect => slot.suspected_until = until,
            }
        }
    }

    fn crash(&mut self, slot: usize) {
        let id = NodeId(self.rng.u64(..));
        let old = self.slots[slot].node.id;
        let detected_at = self.now + Duration::from_millis(self.rng.u64(100..1_500));
        self.crashed.insert(old, detected_at);
        self.slot_of.remove(&old);
        self.slot_of.insert(id, slot);
        self.slots[slot].node = Node::new(id, self.scenario.options);
        self.slots[slot].running.clear();
    }
}

/// A key chosen by a caller that falls into the shard.
fn caller_chosen_key(workspace: Workspace, key: usize) -> String {
    let mut texts = (0..).map(|number| format!("invented-{key}-{number}"));
    let is_here = |text: &String| shard_of(workspace, text) == SHARD;
    texts
        .find(is_here)
        .expect("one in HOME_SHARDS texts falls into this shard")
}
