//! Common domain types: labels, time, verdicts and refusals.
//!
//! Every part of cassiashunt is pure logic over these types. Nothing here reads a clock or a
//! socket; [`Time`] is handed in by the caller.

mod id;
mod label;
mod reason;
mod refusal;
mod time;
mod verdict;

pub mod prelude;

pub use id::{ChainId, Epoch, KeyId, NodeId, RequestId, Revision, ShardId};
pub use label::{Class, FailureDomain, InvalidLabel, Label, Route, Service, Workspace};
pub use reason::Reason;
pub use refusal::Refusal;
pub use time::{ClockDrift, Time};
pub use verdict::Verdict;
