//! Distributed rate limits per workspace.
//!
//! Workspaces are divided into shards. The [`Authority`] of a shard issues tokens to the nodes in
//! grants that expire, and a [`Holder`] on each node admits requests against its grants. For a rate,
//! the authority keeps its level plus the outstanding tokens within the burst, so any window admits
//! at most burst + rate × length, also under message loss, delay, pauses and partitions. Both types
//! do no I/O: the caller passes in the time and the frames.

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
