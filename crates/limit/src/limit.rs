use serde::{Deserialize, Serialize};

/// The limit of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Limit {
    /// A token bucket: at most `burst + per_sec × seconds` tokens in any window.
    Rate {
        /// Tokens per second.
        per_sec: u64,
        /// Capacity of the bucket in tokens.
        burst: u64,
    },
    /// At most `cap` tokens in each minute, with the minute boundaries set by the authority.
    Minute {
        /// Tokens per minute.
        cap: u64,
    },
}
