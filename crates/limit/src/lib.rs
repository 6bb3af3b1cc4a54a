//! Workspace limits across the fleet.
//!
//! One [`Authority`] per shard of workspaces makes tokens and gives them to the nodes in grants that
//! lapse; a [`Holder`] at each node admits requests from its grants. At all times the authority's
//! level and the tokens outstanding are no more than the burst, so that every window admits at most
//! burst + rate × length, whatever is lost, delayed, paused or cut off. Both are pure.

pub mod authority;
mod demand;
pub mod holder;
mod key;
mod limit;
pub mod msg;
mod pool;

pub use authority::Authority;
pub use holder::{Attempt, Decision, Holder};
pub use key::{Cell, Key};
pub use limit::Limit;
pub use pool::InitialTokens;
