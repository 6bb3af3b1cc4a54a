//! Admission control at the owner and at ingress: concurrency limit, queue and load shedding.
//!
//! [`Admission`] decides for one backend server which requests start, wait or are refused.
//! Two controllers refuse requests before their chain of calls starts: [`ingress::Ingress`] by
//! the [`Signal`] of every owner, and [`chain_admission::ChainAdmission`] by the demand and the
//! capacity of all nodes. All three are free of I/O: the caller passes the time in and carries
//! out what they return.

mod admission;
pub mod chain;
pub mod chain_admission;
mod estimate;
pub mod fair_admission;
pub mod fanout;
pub mod ingress;
mod job;
mod level_controller;
mod limiter;
mod max_min;
mod queue;
pub mod repeats;
mod retry_after;
pub mod returns;
pub mod room_forecast;
mod server_speed;
mod signal;
mod slot_share;
mod start_rate;
mod usage;
mod workspace_demand;
pub mod workspace_shares;

pub use admission::{Action, Admission, Options};
pub use job::{Job, Priority};
pub use retry_after::{RetryAfter, TimeLeft, Why, jittered_retry_after, retry_after};
pub use server_speed::ServerSpeed;
pub use signal::{Level, Signal};
pub use start_rate::StartLimit;
pub use usage::Usage;
