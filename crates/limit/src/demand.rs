use std::time::Duration;

use cassiashunt_types::Time;

const SLOT_LENGTH: Duration = Duration::from_millis(50);
/// Weight of the newest slot in the moving average.
const NEWEST_SLOT_WEIGHT: f64 = 0.3;
/// The average is reset to zero if more slots than this have passed since the last update.
const MAX_IDLE_SLOTS: u32 = 40;

/// Exponentially weighted moving average of the demand in tokens, over slots of 50 ms.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    slot_start: Time,
    slot_tokens: u64,
    per_sec: f64,
}

impl Demand {
    /// Counts requested tokens.
    pub(crate) fn add(&mut self, now: Time, tokens: u64) {
        self.advance(now);
        self.slot_tokens += tokens;
    }

    /// The average in tokens per second, at least the newest slot's weighted contribution.
    pub(crate) fn per_sec(&mut self, now: Time) -> f64 {
        self.advance(now);
        let slot_per_sec = self.slot_tokens as f64 / SLOT_LENGTH.as_secs_f64();
        self.per_sec.max(slot_per_sec * NEWEST_SLOT_WEIGHT)
    }

    fn advance(&mut self, now: Time) {
        let mut steps = 0;
        while now.since(self.slot_start) >= SLOT_LENGTH {
            if steps >= MAX_IDLE_SLOTS {
                *self = Self {
                    slot_start: now,
                    ..Self::default()
                };
                return;
            }
            let slot_per_sec = self.slot_tokens as f64 / SLOT_LENGTH.as_secs_f64();
            self.per_sec += NEWEST_SLOT_WEIGHT * (slot_per_sec - self.per_sec);
            self.slot_tokens = 0;
            self.slot_start = self.slot_start + SLOT_LENGTH;
            steps += 1;
        }
    }
}
