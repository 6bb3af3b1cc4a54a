//! Common domain types: labels, time, verdicts and refusals.
//!
//! The logic crates of cassiashunt are pure functions and state machines over these types. Nothing
//! here reads a clock or a socket; the caller passes in [`Time`].

mod hash;
mod id;
mod label;
mod reason;
mod refusal;
mod time;
mod verdict;

pub mod prelude;

pub use hash::stable_hash;
pub use id::{ChainId, Epoch, KeyId, NodeId, RequestId, Revision, ShardId};
pub use label::{Class, FailureDomain, InvalidLabel, Label, Route, Service, Workspace};
pub use reason::Reason;
pub use refusal::Refusal;
pub use time::{ClockDrift, Time};
pub use verdict::Verdict;
