use cassiashunt_types::{Epoch, NodeId, ShardId};
use serde::{Deserialize, Serialize};

/// What the holder of a shard is responsible for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardKind {
    /// The limits of a set of workspaces.
    Limit,
    /// The records of a set of idempotency keys.
    Home,
}

/// Identifies a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ShardKey {
    /// The kind of shard.
    pub kind: ShardKind,
    /// The number of the shard among those of the same kind.
    pub id: ShardId,
}

/// The current holder of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Shard {
    /// The shard.
    pub key: ShardKey,
    /// The fencing epoch, incremented with each claim.
    pub epoch: Epoch,
    /// The holder.
    pub primary: NodeId,
    /// The node that keeps copies of the records; `None` for kinds without a backup.
    pub backup: Option<NodeId>,
    /// The latest epoch that began without the records of the previous one; `None` if there was
    /// none.
    pub lossy: Option<Epoch>,
}
