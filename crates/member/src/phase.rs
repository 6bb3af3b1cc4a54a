//! The lifecycle phases of a node.

use serde::{Deserialize, Serialize};

/// A state of the member state chart.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Started; searching for peers.
    #[default]
    Joining,
    /// Accepting new work while the backend server is cold.
    Warming,
    /// Accepting all work.
    Serving,
    /// Completing requests in flight; refusing new work.
    Draining,
    /// Handing over state and announcing its departure.
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

    /// The name in the state chart and in logs.
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

    /// The phase with this name; `None` for an unknown name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|phase| phase.as_str() == name)
    }

    /// The number that is sent between nodes.
    #[must_use]
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The phase with this number; `None` for an unknown number.
    #[must_use]
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|phase| phase.number() == number)
    }

    /// Whether peers may offer new work to a node in this phase.
    ///
    /// Peers use this as a hint; the node itself decides by its [`Lifecycle`](crate::Lifecycle).
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
