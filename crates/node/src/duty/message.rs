//! Messages of the control thread that are no other part's.

use cassiashunt_control::msg::{HandOver, Report};
use prost::{Message, Oneof};

/// A message about configuration in force.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ConfigMessage {
    /// What is said.
    #[prost(oneof = "ConfigBody", tags = "1, 2, 3")]
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
    /// A relay's role is handed over.
    #[prost(message, tag = "3")]
    HandOver(HandOver),
}

/// The question for the revisions in force.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct AskApplied {
    /// A table revision that the asking node knows of.
    #[prost(uint64, tag = "1")]
    pub table: u64,
    /// That revision's line of history; a node that does not go on from it tells revision zero.
    /// Zero where any line will do.
    #[prost(fixed64, tag = "2")]
    pub line: u64,
}

/// The revisions in force at a node.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct AppliedRevisions {
    /// The table's.
    #[prost(uint64, tag = "1")]
    pub table: u64,
    /// The control value's.
    #[prost(uint64, tag = "2")]
    pub control: u64,
    /// The relays whose roles the node bears and that vouch for their domain.
    #[prost(fixed64, repeated, tag = "3")]
    pub relays: Vec<u64>,
}

/// What a node attests: the reports of the relays whose roles it bears.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Attested {
    /// One report a role, without ages; the attestation's own age counts.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<Report>,
}
