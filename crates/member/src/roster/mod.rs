//! Short lists of addresses in the platform, from which new nodes join the fleet.
//!
//! Each failure domain has one value. Its writer, the alive node of the domain that ranks first by
//! rendezvous hash, rewrites it periodically, so the rate of platform calls does not grow with the
//! fleet: `domains / write_period` writes a second, as many reads to merge with, and
//! `domains^2 / read_period` reads by which groups find each other again after a network partition.
//! A node without peers reads one value in each `join_period`.

mod entry;
mod error;
mod maintainer;
mod value;

pub use entry::Entry;
pub use error::Invalid;
pub use maintainer::{Action, Event, Options, Rates, RosterMaintainer};
pub use value::Value;
