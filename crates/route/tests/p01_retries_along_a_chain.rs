//! P1: retries along a whole chain are bounded by the allowance that is set at ingress.
//!
//! A retry is an attempt of a call beyond its first, where a call is made by one attempt of its
//! parent. In every chain the retries, summed over all calls, are at most the allowance. So each
//! position in the call tree runs at most `1 + allowance` times.

mod chain;

use cassiashunt_route::retry::Lending;
use cassiashunt_types::prelude::*;
use chain::{Attempt, Bound, Scenario, check, run};

const SEED_COUNT: u64 = 300;

/// A scenario whose fault rates are drawn from its seed.
fn scenario(seed: u64, bound: Bound) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x70_31);
    Scenario {
        seed,
        bound,
        fan_out: rng.u64(1..=2),
        leaf_failure: [0.1, 0.5, 1.0][rng.usize(..3)],
        loss: [0.0, 0.05, 0.2][rng.usize(..3)],
        duplication: [0.0, 0.3][rng.usize(..2)],
        kills: rng.u32(..8),
        ..Scenario::default()
    }
}

fn first_violation(allowance: u32, bound: Bound) -> Option<(u64, String)> {
    (0..SEED_COUNT).find_map(|seed| {
        let history = run(scenario(seed, bound));
        let result = check(&history.attempts, u64::from(allowance));
        result.err().map(|error| (seed, error))
    })
}

#[test]
fn p01_retries_of_a_chain_never_exceed_its_allowance() {
    for allowance in [0, 1, 3, 8] {
        for lending in [Lending::Half, Lending::All, Lending::Nothing] {
            let violation = first_violation(allowance, Bound::Split(allowance, lending));
            assert_eq!(violation, None, "allowance {allowance}, {lending:?}");
        }
    }
}

#[test]
fn p01_a_leaf_without_siblings_is_attempted_at_most_once_beyond_the_allowance() {
    for seed in 0..SEED_COUNT {
        let scenario = Scenario {
            fan_out: 1,
            leaf_failure: 1.0,
            ..scenario(seed, Bound::Split(3, Lending::Half))
        };
        let history = run(scenario);
        let leaves: Vec<_> = history
            .attempts
            .into_iter()
            .filter(|attempt| attempt.is_leaf)
            .collect();
        for attempt in &leaves {
            let tries = leaves
                .iter()
                .filter(|other| other.chain == attempt.chain)
                .count();
            assert!(
                tries <= 4,
                "seed {seed}: {tries} leaf attempts in chain {}",
                attempt.chain
            );
        }
    }
}

#[test]
fn p01_the_allowance_is_used_when_a_leaf_fails() {
    let scenario = Scenario {
        leaf_failure: 1.0,
        loss: 0.0,
        kills: 0,
        chains: 1,
        resends: 0,
        ..Scenario::default()
    };
    let history = run(scenario);
    assert!(check(&history.attempts, 3).is_ok());
    assert!(check(&history.attempts, 0).is_err(), "no call was retried");
}

#[test]
fn p01_without_retries_each_call_is_attempted_once() {
    assert_eq!(first_violation(0, Bound::None), None);
}

#[test]
fn p01_one_shared_allowance_for_a_whole_chain_keeps_the_bound() {
    assert_eq!(first_violation(3, Bound::Shared(3)), None);
}

#[test]
fn p01_a_copied_allowance_exceeds_the_bound() {
    assert!(first_violation(3, Bound::Copied(3)).is_some());
}

#[test]
fn p01_retries_at_each_hop_exceed_the_bound() {
    assert!(first_violation(3, Bound::EachHop(3)).is_some());
}

#[test]
fn p01_the_checker_rejects_one_retry_too_many() {
    let call = |parent, position| Attempt {
        chain: ChainId(7),
        parent,
        position,
        is_leaf: true,
    };
    let one_retry = [call(1, 2), call(1, 2), call(1, 3)];
    assert!(check(&one_retry, 1).is_ok());
    assert!(check(&one_retry, 0).is_err());
    let two_retries = [call(1, 2), call(1, 2), call(1, 3), call(1, 3)];
    assert!(
        check(&two_retries, 1).is_err(),
        "retries of different calls are summed"
    );
}
