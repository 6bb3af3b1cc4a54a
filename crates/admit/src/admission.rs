//! Decides which requests start at one backend server.

use std::collections::{HashMap, HashSet};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Job, Signal,
    estimate::{Estimates, ServiceTime},
    level_controller::LevelController,
    limiter::Limiter,
    queue::Queue,
    signal::FULL_LOAD,
    start_rate::{StartLimit, StartRate},
};

/// The shortest retry-after delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Settings of the admission at one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The number of concurrent requests that the server announces.
    pub slots: u32,
    /// The slow start time in which the limit of a cold server rises to its slots; zero for a warm
    /// server.
    pub warm_up: Duration,
    /// The rate at which requests start while the server is cold, which replaces the slow start;
    /// `None` for no such limit.
    pub start_limit: Option<StartLimit>,
    /// The maximum queue length, as a share of the concurrency limit.
    pub queue_share: f64,
    /// The lower bound of the maximum queue length, in requests.
    pub min_queue: u32,
    /// The age above which an estimate of a service time is stale.
    pub estimate_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            warm_up: Duration::ZERO,
            start_limit: None,
            queue_share: 0.5,
            min_queue: 4,
            estimate_age: Duration::from_secs(1),
        }
    }
}

/// What the caller has to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the backend server.
    Start(RequestId),
    /// Answer with the refusal; the request did not run and will not.
    Refuse(RequestId, Refusal),
}

/// Admission at one backend server.
///
/// Every offered request gets exactly one [`Action`], at once or from a later call.
/// [`cancel`](Self::cancel) after the start returns no second one.
#[derive(Debug)]
pub struct Admission {
    opts: Options,
    limiter: Limiter,
    start_rate: StartRate,
    queue: Queue,
    running: HashMap<RequestId, Route>,
    /// Waiting and running requests that must not run concurrently with any other.
    exclusive: HashSet<RequestId>,
    /// Latest start times of waiting requests that have one besides their deadline.
    start_by: HashMap<RequestId, Time>,
    estimates: Estimates,
    level_controller: LevelController,
    is_draining: bool,
}

impl Admission {
    /// Creates the admission of a server that started at `now`.
    #[must_use]
    pub fn new(now: Time, opts: Options) -> Self {
        Self {
            limiter: Limiter::new(opts.slots, now, slow_start(&opts)),
            start_rate: StartRate::new(opts.start_limit, now + opts.warm_up),
            opts,
            queue: Queue::default(),
            running: HashMap::new(),
            exclusive: HashSet::new(),
            start_by: HashMap::new(),
            estimates: Estimates::default(),
            level_controller: LevelController::default(),
            is_draining: false,
        }
    }

    /// Offers a request; one whose key is already waiting or running is ignored.
    pub fn offer(&mut self, now: Time, job: Job) -> Vec<Action> {
        if self.running.contains_key(&job.key) || self.queue.contains(job.key) {
            return Vec::new();
        }
        if self.is_draining {
            return vec![Action::Refuse(job.key, Refusal::not_run(Reason::Draining))];
        }
        self.level_controller.on_offer(now, job.priority);
        let mut actions = Vec::new();
        if self.can_finish_after_wait(now, &job) {
            self.queue.push(job);
        } else {
            self.level_controller.on_refusal();
            actions.push(self.refuse(&job, Reason::Deadline));
        }
        self.process_queue(now, &mut actions);
        actions
    }

    /// Offers a request that must not run concurrently with any other. Once it is first in the
    /// queue, it starts when no request runs, and nothing else starts until it is done.
    pub fn offer_exclusive(&mut self, now: Time, job: Job) -> Vec<Action> {
        if !self.running.contains_key(&job.key) && !self.queue.contains(job.key) {
            self.exclusive.insert(job.key);
        }
        self.offer(now, job)
    }

    /// Offers a request that is refused unless it starts by `start_by`, and refused at once if the
    /// expected wait behind the requests before it is longer.
    pub fn offer_to_start_by(&mut self, now: Time, job: Job, start_by: Time) -> Vec<Action> {
        if !self.running.contains_key(&job.key) && !self.queue.contains(job.key) {
            self.start_by.insert(job.key, start_by);
        }
        self.offer(now, job)
    }

    /// Ends a running request and frees its slot. `is_ok` is false if the server did not complete
    /// the work; the latency is then not a sample of its service time.
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
        self.process_queue(now, &mut actions);
        actions
    }

    /// Frees the slot of a request that was started but never sent to the server; it is no sample
    /// of the service time.
    pub fn abandon(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        self.running.remove(&id);
        let mut actions = Vec::new();
        self.process_queue(now, &mut actions);
        actions
    }

    /// Removes a waiting request. A running one keeps its slot until [`done`](Self::done).
    pub fn cancel(&mut self, now: Time, id: RequestId) -> Vec<Action> {
        let cancelled = self.queue.remove_if(|job| job.key == id);
        let refusal = Refusal::not_run(Reason::Cancelled);
        let mut actions: Vec<_> = cancelled
            .iter()
            .map(|job| Action::Refuse(job.key, refusal))
            .collect();
        self.process_queue(now, &mut actions);
        actions
    }

    /// Refuses waiting requests that can no longer finish in time. To be called every few
    /// milliseconds while requests wait, and at least ten times a second.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.process_queue(now, &mut actions);
        actions
    }

    /// Sets the number of concurrent requests that the server announces.
    pub fn set_slots(&mut self, now: Time, slots: u32) -> Vec<Action> {
        self.limiter.set_slots(slots);
        let mut actions = Vec::new();
        self.process_queue(now, &mut actions);
        actions
    }

    /// Ends the server's slow start `left` after `now` at the latest.
    pub fn end_warm_up(&mut self, now: Time, left: Duration) {
        self.limiter.end_warm_up(now, left);
    }

    /// Sets the limit on starts while the server is cold.
    pub fn set_start_limit(&mut self, now: Time, limit: Option<StartLimit>) {
        self.opts.start_limit = limit;
        self.start_rate.set_limit(limit);
        if limit.is_some() {
            self.limiter.end_warm_up(now, Duration::ZERO);
        }
    }

    /// Records that the server is cold for `left` from now on; zero if it is warm. Only the limit on
    /// starts follows from it.
    pub fn set_cold(&mut self, now: Time, left: Duration) {
        self.start_rate.set_cold_until(now + left);
    }

    /// Takes all starts that the limit allows in the second before `now` to have happened: what was
    /// sent to the server before is not known.
    pub fn spend_starts(&mut self, now: Time) {
        self.start_rate.spend(now);
    }

    /// Whether the limit on starts is in force.
    #[must_use]
    pub fn is_start_limited(&self, now: Time) -> bool {
        self.start_rate.limit(now).is_some()
    }

    /// The requests that the server can run concurrently as far as it is used: the concurrency
    /// limit, or while it is cold, what its starts come to at the mean service time.
    #[must_use]
    pub fn capacity(&self, now: Time) -> u32 {
        let limit = self.limiter.limit(now);
        let Some(starts) = self.start_rate.limit(now) else {
            return limit;
        };
        let running = f64::from(starts) * self.estimates.overall().as_secs_f64();
        limit.min((running.ceil() as u32).max(1))
    }

    /// Refuses all waiting requests and all that are offered from now on.
    pub fn drain(&mut self) -> Vec<Action> {
        self.is_draining = true;
        self.exclusive.retain(|id| self.running.contains_key(id));
        let refusal = Refusal::not_run(Reason::Draining);
        let waiting = self.queue.remove_if(|_| true);
        waiting
            .iter()
            .map(|job| Action::Refuse(job.key, refusal))
            .collect()
    }

    /// Accepts requests again after [`drain`](Self::drain).
    pub fn resume(&mut self) {
        self.is_draining = false;
    }

    /// The number of running requests.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// The concurrency limit at `now`.
    #[must_use]
    pub fn limit(&self, now: Time) -> u32 {
        self.limiter.limit(now)
    }

    /// The earliest deadline of the waiting requests, for the caller's timer; none if no request
    /// waits.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Time> {
        self.queue.first_deadline()
    }

    /// The overload signal for the other nodes, as of the last call.
    #[must_use]
    pub fn signal(&self, now: Time) -> Signal {
        let load = self.load(now) * FULL_LOAD as f64;
        Signal {
            level: self.level_controller.level(),
            load: load.min(255.0) as u8,
        }
    }

    /// Starts requests up to the limit, refuses those that cannot finish in time, and sheds those
    /// above the maximum queue length.
    fn process_queue(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.start(now, actions);
        self.expire(now, actions);
        self.shed(now, actions);
        self.prune_exclusive();
        self.prune_start_by();
        self.level_controller.observe(now, self.load(now));
    }

    fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.can_start(now) {
            if self.must_wait_for_idle() {
                return;
            }
            let Some(job) = self.queue.pop() else { return };
            if self.can_finish(now, &job) {
                self.running.insert(job.key, job.route);
                self.start_rate.on_start(now);
                actions.push(Action::Start(job.key));
            } else {
                self.level_controller.on_refusal();
                actions.push(self.refuse(&job, Reason::Deadline));
            }
        }
    }

    /// Whether the limits on concurrency and on starts leave room for one more request.
    fn can_start(&self, now: Time) -> bool {
        self.in_flight() < self.limiter.limit(now) && self.start_rate.may_start(now)
    }

    /// Whether the next request has to wait until no request runs: because it is exclusive, or
    /// because an exclusive one is running.
    fn must_wait_for_idle(&self) -> bool {
        if self.exclusive.is_empty() {
            return false;
        }
        let is_next_exclusive = self
            .queue
            .next()
            .is_some_and(|job| self.exclusive.contains(&job.key));
        let is_exclusive_running = self.running.keys().any(|id| self.exclusive.contains(id));
        !self.running.is_empty() && (is_next_exclusive || is_exclusive_running)
    }

    fn prune_exclusive(&mut self) {
        let (running, queue) = (&self.running, &self.queue);
        self.exclusive
            .retain(|id| running.contains_key(id) || queue.contains(*id));
    }

    fn prune_start_by(&mut self) {
        let queue = &self.queue;
        self.start_by.retain(|id, _| queue.contains(*id));
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let (running, start_by) = (&self.running, &self.start_by);
        let (estimates, age) = (&self.estimates, self.opts.estimate_age);
        let expired = self.queue.remove_if(|job| {
            let is_past_start_by = start_by.get(&job.key).is_some_and(|by| now >= *by);
            is_past_start_by
                || now + min_time_left(estimates, running, now, job.route, age) >= job.deadline
        });
        for job in &expired {
            self.level_controller.on_refusal();
            actions.push(self.refuse(job, Reason::Deadline));
        }
    }

    fn shed(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.queue.len() > self.max_queue_len(now) {
            let Some(job) = self.queue.shed() else { return };
            self.level_controller.on_refusal();
            actions.push(self.refuse(&job, Reason::Shed));
        }
    }

    fn max_queue_len(&self, now: Time) -> usize {
        let share = f64::from(self.capacity(now)) * self.opts.queue_share;
        (share as usize).max(self.opts.min_queue as usize)
    }

    /// Whether the request would meet its deadline if it started now.
    fn can_finish(&self, now: Time, job: &Job) -> bool {
        self.can_finish_from(now, now, job)
    }

    fn can_finish_from(&self, now: Time, start: Time, job: &Job) -> bool {
        let age = self.opts.estimate_age;
        let service = min_time_left(&self.estimates, &self.running, now, job.route, age);
        start + service < job.deadline
    }

    /// Whether the request would meet its deadline after the requests ahead of it in the queue.
    fn can_finish_after_wait(&self, now: Time, job: &Job) -> bool {
        let ahead = self.queue.ahead_of(job.rank());
        if self.can_start(now) {
            return self.can_finish(now, job);
        }
        let next_start = self.start_rate.next_start(now);
        if ahead == 0 && next_start <= now {
            return self.can_finish(now, job);
        }
        let start = next_start.max(now + self.wait_behind(now, ahead));
        let is_too_late = self.start_by.get(&job.key).is_some_and(|by| start > *by);
        !is_too_late && self.can_finish_from(now, start, job)
    }

    /// The expected time until `ahead` waiting requests have started, at the mean service time.
    fn wait_behind(&self, now: Time, ahead: usize) -> Duration {
        let limit = self.limiter.limit(now).max(1);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let wait = self.estimates.overall().saturating_mul(ahead) / limit;
        wait.max(self.start_rate.time_for(now, ahead))
    }

    fn refuse(&self, job: &Job, reason: Reason) -> Action {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let wait = self.estimates.overall().saturating_mul(waiting) / self.opts.slots.max(1);
        let refusal = Refusal::not_run(reason).retry_after(wait.max(MIN_RETRY_AFTER));
        Action::Refuse(job.key, refusal)
    }

    fn load(&self, now: Time) -> f64 {
        let busy = self.running.len() + self.queue.len();
        let busy = busy as f64 / f64::from(self.capacity(now).max(1));
        busy.max(self.start_rate.used_share(now))
    }
}

/// The time of the slow start by concurrency; none where starts are limited.
fn slow_start(opts: &Options) -> Duration {
    if opts.start_limit.is_some() {
        Duration::ZERO
    } else {
        opts.warm_up
    }
}

/// The time that a request must have left before its deadline: the estimated service time, or zero
/// without an estimate. It is also zero if the estimate is stale and no request of the route runs,
/// so that one request is admitted and samples the service time.
fn min_time_left(
    estimates: &Estimates,
    running: &HashMap<RequestId, Route>,
    now: Time,
    route: Route,
    age: Duration,
) -> Duration {
    match estimates.of(now, route, age) {
        ServiceTime::Unknown => Duration::ZERO,
        ServiceTime::Fresh(service) => service,
        ServiceTime::Stale(service) if running.values().any(|it| *it == route) => service,
        ServiceTime::Stale(_) => Duration::ZERO,
    }
}
