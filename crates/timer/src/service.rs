//! The timer thread and its subscriptions.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel},
    },
    thread::{self, JoinHandle},
};

use cassiashunt_types::prelude::*;
use slotmap::SecondaryMap;

use crate::{Clock, Due, Queue, TimerKey};

/// Requests to the thread that may wait; more make the asking thread wait.
const REQUESTS: usize = 64;

/// How long the thread sleeps while there is no timer.
const IDLE_SLEEP: Duration = Duration::from_secs(60);

/// A subscription's time came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// The time it was due.
    pub at: Time,
    /// The time it was sent.
    pub now: Time,
}

/// When a subscription ticks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The time to the first tick.
    pub first: Duration,
    /// The time between ticks; `None` for a single one.
    pub period: Option<Duration>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            first: Duration::ZERO,
            period: Some(Duration::from_secs(1)),
        }
    }
}

impl Options {
    /// A tick at the end of every `period`.
    #[must_use]
    pub fn every(period: Duration) -> Self {
        Self {
            first: period,
            period: Some(period),
        }
    }

    /// A single tick after `delay`.
    #[must_use]
    pub fn once(delay: Duration) -> Self {
        Self {
            first: delay,
            period: None,
        }
    }
}

/// The timer service has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stopped;

impl std::fmt::Display for Stopped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the timer service has stopped")
    }
}

impl std::error::Error for Stopped {}

/// Whether a subscriber could take a tick.
enum Delivery {
    Sent,
    Full,
    Gone,
}

type Deliver = Box<dyn FnMut(Tick) -> Delivery + Send>;

struct Subscriber {
    deliver: Deliver,
    skipped: Arc<AtomicU64>,
    cancelled: Arc<AtomicBool>,
}

enum Request {
    Subscribe {
        at: Time,
        period: Option<Duration>,
        subscriber: Subscriber,
    },
    Stop,
}

/// A part's place in the service; dropping it ends its ticks.
#[derive(Debug)]
pub struct Subscription {
    skipped: Arc<AtomicU64>,
    cancelled: Arc<AtomicBool>,
}

impl Subscription {
    /// Ticks that the full ring of the subscriber could not take.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped.load(Ordering::Relaxed)
    }
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::Release);
    }
}

/// One thread that ticks for every subscriber of the process.
#[derive(Debug)]
pub struct Service {
    clock: Clock,
    tx: SyncSender<Request>,
    thread: Option<JoinHandle<()>>,
}

impl Service {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The operating system could not start a thread.
    pub fn start(clock: Clock) -> io::Result<Self> {
        let (tx, rx) = sync_channel(REQUESTS);
        let thread = thread::Builder::new()
            .name("timer".into())
            .spawn(move || Worker::new(clock, rx).run())?;
        Ok(Self {
            clock,
            tx,
            thread: Some(thread),
        })
    }

    /// Sends ticks to the ring `tx`, as the event that `event` makes of each.
    ///
    /// A tick that finds the ring full is skipped and counted. The ticks end when the subscription
    /// is dropped, the ring's receiver is gone, or the service stops.
    ///
    /// # Errors
    ///
    /// [`Stopped`] where the service has stopped.
    pub fn subscribe<E: Send + 'static>(
        &self,
        opts: Options,
        tx: SyncSender<E>,
        mut event: impl FnMut(Tick) -> E + Send + 'static,
    ) -> Result<Subscription, Stopped> {
        let deliver = Box::new(move |tick| match tx.try_send(event(tick)) {
            Ok(()) => Delivery::Sent,
            Err(TrySendError::Full(_)) => Delivery::Full,
            Err(TrySendError::Disconnected(_)) => Delivery::Gone,
        });
        self.add(opts, deliver)
    }

    /// Gives a ring of `capacity` ticks of its own.
    ///
    /// # Errors
    ///
    /// [`Stopped`] where the service has stopped.
    pub fn ticks(
        &self,
        opts: Options,
        capacity: usize,
    ) -> Result<(Subscription, Receiver<Tick>), Stopped> {
        let (tx, rx) = sync_channel(capacity);
        let subscription = self.subscribe(opts, tx, |tick| tick)?;
        Ok((subscription, rx))
    }

    /// Stops the thread and waits for its end; every ring that it fed is closed.
    pub fn stop(mut self) {
        self.join();
    }

    fn add(&self, opts: Options, deliver: Deliver) -> Result<Subscription, Stopped> {
        let subscription = Subscription {
            skipped: Arc::default(),
            cancelled: Arc::default(),
        };
        let subscriber = Subscriber {
            deliver,
            skipped: subscription.skipped.clone(),
            cancelled: subscription.cancelled.clone(),
        };
        let req = Request::Subscribe {
            at: self.clock.now() + opts.first,
            period: opts.period,
            subscriber,
        };
        self.tx.send(req).map_err(|_| Stopped)?;
        Ok(subscription)
    }

    fn join(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        // The thread may have ended by itself; then there is nobody to tell.
        let _ = self.tx.send(Request::Stop);
        let _ = thread.join();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.join();
    }
}

/// What the thread holds.
struct Worker {
    clock: Clock,
    rx: Receiver<Request>,
    queue: Queue,
    subscribers: SecondaryMap<TimerKey, Subscriber>,
}

impl Worker {
    fn new(clock: Clock, rx: Receiver<Request>) -> Self {
        Self {
            clock,
            rx,
            queue: Queue::new(),
            subscribers: SecondaryMap::new(),
        }
    }

    fn run(mut self) {
        loop {
            let wait = self.wait();
            match self.rx.recv_timeout(wait) {
                Ok(Request::Subscribe {
                    at,
                    period,
                    subscriber,
                }) => self.add(at, period, subscriber),
                Ok(Request::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            self.expire();
        }
    }

    fn wait(&mut self) -> Duration {
        let now = self.clock.now();
        self.queue
            .next_due()
            .map_or(IDLE_SLEEP, |at| at.since(now).min(IDLE_SLEEP))
    }

    fn add(&mut self, at: Time, period: Option<Duration>, subscriber: Subscriber) {
        let key = self.queue.schedule(at, period);
        self.subscribers.insert(key, subscriber);
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        for due in self.queue.expire(now) {
            self.deliver(due, now);
        }
        self.subscribers.retain(|key, _| self.queue.contains(key));
    }

    fn deliver(&mut self, due: Due, now: Time) {
        let Some(subscriber) = self.subscribers.get_mut(due.key) else {
            return;
        };
        let tick = Tick { at: due.at, now };
        if !subscriber.send(tick) {
            self.queue.cancel(due.key);
        }
    }
}

impl Subscriber {
    /// Sends a tick; `false` where nobody waits for it any more.
    fn send(&mut self, tick: Tick) -> bool {
        if self.cancelled.load(Ordering::Acquire) {
            return false;
        }
        match (self.deliver)(tick) {
            Delivery::Sent => true,
            Delivery::Full => {
                self.skipped.fetch_add(1, Ordering::Relaxed);
                true
            }
            Delivery::Gone => false,
        }
    }
}
