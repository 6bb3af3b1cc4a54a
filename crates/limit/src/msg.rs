//! Protobuf messages between holders and authorities. One frame carries the entries of many keys.

use crate::{Cell, InitialTokens, Key};

/// The encoding of a [`Key`].
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct WireKey {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The cell's route, or empty if the key is a whole workspace.
    #[prost(string, tag = "2")]
    pub route: String,
    /// The cell's class, or empty if the key is a whole workspace.
    #[prost(string, tag = "3")]
    pub class: String,
}

/// A holder's request for tokens. A resend with the same number is answered with the same grant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenRequest {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// Number of this request, increasing over the requests of a holder for the key.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens for client requests that are waiting.
    #[prost(uint64, tag = "3")]
    pub required: u64,
    /// Tokens for client requests expected in the near future.
    #[prost(uint64, tag = "4")]
    pub prefetch: u64,
    /// Recent demand at the holder, in thousandths of a token per second.
    #[prost(uint64, tag = "5")]
    pub demand_milli: u64,
}

/// The use of a grant so far. Both counts only increase, so late and repeated reports are harmless.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// Number of the token request that the grant answered.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens spent so far.
    #[prost(uint64, tag = "3")]
    pub spent: u64,
    /// Tokens returned to the authority so far.
    #[prost(uint64, tag = "4")]
    pub returned: u64,
}

/// A frame from a holder to the authority of the shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HolderFrame {
    /// Node id of the holder.
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    /// The authority's epoch as known to the holder. A frame of another epoch is ignored.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Requests for tokens, new or resent.
    #[prost(message, repeated, tag = "3")]
    pub token_requests: Vec<TokenRequest>,
    /// Use of the holder's grants, where it changed since the last report.
    #[prost(message, repeated, tag = "4")]
    pub reports: Vec<Report>,
}

/// The answer to a [`TokenRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// Number of the token request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens granted, possibly fewer than requested or 0.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Microseconds after which the tokens expire, on the holder's clock, counted from when it first
    /// sent the token request.
    #[prost(uint64, tag = "4")]
    pub validity_micros: u64,
    /// Microseconds until a token is expected for a refused client request; 0 if none is missing.
    #[prost(uint64, tag = "5")]
    pub retry_after_micros: u64,
    /// Microseconds for which a holder that got fewer tokens than required refuses requests without
    /// sending another token request.
    #[prost(uint64, tag = "6")]
    pub backoff_micros: u64,
    /// Microseconds within which the holder reports spent tokens.
    #[prost(uint64, tag = "7")]
    pub report_within_micros: u64,
}

/// A frame from an authority to a holder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AuthorityFrame {
    /// The authority's epoch. The holder ignores a frame of another epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Answers to the token requests of a [`HolderFrame`].
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<Grant>,
}

/// State of one key at the time of a [`HandOver`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PoolSnapshot {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// Whole tokens available, not granted to any holder.
    #[prost(uint64, tag = "2")]
    pub level: u64,
    /// Tokens granted that may still be spent.
    #[prost(uint64, tag = "3")]
    pub outstanding: u64,
    /// Whether the authority counted the current minute from its beginning.
    #[prost(bool, tag = "4")]
    pub counts_minute: bool,
}

/// State that a stopping authority sends to its successor.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandOver {
    /// The epoch that ended. The successor claims the next one.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The state of each key.
    #[prost(message, repeated, tag = "2")]
    pub pools: Vec<PoolSnapshot>,
}

impl PoolSnapshot {
    pub(crate) fn new(key: Key, initial: InitialTokens) -> Self {
        let (level, outstanding, counts_minute) = match initial {
            InitialTokens::HandedOver {
                level,
                outstanding,
                counts_minute,
            } => (level, outstanding, counts_minute),
            InitialTokens::Empty | InitialTokens::Full => (0, 0, false),
        };
        Self {
            key: Some(key.into()),
            level,
            outstanding,
            counts_minute,
        }
    }
}

impl HandOver {
    /// The tokens the successor starts with for `key`, or [`InitialTokens::Empty`] if the predecessor
    /// did not have the key.
    #[must_use]
    pub fn initial_tokens(&self, key: &Key) -> InitialTokens {
        let key = WireKey::from(*key);
        let pool = self
            .pools
            .iter()
            .find(|pool| pool.key.as_ref() == Some(&key));
        pool.map_or(InitialTokens::Empty, |pool| InitialTokens::HandedOver {
            level: pool.level,
            outstanding: pool.outstanding,
            counts_minute: pool.counts_minute,
        })
    }
}

impl From<Key> for WireKey {
    fn from(key: Key) -> Self {
        let text = |label: Option<&str>| label.unwrap_or_default().to_owned();
        Self {
            workspace: key.workspace.as_str().to_owned(),
            route: text(key.cell.as_ref().map(|cell| cell.route.as_str())),
            class: text(key.cell.as_ref().map(|cell| cell.class.as_str())),
        }
    }
}

impl WireKey {
    /// Decodes the key, or returns `None` if a label is invalid.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        let workspace = self.workspace.parse().ok()?;
        let cell = match self.route.is_empty() && self.class.is_empty() {
            true => None,
            false => Some(Cell {
                route: self.route.parse().ok()?,
                class: self.class.parse().ok()?,
            }),
        };
        Some(Key { workspace, cell })
    }
}
