//! What a node that was asked to stop still takes, and when it ends.

use cassiashunt_types::prelude::*;

/// How long all requests are taken after the node stops being ready. Readiness is checked once a
/// second, and two failed checks take the node out of rotation.
const NOT_READY_NOTICE: Duration = Duration::from_millis(2_600);
/// The largest fraction of the grace period that the notice takes.
const MAX_NOTICE_FRACTION: f64 = 0.45;
/// The fraction of the grace period after which pending requests are given up. It is later than five
/// sixths, up to which requests at work must not be broken off.
const GIVE_UP_FRACTION: f64 = 0.9;
/// The fraction of the grace period after which no answer to a client is waited for.
const END_FRACTION: f64 = 0.93;
/// The fraction of the grace period by which all connections are closed.
const CLOSED_FRACTION: f64 = 0.95;
/// The fraction of the grace period by which a late end has everything closed.
const LAST_FRACTION: f64 = 0.98;
/// The shortest time for the answers to what is given up, and for closing connections. A process that
/// was paused may find all times over.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);
const MIN_CLOSE_TIME: Duration = Duration::from_millis(40);
/// The time between the time limit of a request and the moment at which it would be given up.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// The course of a graceful stop: a notice during which all requests are taken, a time in which only
/// those are taken that end before the stop does, a moment for the answers to those that are given up,
/// and the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    began: Time,
    grace: Duration,
}

impl StopSchedule {
    /// A stop that was asked for at `began`; the process is killed `grace` later.
    #[must_use]
    pub const fn new(began: Time, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// When the node was asked to stop.
    #[must_use]
    pub const fn began(&self) -> Time {
        self.began
    }

    /// When the notice is over.
    #[must_use]
    pub fn notice_ends(&self) -> Time {
        self.began + NOT_READY_NOTICE.min(self.grace.mul_f64(MAX_NOTICE_FRACTION))
    }

    /// When pending requests are given up, and answered accordingly.
    #[must_use]
    pub fn gives_up(&self) -> Time {
        self.began + self.grace.mul_f64(GIVE_UP_FRACTION)
    }

    /// When owners are no longer waited for to tell whether a request that was given up at `given_up`
    /// has run: half of the time for answers is left then.
    #[must_use]
    pub fn recalls_end(&self, given_up: Time) -> Time {
        given_up + self.ends(given_up).since(given_up) / 2
    }

    /// When the answers to requests that were given up at `given_up` are no longer waited for.
    #[must_use]
    pub fn ends(&self, given_up: Time) -> Time {
        let end = self.began + self.grace.mul_f64(END_FRACTION);
        end.max(given_up + MIN_ANSWER_TIME).min(self.last_moment())
    }

    /// When connections that begin to close at `now` are left, whatever is not delivered.
    #[must_use]
    pub fn closed_by(&self, now: Time) -> Time {
        let end = self.began + self.grace.mul_f64(CLOSED_FRACTION);
        end.max(now + MIN_CLOSE_TIME).min(self.last_moment())
    }

    fn last_moment(&self) -> Time {
        self.began + self.grace.mul_f64(LAST_FRACTION)
    }

    /// The latest time limit of what is taken after the notice: it is answered before the stop gives
    /// up.
    #[must_use]
    pub fn last_deadline(&self) -> Time {
        self.gives_up().before(ANSWER_MARGIN)
    }

    /// Whether to take a request that was read completely at `now` and whose time limit is
    /// `deadline`. What is taken after the notice is not given up later.
    #[must_use]
    pub fn takes(&self, now: Time, deadline: Time) -> bool {
        now < self.notice_ends() || deadline <= self.last_deadline()
    }
}
