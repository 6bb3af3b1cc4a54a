//! Requests as admission sees them.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How much a class of request matters; a higher one is shed later.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The priority of protected classes, which are shed last.
    pub const PROTECTED: Self = Self(u8::MAX);

    /// Whether the class is protected.
    #[must_use]
    pub const fn is_protected(self) -> bool {
        self.0 == Self::PROTECTED.0
    }
}

/// A request that asks to start at the backend server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Identifies the request; never offered twice.
    pub key: RequestId,
    /// Whose request it is.
    pub workspace: Workspace,
    /// The workspace's share beside the others of the same rank; zero counts as one.
    pub weight: u32,
    /// The priority of its class.
    pub priority: Priority,
    /// Calls between the caller and this request; zero at ingress.
    pub depth: u8,
    /// When its answer is of no use any more.
    pub deadline: Time,
    /// What it calls, for the estimate of its service time.
    pub route: Route,
}

impl Job {
    pub(crate) const fn rank(&self) -> Rank {
        Rank {
            priority: self.priority,
            depth: self.depth,
        }
    }
}

/// The order of the queue: by priority, then by depth, since more work was spent on a deep call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) priority: Priority,
    pub(crate) depth: u8,
}
