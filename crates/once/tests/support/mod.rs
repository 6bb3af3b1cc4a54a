//! Explored schedules: nodes, a network, a platform and callers, in virtual time.

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

use history::{History, Run, Told};
use node::{Control, Node, SHARD, Swap};

const DOMAINS: usize = 3;
const TICK_MICROS: u64 = 20_000;
const READ_EVERY_TICKS: u64 = 10;

/// What goes wrong.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A node stops for good; a new one starts in its place.
    Crash,
    /// A node does nothing for a while.
    Pause,
    /// A node does not reach the platform for a while.
    Blind,
    /// A node does not reach the others for a while.
    Isolate,
    /// Everybody takes a node for gone for a while, but for itself and blind nodes.
    Suspect,
}

/// Whom it befalls.
#[derive(Debug, Clone, Copy)]
pub enum Victim {
    Slot(usize),
    Primary,
    Backup,
    Both,
}

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: Time,
    pub kind: Kind,
    pub victim: Victim,
    pub span: Duration,
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub keys: usize,
    pub sendings_per_key: usize,
    pub span: Duration,
    pub options: Options,
    /// Per cent of messages lost, doubled and late.
    pub rough: u32,
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
    /// The clock runs at `rate` thousandths of the true rate.
    rate: u64,
    paused_until: Time,
    blind_until: Time,
    isolated_until: Time,
    suspected_until: Time,
}

struct Sim {
    rng: fastrand::Rng,
    plan: Plan,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    slots: Vec<Slot>,
    slot_of: BTreeMap<NodeId, usize>,
    gone: BTreeMap<NodeId, Time>,
    control: Control,
    texts: Vec<Option<String>>,
    sendings: usize,
    history: History,
}

/// Draws faults that befall homes and backups above all.
pub fn draw_faults(
    rng: &mut fastrand::Rng,
    nodes: usize,
    span: Duration,
    count: usize,
) -> Vec<Fault> {
    let draw = |_| Fault {
        at: Time::from_micros(rng.u64(1_000_000..span.as_micros() as u64)),
        kind: [
            Kind::Crash,
            Kind::Pause,
            Kind::Blind,
            Kind::Isolate,
            Kind::Suspect,
        ][rng.usize(0..5)],
        victim: match rng.u32(0..8) {
            0..3 => Victim::Primary,
            3..5 => Victim::Backup,
            5 => Victim::Both,
            _ => Victim::Slot(rng.usize(0..nodes)),
        },
        span: Duration::from_millis(rng.u64(200..4_000)),
    };
    (0..count).map(draw).collect()
}

pub fn run(plan: Plan) -> History {
    let mut sim = Sim::new(plan);
    while let Some(Reverse((at, number))) = sim.queue.pop() {
        let event = sim
            .events
            .remove(&number)
            .expect("each event is queued once");
        sim.now = at;
        if at > Time::ZERO + sim.plan.span {
            break;
        }
        sim.handle(event);
    }
    sim.history
}

impl Sim {
    fn new(plan: Plan) -> Self {
        let mut sim = Self {
            rng: fastrand::Rng::with_seed(plan.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            slots: Vec::new(),
            slot_of: BTreeMap::new(),
            gone: BTreeMap::new(),
            control: Control::default(),
            texts: vec![None; plan.keys],
            sendings: 0,
            history: History::default(),
            plan,
        };
        for slot in 0..sim.plan.nodes {
            let id = sim.rng.u64(..);
            let rate = sim.rng.u64(991..=1009);
            sim.slots.push(Slot {
                node: Node::new(NodeId(id), sim.plan.options),
                running: BTreeMap::new(),
                rate,
                paused_until: Time::ZERO,
                blind_until: Time::ZERO,
                isolated_until: Time::ZERO,
                suspected_until: Time::ZERO,
            });
            sim.slot_of.insert(NodeId(id), slot);
            let at = Duration::from_micros(sim.rng.u64(0..TICK_MICROS));
            sim.after(at, Event::Tick { slot, count: 0 });
        }
        let last = sim.plan.span.as_micros() as u64 * 9 / 10;
        for key in 0..sim.plan.keys {
            let first = sim.rng.u64(2_000_000..last);
            for _ in 0..sim.plan.sendings_per_key {
                let near = first + sim.rng.u64(0..3_000_000);
                let at = if sim.rng.bool() {
                    near
                } else {
                    sim.rng.u64(first..=last)
                };
                let slot = sim.rng.usize(0..sim.plan.nodes);
                sim.after(Duration::from_micros(at), Event::Request { slot, key });
            }
        }
        for fault in sim.plan.faults.clone() {
            sim.after(fault.at.since(Time::ZERO), Event::Fault(fault));
        }
        sim
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + span, self.number)));
        self.events.insert(self.number, event);
    }

    fn local(&self, slot: usize) -> Time {
        Time::from_micros(self.now.as_micros() * self.slots[slot].rate / 1_000)
    }

    fn delay(&mut self) -> Duration {
        let is_late = self.rng.u32(0..100) < self.plan.rough;
        let most = if is_late { 3_000_000 } else { 4_000 };
        Duration::from_micros(self.rng.u64(300..most))
    }

    /// The slot that an event is for; none for a node that is gone.
    fn slot_for(&self, event: &Event) -> Option<usize> {
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
            Event::Fault(fault) => return self.befall(fault),
            Event::Swap(swap) => return self.swap(swap),
            _ => {}
        }
        let Some(slot) = self.slot_for(&event) else {
            return;
        };
        let until = self.slots[slot].paused_until;
        if self.now < until {
            let jitter = Duration::from_micros(self.rng.u64(0..200));
            return self.after(until.since(self.now) + jitter, event);
        }
        let now = self.local(slot);
        match event {
            Event::Deliver(_, msg) => {
                let sends = self.slots[slot].node.handle_message(now, &msg);
                self.send(slot, sends);
            }
            Event::Read { asked, control, .. } => self.slots[slot].node.read(now, asked, control),
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
            let is_lost = self.rng.u32(0..100) < self.plan.rough;
            if to != from && (is_cut(to) || is_cut(from) || is_lost) {
                continue;
            }
            let is_doubled = self.rng.u32(0..100) < self.plan.rough;
            for _ in 0..=usize::from(is_doubled) {
                let delay = self.delay();
                self.after(delay, Event::Deliver(send.to, send.msg.clone()));
            }
        }
    }

    /// A caller sends a request with a key; it invented the key or had got it from a node.
    fn request(&mut self, slot: usize, now: Time, key: usize) {
        let workspace: Workspace = "ward".parse().expect("a label");
        let epoch = self.slots[slot].node.epoch().max(Epoch(1));
        let random = u128::from(self.rng.u64(..));
        let text = self.texts[key].get_or_insert_with(|| match key % 3 {
            0 => issue(SHARD, epoch, random),
            _ => invented(workspace, key),
        });
        let digest = Key::new(workspace, text);
        self.sendings += 1;
        let sending = self.sendings;
        let req = Request {
            key: digest,
            fingerprint: key as u64,
            deadline: now + Duration::from_secs(3),
        };
        let node = &mut self.slots[slot].node;
        match node.client.begin(req) {
            Ok(attempt) => {
                node.open.insert(attempt, (sending, key));
            }
            Err(refusal) => self.tell(sending, key, Told::Refused(refusal.verdict)),
        }
    }

    fn tell(&mut self, sending: usize, key: usize, told: Told) {
        self.history.told.push((sending, key, told));
    }

    fn tick(&mut self, slot: usize, now: Time, count: u64) {
        let event = Event::Tick {
            slot,
            count: count + 1,
        };
        self.after(Duration::from_micros(TICK_MICROS), event);
        if count.is_multiple_of(READ_EVERY_TICKS) && self.slots[slot].blind_until <= self.now {
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
        let gone: BTreeSet<NodeId> = self.gone_at(slot);
        let others = (0..self.slots.len()).filter(|other| other % DOMAINS != slot % DOMAINS);
        let mut live: Vec<NodeId> = others.map(|other| self.slots[other].node.id).collect();
        live.retain(|node| !gone.contains(node));
        self.rng.shuffle(&mut live);
        let may_claim = self.rng.u32(0..10) == 0;
        let node = &mut self.slots[slot].node;
        let (sends, swap) = node.tick(now, &live, |node| gone.contains(&node), may_claim);
        self.send(slot, sends);
        if let Some(swap) = swap.filter(|_| self.slots[slot].blind_until <= self.now) {
            let delay = self.delay();
            self.after(delay, Event::Swap(swap));
        }
    }

    fn gone_at(&self, me: usize) -> BTreeSet<NodeId> {
        let dead = self.gone.iter().filter(|(_, seen)| **seen <= self.now);
        let hears_nothing = self.slots[me].blind_until > self.now;
        let suspected = self.slots.iter().enumerate().filter(|(slot, other)| {
            *slot != me && !hears_nothing && other.suspected_until > self.now
        });
        dead.map(|(node, _)| *node)
            .chain(suspected.map(|(_, other)| other.node.id))
            .collect()
    }

    fn hand_over(&mut self, slot: usize, now: Time) {
        let open: Vec<Attempt> = self.slots[slot].node.open.keys().copied().collect();
        for attempt in open {
            let node = &mut self.slots[slot].node;
            let (sending, key) = node.open[&attempt];
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
                    let gone = self.slots[slot].node.open.remove(&attempt);
                    self.slots[slot]
                        .running
                        .insert(attempt, gone.expect("it was open"));
                    continue;
                }
                Decision::Answered(bytes) => {
                    let of = usize::from_le_bytes(bytes.try_into().expect("a run's answer"));
                    self.tell(sending, key, Told::Answer { of });
                }
                Decision::Refused(refusal) => {
                    self.tell(sending, key, Told::Refused(refusal.verdict));
                }
            }
            self.slots[slot].node.open.remove(&attempt);
        }
    }

    /// The request reaches the server, which may refuse it.
    fn start(&mut self, slot: usize, attempt: Attempt) {
        let node = self.slots[slot].node.id;
        let (sending, key) = self.slots[slot].running[&attempt];
        let outcome = match self.rng.u32(0..10) {
            0 => Outcome::NotRun,
            1 => Outcome::Unknown,
            _ => Outcome::Answered(sending.to_le_bytes().as_slice().into()),
        };
        if outcome != Outcome::NotRun {
            let at = self.now;
            self.history.runs.push(Run { key, sending, at });
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
        let (sending, key) = self.slots[slot].running.remove(&attempt).expect("it runs");
        let told = match &outcome {
            Outcome::Answered(_) => Told::Answer { of: sending },
            Outcome::NotRun => Told::Refused(Verdict::NotRun),
            Outcome::TooLarge | Outcome::Unknown => {
                Told::Refused(Refusal::may_have_run(Reason::Lost).verdict)
            }
        };
        self.slots[slot].node.client.finish(now, attempt, outcome);
        self.tell(sending, key, told);
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

    fn befall(&mut self, fault: Fault) {
        let slot_of = |node: Option<NodeId>| node.and_then(|it| self.slot_of.get(&it)).copied();
        let (primary, backup) = (slot_of(self.control.primary), slot_of(self.control.backup));
        let victims: Vec<usize> = match fault.victim {
            Victim::Slot(slot) => vec![slot],
            Victim::Primary => primary.into_iter().collect(),
            Victim::Backup => backup.into_iter().collect(),
            Victim::Both => primary.into_iter().chain(backup).collect(),
        };
        let until = self.now + fault.span;
        for at in victims {
            let slot = &mut self.slots[at];
            match fault.kind {
                Kind::Crash => self.crash(at),
                Kind::Pause => slot.paused_until = until,
                Kind::Blind => slot.blind_until = until,
                Kind::Isolate => slot.isolated_until = until,
                Kind::Suspect => slot.suspected_until = until,
            }
        }
    }

    fn crash(&mut self, slot: usize) {
        let id = NodeId(self.rng.u64(..));
        let old = self.slots[slot].node.id;
        let seen = self.now + Duration::from_millis(self.rng.u64(100..1_500));
        self.gone.insert(old, seen);
        self.slot_of.remove(&old);
        self.slot_of.insert(id, slot);
        self.slots[slot].node = Node::new(id, self.plan.options);
        self.slots[slot].running.clear();
    }
}

/// A key of the shard that a caller made up.
fn invented(workspace: Workspace, key: usize) -> String {
    let mut texts = (0..).map(|number| format!("invented-{key}-{number}"));
    let is_here = |text: &String| shard_of(workspace, text) == SHARD;
    texts.find(is_here).expect("one text in a few falls here")
}
