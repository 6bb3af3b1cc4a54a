//! The number of requests that may run at a backend server at once.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The latency, as a multiple of the least one, above which AIMD backs off.
const AIMD_TOLERANCE: f64 = 2.0;
/// The factor by which AIMD backs off.
const AIMD_FACTOR: f64 = 0.9;
/// The latency, as a multiple of the least one, that the gradient accepts.
const GRADIENT_TOLERANCE: f64 = 1.5;
/// The weight of a new target in the gradient's limit.
const GRADIENT_GAIN: f64 = 0.2;
/// Samples in one step of the gradient.
const GRADIENT_SAMPLES: u32 = 20;
/// The share of the announced slots with which a cold server starts.
const COLD_SHARE: f64 = 0.1;

/// How the limit follows measured latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Algorithm {
    /// The announced slots.
    #[default]
    Fixed,
    /// Additive increase, multiplicative decrease on a high latency or a failure.
    Aimd,
    /// Follows the ratio of the least latency to the present one (Netflix's `Gradient2`).
    Gradient,
}

/// A concurrency limit, never above the announced slots.
#[derive(Debug, Clone)]
pub struct Limiter {
    algorithm: Algorithm,
    slots: u32,
    warm_up: Duration,
    started: Time,
    limit: f64,
    stretch_sum: f64,
    samples: u32,
    last_decrease: Time,
}

impl Limiter {
    /// A limiter of a server that came up at `started` and warms up over `warm_up`.
    #[must_use]
    pub fn new(algorithm: Algorithm, slots: u32, started: Time, warm_up: Duration) -> Self {
        Self {
            algorithm,
            slots,
            warm_up,
            started,
            limit: f64::from(slots),
            stretch_sum: 0.0,
            samples: 0,
            last_decrease: started,
        }
    }

    /// The requests that may run at once; zero only when no slots are announced.
    #[must_use]
    pub fn limit(&self, now: Time) -> u32 {
        if self.slots == 0 {
            return 0;
        }
        let adapted = self.limit.min(f64::from(self.slots) * self.warmth(now));
        (adapted as u32).max(1)
    }

    /// Takes in newly announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        let was_full = self.limit >= f64::from(self.slots);
        self.slots = slots;
        if was_full || self.limit > f64::from(slots) {
            self.limit = f64::from(slots);
        }
    }

    /// Takes in a finished request: its latency as a multiple of the least one of its route, and
    /// the requests that were running with it.
    pub fn on_sample(&mut self, now: Time, stretch: f64, in_flight: u32, is_ok: bool) {
        match self.algorithm {
            Algorithm::Fixed => {}
            Algorithm::Aimd => self.step_aimd(now, stretch, in_flight, is_ok),
            Algorithm::Gradient => self.step_gradient(stretch, in_flight),
        }
        self.limit = self.limit.clamp(1.0, f64::from(self.slots.max(1)));
    }

    /// The part of the slots that a warming server is given, from the cold share to one.
    fn warmth(&self, now: Time) -> f64 {
        if self.warm_up.is_zero() {
            return 1.0;
        }
        let passed = now.since(self.started).as_secs_f64() / self.warm_up.as_secs_f64();
        passed.clamp(COLD_SHARE, 1.0)
    }

    fn step_aimd(&mut self, now: Time, stretch: f64, in_flight: u32, is_ok: bool) {
        let is_congested = !is_ok || stretch > AIMD_TOLERANCE;
        if is_congested && now.since(self.last_decrease) >= Duration::from_millis(100) {
            self.limit *= AIMD_FACTOR;
            self.last_decrease = now;
        } else if !is_congested && f64::from(in_flight) * 2.0 >= self.limit {
            self.limit += 1.0 / self.limit;
        }
    }

    fn step_gradient(&mut self, stretch: f64, in_flight: u32) {
        self.stretch_sum += stretch;
        self.samples += 1;
        if self.samples < GRADIENT_SAMPLES {
            return;
        }
        let mean = self.stretch_sum / f64::from(self.samples);
        self.stretch_sum = 0.0;
        self.samples = 0;
        if f64::from(in_flight) * 2.0 < self.limit {
            return;
        }
        let gradient = (GRADIENT_TOLERANCE / mean).clamp(0.5, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        self.limit += GRADIENT_GAIN * (target - self.limit);
    }
}
