//! How many of a server's runs fail, as its owner counts.

use cassiashunt_types::prelude::*;

/// The time after which a run counts half. A server that is left out gets work again some seconds
/// after its last failure, and is left out again within a few runs if it still fails.
const HALF_LIFE: Duration = Duration::from_millis(400);
/// Runs that are remembered at the most, so that a busy server is not left out for longer.
const MOST_RUNS: f64 = 60.0;
/// Sound runs that a server is taken to have had besides; a few failures after a pause say little.
const PRIOR_RUNS: f64 = 6.0;

/// The share of a server's runs that failed lately.
#[derive(Debug, Clone, Default)]
pub struct FailureRate {
    runs: f64,
    failed: f64,
    counted: Time,
}

impl FailureRate {
    /// Takes in a run that ended.
    pub fn record(&mut self, now: Time, has_failed: bool) {
        self.age(now);
        self.runs += 1.0;
        self.failed += f64::from(u8::from(has_failed));
        let kept = (MOST_RUNS / self.runs).min(1.0);
        self.runs *= kept;
        self.failed *= kept;
    }

    /// The share, in 255ths; it falls while nothing runs.
    pub fn share(&mut self, now: Time) -> u8 {
        self.age(now);
        (255.0 * self.failed / (self.runs + PRIOR_RUNS)) as u8
    }

    fn age(&mut self, now: Time) {
        let spent = now.since(self.counted).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.counted = now;
        let kept = 0.5_f64.powf(spent);
        self.runs *= kept;
        self.failed *= kept;
    }
}
