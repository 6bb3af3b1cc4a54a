//! Whether a started node has compared its table with a peer's.

use cassiashunt_types::prelude::*;

use crate::FleetCount;

/// How long a node waits for a first peer after it has read a table and which peers there are. They may
/// all be dead.
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

    /// Returns whether the table was compared, or no comparison came in time. `fleet` tells which peers
    /// there are; `known` is the number of known nodes with this one.
    #[must_use]
    pub fn is_over(&self, now: Time, fleet: &FleetCount, known: usize) -> bool {
        let (Some(table), Some(met)) = (self.table_since, fleet.known_since()) else {
            return false;
        };
        let is_alone = fleet.nodes(now, known) == Some(1);
        self.is_done || is_alone || now.since(table.max(met)) >= TIMEOUT
    }
}
