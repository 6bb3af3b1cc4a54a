//! The control value, relays and freshness: whether a node may act on the revisions it has applied.
//!
//! The platform stores one [`Control`] value, changed by compare-and-swap: the relays of each
//! failure domain and the holder of each shard. [`FreshnessTracker`] decides whether a node is in
//! touch, [`Relay`] vouches for a failure domain, [`Acceptance`] determines when a change counts as
//! accepted and [`Claim`] takes over a shard. All of them are state machines without I/O or clock:
//! the caller passes in the time and the answers.

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

/// What [`Acceptance`] or [`Claim`] requests from its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeAction {
    /// Write the claim to the control value by compare-and-swap.
    WriteClaim,
    /// Read the control value from the platform, with a read that is sent after this request.
    ReadControl,
    /// Query this relay for the revisions that it has applied.
    AskRelay(cassiashunt_types::NodeId),
}
