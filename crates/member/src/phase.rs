//! The states of a node's life.

use serde::{Deserialize, Serialize};

/// A state of the member chart.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Looking for peers.
    #[default]
    Joining,
    /// Up, with a backend server that is still cold.
    Warming,
    /// Taking all work.
    Serving,
    /// Finishing what is in flight; refusing new work.
    Draining,
    /// Handing over and saying goodbye.
    Leaving,
    /// The process has ended.
    Gone,
}

impl Phase {
    /// Every phase, in the order of the chart.
    pub const ALL: [Self; 6] = [
        Self::Joining,
        Self::Warming,
        Self::Serving,
        Self::Draining,
        Self::Leaving,
        Self::Gone,
    ];

    /// The name in the chart and in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Warming => "warming",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }

    /// The phase with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|phase| phase.as_str() == name)
    }

    /// The number between nodes.
    #[must_use]
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The phase with this number.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|phase| phase.number() == number)
    }

    /// Whether peers may offer new work to a node in this phase.
    ///
    /// The node itself decides by its [`Lifecycle`](crate::Lifecycle).
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Warming | Self::Serving)
    }
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
