//! A few nodes with a server each, in virtual time: a request that kills every server it runs on
//! and is sent again through all of them, innocents beside it, lost and late messages.

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

pub const CRASHER: Fingerprint = Fingerprint(0);
/// The permits' validity; short, so that lapses fall into the run.
pub const VALIDITY: Duration = Duration::from_millis(1_500);
/// The time in which every node hears of a change of the membership.
pub const SPREAD: Duration = Duration::from_millis(500);
/// The longest time in which news of a strike reach all nodes.
pub const NEWS: Duration = Duration::from_secs(2);
const RUN: Duration = Duration::from_secs(20);
const GOSSIP: Duration = Duration::from_millis(100);
const RESTART: Duration = Duration::from_millis(300);

/// What contains the crashing request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Containment {
    Nothing,
    /// Each owner decides by itself on suspects.
    NoPermits,
    Permits,
}

#[derive(Debug, Clone)]
pub struct Scene {
    pub seed: u64,
    pub containment: Containment,
    pub nodes: usize,
    pub crash_callers: u64,
    pub innocents: u64,
    pub loss: f64,
    /// The share of crashes in which the node goes with its server.
    pub node_loss: f64,
    /// Whether the two halves of the fleet hear nothing of each other, and callers reach both.
    pub is_cut: bool,
}

/// One run of a request at a server.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub fingerprint: Fingerprint,
    pub server: usize,
    pub is_permitted: bool,
    pub began: Time,
    pub ended: Time,
    pub has_died: bool,
}

#[derive(Debug, Default)]
pub struct History {
    pub runs: Vec<Run>,
    /// Requests that were answered as not run and yet were run.
    pub false_not_runs: u32,
    /// Innocents that were refused as suspects at the end, and innocents served.
    pub innocents_refused: u32,
    pub innocents_served: u32,
    /// Coordinators that were lost while they had given a permit for the crasher.
    pub coordinators_lost: u32,
}

impl History {
    pub fn deaths(&self) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(|run| run.has_died)
    }
}

/// Checks the history of a fleet of `sides` parts that cannot hear each other: permitted runs are
/// alone and one at a time on each side, unpermitted runs of the crasher end with the news of its
/// first victim, and so the servers lost keep their bound.
pub fn check(history: &History, sides: usize) -> Result<(), String> {
    check_alone(history)?;
    check_one_at_a_time(history, sides)?;
    check_lost(history, sides)?;
    match history {
        History {
            false_not_runs: n @ 1..,
            ..
        } => Err(format!("{n} ran after a not-run answer")),
        History {
            innocents_refused: n @ 1..,
            ..
        } => Err(format!("{n} innocents refused")),
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
    let Some(first) = history.deaths().map(|run| run.ended).min() else {
        return Ok(());
    };
    let crashes = || history.runs.iter().filter(|run| run.fingerprint == CRASHER);
    let unwarned = crashes().filter(|run| !run.is_permitted).count();
    if let Some(run) = crashes().find(|run| !run.is_permitted && run.began > first + NEWS) {
        return Err(format!("{run:?} was not warned"));
    }
    let max = suspects::Options::default().max_strikes as usize;
    let bound = unwarned + sides * max + history.coordinators_lost as usize;
    let lost = history.deaths().count();
    if lost > bound {
        return Err(format!("{lost} servers lost, bound {bound}"));
    }
    Ok(())
}

type NodeAt = usize;
type RunAt = usize;

struct Node {
    id: NodeId,
    suspects: Suspects,
    permits: Permits,
    running: Vec<RunAt>,
    is_up: bool,
    deaths: u32,
    holder: Holder,
    /// A suspect that has its permit and waits for its server to be empty.
    waiting: Option<(usize, Time)>,
}

struct Request {
    fingerprint: Fingerprint,
    ingress: NodeAt,
    is_answered: bool,
    was_not_run: bool,
}

enum Event {
    Send(Fingerprint, u64),
    Arrive(usize, NodeId),
    End(RunAt),
    Ask(AskPermit, NodeId),
    Answer(PermitAnswer, NodeId),
    Release(ReleasePermit, NodeId),
    Acknowledged(u64, NodeId),
    Lost(usize, NodeId),
    Gossip(NodeAt),
    News(StrikeUpdate, NodeId),
    Members(NodeId),
    Up(NodeAt),
    Finished(usize, Option<Verdict>),
}

struct World {
    scene: Scene,
    rng: Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    next_node: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// The request of each run.
    of_run: Vec<usize>,
    /// Fingerprints' callers send through the nodes in turn.
    turn: u64,
    history: History,
}

pub fn run(scene: Scene) -> History {
    let mut world = World {
        rng: Rng::with_seed(scene.seed),
        now: Time::ZERO,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        next: 0,
        next_node: 1,
        nodes: Vec::new(),
        requests: Vec::new(),
        of_run: Vec::new(),
        turn: 0,
        history: History::default(),
        scene,
    };
    world.begin();
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > Time::ZERO + RUN {
            break;
        }
        world.now = at;
        let event = world
            .events
            .remove(&number)
            .expect("each event is queued once");
        world.on(event);
    }
    world.history
}

impl World {
    fn begin(&mut self) {
        for at in 0..self.scene.nodes {
            let node = self.new_node();
            self.nodes.push(node);
            self.after(GOSSIP, Event::Gossip(at));
        }
        let ids: Vec<_> = self.nodes.iter().map(|node| node.id).collect();
        ids.into_iter().for_each(|id| self.on(Event::Members(id)));
        // The first permits are given once none of an earlier coordinator can hold.
        for caller in 0..self.scene.crash_callers {
            self.after(Duration::from_secs(3), Event::Send(CRASHER, caller));
        }
        for n in 1..=self.scene.innocents {
            let at = Duration::from_millis(self.rng.u64(..3_000));
            self.after(at, Event::Send(Fingerprint(n), 0));
        }
    }

    fn new_node(&mut self) -> Node {
        let id = NodeId(self.next_node);
        self.next_node += 1;
        let opts = permits::Options {
            validity: VALIDITY,
            spread: SPREAD,
            ..Default::default()
        };
        Node {
            id,
            suspects: Suspects::new(suspects::Options::default()),
            permits: Permits::new(self.now, id, opts),
            running: Vec::new(),
            is_up: true,
            deaths: 0,
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

    fn after(&mut self, span: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + span, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends a message from one node to another; it may be lost.
    fn send(&mut self, event: Event) {
        if self.rng.f64() >= self.scene.loss {
            let delay = self.delay();
            self.after(delay, event);
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(500..30_000))
    }

    fn at(&self, id: NodeId) -> Option<NodeAt> {
        self.nodes.iter().position(|node| node.id == id)
    }

    fn side(&self, at: NodeAt) -> usize {
        if self.scene.is_cut {
            at * 2 / self.scene.nodes
        } else {
            0
        }
    }

    /// The nodes that a node believes to be live.
    fn live(&self, at: NodeAt) -> Vec<NodeId> {
        let near = (0..self.nodes.len()).filter(|other| self.side(*other) == self.side(at));
        near.map(|other| self.nodes[other].id).collect()
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
            Event::News(news, to) => {
                if let Some(at) = self.at(to) {
                    self.nodes[at].suspects.merge(self.now, &news);
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

    fn check(&self, at: NodeAt, fingerprint: Fingerprint) -> Decision {
        match self.scene.containment {
            Containment::Nothing => Decision::Run,
            _ => self.nodes[at].suspects.check(self.now, fingerprint),
        }
    }

    /// A caller sends through the next node.
    fn on_send(&mut self, fingerprint: Fingerprint, caller: u64) {
        self.turn += 1;
        let ingress = ((self.turn + caller) % self.scene.nodes as u64) as NodeAt;
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
                self.history.innocents_refused += 1;
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

    fn start_solo(&mut self, at: NodeAt, request: usize) {
        let fingerprint = self.requests[request].fingerprint;
        let node = &mut self.nodes[at];
        let coordinator = node.permits.coordinator(fingerprint);
        let id = RequestId(request as u64);
        let actions = node.holder.begin(self.now, id, fingerprint, coordinator);
        self.act(at, actions);
    }

    fn act(&mut self, at: NodeAt, actions: Vec<Action>) {
        let me = self.nodes[at].id;
        for action in actions {
            match action {
                // Without permits, everybody is its own coordinator.
                Action::Ask(_, ask) if self.scene.containment == Containment::NoPermits => {
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

    /// Starts the suspect once its server is empty.
    fn try_solo(&mut self, at: NodeAt) {
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

    fn end_solo(&mut self, at: NodeAt, request: usize, strike: Option<StrikeRecord>) {
        let id = RequestId(request as u64);
        let actions = self.nodes[at].holder.done(self.now, id, strike);
        self.act(at, actions);
    }

    fn start(&mut self, at: NodeAt, request: usize, is_permitted: bool) {
        let work = Duration::from_micros(self.rng.u64(2_000..20_000));
        let it = &self.requests[request];
        if it.is_answered && it.was_not_run {
            self.history.false_not_runs += 1;
        }
        self.history.runs.push(Run {
            fingerprint: it.fingerprint,
            server: self.nodes[at].id.0 as usize,
            is_permitted,
            began: self.now,
            ended: self.now + work,
            has_died: false,
        });
        let run = self.history.runs.len() - 1;
        self.of_run.push(request);
        self.nodes[at].running.push(run);
        self.after(work, Event::End(run));
    }

    fn on_end(&mut self, run: RunAt) {
        let runs_here = |node: &Node| node.running.contains(&run);
        let Some(at) = self.nodes.iter().position(runs_here) else {
            return;
        };
        let Run {
            fingerprint, began, ..
        } = self.history.runs[run];
        if fingerprint == CRASHER {
            return self.die(at, run);
        }
        self.nodes[at].running.retain(|other| *other != run);
        self.nodes[at].suspects.on_finished(fingerprint, began);
        self.end_solo(at, self.of_run[run], None);
        self.finish(self.of_run[run], None);
        self.try_solo(at);
    }

    /// The server dies of the run, with everything in flight and sometimes with its node.
    fn die(&mut self, at: NodeAt, run: RunAt) {
        self.history.runs[run].has_died = true;
        let node = &mut self.nodes[at];
        let in_flight = std::mem::take(&mut node.running);
        for other in &in_flight {
            self.history.runs[*other].ended = self.now;
        }
        node.is_up = false;
        let is_node_lost = self.rng.f64() < self.scene.node_loss;
        self.after(RESTART, Event::Up(at));
        if is_node_lost {
            return self.lose_node(at, &in_flight);
        }
        let node = &mut self.nodes[at];
        node.deaths += 1;
        let death = Crash {
            owner: node.id,
            number: node.deaths,
        };
        let requests: Vec<_> = in_flight.iter().map(|it| self.of_run[*it]).collect();
        let fingerprints: Vec<_> = requests
            .iter()
            .map(|it| self.requests[*it].fingerprint)
            .collect();
        node.suspects
            .on_server_crash(self.now, death, &fingerprints);
        let strike = self.nodes[at].suspects.strike(self.now, CRASHER, death);
        self.end_solo(at, self.of_run[run], strike);
        if let Some((waiting, _)) = self.nodes[at].waiting.take() {
            self.end_solo(at, waiting, None);
            self.finish(waiting, Some(Verdict::NotRun));
        }
        for request in requests {
            self.tell_ingress(at, request, death);
            self.finish(request, Some(Verdict::MayHaveRun));
        }
    }

    /// The owner's answer carries the strike.
    fn tell_ingress(&mut self, at: NodeAt, request: usize, death: Crash) {
        let fingerprint = self.requests[request].fingerprint;
        let strike = self.nodes[at].suspects.strike(self.now, fingerprint, death);
        let news = StrikeUpdate {
            strikes: strike.into_iter().collect(),
        };
        let ingress = self.nodes[self.requests[request].ingress].id;
        self.send(Event::News(news, ingress));
    }

    fn lose_node(&mut self, at: NodeAt, in_flight: &[RunAt]) {
        let lost = self.nodes[at].id;
        if self.nodes[at].permits.has_given(CRASHER) {
            self.history.coordinators_lost += 1;
        }
        let solo = self.nodes[at].waiting.take().map(|it| it.0);
        for run in in_flight {
            self.after(
                Duration::from_millis(5),
                Event::Lost(self.of_run[*run], lost),
            );
        }
        if let Some(request) = solo {
            self.after(Duration::from_millis(5), Event::Lost(request, lost));
        }
        // Its replacement comes under a new id; the server beside it takes a while to start.
        let node = self.new_node();
        self.nodes[at] = Node {
            is_up: false,
            ..node
        };
        self.tell_members();
    }

    /// Every node hears of the change within the spread.
    fn tell_members(&mut self) {
        let ids: Vec<_> = self.nodes.iter().map(|node| node.id).collect();
        for id in ids {
            let after = Duration::from_micros(self.rng.u64(..SPREAD.as_micros() as u64));
            self.after(after, Event::Members(id));
        }
    }

    /// The ingress sees the connection to a node break.
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

    fn on_gossip(&mut self, at: NodeAt) {
        self.after(GOSSIP, Event::Gossip(at));
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
            let news = self.nodes[at].suspects.next_update(now);
            self.send(Event::News(news, to));
        }
    }

    fn finish(&mut self, request: usize, verdict: Option<Verdict>) {
        let delay = self.delay();
        self.after(delay, Event::Finished(request, verdict));
        let it = &mut self.requests[request];
        it.was_not_run |= verdict == Some(Verdict::NotRun);
        it.is_answered = true;
    }

    /// The caller sends again.
    fn on_finished(&mut self, request: usize, verdict: Option<Verdict>) {
        let Request { fingerprint, .. } = self.requests[request];
        if fingerprint != CRASHER && verdict.is_none() {
            self.history.innocents_served += 1;
        }
        let wait = Duration::from_millis(self.rng.u64(5..60));
        self.after(wait, Event::Send(fingerprint, 0));
    }
}
