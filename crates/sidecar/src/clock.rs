//! The node's clock.

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

/// A span in whole microseconds, for messages.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A span in whole milliseconds, for log lines.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
