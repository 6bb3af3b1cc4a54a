//! Faults that a stand-in of the service can be told to show.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// How many of the next swaps take effect while their answers are lost.
    pub lost_answers: u32,
    /// How long each call waits before it is served, in milliseconds.
    pub slow_ms: u64,
}

impl Faults {
    /// How long each call waits.
    #[must_use]
    pub const fn delay(self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }

    /// Whether the answer of this swap is to be lost.
    pub fn lose_answer(&mut self) -> bool {
        let lose = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        lose
    }
}
