//! Control value, relays and freshness: may a node act on what it last knew?
//!
//! The platform holds one [`Control`] value, changed by compare-and-swap: the relays of each
//! failure domain and the holder of each shard. [`FreshnessTracker`] decides whether a node is in touch,
//! [`Relay`] vouches for a domain, [`Acceptance`] says when a change counts as accepted and [`Claim`]
//! takes over a shard. All of it is pure: time and answers are handed in.

mod acceptance;
mod claim;
mod control;
mod domain;
pub mod edit;
mod election;
pub mod freshness;
mod heads;
pub mod msg;
pub mod relay;
mod shard;

pub use acceptance::{Acceptance, Outcome};
pub use claim::{Claim, ClaimOptions, Stage};
pub use control::Control;
pub use domain::{Domain, MAX_RELAYS_PER_DOMAIN, PreviousSet, RelayEntry};
pub use election::{Candidate, due_replacement};
pub use freshness::{Basis, FreshnessTracker, InTouch};
pub use heads::Heads;
pub use relay::Relay;
pub use shard::{Shard, ShardKey, ShardKind};

/// What a state machine that spreads a change asks of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeAction {
    /// Write the claim to the control value by compare-and-swap.
    WriteClaim,
    /// Read the control value from the platform, with a question sent from now on.
    ReadControl,
    /// Ask this relay which revisions it has applied.
    AskRelay(cassiashunt_types::NodeId),
}
