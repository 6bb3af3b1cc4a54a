//! The retry-after delay that a refused client is sent.

use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// The bounds of the delay, as fractions of the client's remaining time. Clients obey a delay of
/// up to a third of that time; after a shorter one, the retry can still be answered within the
/// latency objective.
const DELAY_FRACTIONS: (f64, f64) = (0.04, 0.14);
/// The shortest delay; the cause of the refusal has hardly changed sooner.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// The longest delay.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// A random delay for a client with `left` time remaining, so that clients refused together do not
/// retry together.
#[must_use]
pub fn jittered_retry_after(left: Duration, rng: &mut Rng) -> Duration {
    let (min, max) = DELAY_FRACTIONS;
    let fraction = min + (max - min) * rng.f64();
    left.mul_f64(fraction).clamp(MIN_DELAY, MAX_DELAY)
}
