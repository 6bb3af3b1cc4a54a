//! Simulates nodes with one server each in virtual time. One request crashes every server it
//! runs on and is retried through all nodes, beside harmless requests; messages are lost and
//! delayed.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use cassiashunt_suspect::{
    Crash, Decision, Fingerprint, Holder, Permits, Suspects,
    holder::{self, Action},
    message::{AskPermit, PermitAnswer, ReleasePermit, StrikeRecord, StrikeUpdate},
    permits, suspects,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// The request that crashes every server it runs on.
pub const CRASHER: Fingerprint = Fingerprint(0);
/// The validity of permits; short, so that some expire during the simulation.
pub const VALIDITY: Duration = Duration::from_millis(1_500);
/// Time within which every node learns of a membership change.
pub const MEMBERSHIP_DELAY: Duration = Duration::from_millis(500);
/// Time within which a strike reaches all nodes.
pub const STRIKE_DELAY: Duration = Duration::from_secs(2);
const SIMULATED_TIME: Duration = Duration::from_secs(20);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The mechanism that contains the crashing request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Containment {
    Nothing,
    /// Each owner decides on suspects by itself.
    NoPermits,
    Permits,
}

/// The size and faults of a simulated fleet.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub containment: Containment,
    pub nodes: usize,
    pub crasher_callers: u64,
    pub harmless_requests: u64,
    pub message_loss_ratio: f64,
    /// The fraction of crashes in which the node is lost with its server.
    pub node_loss_ratio: f64,
    /// Whether the fleet is partitioned into two halves that cannot communicate, while callers
    /// reach both.
    pub is_partitioned: bool,
}

/// One run of a request at a server.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub fingerprint: Fingerprint,
    pub server: usize,
    pub is_permitted: bool,
    pub began: Time,
    pub ended: Time,
    pub has_crashed: bool,
}

#[derive(Debug, Default)]
pub struct History {
    pub runs: Vec<Run>,
    /// Runs of requests that had been answered as not run.
    pub ran_after_not_run: u32,
    /// Harmless requests that were refused as suspects, and those served.
    pub harmless_refused: u32,
    pub harmless_served: u32,
    /// Coordinators that were lost with an outstanding permit for the crasher.
    pub coordinators_lost: u32,
}

impl History {
    pub fn crashes(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| run.has_crashed)
    }
}

/// Checks the history of a fleet with `sides` partitions. Permitted runs are alone, and one at a
/// time in each partition. No run of the crasher begins without a permit once the strike of its
/// first crash has spread. The number of servers lost keeps its bound.
pub fn check(history: &History, sides: usize) -> Result<(), String> {
    check_alone(history)?;
    check_one_at_a_time(history, sides)?;
    check_lost(history, sides)?;
    match history {
        History {
            ran_after_not_run: n @ 1..,
            ..
        } => Err(format!("{n} runs after a not-run answer")),
        History {
            harmless_refused: n @ 1..,
            ..
        } => Err(format!("{n} harmless requests refused")),
        _ => Ok(()),
    }
}

fn overlap(a: &Run, b: &Run) -> bool {
    a.began < b.ended && b.began < a.ended
}

fn check_alone(history: &History) -> Result<(), String> {
    for (n, run) in history
        .runs
        .iter()
        .enumerate()
        .filter(|(_, run)| run.is_permitted)
    {
        let others = history
            .runs
            .iter()
            .enumerate()
            .filter(|(m, other)| *m != n && other.server == run.server && overlap(run, other));
        if let Some((_, other)) = others.into_iter().next() {
            return Err(format!("{run:?} was not alone: {other:?}"));
        }
    }
    Ok(())
}

fn check_one_at_a_time(history: &History, sides: usize) -> Result<(), String> {
    let permitted: Vec<_> = history.runs.iter().filter(|run| run.is_permitted).collect();
    for run in &permitted {
        let same = |other: &&&Run| other.fingerprint == run.fingerprint && overlap(run, other);
        let at_once = permitted
            .iter()
            .filter(same)
            .filter(|other| other.began <= run.began);
        if at_once.count() > sides {
            return Err(format!("{run:?} was on two servers at once"));
        }
    }
    Ok(())
}

fn check_lost(history: &History, sides: usize) -> Result<(), String> {
    let Some(first) = history.crashes().map(|run| run.ended).min() else {
        return Ok(());
    };
    let crasher_runs = || history.runs.iter().filter(|run| run.fingerprint == CRASHER);
    let unpermitted = crasher_runs().filter(|run| !run.is_permitted).count();
    if let Some(run) =
        crasher_runs().find(|run| !run.is_permitted && run.began > first + STRIKE_DELAY)
    {
        return Err(format!(
            "{run:?} began without a permit after the strike had spread"
        ));
    }
    let max = suspects::Options::default().max_strikes as usize;
    let bound = unpermitted + sides * max + history.coordinators_lost as usize;
    let lost = history.crashes().count();
    if lost > bound {
        return Err(format!("{lost} servers lost, bound {bound}"));
    }
    Ok(())
}

type NodeIndex = usize;
type RunIndex = usize;

struct Node {
    id: NodeId,
    suspects: Suspects,
    permits: Permits,
    running: Vec<RunIndex>,
    is_up: bool,
    crash_count: u32,
    holder: Holder,
    /// A suspect that has its permit and waits until its server is idle, and when the permit
    /// expires.
    waiting: Option<(usize, Time)>,
}

struct Request {
    fingerprint: Fingerprint,
    ingress: NodeIndex,
    is_answered: bool,
    was_not_run: bool,
}

enum Event {
    Send(Fingerprint, u64),
    Arrive(usize, NodeId),
    End(RunIndex),
    Ask(AskPermit, NodeId),
    Answer(PermitAnswer, NodeId),
    Release(ReleasePermit, NodeId),
    Acknowledged(u64, NodeId),
    Lost(usize, NodeId),
    Gossip(NodeIndex),
    Update(StrikeUpdate, NodeId),
    Members(NodeId),
    Up(NodeIndex),
    Finished(usize, Option<Verdict>),
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    next_node: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// The request of each run.
    request_of_run: Vec<usize>,
    /// Counts sent requests, so that callers use the nodes in rotation.
    sent_requests: u64,
    history: History,
}

pub fn run(scenario: Scenario) -> History {
    let mut simulation = Simulation {
        rng: Rng::with_seed(scenario.seed),
        now: Time::ZERO,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        next: 0,
        next_node: 1,
        nodes: Vec::new(),
        requests: Vec::new(),
        request_of_run: Vec::new(),
        sent_requests: 0,
        history: History::default(),
        scenario,
    };
    simulation.begin();
    while let Some(Reverse((at, number))) = simulation.queue.pop() {
        if at > Time::ZERO + SIMULATED_TIME {
            break;
        }
        simulation.now = at;
        let event = simulation
            .events
            .remove(&number)
            .expect("each event is queued once");
        simulation.on(event);
    }
    simulation.history
}

impl Simulation {
    fn begin(&mut self) {
        for at in 0..self.scenario.nodes {
            let node = self.new_node();
            self.nodes.push(node);
            self.after(GOSSIP_INTERVAL, Event::Gossip(at));
        }
        let ids: Vec<_> = self.nodes.iter().map(|node| node.id).collect();
        ids.into_iter().for_each(|id| self.on(Event::Members(id)));
        // No node gives permits before those of an earlier coordinator would have expired.
        for caller in 0..self.scenario.crasher_callers {
            self.after(Duration::from_secs(3), Event::Send(CRASHER, caller));
        }
        for n in 1..=self.scenario.harmless_requests {
            let at = Duration::from_millis(self.rng.u64(..3_000));
            self.after(at, Event::Send(Fingerprint(n), 0));
        }
    }

    fn new_node(&mut self) -> Node {
        let id = NodeId(self.next_node);
        self.next_node += 1;
        let opts = permits::Options {
            validity: VALIDITY,
            spread: MEMBERSHIP_DELAY,
            ..Default::default()
        };
        Node {
            id,
            suspects: Suspects::new(suspects::Options::default()),
            permits: Permits::new(self.now, id, opts),
            running: Vec::new(),
            is_up: true,
            crash_count: 0,
            holder: Holder::new(
                id,
                holder::Options {
                    validity: VALIDITY,
                    ..Default::default()
                },
            ),
            waiting: None,
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends a message from one node to another; it may be lost.
    fn send(&mut self, event: Event) {
        if self.rng.f64() >= self.scenario.message_loss_ratio {
            let delay = self.delay();
            self.after(delay, event);
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(500..30_000))
    }

    fn at(&self, id: NodeId) -> Option<NodeIndex> {
        self.nodes.iter().position(|node| node.id == id)
    }

    fn side(&self, at: NodeIndex) -> usize {
        if self.scenario.is_partitioned {
            at * 2 / self.scenario.nodes
        } else {
            0
        }
    }

    /// The nodes that a node believes to be live.
    fn live(&self, at: NodeIndex) -> Vec<NodeId> {
        let reachable = (0..self.nodes.len()).filter(|other| self.side(*other) == self.side(at));
        reachable.map(|other| self.nodes[other].id).collect()
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Send(fingerprint, caller) => self.on_send(fingerprint, caller),
            Event::Arrive(request, owner) => self.on_arrive(request, owner),
            Event::End(run) => self.on_end(run),
            Event::Ask(ask, coordinator) => self.on_ask(ask, coordinator),
            Event::Answer(answer, to) => self.on_answer(&answer, to),
            Event::Release(release, to) => self.on_release(&release, to),
            Event::Acknowledged(number, to) => {
                if let Some(at) = self.at(to) {
                    self.nodes[at].holder.on_acknowledged(number);
                }
            }
            Event::Lost(request, node) => self.on_lost(request, node),
            Event::Gossip(at) => self.on_gossip(at),
            Event::Update(update, to) => {
                if let Some(at) = self.at(to) {
                    self.nodes[at].suspects.merge(self.now, &update);
                }
            }
            Event::Members(id) => {
                if let Some(at) = self.at(id) {
                    let live = self.live(at);
                    self.nodes[at].permits.on_members(self.now, &live);
                }
            }
            Event::Up(at) => self.nodes[at].is_up = true,
            Event::Finished(request, verdict) => self.on_finished(request, verdict),
        }
    }

    fn check(&self, at: NodeIndex, fingerprint: Fingerprint) -> Decision {
        match self.scenario.containment {
            Containment::Nothing => Decision::Run,
            _ => self.nodes[at].suspects.check(self.now, fingerprint),
        }
    }

    /// A caller sends a request through the next node.
    fn on_send(&mut self, fingerprint: Fingerprint, caller: u64) {
        self.sent_requests += 1;
        let ingress = ((self.sent_requests + caller) % self.scenario.nodes as u64) as NodeIndex;
        let owners: Vec<_> = (0..self.nodes.len())
            .filter(|at| self.side(*at) == self.side(ingress))
            .collect();
        let owner = owners[self.rng.usize(..owners.len())];
        self.requests.push(Request {
            fingerprint,
            ingress,
            is_answered: false,
            was_not_run: false,
        });
        let request = self.requests.len() - 1;
        if let Decision::Refuse(_) = self.check(ingress, fingerprint) {
            if fingerprint != CRASHER {
                self.history.harmless_refused += 1;
            }
            return self.finish(request, Some(Verdict::NotRun));
        }
        let delay = self.delay();
        let to = self.nodes[owner].id;
        self.after(delay, Event::Arrive(request, to));
    }

    fn on_arrive(&mut self, request: usize, owner: NodeId) {
        let Some(at) = self.at(owner) else {
            return self.finish(request, Some(Verdict::NotRun));
        };
        let fingerprint = self.requests[request].fingerprint;
        let decision = self.check(at, fingerprint);
        let is_busy = self.nodes[at].holder.is_busy();
        match decision {
            _ if !self.nodes[at].is_up || is_busy => self.finish(request, Some(Verdict::NotRun)),
            Decision::Run => self.start(at, request, false),
            Decision::RunAlone => self.start_solo(at, request),
            Decision::Refuse(_) => self.finish(request, Some(Verdict::NotRun)),
        }
    }

    fn start_solo(&mut self, at: NodeIndex, request: usize) {
        let fingerprint = self.requests[request].fingerprint;
        let node = &mut self.nodes[at];
        let coordinator = node.permits.coordinator(fingerprint);
        let id = RequestId(request as u64);
        let actions = node.holder.begin(self.now, id, fingerprint, coordinator);
        self.act(at, actions);
    }

    fn act(&mut self, at: NodeIndex, actions: Vec<Action>) {
        let me = self.nodes[at].id;
        for action in actions {
            match action {
                // Without permits, each owner is its own coordinator.
                Action::Ask(_, ask) if self.scenario.containment == Containment::NoPermits => {
                    let answer = PermitAnswer {
                        number: ask.number,
                        is_given: true,
                        retry_after_ms: 0,
                    };
                    self.on_answer(&answer, me);
                }
                Action::Ask(to, ask) => self.send(Event::Ask(ask, to)),
                Action::Run(request, until) => {
                    self.nodes[at].waiting = Some((request.0 as usize, until));
                    self.try_solo(at);
                }
                Action::Refuse(request, refusal) => {
                    self.finish(request.0 as usize, Some(refusal.verdict));
                }
                Action::Release(to, release) => self.send(Event::Release(release, to)),
            }
        }
    }

    fn on_ask(&mut self, ask: AskPermit, coordinator: NodeId) {
        let Some(at) = self.at(coordinator) else {
            return;
        };
        let node = &mut self.nodes[at];
        let answer = PermitAnswer {
            number: ask.number,
            is_given: node.permits.ask(self.now, &ask, &mut node.suspects).is_ok(),
            retry_after_ms: 0,
        };
        self.send(Event::Answer(answer, NodeId(ask.holder)));
    }

    fn on_answer(&mut self, answer: &PermitAnswer, holder: NodeId) {
        let Some(at) = self.at(holder) else { return };
        let actions = self.nodes[at].holder.on_answer(self.now, answer);
        self.act(at, actions);
    }

    fn on_release(&mut self, release: &ReleasePermit, to: NodeId) {
        let Some(at) = self.at(to) else { return };
        let node = &mut self.nodes[at];
        node.permits.release(self.now, release, &mut node.suspects);
        self.send(Event::Acknowledged(release.number, NodeId(release.holder)));
    }

    /// Starts the waiting suspect if its server is idle.
    fn try_solo(&mut self, at: NodeIndex) {
        let node = &mut self.nodes[at];
        if !node.running.is_empty() {
            return;
        }
        if let Some((request, until)) = node.waiting.take() {
            assert!(
                self.now + Duration::from_millis(20) < until,
                "a run takes up to 20 ms"
            );
            self.start(at, request, true);
        }
    }

    fn end_solo(&mut self, at: NodeIndex, request: usize, strike: Option<StrikeRecord>) {
        let id = RequestId(request as u64);
        let actions = self.nodes[at].holder.done(self.now, id, strike);
        self.act(at, actions);
    }

    fn start(&mut self, at: NodeIndex, request: usize, is_permitted: bool) {
        let work = Duration::from_micros(self.rng.u64(2_000..20_000));
        let it = &self.requests[request];
        if it.is_answered && it.was_not_run {
            self.history.ran_after_not_run += 1;
        }
        self.history.runs.push(Run {
            fingerprint: it.fingerprint,
            server: self.nodes[at].id.0 as usize,
            is_permitted,
            began: self.now,
            ended: self.now + work,
            has_crashed: false,
        });
        let run = self.history.runs.len() - 1;
        self.request_of_run.push(request);
        self.nodes[at].running.push(run);
        self.after(work, Event::End(run));
    }

    fn on_end(&mut self, run: RunIndex) {
        let runs_here = |node: &Node| node.running.contains(&run);
        let Some(at) = self.nodes.iter().position(runs_here) else {
            return;
        };
        let Run {
            fingerprint, began, ..
        } = self.history.runs[run];
        if fingerprint == CRASHER {
            return self.crash_server(at, run);
        }
        self.nodes[at].running.retain(|other| *other != run);
        self.nodes[at].suspects.on_finished(fingerprint, began);
        self.end_solo(at, self.request_of_run[run], None);
        self.finish(self.request_of_run[run], None);
        self.try_solo(at);
    }

    /// The run crashes the server. Everything in flight is lost, and sometimes the node too.
    fn crash_server(&mut self, at: NodeIndex, run: RunIndex) {
        self.history.runs[run].has_crashed = true;
        let node = &mut self.nodes[at];
        let in_flight = std::mem::take(&mut node.running);
        for other in &in_flight {
            self.history.runs[*other].ended = self.now;
        }
        node.is_up = false;
        let is_node_lost = self.rng.f64() < self.scenario.node_loss_ratio;
        self.after(RESTART_DELAY, Event::Up(at));
        if is_node_lost {
            return self.lose_node(at, &in_flight);
        }
        let node = &mut self.nodes[at];
        node.crash_count += 1;
        let crash = Crash {
            owner: node.id,
            number: node.crash_count,
        };
        let requests: Vec<_> = in_flight
            .iter()
            .map(|it| self.request_of_run[*it])
            .collect();
        let fingerprints: Vec<_> = requests
            .iter()
            .map(|it| self.requests[*it].fingerprint)
            .collect();
        node.suspects
            .on_server_crash(self.now, crash, &fingerprints);
        let strike = self.nodes[at].suspects.strike(self.now, CRASHER, crash);
        self.end_solo(at, self.request_of_run[run], strike);
        if let Some((waiting, _)) = self.nodes[at].waiting.take() {
            self.end_solo(at, waiting, None);
            self.finish(waiting, Some(Verdict::NotRun));
        }
        for request in requests {
            self.send_strike_to_ingress(at, request, crash);
            self.finish(request, Some(Verdict::MayHaveRun));
        }
    }

    /// Sends the strike to the request's ingress with the owner's answer.
    fn send_strike_to_ingress(&mut self, at: NodeIndex, request: usize, crash: Crash) {
        let fingerprint = self.requests[request].fingerprint;
        let strike = self.nodes[at].suspects.strike(self.now, fingerprint, crash);
        let update = StrikeUpdate {
            strikes: strike.into_iter().collect(),
        };
        let ingress = self.nodes[self.requests[request].ingress].id;
        self.send(Event::Update(update, ingress));
    }

    fn lose_node(&mut self, at: NodeIndex, in_flight: &[RunIndex]) {
        let lost = self.nodes[at].id;
        if self.nodes[at].permits.has_given(CRASHER) {
            self.history.coordinators_lost += 1;
        }
        let solo = self.nodes[at].waiting.take().map(|it| it.0);
        for run in in_flight {
            self.after(
                Duration::from_millis(5),
                Event::Lost(self.request_of_run[*run], lost),
            );
        }
        if let Some(request) = solo {
            self.after(Duration::from_millis(5), Event::Lost(request, lost));
        }
        // The replacement has a new id, and its server takes `RESTART_DELAY` to start.
        let node = self.new_node();
        self.nodes[at] = Node {
            is_up: false,
            ..node
        };
        self.announce_members();
    }

    /// Every node learns of the change within `MEMBERSHIP_DELAY`.
    fn announce_members(&mut self) {
        let ids: Vec<_> = self.nodes.iter().map(|node| node.id).collect();
        for id in ids {
            let after = Duration::from_micros(self.rng.u64(..MEMBERSHIP_DELAY.as_micros() as u64));
            self.after(after, Event::Members(id));
        }
    }

    /// The ingress detects that the connection to a node is broken.
    fn on_lost(&mut self, request: usize, node: NodeId) {
        let Request {
            fingerprint,
            ingress,
            ..
        } = self.requests[request];
        self.nodes[ingress]
            .suspects
            .on_node_lost(self.now, node, &[fingerprint]);
        self.finish(request, Some(Verdict::MayHaveRun));
    }

    fn on_gossip(&mut self, at: NodeIndex) {
        self.after(GOSSIP_INTERVAL, Event::Gossip(at));
        let now = self.now;
        let node = &mut self.nodes[at];
        node.permits.tick(now, &mut node.suspects);
        let id = node.id;
        let actions = node.holder.tick(now);
        self.act(at, actions);
        let peers: Vec<_> = self
            .live(at)
            .into_iter()
            .filter(|other| *other != id)
            .collect();
        for _ in 0..3 {
            let to = peers[self.rng.usize(..peers.len())];
            let update = self.nodes[at].suspects.next_update(now);
            self.send(Event::Update(update, to));
        }
    }

    fn finish(&mut self, request: usize, verdict: Option<Verdict>) {
        let delay = self.delay();
        self.after(delay, Event::Finished(request, verdict));
        let it = &mut self.requests[request];
        it.was_not_run |= verdict == Some(Verdict::NotRun);
        it.is_answered = true;
    }

    /// The caller sends the request again.
    fn on_finished(&mut self, request: usize, verdict: Option<Verdict>) {
        let Request { fingerprint, .. } = self.requests[request];
        if fingerprint != CRASHER && verdict.is_none() {
            self.history.harmless_served += 1;
        }
        let wait = Duration::from_millis(self.rng.u64(5..60));
        self.after(wait, Event::Send(fingerprint, 0));
    }
}
