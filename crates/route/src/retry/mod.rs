//! Retries: one allowance for a whole chain, and a budget for each service.
//!
//! A retry is an attempt of a call beyond its first. Whoever retries spends one token of the
//! chain's [`Allowance`], and one of the service's [`Budget`]. Over the whole chain, however deep
//! or wide, retries never exceed the allowance set at ingress.

mod allowance;
pub mod budget;
mod decision;

pub use allowance::{Allowance, Lending, Loan, LoanKey};
pub use budget::Budget;
pub use decision::{FailedAttempt, Retry, may_retry};
