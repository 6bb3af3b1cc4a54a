use cassiashunt_types::NodeId;
use serde::{Deserialize, Serialize};

/// One attempt at handing one request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Attempt {
    /// The node that is to hand the request over.
    pub owner: NodeId,
    /// Numbers the attempts of this owner; never reused.
    pub number: u64,
}
