//! Whether the table's keys may still be relied on.

use cassiashunt_types::prelude::*;

/// The time kept back from the bound, for the steps between the check and the arrival of a
/// request at the backend server.
const MARGIN: Duration = Duration::from_millis(150);

/// Up to when the table in force was surely the newest.
///
/// The store's answer proves that no newer table was accepted before the question was *sent*, so
/// that is the moment that counts. The clock has to run on while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Freshness {
    bound: Duration,
    proven: Option<Time>,
}

impl Freshness {
    /// Nothing is proven yet; `bound` is the longest time that a withdrawn key may work.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            proven: None,
        }
    }

    /// Takes in that a question sent at `asked` was answered with the table in force.
    pub fn prove(&mut self, asked: Time) {
        self.proven = Some(self.proven.map_or(asked, |proven| proven.max(asked)));
    }

    /// Whether a key of the table may be accepted at `now`.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        self.proven
            .is_some_and(|proven| now.since(proven) + MARGIN < self.bound)
    }

    /// The age of the last proof.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|proven| now.since(proven))
    }
}
