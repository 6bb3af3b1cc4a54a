//! The node's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use cassiashunt_types::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine was booted. It includes time in suspend, so that information about
/// other nodes ages meanwhile.
pub(crate) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + micros)
}

/// The wall clock in Unix milliseconds, by which backend servers state when they started.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 counts as that time.
    millis(elapsed.unwrap_or_default())
}

/// A span in whole microseconds, for messages.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A span in whole milliseconds, for log lines.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
