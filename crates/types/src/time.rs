//! Monotonic time as an input to pure logic, and the drift between clocks.

use std::{fmt, ops::Add, time::Duration};

/// A point on one process's monotonic clock, in microseconds since that process's origin.
///
/// Times of different processes cannot be compared; only durations are sent between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(u64);

impl Time {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);

    /// The point `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The point `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed from `earlier` to `self`; zero where `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` before this one, or the origin.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// The bound on the difference in rate between two monotonic clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockDrift {
    /// Parts per thousand by which either clock may run fast or slow of real time.
    pub per_mille: u32,
}

impl Default for ClockDrift {
    fn default() -> Self {
        Self { per_mille: 10 }
    }
}

impl ClockDrift {
    /// The longest time that may elapse on the local clock while `span` elapses on another.
    #[must_use]
    pub fn max_elapsed(self, span: Duration) -> Duration {
        span + span * (2 * self.per_mille + 1) / 1_000
    }
}
