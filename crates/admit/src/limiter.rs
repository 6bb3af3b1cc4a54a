//! The number of requests that may run at a backend server at once.

use cassiashunt_types::prelude::*;

/// The share of the announced slots with which a cold server starts.
const COLD_SHARE: f64 = 0.1;

/// A concurrency limit: the announced slots, and fewer while the server warms up.
#[derive(Debug, Clone)]
pub(crate) struct Limiter {
    slots: u32,
    warm_up: Duration,
    started: Time,
}

impl Limiter {
    /// A limiter of a server that came up at `started` and warms up over `warm_up`.
    pub(crate) fn new(slots: u32, started: Time, warm_up: Duration) -> Self {
        Self {
            slots,
            warm_up,
            started,
        }
    }

    /// The requests that may run at once; zero only when no slots are announced.
    pub(crate) fn limit(&self, now: Time) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        let warm = f64::from(self.slots) * self.warmth(now);
        (warm as u32).max(1)
    }

    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// The part of the slots that a warming server is given, from the cold share to one.
    fn warmth(&self, now: Time) -> f64 {
        if self.warm_up.is_zero() {
            return 1.0;
        }
        let passed = now.since(self.started).as_secs_f64() / self.warm_up.as_secs_f64();
        passed.clamp(COLD_SHARE, 1.0)
    }
}
