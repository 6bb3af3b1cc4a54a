//! The failure rate of a server's runs, measured by its owner.

use cassiashunt_types::prelude::*;

/// The age at which a run has half its weight. With it an excluded server receives requests again
/// some seconds after its last failure, and is excluded again within a few runs if it still fails.
const RUN_HALF_LIFE: Duration = Duration::from_millis(400);
/// The maximum weight of all runs, so that a busy server is not excluded for longer than others.
const MAX_RUNS: f64 = 60.0;
/// Successful runs that are added to the measured ones, since a few failures after an idle time are
/// weak evidence.
const PRIOR_SUCCESSFUL_RUNS: f64 = 6.0;

/// The share of a server's recent runs that failed, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct FailureRate {
    /// The weight of all runs.
    runs: f64,
    /// The weight of the failed runs.
    failed: f64,
    updated: Time,
}

impl FailureRate {
    /// Records a run that ended.
    pub fn record(&mut self, now: Time, has_failed: bool) {
        self.decay(now);
        self.runs += 1.0;
        self.failed += f64::from(u8::from(has_failed));
        let factor = (MAX_RUNS / self.runs).min(1.0);
        self.runs *= factor;
        self.failed *= factor;
    }

    /// The failure rate at `now`, in 255ths; it decays while nothing runs.
    pub fn share(&mut self, now: Time) -> u8 {
        self.decay(now);
        (255.0 * self.failed / (self.runs + PRIOR_SUCCESSFUL_RUNS)) as u8
    }

    fn decay(&mut self, now: Time) {
        let half_lives = now.since(self.updated).as_secs_f64() / RUN_HALF_LIFE.as_secs_f64();
        self.updated = now;
        let factor = 0.5_f64.powf(half_lives);
        self.runs *= factor;
        self.failed *= factor;
    }
}
