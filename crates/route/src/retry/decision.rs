//! The decision whether a failed attempt is retried.

use cassiashunt_types::prelude::*;
use fastrand::Rng;

use crate::retry::{Allowance, Budget};

/// The backoff before the first retry, before jitter; it doubles with each further retry.
const BASE_BACKOFF: Duration = Duration::from_millis(5);
/// The maximum backoff before a retry; the refusal's retry-after delay is added to it.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// An attempt of a call that failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// The refusal that the attempt ended with.
    pub refusal: Refusal,
    /// Whether running the call twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// The number of retries of this call so far.
    pub retries: u32,
    /// The time until the call's deadline.
    pub remaining: Duration,
    /// The time that the call usually takes; zero if unknown.
    pub expected_duration: Duration,
    /// Whether a server that was not tried is available; the refusal's retry-after delay does not
    /// apply to it.
    pub has_other_server: bool,
}

/// A permitted retry; its token of the allowance is spent and the budget has recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// The delay before the retry is sent.
    pub wait: Duration,
}

/// Decides whether a failed attempt is retried. If so, spends one token of the chain's allowance
/// and one retry of the service's budget.
///
/// A call that may have run is retried only if it is idempotent. A call that could not complete
/// before its deadline is not retried.
pub fn may_retry(
    now: Time,
    failure: &FailedAttempt,
    allowance: &mut Allowance,
    budget: &mut Budget,
    rng: &mut Rng,
) -> Option<Retry> {
    let is_safe = failure.refusal.verdict == Verdict::NotRun || failure.is_idempotent;
    if !is_safe || !is_retryable(failure.refusal.reason) {
        return None;
    }
    let wait = retry_delay(failure, rng);
    if wait + failure.expected_duration >= failure.remaining {
        return None;
    }
    if !budget.allows_retry(now) || !allowance.spend() {
        return None;
    }
    budget.on_retry(now);
    Some(Retry { wait })
}

/// Whether another attempt may succeed after a failure with this reason.
fn is_retryable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Shed
            | Reason::Full
            | Reason::Draining
            | Reason::NotInTouch
            | Reason::NoServer
            | Reason::Lost
            | Reason::ServerRefused
    )
}

/// Exponential backoff with full jitter, plus the refusal's retry-after delay if there is no other
/// server.
fn retry_delay(failure: &FailedAttempt, rng: &mut Rng) -> Duration {
    let doubled = BASE_BACKOFF.saturating_mul(2_u32.saturating_pow(failure.retries));
    let backoff = doubled.min(MAX_BACKOFF).mul_f64(rng.f64());
    if failure.has_other_server {
        return backoff;
    }
    backoff + failure.refusal.retry_after.unwrap_or_default()
}
