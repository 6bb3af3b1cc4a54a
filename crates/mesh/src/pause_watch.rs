//! Estimates when a signal was sent to a process that may have been paused meanwhile.

use cassiashunt_types::prelude::*;

/// The shortest time without a tick that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// A signal that was sent in a pause is handled within this time after the first tick.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);

/// The last two times at which the process is known to have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseWatch {
    previous: Time,
    last: Time,
}

impl PauseWatch {
    /// The time between two ticks.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

    /// A watch of a process that runs at `now`.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            previous: now,
            last: now,
        }
    }

    /// Records that the process runs at `now`.
    pub const fn on_tick(&mut self, now: Time) {
        self.previous = self.last;
        self.last = now;
    }

    /// The earliest time at which a signal may have been sent that is handled at `now`: the start of
    /// a pause that has just ended, or else `now`.
    #[must_use]
    pub fn earliest_signal(&self, now: Time) -> Time {
        let is_first_tick = now.since(self.last) < SIGNAL_DELAY;
        if now.since(self.last) >= MIN_PAUSE {
            self.last
        } else if is_first_tick && self.last.since(self.previous) >= MIN_PAUSE {
            self.previous
        } else {
            now
        }
    }
}
