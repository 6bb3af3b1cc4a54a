//! Which of the operators' tables a node knows.

use crate::StoreRevision;

/// The table that a node has in force, and how far it has compared it with the store's.
///
/// Two orders are kept apart. The operators' version alone decides which table is in force, so that
/// no table is replaced by an older one. The position in the store only tells whether the store's
/// newest item was read: after a restore that item may be older than the table in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownTable {
    /// The position of the newest item that was read, in force or not.
    pub at: StoreRevision,
    /// The version of the table in force; 0 before the first.
    pub version: u64,
    /// Whether the newest item could not be used, so that it may be newer than the table in force.
    pub is_refused: bool,
}

impl KnownTable {
    /// Returns whether the table of a peer should be requested: the peer has read a newer item, or
    /// has a newer table in force, which the store may have lost.
    #[must_use]
    pub fn is_behind(&self, peer: Self) -> bool {
        peer.at > self.at || peer.version > self.version
    }

    /// Returns whether the table in force is the newest if the store has no item after `at`.
    #[must_use]
    pub fn is_comparable(&self) -> bool {
        self.version > 0 && !self.is_refused
    }

    /// Returns whether a peer's proof also proves this node's table: both compared theirs with the
    /// same item, and the peer has no newer table.
    #[must_use]
    pub fn is_proven_by(&self, peer: Self) -> bool {
        self.is_comparable() && peer.at == self.at && peer.version <= self.version
    }

    /// Records an item that was read at a position, directly or by a peer. Returns whether it is the
    /// newest one so far.
    pub fn on_item(&mut self, at: StoreRevision) -> bool {
        let is_newest = at > self.at;
        if is_newest {
            self.at = at;
            self.is_refused = false;
        }
        is_newest
    }

    /// Records that the item at a position could not be used.
    pub fn on_refused(&mut self, at: StoreRevision) {
        self.is_refused |= at == self.at;
    }

    /// Records a table that can be used. Returns whether to put it in force.
    pub fn on_table(&mut self, version: u64) -> bool {
        let is_newer = version > self.version;
        self.version = self.version.max(version);
        is_newer
    }
}
