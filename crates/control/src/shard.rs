use cassiashunt_types::{Epoch, NodeId, ShardId};
use serde::{Deserialize, Serialize};

/// What a shard's holder is the authority of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShardKind {
    /// The limits of a set of workspaces.
    Limit,
    /// The records of a set of idempotency keys.
    Home,
}

/// Names a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ShardKey {
    /// What it is a share of.
    pub kind: ShardKind,
    /// Its number among those of the same kind.
    pub id: ShardId,
}

/// A shard's present holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Shard {
    /// Its name.
    pub key: ShardKey,
    /// The fencing epoch; grows with each change of holder.
    pub epoch: Epoch,
    /// The node that decides.
    pub primary: NodeId,
    /// The node that keeps copies, where the kind has one.
    pub backup: Option<NodeId>,
    /// The newest epoch that began without its predecessor's records.
    pub lossy: Option<Epoch>,
}
