//! Messages between nodes.

use serde::{Deserialize, Serialize};

/// An update with strikes; bounded by [`suspects::Options::max_news`](crate::suspects::Options::max_news).
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StrikeUpdate {
    /// The strikes.
    #[prost(message, repeated, tag = "1")]
    pub strikes: Vec<StrikeRecord>,
}

/// One strike.
#[derive(Clone, PartialEq, Eq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StrikeRecord {
    /// The request that was in flight.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The node beside the server that died.
    #[prost(fixed64, tag = "2")]
    pub owner: u64,
    /// Counts the deaths that this node saw.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Milliseconds since the death.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Whether nothing else was in flight.
    #[prost(bool, tag = "5")]
    pub is_alone: bool,
    /// Whether a later run of the request finished.
    #[prost(bool, tag = "6")]
    pub is_cleared: bool,
}

/// Asks the fingerprint's coordinator for a permit to run a suspect alone. A repeat of the same
/// question has the same answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AskPermit {
    /// The suspect.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The node that asks.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The holder's number for the permit; it grows with each one.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// Answers [`AskPermit`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PermitAnswer {
    /// The holder's number for the permit.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the permit is given.
    #[prost(bool, tag = "2")]
    pub is_given: bool,
    /// Milliseconds after which coming back may help, where it is not.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}

/// Gives a permit back, also one whose answer never came. It is sent until it is acknowledged;
/// doing it twice does no harm.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReleasePermit {
    /// The suspect.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The node that held the permit.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The holder's number for the permit.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The strike that the run ended with, where the server died.
    #[prost(message, optional, tag = "4")]
    pub strike: Option<StrikeRecord>,
}
