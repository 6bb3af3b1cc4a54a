//! Bounds the log lines of one kind, for events that another writer can cause at any rate.

use cassiashunt_types::prelude::*;

/// The most lines of one kind in an interval.
const MAX_LINES: u32 = 5;
/// The interval over which lines are counted.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts the lines of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LineLimit {
    /// When the current interval began; `None` before the first line.
    began: Option<Time>,
    lines: u32,
    /// The events since the last line that had none.
    suppressed: u64,
}

impl LineLimit {
    /// Handles an event. Returns the number of events before it that had no line, or `None` if it is
    /// to have none either.
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        if self.began.is_none_or(|it| now.since(it) >= INTERVAL) {
            self.began = Some(now);
            self.lines = 0;
        }
        if self.lines == MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
