//! Admission at the owning node: concurrency limit, queue and shedding.
//!
//! [`Admission`] decides for one backend server which requests start, wait or are refused.
//! [`ingress::Ingress`] uses the [`Signal`] of every owner to refuse requests before their chain
//! starts. Both are pure: the time is handed in, and what is to be done comes back.

mod admission;
pub mod chain;
mod come_back;
mod demand;
mod estimate;
pub mod fanout;
pub mod ingress;
mod job;
mod limiter;
mod meter;
mod queue;
pub mod root;
mod signal;
mod usage;

pub use admission::{Action, Admission, Options};
pub use come_back::time_to_come_back;
pub use job::{Job, Priority};
pub use signal::{Level, Signal};
pub use usage::Usage;
