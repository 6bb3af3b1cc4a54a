use cassiashunt_types::{FailureDomain, NodeId, Revision};
use serde::{Deserialize, Serialize};

/// The maximum number of relays of a failure domain.
pub const MAX_RELAYS_PER_DOMAIN: usize = 3;

/// A relay of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayEntry {
    /// The node.
    pub node: NodeId,
    /// The control revision that added it; it tells a relay that was added again from its earlier
    /// entry.
    pub since: Revision,
}

/// A replaced relay set that nodes with an older control value may still use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PreviousSet {
    /// The relays of the set.
    pub relays: Vec<NodeId>,
    /// The control revision that replaced it.
    pub replaced: Revision,
}

/// The relays of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Domain {
    /// The failure domain.
    pub name: FailureDomain,
    /// The current relays, at most [`MAX_RELAYS_PER_DOMAIN`].
    pub relays: Vec<RelayEntry>,
    /// Replaced relay sets that are not yet known to be out of use; see
    /// [`crate::edit::prune_previous`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<PreviousSet>,
}

impl Domain {
    /// The ids of the current relays.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.relays.iter().map(|relay| relay.node)
    }

    /// The entry of `node`, or `None` if it is not a relay of this domain.
    #[must_use]
    pub fn relay(&self, node: NodeId) -> Option<RelayEntry> {
        self.relays.iter().copied().find(|relay| relay.node == node)
    }

    /// Whether more than half of the current relays pass `test`; false without relays.
    #[must_use]
    pub fn majority(&self, test: impl FnMut(NodeId) -> bool) -> bool {
        majority(self.nodes(), test)
    }
}

impl PreviousSet {
    /// Whether more than half of its relays pass `test`; false without relays.
    #[must_use]
    pub fn majority(&self, test: impl FnMut(NodeId) -> bool) -> bool {
        majority(self.relays.iter().copied(), test)
    }
}

fn majority(nodes: impl Iterator<Item = NodeId>, mut test: impl FnMut(NodeId) -> bool) -> bool {
    let mut total = 0;
    let mut passed = 0;
    for node in nodes {
        total += 1;
        passed += usize::from(test(node));
    }
    passed * 2 > total
}
