//! The process's monotonic clock.

use std::time::Instant;

use cassiashunt_types::prelude::*;

/// Gives [`Time`] since the clock was made.
///
/// Copies share the origin, so their times can be compared.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
