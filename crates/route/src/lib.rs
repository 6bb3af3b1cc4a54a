//! Choice of a backend server, outlier ejection and retry allowances.
//!
//! [`Chooser`] picks a server of one service, based on what this node observes and on the owners'
//! reports. [`retry`] bounds the retries along a whole chain. Both are pure: the caller passes in
//! the time and the random numbers.

mod chooser;
mod ejection;
mod failure_rate;
mod outliers;
mod pace;
mod report;
pub mod retry;
mod server;

pub use chooser::{Chooser, Options, Policy, Standing};
pub use failure_rate::FailureRate;
pub use pace::Pace;
pub use report::OwnerReport;
pub use server::{Candidate, Outcome, Presence, ServerKey};
