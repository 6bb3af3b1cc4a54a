//! Admission at the owning node: concurrency limit, queue and shedding.
//!
//! [`Admission`] decides for one backend server which requests start, wait or are refused.
//! [`ingress::Ingress`] uses the [`Signal`] of every owner to refuse requests before their chain
//! starts. Both are pure: the time is handed in, and what is to be done comes back.

mod admission;
pub mod chain;
pub mod chain_admission;
mod demand;
mod estimate;
pub mod fanout;
pub mod ingress;
mod job;
mod limiter;
mod meter;
mod queue;
mod retry_after;
mod signal;
mod usage;

pub use admission::{Action, Admission, Options};
pub use job::{Job, Priority};
pub use retry_after::jittered_retry_after;
pub use signal::{Level, Signal};
pub use usage::Usage;
