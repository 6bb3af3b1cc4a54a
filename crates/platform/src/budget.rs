//! A bound on the calls that one process makes.

use std::time::Duration;

use cassiashunt_types::Time;

/// A token bucket over calls.
#[derive(Debug, Clone)]
pub struct Budget {
    per_second: u32,
    burst: u32,
    level: f64,
    filled_at: Time,
}

impl Budget {
    /// A full bucket that gains `per_second` calls each second and holds up to `burst`.
    #[must_use]
    pub fn new(per_second: u32, burst: u32) -> Self {
        Self {
            per_second,
            burst,
            level: f64::from(burst),
            filled_at: Time::ZERO,
        }
    }

    /// Takes one call; `false` where none is left.
    pub fn take(&mut self, now: Time) -> bool {
        self.fill(now.since(self.filled_at));
        self.filled_at = self.filled_at.max(now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    fn fill(&mut self, span: Duration) {
        let gained = span.as_secs_f64() * f64::from(self.per_second);
        self.level = (self.level + gained).min(f64::from(self.burst));
    }
}
