//! The share of its slots that a backend server uses without slowing down, as learned by its owner.

use cassiashunt_types::prelude::*;

/// The share that is used until more is known to be useful: servers whose latency rises steeply when
/// nearly full do so from 0.95 of their slots.
pub(crate) const LOW_SHARE: f64 = 0.945;
/// The share from which on a server that is used at `LOW_SHARE` counts as full.
const FULL_AT_LOW_SHARE: f64 = 0.88;
/// The runs at each level that a comparison needs: their mean is then known to some 3%.
const COMPARED_RUNS: u32 = 200;
/// The comparisons in a row that have to show a slow-down.
const SLOW_COMPARISONS: u32 = 2;
/// The age at which the runs at the low level no longer compare with others.
const MAX_LOW_AGE: Duration = Duration::from_secs(5);
/// How long all slots are left alone after the first comparison that shows a slow-down; each further
/// one doubles it.
const FIRST_HOLD: Duration = Duration::from_secs(10);
const MAX_HOLD: Duration = Duration::from_secs(320);

/// The time that runs took over the time that they usually take.
#[derive(Debug, Clone, Copy, Default)]
struct Runs {
    spent_s: f64,
    usual_s: f64,
    count: u32,
}

impl Runs {
    fn add(&mut self, spent_s: f64, usual_s: f64) {
        if self.count >= 2 * COMPARED_RUNS {
            self.spent_s /= 2.0;
            self.usual_s /= 2.0;
            self.count /= 2;
        }
        self.spent_s += spent_s;
        self.usual_s += usual_s;
        self.count += 1;
    }

    fn time(self) -> f64 {
        self.spent_s / self.usual_s.max(f64::MIN_POSITIVE)
    }
}

/// Tries whether a server that is full at `LOW_SHARE` of its slots gets more done with all of them.
#[derive(Debug)]
pub(crate) struct SlotShare {
    low: Runs,
    high: Runs,
    last_low: Time,
    is_high: bool,
    slow_comparisons: u32,
    hold: Duration,
    hold_until: Time,
}

impl Default for SlotShare {
    fn default() -> Self {
        Self {
            low: Runs::default(),
            high: Runs::default(),
            last_low: Time::ZERO,
            is_high: false,
            slow_comparisons: 0,
            hold: FIRST_HOLD,
            hold_until: Time::ZERO,
        }
    }
}

impl SlotShare {
    /// The share of the slots to use.
    pub(crate) fn get(&self) -> f64 {
        if self.is_high { 1.0 } else { LOW_SHARE }
    }

    /// Records a completed run that began and ended with at least and at most these shares of the slots
    /// in use.
    pub(crate) fn on_run(&mut self, now: Time, used: (f64, f64), spent_s: f64, usual_s: f64) {
        let (least, most) = used;
        if least > LOW_SHARE {
            self.high.add(spent_s, usual_s);
        } else if least >= FULL_AT_LOW_SHARE && most <= LOW_SHARE && !self.is_high {
            if now.since(self.last_low) > MAX_LOW_AGE {
                self.low = Runs::default();
            }
            self.last_low = now;
            self.low.add(spent_s, usual_s);
        }
        if self.is_high && self.high.count >= COMPARED_RUNS {
            self.compare(now);
        } else if !self.is_high && self.low.count >= COMPARED_RUNS && now >= self.hold_until {
            self.is_high = true;
            self.slow_comparisons = 0;
            self.high = Runs::default();
        }
    }

    /// Records that the server rejected a run although it had a slot by the owner's count.
    pub(crate) fn on_rejection(&mut self, now: Time) {
        if self.is_high {
            self.leave_high(now);
        }
    }

    /// With all slots more is done only if runs take longer by less than there are more of them.
    fn compare(&mut self, now: Time) {
        let high = std::mem::take(&mut self.high);
        if high.time() * LOW_SHARE <= self.low.time() {
            (self.slow_comparisons, self.hold) = (0, FIRST_HOLD);
            return;
        }
        self.slow_comparisons += 1;
        if self.slow_comparisons >= SLOW_COMPARISONS {
            self.leave_high(now);
        }
    }

    fn leave_high(&mut self, now: Time) {
        self.is_high = false;
        self.low = Runs::default();
        self.hold_until = now + self.hold;
        self.hold = (2 * self.hold).min(MAX_HOLD);
    }
}
