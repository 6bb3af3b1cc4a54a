use cassiashunt_types::{FailureDomain, NodeId, Revision};
use serde::{Deserialize, Serialize};

/// The most relays that a failure domain has.
pub const MAX_RELAYS_PER_DOMAIN: usize = 3;

/// A relay with the control revision that made it one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RelayEntry {
    /// The relay.
    pub node: NodeId,
    /// The control revision that added it.
    pub since: Revision,
}

/// A relay set that some nodes may still go by.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PreviousSet {
    /// Its members.
    pub relays: Vec<NodeId>,
    /// The control revision that replaced it.
    pub replaced: Revision,
}

/// A failure domain's relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: FailureDomain,
    /// Its present relays.
    pub relays: Vec<RelayEntry>,
    /// Earlier relay sets not yet known to be out of use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<PreviousSet>,
}

impl Domain {
    /// The present relays' ids.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.relays.iter().map(|relay| relay.node)
    }

    /// The entry of `node`, where it is a relay.
    #[must_use]
    pub fn relay(&self, node: NodeId) -> Option<RelayEntry> {
        self.relays.iter().copied().find(|relay| relay.node == node)
    }

    /// Whether more than half of the present relays pass `test`; false without relays.
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
