//! Retries: one allowance for a whole chain, and a budget for each service.
//!
//! A retry is an attempt of a call beyond its first. Each retry spends one token of the chain's
//! [`Allowance`] and one retry of the service's [`Budget`]. The retries of a whole chain, of any
//! depth and width, never exceed the allowance set at ingress.

mod allowance;
pub mod budget;
mod decision;
mod window_budget;

pub use allowance::{Allowance, Lending, Loan, LoanKey};
pub use budget::Budget;
pub use decision::{FailedAttempt, Retry, may_retry};
pub use window_budget::{FirstTries, WindowBudget};
