//! Fleet membership by probes and gossip, and the rosters that bootstrap it.
//!
//! [`Members`] is one node's view of the fleet: it probes one peer per period, suspects peers that
//! do not answer, and piggybacks updates on probes and their answers (SWIM, Das et al. 2002, with
//! suspicion and incarnations). [`Lifecycle`] runs the node's own state chart and decides whether
//! it accepts new work. [`roster`] maintains short lists of addresses in the platform, by which new
//! nodes find the fleet.
//!
//! The crate does no I/O: callers pass in time, messages and randomness, and carry out the
//! returned actions.

mod action;
mod addr_conflicts;
mod attestations;
mod claim;
pub mod cost;
mod drain_schedule;
mod event;
mod gossip_queue;
mod lifecycle;
mod load;
mod member;
mod members;
pub mod msg;
mod options;
mod phase;
mod probes;
mod recent_senders;
mod record;
pub mod roster;
mod tombstones;
mod view;

pub use action::Action;
pub use attestations::{Attestation, MAX_ATTESTATION_BYTES};
pub use claim::Claim;
pub use drain_schedule::DrainSchedule;
pub use event::Event;
pub use lifecycle::{Lifecycle, Step};
pub use load::{Load, LoadReport};
pub use member::{Member, Reach};
pub use members::Members;
pub use options::Options;
pub use phase::Phase;
pub use record::Record;
pub use view::{Change, Departure};

/// The state chart of the node lifecycle, in TOML.
pub const MEMBER_CHART: &str = include_str!("../charts/member.toml");
