//! Messages between holders and authorities; one frame carries many keys.

use crate::{Cell, InitialTokens, Key};

/// A key on the wire.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct WireKey {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The cell's route; empty for the whole workspace.
    #[prost(string, tag = "2")]
    pub route: String,
    /// The cell's class; empty for the whole workspace.
    #[prost(string, tag = "3")]
    pub class: String,
}

/// A holder's question for tokens. Asking again under the same number yields the same grant.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenRequest {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// The holder's number of this question for the key; grows.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens for requests that wait.
    #[prost(uint64, tag = "3")]
    pub required: u64,
    /// Tokens for requests that are expected.
    #[prost(uint64, tag = "4")]
    pub prefetch: u64,
    /// Recent demand, in thousandths of a token a second.
    #[prost(uint64, tag = "5")]
    pub demand_milli: u64,
}

/// What became of a grant so far. Both counts only grow, so late and repeated reports do no harm.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// The number of the question that the grant answered.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens spent so far.
    #[prost(uint64, tag = "3")]
    pub spent: u64,
    /// Tokens handed back so far.
    #[prost(uint64, tag = "4")]
    pub returned: u64,
}

/// A holder's frame to the authority of its shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HolderFrame {
    /// The holder.
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    /// The authority's epoch, as the holder knows it.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Questions.
    #[prost(message, repeated, tag = "3")]
    pub token_requests: Vec<TokenRequest>,
    /// Reports.
    #[prost(message, repeated, tag = "4")]
    pub reports: Vec<Report>,
}

/// The answer to a question.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// The question's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens; may be fewer than asked for, or none.
    #[prost(uint64, tag = "3")]
    pub amount: u64,
    /// Microseconds on the holder's clock, from when it first asked, until the tokens lapse.
    #[prost(uint64, tag = "4")]
    pub validity_micros: u64,
    /// Microseconds until a token for a refused request is to be expected.
    #[prost(uint64, tag = "5")]
    pub retry_after_micros: u64,
    /// Microseconds for which a holder that got too little refuses by itself.
    #[prost(uint64, tag = "6")]
    pub backoff_micros: u64,
    /// Microseconds within which the holder is to report what it spent.
    #[prost(uint64, tag = "7")]
    pub report_within_micros: u64,
}

/// An authority's frame to a holder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AuthorityFrame {
    /// The authority's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Answers.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<Grant>,
}

/// What an authority that stops leaves of one key.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PoolSnapshot {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// Whole tokens that it had not given.
    #[prost(uint64, tag = "2")]
    pub level: u64,
    /// Tokens that it gave and that may still be spent.
    #[prost(uint64, tag = "3")]
    pub outstanding: u64,
    /// Whether it counted the running minute from its beginning.
    #[prost(bool, tag = "4")]
    pub counts_minute: bool,
}

/// What an authority that stops leaves to its successor.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandOver {
    /// The epoch that ended; the successor claims the next one from it.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// What is left of each key.
    #[prost(message, repeated, tag = "2")]
    pub pools: Vec<PoolSnapshot>,
}

impl PoolSnapshot {
    pub(crate) fn new(key: Key, start: InitialTokens) -> Self {
        let (level, outstanding, counts_minute) = match start {
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
    /// What the successor's pool of this key starts with; nothing for a key that was not there.
    #[must_use]
    pub fn initial_tokens(&self, key: &Key) -> InitialTokens {
        let key = WireKey::from(*key);
        let left = self
            .pools
            .iter()
            .find(|left| left.key.as_ref() == Some(&key));
        left.map_or(InitialTokens::Empty, |left| InitialTokens::HandedOver {
            level: left.level,
            outstanding: left.outstanding,
            counts_minute: left.counts_minute,
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
    /// The key, where the message is well formed.
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
