use cassiashunt_types::{Epoch, FailureDomain, NodeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{Domain, Shard, ShardKey};

/// The control value: a single value stored by the platform and changed by compare-and-swap.
///
/// It is written only when a relay or a shard holder changes, so its cost does not grow with the
/// number of nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Control {
    /// Incremented by one with each change.
    pub revision: Revision,
    /// The failure domains that have had relays, sorted by name.
    pub domains: Vec<Domain>,
    /// The shards that have been claimed at least once, sorted by key.
    pub shards: Vec<Shard>,
}

impl Control {
    /// The entry of this failure domain, or `None` if it has never had a relay.
    #[must_use]
    pub fn domain(&self, name: FailureDomain) -> Option<&Domain> {
        self.domains.iter().find(|domain| domain.name == name)
    }

    /// The failure domain that lists `node` among its current relays.
    #[must_use]
    pub fn domain_of_relay(&self, node: NodeId) -> Option<&Domain> {
        self.domains
            .iter()
            .find(|domain| domain.relay(node).is_some())
    }

    /// The current relays of all failure domains.
    pub fn relays(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.domains.iter().flat_map(Domain::nodes)
    }

    /// The current holder of this shard, or `None` if it has never been claimed.
    #[must_use]
    pub fn shard(&self, key: ShardKey) -> Option<&Shard> {
        self.shards.iter().find(|shard| shard.key == key)
    }

    /// The epoch of this shard; zero if it has never been claimed.
    #[must_use]
    pub fn epoch(&self, key: ShardKey) -> Epoch {
        self.shard(key)
            .map_or(Epoch::default(), |shard| shard.epoch)
    }
}
