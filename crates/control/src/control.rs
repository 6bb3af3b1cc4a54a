use cassiashunt_types::{Epoch, FailureDomain, NodeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{Domain, Shard, ShardKey};

/// The control value: one value of the platform, changed by compare-and-swap.
///
/// It is written only when a relay or a holder changes, so its cost does not grow with the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Control {
    /// Grows by one with each change.
    pub revision: Revision,
    /// The failure domains that have relays, in order of name.
    pub domains: Vec<Domain>,
    /// The shards that were ever claimed, in order of key.
    pub shards: Vec<Shard>,
}

impl Control {
    /// The failure domain with this name.
    #[must_use]
    pub fn domain(&self, name: FailureDomain) -> Option<&Domain> {
        self.domains.iter().find(|domain| domain.name == name)
    }

    /// The failure domain that has `node` as a relay.
    #[must_use]
    pub fn domain_of_relay(&self, node: NodeId) -> Option<&Domain> {
        self.domains
            .iter()
            .find(|domain| domain.relay(node).is_some())
    }

    /// Every present relay.
    pub fn relays(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.domains.iter().flat_map(Domain::nodes)
    }

    /// The holder of this shard, if any ever claimed it.
    #[must_use]
    pub fn shard(&self, key: ShardKey) -> Option<&Shard> {
        self.shards.iter().find(|shard| shard.key == key)
    }

    /// The shard's epoch; zero where nobody ever claimed it.
    #[must_use]
    pub fn epoch(&self, key: ShardKey) -> Epoch {
        self.shard(key)
            .map_or(Epoch::default(), |shard| shard.epoch)
    }
}
