//! Over how many nodes a node divides the limits of workspaces.

use cassiashunt_types::prelude::*;

/// How long after its start a node counts at least as many nodes as were remembered. Entries that expired
/// in an outage of the store are written again within this time.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// The number of nodes in the fleet, as far as a started node can know it.
///
/// A node that has read no entries is not alone: its share of the limits is unknown. Entries may also
/// be missing for a while, all at once, after an outage of the store. So a started node also reads how
/// many nodes there were, and counts no fewer until the live ones have written their entries again.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetCount {
    /// When all entries were first read.
    entries_at: Option<Time>,
    /// How many nodes there were, and when that was read.
    remembered: Option<(Time, usize)>,
}

impl FleetCount {
    /// Records that all entries were read from the store.
    pub fn on_entries(&mut self, now: Time) {
        self.entries_at.get_or_insert(now);
    }

    /// Records that all entries were received from a peer. The store may not answer this node, and the
    /// peer knows the fleet.
    pub fn on_entries_of_peer(&mut self, now: Time) {
        self.on_entries(now);
        self.remembered.get_or_insert((now, 0));
    }

    /// Records how many nodes there were, zero if that is not known.
    pub fn on_remembered(&mut self, now: Time, nodes: usize) {
        let at = self.remembered.map_or(now, |(at, _)| at);
        self.remembered = Some((at, nodes));
    }

    /// Returns since when the count is known; `None` before.
    #[must_use]
    pub fn known_since(&self) -> Option<Time> {
        let (remembered_at, _) = self.remembered?;
        Some(self.entries_at?.max(remembered_at))
    }

    /// Returns the number of nodes to divide limits by, of which `known` have entries or links; `None`
    /// while it is not known.
    #[must_use]
    pub fn nodes(&self, now: Time, known: usize) -> Option<usize> {
        let is_settling = now.since(self.known_since()?) < SETTLING_TIME;
        let (_, remembered) = self.remembered?;
        Some(if is_settling {
            known.max(remembered)
        } else {
            known
        })
    }
}
