//! When a shortage is expected to be over, from its trend and from how long such shortages last.

use cassiashunt_types::prelude::*;

/// Time constants of the two averages whose difference shows the trend.
const FAST_TIME: Duration = Duration::from_millis(300);
const SLOW_TIME: Duration = Duration::from_millis(1_200);
/// A shortage is over once everything was admitted for this long; shorter pauses are part of it.
const CLEAR_TIME: Duration = Duration::from_millis(500);
/// How long the first shortage is expected to last.
const FIRST_DURATION: Duration = Duration::from_secs(2);
/// The weight of the last shortage in the average duration.
const DURATION_WEIGHT: f64 = 0.3;
/// The rise of the admitted fraction per second below which there is no trend.
const MIN_RISE_PER_S: f64 = 0.05;

/// The forecast for one priority of one route.
#[derive(Debug, Clone)]
pub struct RoomForecast {
    began: Option<Time>,
    last_short: Time,
    observed: Time,
    fast: f64,
    slow: f64,
    usual_duration: Duration,
}

impl Default for RoomForecast {
    fn default() -> Self {
        Self {
            began: None,
            last_short: Time::ZERO,
            observed: Time::ZERO,
            fast: 1.0,
            slow: 1.0,
            usual_duration: FIRST_DURATION,
        }
    }
}

impl RoomForecast {
    /// Records the fraction that is admitted now; 1 without a shortage.
    pub fn observe(&mut self, now: Time, fraction: f64) {
        if let Some(began) = self.began
            && now.since(self.last_short) >= CLEAR_TIME
        {
            let lasted = self.last_short.since(began);
            self.usual_duration = self.usual_duration.mul_f64(1.0 - DURATION_WEIGHT)
                + lasted.mul_f64(DURATION_WEIGHT);
            self.began = None;
        }
        if fraction < 1.0 {
            if self.began.is_none() {
                self.began = Some(now);
                (self.fast, self.slow) = (fraction, fraction);
            }
            self.last_short = now;
        }
        let elapsed = now.since(self.observed).as_secs_f64();
        self.observed = now;
        let weight = |time: Duration| 1.0 - (-elapsed / time.as_secs_f64()).exp();
        self.fast += weight(FAST_TIME) * (fraction - self.fast);
        self.slow += weight(SLOW_TIME) * (fraction - self.slow);
    }

    /// Whether there is a shortage, or was a moment ago.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.began.is_some()
    }

    /// The expected time until all is admitted again; zero without a shortage. Without a trend, a
    /// shortage that has outlasted the usual one is expected to last as long again.
    #[must_use]
    pub fn room_in(&self, now: Time) -> Duration {
        let Some(began) = self.began else {
            return Duration::ZERO;
        };
        let lasted = now.since(began);
        let by_duration = if lasted < self.usual_duration {
            self.usual_duration - lasted
        } else {
            lasted
        };
        // Of a steady rise, the averages lag behind by their time constants.
        let rise_per_s = (self.fast - self.slow) / (SLOW_TIME - FAST_TIME).as_secs_f64();
        if rise_per_s < MIN_RISE_PER_S {
            return by_duration;
        }
        let by_trend = Duration::from_secs_f64((1.0 - self.fast).max(0.0) / rise_per_s);
        by_trend.min(by_duration)
    }
}
