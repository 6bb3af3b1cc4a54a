//! Whether the table's keys may still be relied on.

use cassiashunt_types::prelude::*;

/// The time kept back from the bound, for the steps between the check and the arrival of a
/// request at the backend server.
const MARGIN: Duration = Duration::from_millis(150);

/// The time between two questions to the store, or to a node that asks it, in a fleet large enough
/// that these calls cost a node little; several have to fail in a row before keys are refused.
const PROOF_EVERY: Duration = Duration::from_millis(850);
/// The longest time between two questions to the store, however small the fleet: a table that no
/// watch brings is then still found within the time the users allow for a change.
const SLOWEST_PROOF: Duration = Duration::from_millis(1_300);
/// The time in which a node may cost one call of this kind: one call in 2 s is the aim for all
/// kinds together, watches take the rest.
const NODE_CALL: Duration = Duration::from_millis(2_500);

/// The part of the bound on withdrawn keys after which a node that the store does not answer counts
/// as out of touch; the users owe nothing for requests there from then on.
const OUT_OF_TOUCH: f64 = 0.6;

/// How often the table is proven to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofPace {
    /// The time between two questions of a prover to the store.
    pub prove_interval: Duration,
    /// The time between two questions of a node that the store does not answer to its peers.
    pub ask_interval: Duration,
}

impl ProofPace {
    /// The pace in a fleet of `nodes` where `provers` ask the store. A small fleet asks it less
    /// often; its nodes ask the provers more often, so that proofs are as young as elsewhere.
    #[must_use]
    pub fn of(nodes: usize, provers: usize) -> Self {
        let share = provers as f64 / nodes.max(1) as f64;
        let prove_interval = NODE_CALL.mul_f64(share).clamp(PROOF_EVERY, SLOWEST_PROOF);
        Self {
            prove_interval,
            ask_interval: 2 * PROOF_EVERY - prove_interval,
        }
    }
}

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

    /// Whether the table is proven by peers only, since the store answered this node at `answered`
    /// last. Where it answers nobody, this does not hold either.
    #[must_use]
    pub fn is_proven_by_peers_only(&self, now: Time, answered: Option<Time>) -> bool {
        let limit = self.bound.mul_f64(OUT_OF_TOUCH);
        let is_out = answered.is_none_or(|answered| now.since(answered) > limit);
        is_out && self.age(now).is_some_and(|age| age <= limit)
    }

    /// The age of the last proof.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|proven| now.since(proven))
    }
}
