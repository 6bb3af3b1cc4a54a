//! Messages of the control thread that are no other part's.

use prost::{Message, Oneof};

/// A message about configuration in force.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ConfigMessage {
    /// What is said.
    #[prost(oneof = "ConfigBody", tags = "1, 2")]
    pub body: Option<ConfigBody>,
}

/// What a [`ConfigMessage`] says.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum ConfigBody {
    /// Which revisions are in force at the receiver?
    #[prost(message, tag = "1")]
    Ask(AskApplied),
    /// These revisions are in force at the sender.
    #[prost(message, tag = "2")]
    Applied(AppliedRevisions),
}

/// The question for the revisions in force.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct AskApplied {}

/// The revisions in force at a node.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct AppliedRevisions {
    /// The table's.
    #[prost(uint64, tag = "1")]
    pub table: u64,
    /// The control value's.
    #[prost(uint64, tag = "2")]
    pub control: u64,
}
