//! Protobuf messages that nodes send in heartbeats and gossip.

/// The revisions that a relay knows, and whether it vouches for its failure domain.
///
/// A report counts only in the answer to a query: the receiver adds the time since it sent the
/// query.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The relay; the control value names its failure domain.
    #[prost(fixed64, tag = "1")]
    pub relay: u64,
    /// The node that performs the role of the relay: the relay itself, or the node to which the role
    /// was handed over.
    #[prost(fixed64, tag = "2")]
    pub bearer: u64,
    /// The newest table revision that the relay knew.
    #[prost(uint64, tag = "3")]
    pub table: u64,
    /// The newest control revision that the relay knew.
    #[prost(uint64, tag = "4")]
    pub control: u64,
    /// Microseconds since the relay knew of no revision newer than these.
    #[prost(uint64, tag = "5")]
    pub age_micros: u64,
    /// Microseconds since the relay sent the read of the platform that found nothing newer; absent
    /// if the last such read is too old.
    #[prost(uint64, optional, tag = "6")]
    pub platform_age_micros: Option<u64>,
    /// Whether the relay vouches for its failure domain; a relay that was just added does not yet.
    #[prost(bool, tag = "7")]
    pub vouches: bool,
}

/// Sent by a node that is in touch: nothing newer than these revisions had been accepted this long
/// ago. It counts only in the answer to a query.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Summary {
    /// The table revision.
    #[prost(uint64, tag = "1")]
    pub table: u64,
    /// The control revision.
    #[prost(uint64, tag = "2")]
    pub control: u64,
    /// Microseconds since nothing newer had been accepted.
    #[prost(uint64, tag = "3")]
    pub age_micros: u64,
}

/// Transfers the role of a relay to another node, once and permanently.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HandOver {
    /// The relay.
    #[prost(fixed64, tag = "1")]
    pub relay: u64,
    /// The node that takes over the role; any other node drops the message.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// The newest table revision that the relay knew.
    #[prost(uint64, tag = "3")]
    pub table: u64,
    /// The newest control revision that the relay knew.
    #[prost(uint64, tag = "4")]
    pub control: u64,
    /// Whether the relay was vouching for its failure domain.
    #[prost(bool, tag = "5")]
    pub vouches: bool,
    /// The control revision that added the relay.
    #[prost(uint64, tag = "6")]
    pub since: u64,
}

/// The answer of a relay to a query for the revisions that it has applied.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Applied {
    /// The relay.
    #[prost(fixed64, tag = "1")]
    pub relay: u64,
    /// The table revision.
    #[prost(uint64, tag = "2")]
    pub table: u64,
    /// The control revision.
    #[prost(uint64, tag = "3")]
    pub control: u64,
}
