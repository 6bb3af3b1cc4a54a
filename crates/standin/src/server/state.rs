//! What all threads of one stand-in share.

use std::{
    collections::HashMap,
    net::{Shutdown, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, RwLock},
    time::{Duration, Instant},
};

use super::{
    Options,
    http::Request,
    record::{Outcome, Record, Stats},
};

/// How long a wait goes on before it looks for a cancellation again.
const WAIT_SLICE: Duration = Duration::from_millis(50);

/// What one stand-in's threads share.
pub(super) struct State {
    options: RwLock<Arc<Options>>,
    inner: Mutex<Inner>,
    changed: Condvar,
    runs: Mutex<Vec<Record>>,
    rng: Mutex<fastrand::Rng>,
}

/// A state that changes under one lock.
#[derive(Default)]
struct Inner {
    stats: Stats,
    /// Grows with each crash and stop, so that work of an earlier life is known.
    life: u64,
    started: Option<Instant>,
    streams: HashMap<u64, Arc<TcpStream>>,
    next_stream: u64,
    jobs: HashMap<u64, Job>,
    next_job: u64,
}

/// A request that waits or runs.
struct Job {
    id: String,
    ticket: Option<String>,
    cancelled: bool,
}

/// A request's hold on the server, from its arrival to its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobKey {
    number: u64,
    life: u64,
}

/// Why work stops before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stop {
    Cancelled,
    Deadline,
    Crashed,
}

impl State {
    pub(super) fn new(options: Options) -> Self {
        let rng = fastrand::Rng::with_seed(options.seed);
        Self {
            options: RwLock::new(Arc::new(options)),
            inner: Mutex::default(),
            changed: Condvar::new(),
            runs: Mutex::default(),
            rng: Mutex::new(rng),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    pub(super) fn options(&self) -> Arc<Options> {
        self.options
            .read()
            .expect("no holder of this lock panics")
            .clone()
    }

    pub(super) fn set_options(&self, options: Options) {
        *self.options.write().expect("no holder of this lock panics") = Arc::new(options);
        self.changed.notify_all();
    }

    pub(super) fn draw<T>(&self, draw: impl FnOnce(&mut fastrand::Rng) -> T) -> T {
        draw(&mut self.rng.lock().expect("no holder of this lock panics"))
    }

    pub(super) fn stats(&self) -> Stats {
        self.inner().stats
    }

    pub(super) fn count(&self, count: impl FnOnce(&mut Stats)) {
        count(&mut self.inner().stats);
    }

    pub(super) fn runs(&self) -> Vec<Record> {
        self.runs
            .lock()
            .expect("no holder of this lock panics")
            .clone()
    }

    /// Begins a life: the server is cold from now on.
    pub(super) fn start(&self) {
        self.inner().started = Some(Instant::now());
    }

    /// Ends a life: closes every connection and stops all work.
    pub(super) fn end(&self) {
        let mut inner = self.inner();
        inner.life += 1;
        inner.jobs.clear();
        inner.stats.running = 0;
        inner.stats.waiting = 0;
        for (_, stream) in inner.streams.drain() {
            // A stream that is closed already needs no closing.
            let _ = stream.shutdown(Shutdown::Both);
        }
        inner.stats.connections = 0;
        drop(inner);
        self.changed.notify_all();
    }

    /// The factor on service times now.
    pub(super) fn factor(&self) -> f64 {
        let options = self.options();
        let started = self.inner().started;
        let cold = Duration::from_millis(options.cold_ms);
        let is_cold = started.is_some_and(|at| at.elapsed() < cold);
        options.slow_factor * if is_cold { options.cold_factor } else { 1.0 }
    }

    /// Takes a connection in; `None` where there are too many.
    pub(super) fn open(&self, stream: &Arc<TcpStream>) -> Option<u64> {
        let most = self.options().connections;
        let mut inner = self.inner();
        if inner.stats.connections >= most {
            inner.stats.over_connections += 1;
            return None;
        }
        inner.stats.accepted += 1;
        inner.stats.connections += 1;
        inner.next_stream += 1;
        let number = inner.next_stream;
        inner.streams.insert(number, stream.clone());
        Some(number)
    }

    pub(super) fn close(&self, number: u64) {
        let mut inner = self.inner();
        if inner.streams.remove(&number).is_some() {
            inner.stats.connections -= 1;
        }
    }

    /// Takes a request in; `None` where the server sheds it.
    pub(super) fn arrive(&self, id: &str, ticket: Option<&str>) -> Option<JobKey> {
        let options = self.options();
        let is_drawn = options.shed_rate > 0.0 && self.draw(|rng| rng.f64() < options.shed_rate);
        let mut inner = self.inner();
        let is_full = inner.stats.running >= options.slots && inner.stats.waiting >= options.queue;
        if is_drawn || is_full || options.draining {
            inner.stats.shed += 1;
            return None;
        }
        inner.next_job += 1;
        inner.stats.waiting += 1;
        let key = JobKey {
            number: inner.next_job,
            life: inner.life,
        };
        let job = Job {
            id: id.into(),
            ticket: ticket.map(str::to_owned),
            cancelled: false,
        };
        inner.jobs.insert(key.number, job);
        Some(key)
    }

    /// Waits for a slot.
    pub(super) fn take_slot(&self, key: JobKey, deadline: Instant) -> Result<(), Stop> {
        let mut inner = self.inner();
        loop {
            inner.check(key, deadline)?;
            if inner.stats.running < self.options().slots {
                inner.stats.waiting -= 1;
                inner.stats.running += 1;
                inner.stats.began += 1;
                inner.stats.peak_running = inner.stats.peak_running.max(inner.stats.running);
                return Ok(());
            }
            inner = self.wait(inner, deadline);
        }
    }

    /// Works for a time, which holds the slot.
    pub(super) fn work(&self, key: JobKey, span: Duration, deadline: Instant) -> Result<(), Stop> {
        let until = Instant::now() + span;
        loop {
            self.inner().check(key, deadline)?;
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            let next = until.min(deadline).saturating_duration_since(now);
            std::thread::sleep(next.min(WAIT_SLICE));
        }
    }

    /// Says whether the request should still go on.
    pub(super) fn check(&self, key: JobKey, deadline: Instant) -> Result<(), Stop> {
        self.inner().check(key, deadline)
    }

    /// Ends a request that waited only.
    pub(super) fn give_up(&self, key: JobKey, stop: Stop) {
        let mut inner = self.inner();
        if inner.leave(key) {
            inner.stats.waiting -= 1;
        }
        inner.count_stop(stop);
        drop(inner);
        self.changed.notify_one();
    }

    /// Ends a request that ran.
    pub(super) fn finish(&self, key: JobKey, outcome: Outcome) {
        let mut inner = self.inner();
        if inner.leave(key) {
            inner.stats.running -= 1;
        }
        match outcome {
            Outcome::Done => inner.stats.done += 1,
            Outcome::Failed => inner.stats.failed += 1,
            Outcome::Cancelled => inner.count_stop(Stop::Cancelled),
            Outcome::Deadline => inner.count_stop(Stop::Deadline),
            Outcome::Crashed | Outcome::Running => {}
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Cancels the requests with this id or ticket; says how many there were.
    pub(super) fn cancel(&self, id: &str) -> usize {
        let mut inner = self.inner();
        let jobs = inner.jobs.values_mut().filter(|job| job.is_named(id));
        let cancelled = jobs.map(|job| job.cancelled = true).count();
        drop(inner);
        self.changed.notify_all();
        cancelled
    }

    /// Records a run that begins; `None` where there is no room.
    pub(super) fn record(&self, id: &str, req: &Request) -> Option<usize> {
        let options = self.options();
        let mut runs = self.runs.lock().expect("no holder of this lock panics");
        if runs.len() >= options.records {
            drop(runs);
            self.count(|stats| stats.unrecorded += 1);
            return None;
        }
        runs.push(Record::begin(id, req, options.capture));
        Some(runs.len() - 1)
    }

    pub(super) fn end_record(&self, index: Option<usize>, outcome: Outcome) {
        let mut runs = self.runs.lock().expect("no holder of this lock panics");
        if let Some(record) = index.and_then(|index| runs.get_mut(index)) {
            record.end(outcome);
        }
    }

    fn wait<'a>(&self, inner: MutexGuard<'a, Inner>, until: Instant) -> MutexGuard<'a, Inner> {
        let left = until.saturating_duration_since(Instant::now());
        let waited = self.changed.wait_timeout(inner, left);
        waited.expect("no holder of this lock panics").0
    }
}

impl Job {
    fn is_named(&self, name: &str) -> bool {
        self.id == name || self.ticket.as_deref() == Some(name)
    }
}

impl Inner {
    fn check(&self, key: JobKey, deadline: Instant) -> Result<(), Stop> {
        if key.life != self.life {
            return Err(Stop::Crashed);
        }
        if self.jobs.get(&key.number).is_some_and(|job| job.cancelled) {
            return Err(Stop::Cancelled);
        }
        if Instant::now() >= deadline {
            return Err(Stop::Deadline);
        }
        Ok(())
    }

    /// Forgets a job; says whether it still belonged to this life.
    fn leave(&mut self, key: JobKey) -> bool {
        key.life == self.life && self.jobs.remove(&key.number).is_some()
    }

    fn count_stop(&mut self, stop: Stop) {
        match stop {
            Stop::Cancelled => self.stats.cancelled += 1,
            Stop::Deadline => self.stats.deadline += 1,
            Stop::Crashed => {}
        }
    }
}
