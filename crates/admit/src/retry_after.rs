//! When a client whose request was refused is told to come back.

use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// The least and most parts of a client's time left after which it is told to come back. Clients
/// wait as told for up to a third of it; one that comes back early can still be answered within
/// the objective.
const PARTS: (f64, f64) = (0.04, 0.14);
/// The shortest such time: under it the cause has hardly changed.
const LEAST: Duration = Duration::from_millis(100);
/// The longest.
const MOST: Duration = Duration::from_millis(1_500);

/// A time that is spread so that clients refused together do not come back together.
#[must_use]
pub fn jittered_retry_after(left: Duration, rng: &mut Rng) -> Duration {
    let (least, most) = PARTS;
    let part = least + (most - least) * rng.f64();
    left.mul_f64(part).clamp(LEAST, MOST)
}
