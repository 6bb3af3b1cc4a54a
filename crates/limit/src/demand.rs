use std::time::Duration;

use cassiashunt_types::Time;

/// Length of a slot of counting.
const SLOT: Duration = Duration::from_millis(50);
/// Weight of the newest slot in the average.
const NEWEST_WEIGHT: f64 = 0.3;
/// Slots without demand after which the average counts as zero.
const IDLE_SLOTS: u32 = 40;

/// Recent demand: an exponentially weighted average over slots of 50 ms.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Demand {
    slot_start: Time,
    in_slot: u64,
    per_sec: f64,
}

impl Demand {
    /// Counts tokens that were asked for.
    pub(crate) fn add(&mut self, now: Time, tokens: u64) {
        self.advance(now);
        self.in_slot += tokens;
    }

    /// Tokens a second.
    pub(crate) fn per_sec(&mut self, now: Time) -> f64 {
        self.advance(now);
        let seen = self.in_slot as f64 / SLOT.as_secs_f64();
        self.per_sec.max(seen * NEWEST_WEIGHT)
    }

    fn advance(&mut self, now: Time) {
        let mut steps = 0;
        while now.since(self.slot_start) >= SLOT {
            if steps >= IDLE_SLOTS {
                *self = Self {
                    slot_start: now,
                    ..Self::default()
                };
                return;
            }
            let seen = self.in_slot as f64 / SLOT.as_secs_f64();
            self.per_sec += NEWEST_WEIGHT * (seen - self.per_sec);
            self.in_slot = 0;
            self.slot_start = self.slot_start + SLOT;
            steps += 1;
        }
    }
}
