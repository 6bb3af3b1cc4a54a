//! Requests that are offered for admission.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The priority of a class of requests; a higher one is shed later.
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

/// A request that is to start at the backend server.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Identifies the request; no two requests have the same key.
    pub key: RequestId,
    /// The workspace that the request belongs to.
    pub workspace: Workspace,
    /// The workspace's weight in fair queueing with others of the same rank; zero counts as one.
    pub weight: u32,
    /// The priority of its class.
    pub priority: Priority,
    /// Number of calls between the client's request and this one; zero at ingress.
    pub depth: u8,
    /// The time after which an answer is of no use.
    pub deadline: Time,
    /// The route that it calls, for the estimate of its service time.
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

/// The order of the queue: by priority, then by depth, because more work has been done for a deep
/// call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) priority: Priority,
    pub(crate) depth: u8,
}
