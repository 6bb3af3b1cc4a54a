use cassiashunt_types::NodeId;
use serde::{Deserialize, Serialize};

/// One try at handing one request to a backend server; its number is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Attempt {
    /// The node that would hand it over.
    pub owner: NodeId,
    /// That node's number of the attempt.
    pub number: u64,
}
