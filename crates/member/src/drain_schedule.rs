//! What a draining node still takes from callers, and when it ends.

use cassiashunt_types::prelude::*;

/// The time between the time limit of a request and the end by which it is answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// The course of a graceful stop: a time in which callers' requests are all taken, so that they can
/// move, then one in which only those are taken that end before the node does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    notice_ends: Time,
    ends: Time,
}

impl DrainSchedule {
    /// A stop that begins at `began`, gives callers `notice` to move, and takes `longest` at most.
    #[must_use]
    pub fn new(began: Time, notice: Duration, longest: Duration) -> Self {
        Self {
            notice_ends: began + notice,
            ends: began + longest,
        }
    }

    /// When callers had their time to move.
    #[must_use]
    pub const fn notice_ends(&self) -> Time {
        self.notice_ends
    }

    /// When the node ends with what is left.
    #[must_use]
    pub const fn ends(&self) -> Time {
        self.ends
    }

    /// Whether to take a caller's request that was read completely at `now` and whose time limit is
    /// `deadline`. What is taken after the notice is not cut off.
    #[must_use]
    pub fn takes(&self, now: Time, deadline: Time) -> bool {
        now < self.notice_ends || deadline <= self.ends.before(ANSWER_MARGIN)
    }
}
