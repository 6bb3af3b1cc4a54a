//! Messages that travel in heartbeats and gossip.

/// What a relay vouches for.
///
/// It counts only in the answer to a question: the receiver adds the time since it asked.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The relay; the control value names its failure domain.
    #[prost(fixed64, tag = "1")]
    pub relay: u64,
    /// The node that bears the relay's role: the relay, or the one it was handed to.
    #[prost(fixed64, tag = "2")]
    pub bearer: u64,
    /// The newest table revision that the relay knew.
    #[prost(uint64, tag = "3")]
    pub table: u64,
    /// The newest control revision that the relay knew.
    #[prost(uint64, tag = "4")]
    pub control: u64,
    /// Microseconds since the relay knew no more than these revisions.
    #[prost(uint64, tag = "5")]
    pub age_micros: u64,
    /// Microseconds since the relay asked the platform and found nothing newer; absent where the
    /// relay does not vouch for the platform.
    #[prost(uint64, optional, tag = "6")]
    pub platform_age_micros: Option<u64>,
    /// Whether the relay vouches for its failure domain; a newcomer does not yet.
    #[prost(bool, tag = "7")]
    pub vouches: bool,
}

/// What a node that is in touch may tell any other: nothing newer than these revisions had been
/// accepted this long ago. It counts only in the answer to a question.
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

/// A relay's role, given away once and for good.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HandOver {
    /// The relay.
    #[prost(fixed64, tag = "1")]
    pub relay: u64,
    /// The node that takes the role; any other drops the message.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// The newest table revision that the relay knew.
    #[prost(uint64, tag = "3")]
    pub table: u64,
    /// The newest control revision that the relay knew.
    #[prost(uint64, tag = "4")]
    pub control: u64,
    /// Whether the relay vouched for its failure domain.
    #[prost(bool, tag = "5")]
    pub vouches: bool,
    /// The control revision that made it a relay.
    #[prost(uint64, tag = "6")]
    pub since: u64,
}

/// A relay's answer to the question which revisions it has applied.
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
