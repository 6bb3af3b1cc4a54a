//! Simulation of nodes, operators and a platform in virtual time, with faults drawn from a seed.

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc, time::Duration};

use cassiashunt_platform::{Store, swap};
use cassiashunt_table::{
    AUDIT_PREFIX, Applied, Block, Change, Column, Edit, EditId, HEAD_KEY, Head, Lineage, Offer,
    Record, RowKey, SpillLimits, Value, Verifier,
    commit::{
        Action, Commit, Event, HeadReport, HeadReports, Options, Outcome, Proposal, Replicated,
        Stored, Swapped,
    },
};
use cassiashunt_types::{KeyId, Time};
use fastrand::Rng;

use super::history::{History, Operation, Returned};

const NODES: usize = 5;
const MAJORITY: usize = NODES / 2 + 1;
const ANSWER_TIMEOUT_MS: u64 = 120;
const FAULTS_END: Time = Time::from_millis(12_000);
/// From this time on, the operators of a plan that has them decide between undecided lines.
const OPERATORS_DECIDE_FROM: Time = Time::from_millis(16_000);
const RUN_END: Time = Time::from_millis(24_000);

/// The faults that a run injects, and the rule of the protocol that it omits.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub roll_backs: bool,
    pub outages: bool,
    pub replacements: bool,
    pub partitions: bool,
    pub lost_per_cent: u32,
    pub spill: SpillLimits,
    /// Whether operators decide between lines that the peers leave undecided.
    pub operators: bool,
    /// Omits the peers' majority: an edit is accepted as soon as the platform holds it.
    pub accept_on_swap: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            roll_backs: true,
            outages: true,
            replacements: true,
            partitions: true,
            lost_per_cent: 5,
            spill: SpillLimits {
                max_records: 10_000,
                max_bytes: usize::MAX,
                kept_records: 64,
            },
            operators: false,
            accept_on_swap: false,
        }
    }
}

#[derive(Default)]
struct Node {
    applied: Applied,
    /// Number of earlier processes of this node; a message to one of them is dropped.
    process: usize,
    /// Whether the node may vouch for a head: it has received the heads of a majority since it was
    /// replaced.
    vouching: bool,
    received: Vec<(usize, Option<HeadReport>)>,
    started: Time,
    /// Which side of a partition it is on.
    side: u32,
    sees_platform: bool,
    reinstalling: bool,
}

/// A peer's answer to a job.
#[derive(Clone)]
struct Vote {
    from: usize,
    ok: bool,
    report: Option<HeadReport>,
}

struct Job {
    node: usize,
    process: usize,
    edit: Option<EditId>,
    commit: Commit,
    /// Number of actions so far; an answer to an earlier one is dropped.
    round: u64,
    replicating: bool,
    votes: Vec<Vote>,
    done: bool,
}

#[derive(Clone)]
enum Call {
    Read,
    Keep(Block),
    Audit,
    Swap(Proposal),
}

enum Message {
    Edit(usize),
    Tick(usize),
    Fault,
    AtPlatform {
        job: usize,
        round: u64,
        call: Call,
    },
    Answer {
        job: usize,
        round: u64,
        event: Event,
    },
    Timeout {
        job: usize,
        round: u64,
        event: Event,
    },
    Ask {
        job: usize,
        round: u64,
        to: usize,
        head: Option<Arc<Head>>,
    },
    Vote {
        job: usize,
        round: u64,
        vote: Vote,
    },
    Poll {
        node: usize,
        process: usize,
    },
    Report {
        node: usize,
        process: usize,
        report: HeadReport,
        platform: bool,
    },
    RequestReport {
        node: usize,
        process: usize,
        to: usize,
    },
    StartupReport {
        node: usize,
        process: usize,
        from: usize,
        report: Option<HeadReport>,
    },
}

struct Queued(Reverse<(Time, u64)>, Message);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

struct Simulation {
    plan: Plan,
    rng: Rng,
    now: Time,
    queue: BinaryHeap<Queued>,
    sequence: u64,
    store: Store,
    /// The head read last, to be parsed once.
    read: Option<Stored>,
    platform_up: bool,
    nodes: Vec<Node>,
    jobs: Vec<Job>,
    history: History,
    /// Index of each node's current process in `History::in_force`.
    logs: Vec<usize>,
    drawn: u32,
}

/// Runs one schedule to its end.
pub fn run(seed: u64, plan: Plan) -> History {
    let mut simulation = Simulation {
        plan,
        rng: Rng::with_seed(seed),
        now: Time::ZERO,
        queue: BinaryHeap::new(),
        sequence: 0,
        store: Store::default(),
        read: None,
        platform_up: true,
        nodes: (0..NODES)
            .map(|_| Node {
                vouching: true,
                sees_platform: true,
                ..Node::default()
            })
            .collect(),
        jobs: Vec::new(),
        history: History {
            in_force: vec![Vec::new(); NODES],
            ..History::default()
        },
        logs: (0..NODES).collect(),
        drawn: 0,
    };
    for node in 0..NODES {
        simulation.send(1, Message::Tick(node));
        simulation.send(10, Message::Edit(node));
    }
    simulation.send(500, Message::Fault);
    while let Some(Queued(Reverse((at, _)), message)) = simulation.queue.pop() {
        if at > RUN_END {
            break;
        }
        simulation.now = at;
        simulation.deliver(message);
    }
    simulation.finish()
}

impl Simulation {
    fn send(&mut self, millis: u64, message: Message) {
        self.sequence += 1;
        let at = self.now + Duration::from_millis(millis);
        self.queue
            .push(Queued(Reverse((at, self.sequence)), message));
    }

    /// Sends over the network: with a short or long delay, or drops the message.
    fn network(&mut self, message: Message) {
        if self.chance(self.plan.lost_per_cent) {
            return;
        }
        let delay = if self.chance(3) {
            self.rng.u64(1..800)
        } else {
            self.rng.u64(1..30)
        };
        self.send(delay, message);
    }

    fn chance(&mut self, per_cent: u32) -> bool {
        self.now < FAULTS_END && self.rng.u32(0..100) < per_cent
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        self.nodes[one].side == self.nodes[other].side
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Edit(node) => self.begin_edit(node),
            Message::Tick(node) => self.tick(node),
            Message::Fault => self.fault(),
            Message::AtPlatform { job, round, call } => self.at_platform(job, round, &call),
            Message::Answer { job, round, event } => self.resume(job, round, event),
            Message::Timeout { job, round, event } => self.time_out(job, round, event),
            Message::Ask {
                job,
                round,
                to,
                head,
            } => self.ask(job, round, to, head),
            Message::Vote { job, round, vote } => self.vote(job, round, vote),
            Message::Poll { node, process } => self.poll(node, process),
            Message::Report {
                node,
                process,
                report,
                platform,
            } => {
                if self.nodes[node].process == process {
                    self.on_report(node, report, platform);
                }
            }
            Message::RequestReport { node, process, to } => {
                self.answer_report_request(node, process, to)
            }
            Message::StartupReport {
                node,
                process,
                from,
                report,
            } => self.on_startup_report(node, process, from, report),
        }
    }

    fn begin_edit(&mut self, node: usize) {
        if self.now < FAULTS_END {
            let delay = self.rng.u64(50..1_500);
            self.send(delay, Message::Edit(node));
            let edit = self.draw_edit(node);
            self.history.operations.push(Operation {
                edit: edit.id,
                invoked: self.now,
                returned: None,
            });
            let id = edit.id;
            let known = self.nodes[node].applied.head().cloned();
            let started = Commit::start(edit, known, self.options());
            self.begin_job(node, Some(id), started);
        }
    }

    fn options(&self) -> Options {
        Options {
            spill: self.plan.spill,
            reads: 8,
            prefer_platform: self.plan.operators && self.now > OPERATORS_DECIDE_FROM,
            ..Options::default()
        }
    }

    fn begin_job(&mut self, node: usize, edit: Option<EditId>, (commit, action): (Commit, Action)) {
        let process = self.nodes[node].process;
        self.jobs.push(Job {
            node,
            process,
            edit,
            commit,
            round: 0,
            replicating: false,
            votes: Vec::new(),
            done: false,
        });
        self.perform(self.jobs.len() - 1, action);
    }

    /// An edit of one or two cells, or of a key, that expects what the node has in force.
    /// Few values are drawn, so that cells return to earlier values.
    fn draw_edit(&mut self, node: usize) -> Edit {
        self.drawn += 1;
        let head = self.nodes[node].applied.head().cloned().unwrap_or_default();
        let changes = if self.rng.u32(0..4) == 0 {
            vec![self.draw_key(&head)]
        } else {
            self.draw_cells(&head)
        };
        Edit {
            id: EditId(self.rng.u64(..)),
            who: format!("operator {node}"),
            when: self.now.to_string(),
            changes,
        }
    }

    fn draw_cells(&mut self, head: &Head) -> Vec<Change> {
        let value = self.rng.u32(1..4);
        let first = self.rng.usize(0..4);
        let cells = if self.rng.bool() {
            vec![first]
        } else {
            vec![first, (first + 1) % 4]
        };
        let change = |cell: usize| {
            let row: RowKey = if cell < 2 { "paint,*,*" } else { "wigs,*,*" }
                .parse()
                .expect("the row key is valid");
            let column = if cell.is_multiple_of(2) {
                Column::DeadlineMs
            } else {
                Column::PerMinute
            };
            let old = head.table().get(&row, column);
            Change::Cell {
                row,
                column,
                old,
                new: Some(Value::Number(value)),
            }
        };
        cells.into_iter().map(change).collect()
    }

    fn draw_key(&mut self, head: &Head) -> Change {
        let active: Vec<KeyId> = head.keys().iter().map(|(id, _)| id).collect();
        if active.len() < 3 {
            let verifier = Verifier::of(&format!("key {}", self.drawn));
            return Change::GiveKey {
                workspace: "paint".parse().expect("a name"),
                verifier,
            };
        }
        Change::WithdrawKey {
            id: active[self.rng.usize(0..active.len())],
        }
    }

    fn perform(&mut self, job: usize, action: Action) {
        self.jobs[job].round += 1;
        self.jobs[job].votes.clear();
        match action {
            Action::Read { wait } => self.call(job, wait, Call::Read, Event::ReadFailed),
            Action::KeepAudit(block) => {
                self.call(job, Duration::ZERO, Call::Keep(block), Event::AuditFailed)
            }
            Action::ReadAudit { .. } => {
                self.call(job, Duration::ZERO, Call::Audit, Event::AuditFailed)
            }
            Action::Swap(proposal) => {
                self.call(
                    job,
                    Duration::ZERO,
                    Call::Swap(proposal),
                    Event::Swapped(Swapped::Unknown),
                );
            }
            Action::AskPeers => self.ask_all(job, None),
            Action::Replicate(head) if self.plan.accept_on_swap => {
                let node = self.jobs[job].node;
                let _ = self.offer(node, head, false);
                let round = self.jobs[job].round;
                self.resume(job, round, Event::Replicated(Replicated::InForce));
            }
            Action::Replicate(head) => self.ask_all(job, Some(head)),
            Action::Finish(outcome) => self.returned(job, &outcome),
        }
    }

    fn call(&mut self, job: usize, wait: Duration, call: Call, event: Event) {
        let round = self.jobs[job].round;
        let wait = u64::try_from(wait.as_millis()).expect("waits are short");
        self.send(
            wait + ANSWER_TIMEOUT_MS,
            Message::Timeout { job, round, event },
        );
        if self.chance(self.plan.lost_per_cent) {
            return;
        }
        let delay = if self.chance(3) {
            self.rng.u64(1..800)
        } else {
            self.rng.u64(1..20)
        };
        self.send(wait + delay, Message::AtPlatform { job, round, call });
    }

    fn at_platform(&mut self, job: usize, round: u64, call: &Call) {
        let node = &self.nodes[self.jobs[job].node];
        if !self.platform_up || !node.sees_platform {
            return;
        }
        let event = match call {
            Call::Read => Event::Read(self.stored()),
            Call::Keep(block) => {
                self.put(&block.key, swap::Expected::Absent, &block.value);
                Event::AuditKept
            }
            Call::Audit => Event::Audit(self.audit()),
            Call::Swap(proposal) => {
                Event::Swapped(self.put(HEAD_KEY, proposal.expected, &proposal.head.to_bytes()))
            }
        };
        self.network(Message::Answer { job, round, event });
    }

    fn put(&mut self, key: &str, expected: swap::Expected, value: &[u8]) -> Swapped {
        let req = swap::Request {
            key,
            expected,
            value,
            lease: None,
        };
        match self.store.swap(self.now, &req).expect("values are small") {
            swap::Outcome::Applied { .. } => Swapped::Applied,
            _ => Swapped::Conflict,
        }
    }

    fn stored(&mut self) -> Option<Stored> {
        let entry = self.store.get(self.now, HEAD_KEY)?;
        if self
            .read
            .as_ref()
            .is_none_or(|read| read.version != entry.version)
        {
            let head = Head::from_bytes(&entry.value).expect("the platform holds a valid head");
            self.read = Some(Stored {
                version: entry.version,
                head: Arc::new(head),
            });
        }
        self.read.clone()
    }

    fn audit(&mut self) -> Vec<Record> {
        let entries = self.store.list(self.now, AUDIT_PREFIX);
        let parse = |entry: &cassiashunt_platform::Entry| {
            Block::parse(&entry.value).expect("the block is valid")
        };
        entries.iter().flat_map(parse).collect()
    }

    /// Continues a job, unless its process was replaced or the answer is outdated.
    fn resume(&mut self, job: usize, round: u64, event: Event) {
        let held = &self.jobs[job];
        if held.round != round || held.done || self.nodes[held.node].process != held.process {
            return;
        }
        let action = self.jobs[job].commit.on(event);
        self.perform(job, action);
    }

    fn returned(&mut self, job: usize, outcome: &Outcome) {
        self.jobs[job].done = true;
        let Job { node, edit, .. } = self.jobs[job];
        if let Outcome::Accepted {
            line: Some(line), ..
        } = outcome
        {
            self.nodes[node].applied.note_accepted(*line);
        }
        let Some(edit) = edit else {
            self.nodes[node].reinstalling = false;
            return;
        };
        let returned = match outcome {
            Outcome::Accepted { .. } => Returned::Accepted,
            Outcome::Conflict(_) | Outcome::Refused(_) => Returned::NotApplied,
            Outcome::StillUnknown => Returned::Unknown,
        };
        let operation = self
            .history
            .operations
            .iter_mut()
            .find(|operation| operation.edit == edit);
        operation.expect("every edit was invoked").returned = Some((self.now, returned));
    }

    fn ask_all(&mut self, job: usize, head: Option<Arc<Head>>) {
        let round = self.jobs[job].round;
        self.jobs[job].replicating = head.is_some();
        let event = Event::HeadReports(HeadReports {
            peers: Vec::new(),
            blocking: 0,
        });
        self.send(ANSWER_TIMEOUT_MS, Message::Timeout { job, round, event });
        for to in 0..NODES {
            self.network(Message::Ask {
                job,
                round,
                to,
                head: head.clone(),
            });
        }
    }

    fn ask(&mut self, job: usize, round: u64, to: usize, head: Option<Arc<Head>>) {
        if !self.connected(self.jobs[job].node, to) {
            return;
        }
        let ok = head.is_none_or(|head| {
            let _ = self.offer(to, Arc::clone(&head), false);
            self.nodes[to].applied.vouch(&head)
        });
        let report = self.nodes[to].applied.head_report();
        if self.nodes[to].vouching {
            let vote = Vote {
                from: to,
                ok,
                report,
            };
            self.network(Message::Vote { job, round, vote });
        }
    }

    fn vote(&mut self, job: usize, round: u64, vote: Vote) {
        if self.jobs[job].round != round || !self.connected(self.jobs[job].node, vote.from) {
            return;
        }
        self.jobs[job].votes.push(vote);
        let votes = &self.jobs[job].votes;
        if self.jobs[job].replicating && votes.iter().filter(|vote| vote.ok).count() >= MAJORITY {
            return self.resume(job, round, Event::Replicated(Replicated::InForce));
        }
        if votes.len() == NODES {
            let event = self.count_votes(job);
            self.resume(job, round, event);
        }
    }

    fn time_out(&mut self, job: usize, round: u64, event: Event) {
        let asking = matches!(event, Event::HeadReports(_));
        let event = if asking { self.count_votes(job) } else { event };
        self.resume(job, round, event);
    }

    fn count_votes(&self, job: usize) -> Event {
        let Job {
            votes, replicating, ..
        } = &self.jobs[job];
        if !*replicating {
            let peers = votes
                .iter()
                .filter_map(|vote| vote.report.clone())
                .collect();
            return Event::HeadReports(HeadReports {
                peers,
                blocking: NODES - MAJORITY + 1,
            });
        }
        let refusing = votes.iter().filter(|vote| !vote.ok);
        let heads = refusing.filter_map(|vote| vote.report.as_ref().map(|report| &report.head));
        let newest = heads.max_by_key(|head| head.revision());
        Event::Replicated(
            newest.map_or(Replicated::TooFewAnswers, |by| Replicated::Refused {
                by: Arc::clone(by),
            }),
        )
    }

    fn tick(&mut self, node: usize) {
        self.send(200, Message::Tick(node));
        let process = self.nodes[node].process;
        self.network(Message::Poll { node, process });
        let age = self.now.since(self.nodes[node].started);
        if !self.nodes[node].vouching && age > Duration::from_millis(ANSWER_TIMEOUT_MS) {
            self.nodes[node].received.clear();
            for to in (0..NODES).filter(|to| *to != node) {
                self.network(Message::RequestReport { node, process, to });
            }
        }
        let to = self.rng.usize(0..NODES);
        let report = self.nodes[node].applied.head_report();
        if let Some(report) = report.filter(|_| self.connected(node, to)) {
            let process = self.nodes[to].process;
            self.network(Message::Report {
                node: to,
                process,
                report,
                platform: false,
            });
        }
    }

    fn poll(&mut self, node: usize, process: usize) {
        if !self.platform_up || !self.nodes[node].sees_platform {
            return;
        }
        if let Some(Stored { head, .. }) = self.stored() {
            let accepted = None;
            let report = HeadReport { head, accepted };
            self.network(Message::Report {
                node,
                process,
                report,
                platform: true,
            });
        }
    }

    fn on_report(&mut self, node: usize, report: HeadReport, platform: bool) {
        if let Some(held) = self.nodes[node].applied.head() {
            assert_records_lead_to(held, &report.head);
        }
        let _ = self.offer(node, report.head, platform);
        if let Some(line) = report.accepted {
            self.nodes[node].applied.note_accepted(line);
        }
    }

    /// Offers a head to a node. If the platform's head is older, or any head has forked, the node
    /// reinstalls the head that it has in force.
    fn offer(&mut self, node: usize, head: Arc<Head>, platform: bool) -> Offer {
        let offer = self.nodes[node].applied.offer(Arc::clone(&head));
        if let Offer::Applied { .. } = offer {
            let log = self.logs[node];
            self.history.in_force[log].push((self.now, head));
        }
        let behind = platform && matches!(offer, Offer::Older { .. });
        if behind || matches!(offer, Offer::Forked { .. }) {
            self.reinstall(node);
        }
        offer
    }

    fn reinstall(&mut self, node: usize) {
        let Some(known) = self.nodes[node].applied.head().cloned() else {
            return;
        };
        if !self.nodes[node].reinstalling {
            self.nodes[node].reinstalling = true;
            let started = Commit::start_reinstall(known, self.options());
            self.begin_job(node, None, started);
        }
    }

    fn answer_report_request(&mut self, node: usize, process: usize, to: usize) {
        if self.nodes[to].vouching && self.connected(node, to) {
            let report = self.nodes[to].applied.head_report();
            self.network(Message::StartupReport {
                node,
                process,
                from: to,
                report,
            });
        }
    }

    /// A replaced node puts the newest head of its peers in force. It vouches once a majority sent
    /// their heads and its own keeps all of them, except lines that an accepted edit rules out.
    fn on_startup_report(
        &mut self,
        node: usize,
        process: usize,
        from: usize,
        report: Option<HeadReport>,
    ) {
        if self.nodes[node].process != process || self.nodes[node].vouching {
            return;
        }
        if let Some(report) = &report {
            self.on_report(node, report.clone(), false);
        }
        let Node {
            received, applied, ..
        } = &mut self.nodes[node];
        received.retain(|(peer, _)| *peer != from);
        received.push((from, report));
        let own = applied.head_report();
        let settled = received.iter().all(|(_, report)| match (&own, report) {
            (Some(own), Some(report)) => {
                own.head.keeps(&report.head) || own.rules_out(&report.head)
            }
            (_, report) => report.is_none(),
        });
        self.nodes[node].vouching = settled && self.nodes[node].received.len() >= MAJORITY;
    }

    fn fault(&mut self) {
        if self.now >= FAULTS_END {
            return self.recover();
        }
        let delay = self.rng.u64(100..900);
        self.send(delay, Message::Fault);
        let node = self.rng.usize(0..NODES);
        match self.rng.u32(0..7) {
            0 if self.plan.roll_backs => self.store.roll_back(self.rng.usize(1..5)),
            1 if self.plan.outages => self.platform_up = false,
            2 => self.platform_up = true,
            3 if self.plan.replacements => self.replace(node),
            4 if self.plan.partitions => self.nodes[node].side = self.rng.u32(0..2),
            5 if self.plan.partitions => {
                self.nodes[node].sees_platform = !self.nodes[node].sees_platform
            }
            6 => self.nodes.iter_mut().for_each(|node| node.side = 0),
            _ => {}
        }
    }

    fn recover(&mut self) {
        self.platform_up = true;
        for node in &mut self.nodes {
            node.side = 0;
            node.sees_platform = true;
        }
    }

    /// Replaces a node, unless too few vouching nodes would remain to send it their heads.
    fn replace(&mut self, node: usize) {
        let vouching = self.nodes.iter().filter(|node| node.vouching).count();
        if vouching <= MAJORITY {
            return;
        }
        let Node {
            process,
            side,
            sees_platform,
            ..
        } = self.nodes[node];
        self.nodes[node] = Node {
            process: process + 1,
            side,
            sees_platform,
            started: self.now,
            ..Node::default()
        };
        self.history.in_force.push(Vec::new());
        self.logs[node] = self.history.in_force.len() - 1;
    }

    fn finish(mut self) -> History {
        let stored = self.stored().map(|stored| stored.head).unwrap_or_default();
        for (index, node) in self.nodes.iter().enumerate() {
            let held = node.applied.head().cloned().unwrap_or_default();
            if stored.lineage(&held) != Lineage::Same {
                self.history.outdated.push(index);
            }
        }
        self.history.line = self.audit();
        self.history.line.sort_by_key(|record| record.revision);
        self.history.line.dedup();
        self.history
            .line
            .retain(|record| stored.may_have_spilled(record.revision));
        self.history.line.extend(stored.recent().cloned());
        self.history.last = Head::clone(&stored);
        self.history
    }
}

/// If `later` has the records after `held`, applying them to `held` must give the same table.
fn assert_records_lead_to(held: &Head, later: &Head) {
    let records = held.line().and_then(|line| later.records_after(line));
    if let Some(records) = records.filter(|records| !records.is_empty()) {
        let updated = held
            .apply_records(&records)
            .expect("the records continue the head");
        assert_eq!(updated.table(), later.table());
        assert_eq!(updated.keys(), later.keys());
        assert_eq!(updated.line(), later.line());
    }
}
