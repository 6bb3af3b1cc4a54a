//! Messages between nodes about strikes and permits.

use serde::{Deserialize, Serialize};

/// Strikes sent to another node; at most
/// [`suspects::Options::max_news`](crate::suspects::Options::max_news) of them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StrikeUpdate {
    /// The strikes.
    #[prost(message, repeated, tag = "1")]
    pub strikes: Vec<StrikeRecord>,
}

/// One strike, as sent to other nodes and stored.
#[derive(Clone, PartialEq, Eq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StrikeRecord {
    /// The fingerprint of the request that was in flight.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The node beside the server that crashed.
    #[prost(fixed64, tag = "2")]
    pub owner: u64,
    /// The node's number of the crash; [`Crash::NODE_LOST`](crate::Crash::NODE_LOST) where the node
    /// was lost too.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Milliseconds since the crash.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Whether the request was the only one in flight, or the only suspect where suspects run
    /// beside other requests.
    #[prost(bool, tag = "5")]
    pub is_alone: bool,
    /// Whether a later run of the request finished without a crash.
    #[prost(bool, tag = "6")]
    pub is_cleared: bool,
}

/// Asks the fingerprint's coordinator for a permit to run a suspect alone. Repeating the request
/// with the same number is idempotent while the permit is outstanding.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AskPermit {
    /// The fingerprint of the suspect.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The node that asks and would run the suspect.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The holder's number for the permit, which increases with each request.
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
    /// The retry-after delay in milliseconds if the permit is not given.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
}

/// Returns a permit, including one whose answer was not received. It is resent until it is
/// acknowledged, and handling it is idempotent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReleasePermit {
    /// The fingerprint of the suspect.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// The node that held the permit.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The holder's number for the permit.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The strike against the request if the server crashed during the run.
    #[prost(message, optional, tag = "4")]
    pub strike: Option<StrikeRecord>,
}
