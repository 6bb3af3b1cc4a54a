//! The policy that the table sets for a request.

use std::time::Duration;

use crate::Rate;

/// The rate limit of a whole workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RateLimit {
    /// The sustained rate, in requests per second.
    pub rate: Rate,
    /// The maximum burst, in requests.
    pub burst: u32,
}

/// Which requests of a workspace count against the same per-minute limit. If neither field is
/// set, all of them do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Scope {
    /// Whether each route is counted separately.
    pub route: bool,
    /// Whether each class is counted separately.
    pub class: bool,
}

/// A limit on the number of requests in any one-minute window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MinuteLimit {
    /// The maximum number of requests in any one-minute window.
    pub limit: u32,
    /// Which requests of the workspace share the limit.
    pub scope: Scope,
}

/// The limits and settings for the requests of one workspace, route and class, merged from all
/// matching rows. [`Default`] gives the built-in values for columns that no row sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestPolicy {
    /// The weight in the sharing of a contended server among requests of the same priority.
    pub weight: u32,
    /// The rate limit of the workspace, or `None` if it is unlimited.
    pub limit: Option<RateLimit>,
    /// The per-minute limit, or `None` if there is none.
    pub minute: Option<MinuteLimit>,
    /// The shedding priority; higher values are shed last.
    pub priority: u8,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Whether the route accepts callers without an API key.
    pub open: bool,
    /// The deadline of a request if the caller sets none.
    pub deadline: Duration,
    /// The retries that a request may cause along its whole chain.
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
