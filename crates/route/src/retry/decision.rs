//! Whether a failed attempt is made again.

use cassiashunt_types::prelude::*;
use fastrand::Rng;

use crate::retry::{Allowance, Budget};

/// The wait before the first retry; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(5);
/// The longest wait before a retry, unless the refusal asks for more.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// An attempt of a call that failed.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// What the attempt ended with.
    pub refusal: Refusal,
    /// Whether running the call twice does the same as running it once.
    pub is_idempotent: bool,
    /// Retries of this call that were made before.
    pub retries: u32,
    /// The time left of the call's deadline.
    pub remaining: Duration,
    /// The time that the call usually takes; zero where it is not known.
    pub expected_duration: Duration,
    /// Whether another server than the one tried can be asked; the refusal's time to come back
    /// does not apply to it.
    pub has_other_server: bool,
}

/// A retry that may be made; its tokens are spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// How long to wait before it.
    pub wait: Duration,
}

/// Decides whether a failed attempt is made again, and if so spends one token of the chain's
/// allowance and one of the service's budget.
///
/// A call that may have run is made again only where it is idempotent. A call that could not
/// finish in its remaining time is not made again.
pub fn may_retry(
    now: Time,
    failure: &FailedAttempt,
    allowance: &mut Allowance,
    budget: &mut Budget,
    rng: &mut Rng,
) -> Option<Retry> {
    let is_safe = failure.refusal.verdict == Verdict::NotRun || failure.is_idempotent;
    if !is_safe || !helps(failure.refusal.reason) {
        return None;
    }
    let wait = wait(failure, rng);
    if wait + failure.expected_duration >= failure.remaining {
        return None;
    }
    if !budget.allows_retry(now) || !allowance.spend() {
        return None;
    }
    budget.on_retry(now);
    Some(Retry { wait })
}

/// Whether another attempt can end otherwise.
fn helps(reason: Reason) -> bool {
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

/// An exponential wait with full jitter, or what the only server asks for.
fn wait(failure: &FailedAttempt, rng: &mut Rng) -> Duration {
    let doubled = FIRST_WAIT.saturating_mul(2_u32.saturating_pow(failure.retries));
    let backoff = doubled.min(MAX_WAIT).mul_f64(rng.f64());
    if failure.has_other_server {
        return backoff;
    }
    backoff + failure.refusal.retry_after.unwrap_or_default()
}
