//! Decides which requests start at one backend server.

use std::collections::{HashMap, HashSet};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Job, Signal,
    estimate::{Estimates, Known},
    limiter::Limiter,
    meter::Meter,
    queue::Queue,
    signal::FULL_LOAD,
};

/// The shortest time to come back after a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Settings of the admission at one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Requests that the server announces to run at once.
    pub slots: u32,
    /// The time over which a cold server is given its full limit; zero for a warm one.
    pub warm_up: Duration,
    /// The longest queue, as a share of the concurrency limit.
    pub queue_share: f64,
    /// The shortest longest queue, in requests.
    pub min_queue: u32,
    /// The age at which an estimate of a service time is no longer used.
    pub estimate_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            warm_up: Duration::ZERO,
            queue_share: 0.5,
            min_queue: 4,
            estimate_age: Duration::from_secs(1),
        }
    }
}

/// What the node is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Hand the request to the backend server.
    Start(RequestId),
    /// Answer with the refusal; the request never ran and never will.
    Refuse(RequestId, Refusal),
}

/// Admission at one backend server.
///
/// Every offered request gets exactly one [`Action`], at once or from a later call, unless it is
/// cancelled by [`cancel`](Self::cancel) after its start.
#[derive(Debug)]
pub struct Admission {
    opts: Options,
    limiter: Limiter,
    queue: Queue,
    running: HashMap<RequestId, Route>,
    /// Requests that run beside no other, waiting or running.
    alone: HashSet<RequestId>,
    /// When waiting requests are refused that have not started, where it is before they could no
    /// longer finish.
    start_by: HashMap<RequestId, Time>,
    estimates: Estimates,
    meter: Meter,
    is_draining: bool,
}

impl Admission {
    /// Admission at a server that came up at `now`.
    #[must_use]
    pub fn new(now: Time, opts: Options) -> Self {
        Self {
            limiter: Limiter::new(opts.slots, now, opts.warm_up),
            opts,
            queue: Queue::default(),
            running: HashMap::new(),
            alone: HashSet::new(),
            start_by: HashMap::new(),
            estimates: Estimates::default(),
            meter: Meter::default(),
            is_draining: false,
        }
    }

    /// Takes in a request; a key that is already running or waiting is left out.
    pub fn offer(&mut self, now: Time, job: Job) -> Vec<Action> {
        if self.running.contains_key(&job.key) || self.queue.contains(job.key) {
            return Vec::new();
        }
        if self.is_draining {
            return vec![Action::Refuse(job.key, Refusal::not_run(Reason::Draining))];
        }
        self.meter.on_offer(now, job.priority);
        let mut actions = Vec::new();
        if self.can_finish_after_wait(now, &job) {
            self.queue.push(job);
        } else {
            self.meter.on_refusal();
            actions.push(self.refuse(&job, Reason::Deadline));
        }
        self.settle(now, &mut actions);
        actions
    }

    /// Takes in a request that is to run beside no other: when its turn comes, nothing starts
    /// until the server is empty, and then nothing until it is done.
    pub fn offer_exclusive(&mut self, now: Time, job: Job) -> Vec<Action> {
        if !self.running.contains_key(&job.key) && !self.queue.contains(job.key) {
            self.alone.insert(job.key);
        }
        self.offer(now, job)
    }

    /// Takes in a request that is refused unless it starts by `start_by`, and at once where the
    /// requests before it are expected to take longer.
    pub fn offer_to_start_by(&mut self, now: Time, job: Job, start_by: Time) -> Vec<Action> {
        if !self.running.contains_key(&job.key) && !self.queue.contains(job.key) {
            self.start_by.insert(job.key, start_by);
        }
        self.offer(now, job)
    }

    /// Takes in the end of a running request; `is_ok` is false where the server did not do the
    /// whole work, so that the latency says nothing of it.
    pub fn done(
        &mut self,
        now: Time,
        id: RequestId,
        latency: Duration,
        is_ok: bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(route) = self.running.remove(&id) else {
            return actions;
        };
        if is_ok {
            self.estimates.sample(now, route, latency);
        }
        self.settle(now, &mut actions);
        actions
    }

    /// Frees the slot of a request that was started but never handed to the server; it says
    /// nothing about the server.
    pub fn abandon(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        self.running.remove(&id);
        let mut actions = Vec::new();
        self.settle(now, &mut actions);
        actions
    }

    /// Takes a waiting request out. A running one keeps its slot until [`done`](Self::done).
    pub fn cancel(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        let gone = self.queue.extract(|job| job.key == id);
        let refusal = Refusal::not_run(Reason::Cancelled);
        let mut actions: Vec<_> = gone
            .iter()
            .map(|job| Action::Refuse(job.key, refusal))
            .collect();
        self.settle(now, &mut actions);
        actions
    }

    /// Refuses waiting requests that can no longer finish in time; to be called every few
    /// milliseconds while requests wait, and at least ten times a second.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.settle(now, &mut actions);
        actions
    }

    /// Takes in the number of requests that the server announces to run at once.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Vec<Action> {
        self.limiter.set_slots(slots);
        let mut actions = Vec::new();
        self.settle(now, &mut actions);
        actions
    }

    /// Refuses everything that waits and everything that is offered from now on.
    pub fn drain(&mut self) -> Vec<Action> {
        self.is_draining = true;
        self.alone.retain(|id| self.running.contains_key(id));
        let refusal = Refusal::not_run(Reason::Draining);
        let waiting = self.queue.extract(|_| true);
        waiting
            .iter()
            .map(|job| Action::Refuse(job.key, refusal))
            .collect()
    }

    /// Requests that run now.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests that wait now.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// The requests that may run at once now.
    #[must_use]
    pub fn limit(&self, now: Time) -> u32 {
        self.limiter.limit(now)
    }

    /// The earliest deadline of the waiting requests, for the caller's timer.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Time> {
        self.queue.first_deadline()
    }

    /// What the rest of the fleet is to know, as of the last call.
    #[must_use]
    pub fn signal(&self, now: Time) -> Signal {
        let load = self.load(now) * FULL_LOAD as f64;
        Signal {
            level: self.meter.level(),
            load: load.min(255.0) as u8,
        }
    }

    /// Refuses what is too late, starts what fits, and sheds what is over the longest queue.
    fn settle(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.start(now, actions);
        self.expire(now, actions);
        self.shed(now, actions);
        self.forget_alone();
        self.forget_start_by();
        self.meter.observe(now, self.load(now));
    }

    fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.in_flight() < self.limiter.limit(now) {
            if self.must_wait() {
                return;
            }
            let Some(job) = self.queue.pop() else { return };
            if self.can_finish(now, &job) {
                self.running.insert(job.key, job.route);
                actions.push(Action::Start(job.key));
            } else {
                self.meter.on_refusal();
                actions.push(self.refuse(&job, Reason::Deadline));
            }
        }
    }

    /// Whether the next request waits for an empty server: it is to run alone, or another does.
    fn must_wait(&self) -> bool {
        if self.alone.is_empty() {
            return false;
        }
        let is_next_alone = self
            .queue
            .next()
            .is_some_and(|job| self.alone.contains(&job.key));
        let is_one_running = self.running.keys().any(|id| self.alone.contains(id));
        !self.running.is_empty() && (is_next_alone || is_one_running)
    }

    fn forget_alone(&mut self) {
        let (running, queue) = (&self.running, &self.queue);
        self.alone
            .retain(|id| running.contains_key(id) || queue.contains(*id));
    }

    fn forget_start_by(&mut self) {
        let queue = &self.queue;
        self.start_by.retain(|id, _| queue.contains(*id));
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (running, start_by) = (&self.running, &self.start_by);
        let (estimates, age) = (&self.estimates, self.opts.estimate_age);
        let late = self.queue.extract(|job| {
            let has_waited_long = start_by.get(&job.key).is_some_and(|by| now >= *by);
            has_waited_long
                || now + least_service(estimates, running, now, job.route, age) >= job.deadline
        });
        for job in &late {
            self.meter.on_refusal();
            actions.push(self.refuse(job, Reason::Deadline));
        }
    }

    fn shed(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.queue.len() > self.longest_queue(now) {
            let Some(job) = self.queue.shed() else { return };
            self.meter.on_refusal();
            actions.push(self.refuse(&job, Reason::Shed));
        }
    }

    fn longest_queue(&self, now: Time) -> usize {
        let share = f64::from(self.limiter.limit(now)) * self.opts.queue_share;
        (share as usize).max(self.opts.min_queue as usize)
    }

    /// Whether the request would finish in time if it started now.
    fn can_finish(&self, now: Time, job: &Job) -> bool {
        self.can_finish_from(now, now, job)
    }

    fn can_finish_from(&self, now: Time, start: Time, job: &Job) -> bool {
        let age = self.opts.estimate_age;
        let service = least_service(&self.estimates, &self.running, now, job.route, age);
        start + service < job.deadline
    }

    /// Whether the request would finish in time behind those that go before it.
    fn can_finish_after_wait(&self, now: Time, job: &Job) -> bool {
        let ahead = self.queue.ahead_of(job.rank());
        if self.in_flight() < self.limiter.limit(now) || ahead == 0 {
            return self.can_finish(now, job);
        }
        let start = now + self.wait_behind(now, ahead);
        let is_too_late = self.start_by.get(&job.key).is_some_and(|by| start > *by);
        !is_too_late && self.can_finish_from(now, start, job)
    }

    /// The time in which `ahead` waiting requests start, at the mean service time.
    fn wait_behind(&self, now: Time, ahead: usize) -> Duration {
        let limit = self.limiter.limit(now).max(1);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.estimates.overall().saturating_mul(ahead) / limit
    }

    fn refuse(&self, job: &Job, reason: Reason) -> Action {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let wait = self.estimates.overall().saturating_mul(waiting) / self.opts.slots.max(1);
        let refusal = Refusal::not_run(reason).retry_after(wait.max(MIN_RETRY_AFTER));
        Action::Refuse(job.key, refusal)
    }

    fn load(&self, now: Time) -> f64 {
        let busy = self.running.len() + self.queue.len();
        busy as f64 / f64::from(self.limiter.limit(now).max(1))
    }
}

/// The service time that a request must have left. Where the estimate is old and no request of the
/// route runs, none is asked for, so that one request finds out what it is now.
fn least_service(
    estimates: &Estimates,
    running: &HashMap<RequestId, Route>,
    now: Time,
    route: Route,
    age: Duration,
) -> Duration {
    match estimates.of(now, route, age) {
        Known::Nothing => Duration::ZERO,
        Known::Fresh(service) => service,
        Known::Stale(service) if running.values().any(|it| *it == route) => service,
        Known::Stale(_) => Duration::ZERO,
    }
}
