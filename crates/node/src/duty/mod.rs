//! The threads that keep a node in step with the fleet.

mod accept;
mod control;
mod event;
mod fetch;
mod freshness;
mod homes;
mod membership;
mod message;
mod missing;
mod net;
mod platform;
mod repair;
mod shards;
mod spread;
mod threads;
mod udp;
mod worker;

pub(crate) use accept::run as commit;
pub(crate) use control::Control;
pub(crate) use fetch::answer as answer_fetch;
pub(crate) use net::Net;
pub(crate) use platform::Seen;
pub(crate) use threads::Duties;

use threads::step;
