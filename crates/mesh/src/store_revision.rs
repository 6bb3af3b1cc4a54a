//! Order of what is read from the platform's store, also across a restore from a copy.

use cassiashunt_types::prelude::*;

/// A revision of the store in one of its eras. A restore from a copy starts a new era, in which
/// revisions are given out again, so that anything read in a later era is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreRevision {
    /// The number of restores before this revision.
    pub era: u64,
    /// The revision within the era; 0 before the first change.
    pub revision: Revision,
}

impl StoreRevision {
    /// Returns the position of `revision` in `era`.
    #[must_use]
    pub fn new(era: u64, revision: Revision) -> Self {
        Self { era, revision }
    }
}
