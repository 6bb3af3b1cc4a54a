//! Whether the table is proven fresh enough for its keys to be accepted.

use cassiashunt_types::prelude::*;

/// Subtracted from the bound to cover the time between the check and the arrival of the request at
/// the backend server.
const ACCEPT_MARGIN: Duration = Duration::from_millis(150);

/// The shortest time between two queries to the store, or to a node that queries it. It applies in a
/// fleet large enough that these calls cost each node little. Several queries in a row have to fail
/// before keys are refused.
const MIN_PROVE_INTERVAL: Duration = Duration::from_millis(850);
/// The longest time between two queries to the store, however small the fleet. A new table that no
/// watch delivers is still found within the time that the platform allows for a change.
const MAX_PROVE_INTERVAL: Duration = Duration::from_millis(1_300);
/// The time per call of this kind and node. The target for all kinds together is one call per node in
/// 2 s, and watches use the remainder.
const CALL_INTERVAL_PER_NODE: Duration = Duration::from_millis(2_500);

/// The fraction of the bound on withdrawn keys after which a node that the store does not answer is
/// out of touch. No service guarantee applies to requests there from then on.
const OUT_OF_TOUCH_FRACTION: f64 = 0.6;

/// How often nodes prove that their table is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofPace {
    /// The time between two queries of a prover to the store.
    pub prove_interval: Duration,
    /// The time between two queries to the peers by a node that the store does not answer.
    pub ask_interval: Duration,
}

impl ProofPace {
    /// Returns the pace in a fleet of `nodes` nodes, of which `provers` query the store. In a small
    /// fleet the store is queried less often, and the nodes query the provers more often, so that
    /// proofs are as recent as in a large one.
    #[must_use]
    pub fn of(nodes: usize, provers: usize) -> Self {
        let share = provers as f64 / nodes.max(1) as f64;
        let prove_interval = CALL_INTERVAL_PER_NODE
            .mul_f64(share)
            .clamp(MIN_PROVE_INTERVAL, MAX_PROVE_INTERVAL);
        Self {
            prove_interval,
            ask_interval: 2 * MIN_PROVE_INTERVAL - prove_interval,
        }
    }
}

/// The latest time at which the table in force is proven to have been the newest.
///
/// The store's answer proves that no newer table was accepted before the query was *sent*, so a proof
/// is dated by that time. The clock has to advance while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Freshness {
    bound: Duration,
    proven: Option<Time>,
}

impl Freshness {
    /// Starts without a proof. `bound` is the longest time for which a withdrawn key may be accepted.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            proven: None,
        }
    }

    /// Changes the longest time for which a withdrawn key may be accepted.
    pub fn set_bound(&mut self, bound: Duration) {
        self.bound = bound;
    }

    /// Records a proof: a query sent at `asked` was answered with the table in force.
    pub fn prove(&mut self, asked: Time) {
        self.proven = Some(self.proven.map_or(asked, |proven| proven.max(asked)));
    }

    /// Returns whether keys of the table may be accepted at `now`.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        self.proven
            .is_some_and(|proven| now.since(proven) + ACCEPT_MARGIN < self.bound)
    }

    /// Returns whether the table is proven by peers only: the store last answered this node too long
    /// ago, at `answered`, while peers still have recent proofs. `answered` is `None` if the store has
    /// never answered. Returns `false` if the store answers no node.
    #[must_use]
    pub fn is_proven_by_peers_only(&self, now: Time, answered: Option<Time>) -> bool {
        let limit = self.bound.mul_f64(OUT_OF_TOUCH_FRACTION);
        let is_out = answered.is_none_or(|answered| now.since(answered) > limit);
        is_out && self.age(now).is_some_and(|age| age <= limit)
    }

    /// Returns the age of the newest proof; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.proven.map(|proven| now.since(proven))
    }
}
