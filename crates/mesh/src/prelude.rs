//! The types that nearly every user of this crate needs.

pub use crate::{Announcement, Freshness, Heartbeat, Repeat, RouteRow, ServerState, SiteTable};
