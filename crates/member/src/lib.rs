//! Membership by heartbeat and gossip, and the rosters that seed it.
//!
//! [`Members`] is one node's view of the fleet: it probes one peer at a time, suspects those that
//! stay silent, and spreads what it learns on the back of probes and their answers (SWIM, Das et
//! al. 2002, with suspicion and incarnations). [`Lifecycle`] walks the node's own state chart and
//! says whether it takes new work. [`roster`] keeps a short list of addresses in the platform, by
//! which new nodes find the fleet.
//!
//! Everything here is pure: time, messages and randomness are handed in, actions are handed out.

mod action;
mod claim;
mod contests;
pub mod cost;
mod event;
mod lifecycle;
mod load;
mod member;
mod members;
pub mod msg;
mod options;
mod phase;
mod probes;
mod recent;
mod record;
mod reports;
pub mod roster;
mod rumors;
mod tombstones;
mod view;

pub use action::Action;
pub use claim::Claim;
pub use event::Event;
pub use lifecycle::{Lifecycle, Step};
pub use load::{Load, LoadReport};
pub use member::{Member, Reach};
pub use members::Members;
pub use options::Options;
pub use phase::Phase;
pub use record::Record;
pub use reports::{ATTESTATION_BYTES, Attestation};
pub use view::{Change, Departure};

/// The state chart of a node's life.
pub const MEMBER_CHART: &str = include_str!("../charts/member.toml");
