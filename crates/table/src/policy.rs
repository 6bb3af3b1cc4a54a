//! What the table says about a request.

use std::time::Duration;

use crate::Rate;

/// The rate and burst of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RateLimit {
    /// Requests for each second in the long run.
    pub rate: Rate,
    /// Requests at once.
    pub burst: u32,
}

/// Which requests of a workspace share a minute's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Scope {
    /// Only requests of the same route.
    pub route: bool,
    /// Only requests of the same class.
    pub class: bool,
}

/// A limit on the requests in any minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MinuteLimit {
    /// Requests in any minute.
    pub limit: u32,
    /// Which requests of the workspace share it.
    pub scope: Scope,
}

/// What the table says about the requests of a workspace, route and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestPolicy {
    /// The share of a contended server in proportion to others of the same priority.
    pub weight: u32,
    /// The workspace's rate and burst; nothing where there is no limit.
    pub limit: Option<RateLimit>,
    /// The limit on any minute; nothing where there is none.
    pub minute: Option<MinuteLimit>,
    /// The order of shedding; higher goes last.
    pub priority: u8,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Whether the route serves callers without a key.
    pub open: bool,
    /// How long a request may take where the caller does not say.
    pub deadline: Duration,
    /// How many retries a request may cause along its whole chain.
    pub retries: u32,
}

impl Default for RequestPolicy {
    fn default() -> Self {
        Self {
            weight: 1,
            limit: None,
            minute: None,
            priority: 0,
            idempotent: false,
            open: false,
            deadline: Duration::from_secs(10),
            retries: 2,
        }
    }
}
