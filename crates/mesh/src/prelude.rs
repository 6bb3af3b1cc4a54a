//! The most commonly used types of this crate.

pub use crate::{Announcement, Freshness, Heartbeat, Repeat, RouteRow, ServerState, SiteTable};
