//! Short lists of addresses in the platform, by which new nodes find the fleet.
//!
//! Each failure domain has one value. One node of the domain, the first by rendezvous hash among
//! those that answer, rewrites it in a fixed period, so the platform's calls do not grow with the
//! fleet: `domains / write_period` writes a second, as many reads to merge with, and
//! `domains^2 / read_period` reads by which groups that lost each other meet again. A node without
//! peers reads one value in each `join_period`.

mod entry;
mod error;
mod maintainer;
mod value;

pub use entry::Entry;
pub use error::Invalid;
pub use maintainer::{Action, Event, Options, Rates, RosterMaintainer};
pub use value::Value;
