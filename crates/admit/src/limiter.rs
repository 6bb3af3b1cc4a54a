//! The concurrency limit of one backend server.

use cassiashunt_types::prelude::*;

/// The share of the announced slots at which slow start begins.
const COLD_SLOT_SHARE: f64 = 0.1;

/// A concurrency limit with slow start: the announced slots, and fewer while the server warms up.
#[derive(Debug, Clone)]
pub(crate) struct Limiter {
    slots: u32,
    warm_up: Duration,
    started: Time,
}

impl Limiter {
    /// Creates the limiter of a server that started at `started` and warms up over `warm_up`.
    pub(crate) fn new(slots: u32, started: Time, warm_up: Duration) -> Self {
        Self {
            slots,
            warm_up,
            started,
        }
    }

    /// The requests that may run concurrently; zero only if no slots are announced.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        let warm = f64::from(self.slots) * self.warm_share(now);
        (warm as u32).max(1)
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Ends the slow start `left` after `now` at the latest.
    pub(crate) fn end_warm_up(&mut self, now: Time, left: Duration) {
        let until_then = now.since(self.started).saturating_add(left);
        self.warm_up = self.warm_up.min(until_then);
    }

    /// The usable share of the slots at `now`: the elapsed share of the warm-up time, but at least
    /// `COLD_SLOT_SHARE`.
    fn warm_share(&self, now: Time) -> f64 {
        if self.warm_up.is_zero() {
            return 1.0;
        }
        let progress = now.since(self.started).as_secs_f64() / self.warm_up.as_secs_f64();
        progress.clamp(COLD_SLOT_SHARE, 1.0)
    }
}
