//! Whether a started node has compared its table with a peer's.

use cassiashunt_types::prelude::*;

/// How long a node waits for a first peer after it has read a table. Known peers may all be dead.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The first comparison of a started node's table with that of a peer.
///
/// The store may have been restored from a copy. Its table then still has keys that peers know to
/// be withdrawn, and a proof by the store only tells that it has nothing newer.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstComparison {
    table_since: Option<Time>,
    is_done: bool,
}

impl FirstComparison {
    /// Records that a table was put in force.
    pub fn on_table(&mut self, now: Time) {
        self.table_since.get_or_insert(now);
    }

    /// Records the version that a peer has in force, 0 before its first, and this node's.
    pub fn on_peer(&mut self, own: u64, peer: u64) {
        self.is_done |= peer > 0 && peer <= own;
    }

    /// Records that the nodes' entries were read and name no peer.
    pub fn on_no_peers(&mut self) {
        self.is_done = true;
    }

    /// Returns whether the table was compared, or no comparison came in time.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        let is_late = |since| now.since(since) >= TIMEOUT;
        self.is_done || self.table_since.is_some_and(is_late)
    }
}
