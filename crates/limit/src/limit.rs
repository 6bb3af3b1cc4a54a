use serde::{Deserialize, Serialize};

/// How much a key may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Limit {
    /// At most `burst + per_sec × seconds` tokens in every window.
    Rate {
        /// Tokens a second.
        per_sec: u64,
        /// Tokens at once.
        burst: u64,
    },
    /// At most `cap` tokens in every minute of the authority's count.
    Minute {
        /// Tokens a minute.
        cap: u64,
    },
}
