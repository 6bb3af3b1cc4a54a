//! The retry-after delay that a refused client is sent.

use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// The bounds of the delay where nothing is known of the room, as fractions of the client's
/// remaining time.
const DELAY_FRACTIONS: (f64, f64) = (0.04, 0.14);
/// The shortest delay; the cause of the refusal has hardly changed sooner.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// The longest delay where nothing is known of the room.
const MAX_DELAY: Duration = Duration::from_millis(1_500);
/// Clients obey a delay of up to this part of their remaining time.
const OBEYED_FRACTION: f64 = 1.0 / 3.0;
/// The spread of returns after their turn, as a fraction of the time until then.
const TURN_SPREAD: f64 = 0.5;
/// The shortest such spread.
const MIN_SPREAD: Duration = Duration::from_millis(200);

/// A random delay for a client with `left` time remaining, so that clients refused together do not
/// retry together.
#[must_use]
pub fn jittered_retry_after(left: Duration, rng: &mut Rng) -> Duration {
    let (min, max) = DELAY_FRACTIONS;
    let fraction = min + (max - min) * rng.f64();
    left.mul_f64(fraction).clamp(MIN_DELAY, MAX_DELAY)
}

/// The time that a refused client has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLeft {
    /// Until its time limit.
    pub limit: Duration,
    /// Until the latency objective.
    pub objective: Duration,
    /// The expected time of the work itself.
    pub work: Duration,
}

impl TimeLeft {
    /// The longest delay that is of use: clients obey it, and what comes back can still be done, within
    /// the objective if there is time for that.
    #[must_use]
    pub fn longest_delay(&self) -> Duration {
        let obeyed = self.limit.mul_f64(OBEYED_FRACTION);
        let in_objective = self.objective.saturating_sub(self.work);
        let in_limit = self.limit.saturating_sub(self.work);
        let useful = if in_objective >= MIN_DELAY {
            in_objective
        } else {
            in_limit
        };
        obeyed.min(useful)
    }
}

/// What a retry-after delay rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// The turn of those who come back.
    Turn,
    /// The expected end of the shortage.
    Room,
    /// The longest delay of use, since no room is expected before.
    Longest,
    /// Chance, since nothing is known of the room.
    Chance,
}

impl Why {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Turn => "turn",
            Self::Room => "room",
            Self::Longest => "longest",
            Self::Chance => "chance",
        }
    }
}

/// A retry-after delay, and what it rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfter {
    /// The delay.
    pub delay: Duration,
    /// What it rests on.
    pub why: Why,
}

/// The delay for a client whose turn among those who come back is in `turn_in` and that finds room for
/// all in `room_in`. `urgency` is 1 for the most urgent and 0 for the least: of those refused together,
/// the urgent come back first.
#[must_use]
pub fn retry_after(
    left: TimeLeft,
    turn_in: Duration,
    room_in: Duration,
    urgency: f64,
    rng: &mut Rng,
) -> RetryAfter {
    let longest = left.longest_delay().max(MIN_DELAY);
    // All of the spread is used at any urgency; the urgent come early in it.
    let place = rng.f64().powf(1.0 + urgency.clamp(0.0, 1.0));
    let (from, to, why) = if turn_in < room_in && turn_in < longest {
        let spread = turn_in.mul_f64(TURN_SPREAD).max(MIN_SPREAD);
        (turn_in, (turn_in + spread).min(longest), Why::Turn)
    } else {
        let why = if room_in < longest {
            Why::Room
        } else {
            Why::Longest
        };
        // Not later than half-way: those refused one after the other would return at one moment.
        (room_in.min(longest / 2), longest, why)
    };
    let delay = from + to.saturating_sub(from).mul_f64(place);
    RetryAfter {
        delay: delay.max(MIN_DELAY),
        why,
    }
}
