//! The owner's state and its worker threads.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
};

use bytes::Bytes;
use cassiashunt_admit::{Action, Admission, Job as Entry, Signal};
use cassiashunt_ring::Ring;
use cassiashunt_suspect::Decision;
use cassiashunt_timer::Clock;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Begin;

use super::{
    Backend, Gate, Job, Reply,
    health::{Health, Sight},
};
use crate::ticket::Tickets;

/// Stack of a worker thread, in bytes.
const WORKER_STACK: usize = 256 * 1024;

/// How a server is owned.
pub(crate) struct Options {
    pub slots: u32,
    pub health_path: String,
    pub warm_up: Duration,
}

/// The owner of the backend server beside the node.
pub(crate) struct Owner {
    pub(super) clock: Clock,
    pub(super) backend: Backend,
    pub(super) tickets: Arc<Tickets>,
    pub(super) gate: Gate,
    pub(super) health: Health,
    opts: Options,
    state: Mutex<State>,
    run: Ring<Job>,
}

struct State {
    admission: Admission,
    waiting: HashMap<RequestId, Job>,
    running: HashMap<RequestId, u64>,
    /// Suspects that wait for the leave to run alone.
    parked: HashMap<RequestId, Job>,
}

impl Owner {
    pub(crate) fn new(
        clock: Clock,
        opts: Options,
        backend: Backend,
        tickets: Arc<Tickets>,
        gate: Gate,
    ) -> Arc<Self> {
        let admission = cassiashunt_admit::Options {
            slots: opts.slots,
            warm_up: opts.warm_up,
            ..Default::default()
        };
        let state = State {
            admission: Admission::new(clock.now(), admission),
            waiting: HashMap::new(),
            running: HashMap::new(),
            parked: HashMap::new(),
        };
        Arc::new(Self {
            clock,
            backend,
            tickets,
            gate,
            health: Health::new(),
            run: Ring::new(opts.slots as usize),
            opts,
            state: Mutex::new(state),
        })
    }

    /// Starts one worker thread a slot.
    pub(crate) fn spawn(self: &Arc<Self>) -> io::Result<Vec<JoinHandle<()>>> {
        let spawn_one = |_| {
            let owner = Arc::clone(self);
            let work = move || {
                while let Ok(job) = owner.run.pop() {
                    owner.run_job(job);
                }
            };
            let builder = thread::Builder::new().name("worker".into());
            builder.stack_size(WORKER_STACK).spawn(work)
        };
        (0..self.opts.slots).map(spawn_one).collect()
    }

    /// Takes in a whole request.
    pub(crate) fn start(&self, begin: Begin, body: Bytes, reply: &Arc<Reply>) {
        let now = self.clock.now();
        let job = match Job::read(now, begin, body, Arc::clone(reply)) {
            Ok(job) => job,
            Err(err) => {
                log::warn!(event = "peer-request-malformed"; "{err}");
                return reply.refuse(Refusal::not_run(Reason::BadRequest), None, 0);
            }
        };
        if let Err(refusal) = self.may_take(now, &job) {
            return reply.refuse(refusal, Some(self.signal().to_bits()), job.retries);
        }
        match self.gate.suspicion(now, job.fingerprint) {
            Decision::Refuse(refusal) => {
                reply.refuse(refusal, Some(self.signal().to_bits()), job.retries);
            }
            Decision::Run if !job.is_alone => self.offer(now, job),
            Decision::Run | Decision::RunAlone => self.park(job),
        }
    }

    /// Keeps a suspect until it has leave to run alone.
    fn park(&self, mut job: Job) {
        job.is_alone = true;
        let (id, fingerprint) = (job.reply.id(), job.fingerprint);
        self.lock().parked.insert(id, job);
        self.gate.ask_alone(id, fingerprint);
    }

    /// A suspect has leave to run alone until then.
    pub(crate) fn run_alone(&self, id: RequestId, until: Time) {
        let parked = self.lock().parked.remove(&id);
        match parked {
            Some(mut job) => {
                job.deadline = job.deadline.min(until);
                self.offer(self.clock.now(), job);
            }
            None => self.gate.ended_alone(id, None),
        }
    }

    /// A suspect does not get leave to run.
    pub(crate) fn refuse_parked(&self, id: RequestId, refusal: Refusal) {
        let parked = self.lock().parked.remove(&id);
        if let Some(job) = parked {
            let signal = Some(self.signal().to_bits());
            job.reply.refuse(refusal, signal, job.retries);
        }
    }

    fn may_take(&self, now: Time, job: &Job) -> Result<(), Refusal> {
        if !self.health.is_up() {
            return Err(Refusal::not_run(Reason::NoServer));
        }
        self.gate.accept(now)?;
        self.gate.check(now, job)
    }

    fn offer(&self, now: Time, job: Job) {
        let rank = self.gate.rank(&job);
        let entry = Entry {
            key: job.reply.id(),
            workspace: job.workspace.unwrap_or_else(nobody),
            weight: rank.weight,
            priority: rank.priority,
            depth: u8::try_from(job.depth).unwrap_or(u8::MAX),
            deadline: job.deadline,
            route: job.route,
        };
        let due = {
            let mut state = self.lock();
            let is_alone = job.is_alone;
            state.waiting.insert(entry.key, job);
            let actions = match is_alone {
                true => state.admission.offer_exclusive(now, entry),
                false => state.admission.offer(now, entry),
            };
            state.take(actions)
        };
        self.act(due);
    }

    /// Gives a request up: one that waits is refused, one that runs is told to its calls.
    pub(crate) fn cancel(&self, reply: &Reply) {
        reply.cancel();
        let due = {
            let mut state = self.lock();
            let actions = state.admission.cancel(self.clock.now(), reply.id());
            state.take(actions)
        };
        self.act(due);
    }

    /// Refuses what waits too long.
    pub(crate) fn tick(&self) {
        let due = {
            let mut state = self.lock();
            let actions = state.admission.tick(self.clock.now());
            state.take(actions)
        };
        self.act(due);
    }

    /// Refuses what waits and what comes from now on.
    pub(crate) fn drain(&self) {
        let due = {
            let mut state = self.lock();
            let actions = state.admission.drain();
            state.take(actions)
        };
        self.act(due);
    }

    /// Ends the worker threads once nothing runs.
    pub(crate) fn stop(&self) {
        self.health.see(Sight::Leave);
        self.run.close();
    }

    /// Looks whether the server is up.
    pub(crate) fn probe(&self) {
        let sight = match self.backend.health(&self.opts.health_path) {
            Some(_) => Sight::Answer,
            None if self.backend.is_listening() => Sight::Answer,
            None => Sight::Refuse,
        };
        self.see(sight);
    }

    /// Requests that run or wait.
    pub(crate) fn in_flight(&self) -> usize {
        let state = self.lock();
        state.waiting.len() + state.running.len() + state.parked.len()
    }

    /// The shedding level and load to tell others.
    pub(crate) fn signal(&self) -> Signal {
        self.lock().admission.signal(self.clock.now())
    }

    /// The name of the server's state.
    pub(crate) fn health_name(&self) -> &'static str {
        self.health.name()
    }

    pub(crate) fn is_up(&self) -> bool {
        self.health.is_up()
    }

    /// Takes in what a request or a probe saw of the server.
    pub(super) fn see(&self, sight: Sight) {
        if !self.health.see(sight) {
            return;
        }
        log::info!(event = "server-state", state = self.health.name(); "");
        if sight == Sight::Refuse {
            let in_flight: Vec<_> = self.lock().running.values().copied().collect();
            self.gate.died(self.clock.now(), &in_flight);
        }
    }

    /// Takes in the end of a running request.
    pub(super) fn finish(&self, id: RequestId, end: &Finish) {
        let now = self.clock.now();
        let due = {
            let mut state = self.lock();
            state.running.remove(&id);
            let actions = match end {
                Finish::Ran { latency, is_ok } => state.admission.done(now, id, *latency, *is_ok),
                Finish::NotSent => state.admission.abandon(now, id),
            };
            state.take(actions)
        };
        self.act(due);
    }

    fn act(&self, due: Vec<Due>) {
        for step in due {
            match step {
                Due::Run(job) => {
                    if self.run.push(job).is_err() {
                        log::error!(event = "run-ring-full"; "more requests started than slots");
                    }
                }
                Due::Refuse(job, refusal) => {
                    if job.is_alone {
                        self.gate.ended_alone(job.reply.id(), None);
                    }
                    let signal = Some(self.signal().to_bits());
                    job.reply.refuse(refusal, signal, job.retries);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a started request ended.
pub(super) enum Finish {
    /// The server ran it.
    Ran { latency: Duration, is_ok: bool },
    /// It was never handed to the server.
    NotSent,
}

enum Due {
    Run(Job),
    Refuse(Job, Refusal),
}

impl State {
    /// Takes the requests that `actions` speak of out of the waiting ones.
    fn take(&mut self, actions: Vec<Action>) -> Vec<Due> {
        let take_one = |action| match action {
            Action::Start(id) => {
                let job = self.waiting.remove(&id)?;
                self.running.insert(id, job.fingerprint);
                Some(Due::Run(job))
            }
            Action::Refuse(id, refusal) => self
                .waiting
                .remove(&id)
                .map(|job| Due::Refuse(job, refusal)),
        };
        actions.into_iter().filter_map(take_one).collect()
    }
}

/// The name under which requests without a workspace share a queue.
pub(crate) fn nobody() -> Workspace {
    "-".parse().expect("a dash is a label")
}
