//! Making an edit durable.
//!
//! [`Commit`] is a state machine without I/O: it is told what came of each action and answers
//! with the next one. [`run`] drives it against a [`Platform`](cassiashunt_platform::Platform).
//!
//! An edit is accepted once the platform holds it *and* a majority of the peers have it in force.
//! The second half is what a platform that goes back to an older state cannot take away: any two
//! majorities share a peer, which refuses every head that lacks the edit.
//!
//! A lost answer is followed by a read. The edit is looked for by its identifier, first in the
//! head and then, where records may have left it, in the audit values. A swap is repeated only on
//! the version that was read, so that of two swaps in flight at most one takes effect.

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
    /// How often the platform's head is read before giving up.
    pub reads: u32,
    /// How long to wait before the second read; each later wait is twice as long.
    pub first_wait: Duration,
    /// The longest wait before a read.
    pub max_wait: Duration,
    /// Whether the edit may have been committed before, so that the whole audit trail has to be
    /// searched for it.
    pub repeated: bool,
    /// An operator's word that the platform's line holds where the peers leave it undecided.
    ///
    /// Edits that contradict it are dropped, even one that had been accepted by peers which have
    /// been replaced since.
    pub prefer_platform: bool,
    /// How many audit records stay in the head.
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
    /// How long to wait before the read after `reads` others.
    pub(crate) fn wait(&self, reads: u32) -> Duration {
        if reads == 0 {
            return Duration::ZERO;
        }
        let factor = 1_u32.checked_shl(reads - 1).unwrap_or(u32::MAX);
        self.first_wait.saturating_mul(factor).min(self.max_wait)
    }
}
