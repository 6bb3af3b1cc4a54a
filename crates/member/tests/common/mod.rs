//! A simulation of nodes on a lossy network in virtual time, driven by a heap of due events.

#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
};

use cassiashunt_member::{Action, Departure, Event, Members, Options, Phase, Reach, Record, msg};
use cassiashunt_types::prelude::*;
use prost::Message as _;

pub const HEADER_BYTES: usize = 28;

/// An action that a process reported, or its start or stop.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryEntry {
    pub at: Time,
    pub node: NodeId,
    pub observation: Observation,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    Reported(Action),
    Started,
    Stopped,
}

/// Probabilities that a datagram is lost or duplicated, and the range of its delay in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct LinkFaults {
    pub loss: f64,
    pub duplication: f64,
    pub delay_micros: (u64, u64),
}

impl Default for LinkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            delay_micros: (200, 1_000),
        }
    }
}

enum Due {
    Tick(NodeId),
    Datagram {
        from: SocketAddr,
        to: SocketAddr,
        msg: msg::Message,
    },
}

pub struct Process {
    pub members: Members,
    pub addr: SocketAddr,
    pub side: u32,
    /// How far the process's clock is ahead of the network's at the start.
    clock_offset: Duration,
    /// The rate error of the process's clock in parts per million; negative if it is slow.
    drift_ppm: i64,
    paused_until: Time,
    inbox: Vec<(SocketAddr, msg::Message)>,
    pub sent: u64,
    pub received: u64,
    /// Processor time spent in the membership; zero unless [`Net::measures_cpu`] is set.
    pub cpu_time: Duration,
}

pub struct Net {
    pub now: Time,
    pub rng: fastrand::Rng,
    pub faults: LinkFaults,
    pub opts: Options,
    pub processes: BTreeMap<NodeId, Process>,
    pub history: Vec<HistoryEntry>,
    id_by_addr: BTreeMap<SocketAddr, NodeId>,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    due: BTreeMap<u64, Due>,
    next_key: u64,
    /// Whether nodes on different sides cannot reach each other.
    pub is_partitioned: bool,
    /// Whether processor time is measured; it has no effect on the simulation.
    pub measures_cpu: bool,
}

pub fn fast_options() -> Options {
    Options {
        suspect_for: Duration::from_millis(1_500),
        revive_period: Duration::from_millis(500),
        ..Default::default()
    }
}

pub fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

impl Net {
    pub fn new(seed: u64, opts: Options) -> Self {
        Self {
            now: Time::from_millis(1),
            rng: fastrand::Rng::with_seed(seed),
            faults: LinkFaults::default(),
            opts,
            processes: BTreeMap::new(),
            history: Vec::new(),
            id_by_addr: BTreeMap::new(),
            heap: BinaryHeap::new(),
            due: BTreeMap::new(),
            next_key: 0,
            is_partitioned: false,
            measures_cpu: false,
        }
    }

    /// Starts a process at an address, replacing any process there.
    pub fn start(&mut self, addr: SocketAddr, seeds: &[SocketAddr]) -> NodeId {
        let id = NodeId(self.rng.u64(1..));
        let domains = ["ikeja", "apapa", "lekki"];
        let domain = domains[usize::from(addr.port()) % domains.len()];
        // The wall clocks of successive processes may differ by an hour either way.
        let wall = 1_700_000_000_000 + self.now.as_micros() / 1_000;
        let record = Record {
            id,
            addr,
            domain: domain.parse().expect("an invalid name"),
            service: Some("rota".parse().expect("an invalid name")),
            slots: 70,
            phase: Phase::Joining,
            start: wall - self.rng.u64(0..3_600_000),
        };
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let process = Process {
            members: Members::new(self.opts, record, rng),
            addr,
            side: 0,
            clock_offset: Duration::from_millis(self.rng.u64(0..5_000)),
            drift_ppm: self.rng.i64(-10_000..=10_000),
            paused_until: Time::ZERO,
            inbox: Vec::new(),
            sent: 0,
            received: 0,
            cpu_time: Duration::ZERO,
        };
        self.processes.insert(id, process);
        self.id_by_addr.insert(addr, id);
        self.record(id, Observation::Started);
        self.act(id, Event::Seeds(seeds.to_vec()));
        let first_tick_ms = self.rng.u64(0..100);
        self.schedule(Duration::from_millis(first_tick_ms), Due::Tick(id));
        id
    }

    /// Stops a process without a departure notice.
    pub fn crash(&mut self, id: NodeId) {
        let process = self
            .processes
            .remove(&id)
            .expect("the process does not run");
        if self.id_by_addr.get(&process.addr) == Some(&id) {
            self.id_by_addr.remove(&process.addr);
        }
        self.record(id, Observation::Stopped);
    }

    /// Stops a process after it has announced its departure.
    pub fn leave(&mut self, id: NodeId) {
        self.record(id, Observation::Stopped);
        self.act(id, Event::SetPhase(Phase::Gone));
        let process = self
            .processes
            .remove(&id)
            .expect("the process does not run");
        self.id_by_addr.remove(&process.addr);
    }

    pub fn pause(&mut self, id: NodeId, span: Duration) {
        let until = self.now + span;
        self.processes
            .get_mut(&id)
            .expect("the process does not run")
            .paused_until = until;
    }

    pub fn local(&self, id: NodeId) -> Time {
        let process = &self.processes[&id];
        let now = i64::try_from(self.now.as_micros())
            .expect("the simulated time exceeds i64::MAX microseconds");
        let drift = now / 1_000 * process.drift_ppm / 1_000;
        let micros = u64::try_from(now + drift).expect("the local time is negative");
        Time::from_micros(micros) + process.clock_offset
    }

    pub fn act(&mut self, id: NodeId, event: Event) {
        let now = self.local(id);
        let process = self
            .processes
            .get_mut(&id)
            .expect("the process does not run");
        let from = process.addr;
        let actions = if self.measures_cpu {
            let start = std::time::Instant::now();
            let actions = process.members.on(now, event);
            process.cpu_time += start.elapsed();
            actions
        } else {
            process.members.on(now, event)
        };
        for action in actions {
            match action {
                Action::Send { to, msg } => {
                    let bytes = (msg.encoded_len() + HEADER_BYTES) as u64;
                    self.processes
                        .get_mut(&id)
                        .expect("the process does not run")
                        .sent += bytes;
                    self.transmit(id, from, to, msg);
                }
                other => self.record(id, Observation::Reported(other)),
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((at, key))) = self.heap.peek()
            && at <= end
        {
            self.heap.pop();
            self.now = at;
            let due = self.due.remove(&key).expect("a queued key has no event");
            self.handle(due);
        }
        self.now = end;
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Tick(id) => self.tick(id),
            Due::Datagram { from, to, msg } => self.deliver(from, to, msg),
        }
    }

    fn tick(&mut self, id: NodeId) {
        let Some(process) = self.processes.get_mut(&id) else {
            return;
        };
        if process.paused_until > self.now {
            let wait = process.paused_until.since(self.now);
            self.schedule(wait, Due::Tick(id));
            return;
        }
        // After a pause, messages in the socket may be read before or after the timer fires.
        let inbox = std::mem::take(&mut process.inbox);
        let ticks_first = self.rng.bool();
        if ticks_first {
            self.act(id, Event::Tick);
        }
        for (from, msg) in inbox {
            self.act(id, Event::Receive { from, msg });
        }
        if !ticks_first {
            self.act(id, Event::Tick);
        }
        let period = self.opts.period;
        self.schedule(period, Due::Tick(id));
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, msg: msg::Message) {
        let Some(&id) = self.id_by_addr.get(&to) else {
            return;
        };
        let now = self.now;
        let process = self
            .processes
            .get_mut(&id)
            .expect("an address belongs to a process that does not run");
        process.received += (msg.encoded_len() + HEADER_BYTES) as u64;
        if process.paused_until > now {
            process.inbox.push((from, msg));
        } else {
            self.act(id, Event::Receive { from, msg });
        }
    }

    fn transmit(&mut self, sender: NodeId, from: SocketAddr, to: SocketAddr, msg: msg::Message) {
        let reached = self.id_by_addr.get(&to).map(|id| self.processes[id].side);
        let own = self.processes[&sender].side;
        if (self.is_partitioned && reached.is_some_and(|side| side != own))
            || self.rng.f64() < self.faults.loss
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.faults.duplication);
        for _ in 0..copies {
            let (min, max) = self.faults.delay_micros;
            let delay = Duration::from_micros(self.rng.u64(min..=max));
            let msg = msg.clone();
            self.schedule(delay, Due::Datagram { from, to, msg });
        }
    }

    fn schedule(&mut self, delay: Duration, due: Due) {
        self.next_key += 1;
        self.heap.push(Reverse((self.now + delay, self.next_key)));
        self.due.insert(self.next_key, due);
    }

    fn record(&mut self, node: NodeId, observation: Observation) {
        let at = self.now;
        self.history.push(HistoryEntry {
            at,
            node,
            observation,
        });
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.processes.keys().copied().collect()
    }

    /// The first difference between a view and the running processes; `None` if all are correct.
    pub fn disagreement(&self) -> Option<String> {
        for (id, process) in &self.processes {
            let mut seen = BTreeSet::from([*id]);
            for member in process.members.iter() {
                let other = self.processes.get(&member.record.id);
                if member.reach == Reach::Alive {
                    seen.insert(member.record.id);
                }
                if let Some(other) = other
                    && (member.incarnation != other.members.incarnation()
                        || member.record != *other.members.me())
                {
                    return Some(format!(
                        "{id} has an outdated record of {}",
                        member.record.id
                    ));
                }
            }
            let running: BTreeSet<NodeId> = self.processes.keys().copied().collect();
            if seen != running {
                let lacks = running.difference(&seen).count();
                let (seen, running) = (seen.len(), running.len());
                return Some(format!("{id} sees {seen} of {running}, lacks {lacks}"));
            }
        }
        None
    }
}

/// A fleet in which every view is correct.
pub fn converged(seed: u64, opts: Options, nodes: u16) -> Net {
    let mut net = Net::new(seed, opts);
    let seeds: Vec<_> = (1..=nodes.min(3)).map(addr).collect();
    for port in 1..=nodes {
        net.start(addr(port), &seeds);
    }
    for _ in 0..400 {
        net.run(Duration::from_millis(500));
        if net.disagreement().is_none() {
            return net;
        }
    }
    panic!("seed {seed}: {:?}", net.disagreement());
}

/// The first id that rejoined an observer's view after the observer had seen it depart.
pub fn rejoined(history: &[HistoryEntry]) -> Option<NodeId> {
    let mut departed = BTreeSet::new();
    for entry in history {
        let Observation::Reported(action) = &entry.observation else {
            continue;
        };
        match action {
            Action::Left(id, Departure::Left | Departure::Replaced) => {
                departed.insert((entry.node, *id));
            }
            Action::Joined(id) | Action::Changed(id) if departed.contains(&(entry.node, *id)) => {
                return Some(*id);
            }
            _ => {}
        }
    }
    None
}

/// The first running process that was evicted or that another node saw depart.
pub fn wrongly_departed(history: &[HistoryEntry]) -> Option<NodeId> {
    let mut running = BTreeSet::new();
    for entry in history {
        match &entry.observation {
            Observation::Started => drop(running.insert(entry.node)),
            Observation::Stopped => drop(running.remove(&entry.node)),
            Observation::Reported(Action::Evicted) => return Some(entry.node),
            Observation::Reported(Action::Left(id, Departure::Left | Departure::Replaced))
                if running.contains(id) =>
            {
                return Some(*id);
            }
            Observation::Reported(_) => {}
        }
    }
    None
}

/// Runs the check for every seed below `seeds`, on several threads.
pub fn for_seeds(seeds: u64, check: impl Fn(u64) + Sync) {
    const THREADS: u64 = 4;
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let check = &check;
            scope.spawn(move || (thread..seeds).step_by(THREADS as usize).for_each(check));
        }
    });
}
