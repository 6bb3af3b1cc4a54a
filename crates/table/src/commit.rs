//! Commits an edit durably.
//!
//! [`Commit`] is a state machine without I/O: it receives the result of each action and returns
//! the next one. [`run`] drives it against a [`Platform`](cassiashunt_platform::Platform).
//!
//! An edit is accepted once the platform holds it *and* a majority of the peers have it in force.
//! The second condition protects the edit when the platform is restored to an older state: any two
//! majorities share a peer, and that peer refuses every head that lacks the edit.
//!
//! When an answer is lost, the head is read again. The edit is looked up by its identifier, first
//! in the head and then, if records may have been moved out of it, in the audit values. A swap is
//! retried only against the version just read, so at most one of two swaps in flight takes effect.

mod action;
mod driver;
mod event;
mod lines;
mod machine;
mod outcome;

use std::time::Duration;

use crate::SpillLimits;

pub use action::{Action, Proposal};
pub use driver::{Peers, run};
pub use event::{Event, Replicated, Stored, Swapped};
pub use lines::{HeadReport, HeadReports};
pub use machine::Commit;
pub use outcome::{Outcome, Refused};

/// Settings of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How many times the platform's head is read before the commit fails.
    pub reads: u32,
    /// How long to wait before the second read; each later wait is twice as long.
    pub first_wait: Duration,
    /// Upper bound of the wait before a read.
    pub max_wait: Duration,
    /// Whether the edit may have been committed earlier; the complete audit trail is then searched
    /// for it.
    pub repeated: bool,
    /// Set by an operator: the platform's line wins if the peers cannot decide between two lines.
    ///
    /// Edits that conflict with it are dropped, even one that was accepted by peers which have
    /// been replaced since.
    pub prefer_platform: bool,
    /// Limits on the audit records that stay in the head.
    pub spill: SpillLimits,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            reads: 12,
            first_wait: Duration::from_millis(5),
            max_wait: Duration::from_millis(500),
            repeated: false,
            prefer_platform: false,
            spill: SpillLimits::default(),
        }
    }
}

impl Options {
    /// The exponential backoff before the next read, after `reads` earlier ones.
    pub(crate) fn wait(&self, reads: u32) -> Duration {
        if reads == 0 {
            return Duration::ZERO;
        }
        let factor = 1_u32.checked_shl(reads - 1).unwrap_or(u32::MAX);
        self.first_wait.saturating_mul(factor).min(self.max_wait)
    }
}
