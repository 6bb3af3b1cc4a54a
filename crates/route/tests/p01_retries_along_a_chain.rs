//! P1: retries along a whole chain are bounded by the allowance that it was given at ingress.
//!
//! A retry is an attempt of a call beyond its first, where a call is made by one attempt of its
//! parent. In every chain the retries, summed over all calls, are at most the allowance; so each
//! place in the call tree is run at most `1 + allowance` times.

mod chain;

use cassiashunt_route::retry::Lending;
use cassiashunt_types::prelude::*;
use chain::{Attempt, Bound, Scene, check, run};

const SEEDS: u64 = 300;

/// A scene whose depth of trouble is drawn by its seed.
fn scene(seed: u64, bound: Bound) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x70_31);
    Scene {
        seed,
        bound,
        fan_out: rng.u64(1..=2),
        leaf_failure: [0.1, 0.5, 1.0][rng.usize(..3)],
        loss: [0.0, 0.05, 0.2][rng.usize(..3)],
        duplication: [0.0, 0.3][rng.usize(..2)],
        kills: rng.u32(..8),
        ..Scene::default()
    }
}

fn first_break(allowance: u32, bound: Bound) -> Option<(u64, String)> {
    (0..SEEDS).find_map(|seed| {
        let history = run(scene(seed, bound));
        let verdict = check(&history.attempts, u64::from(allowance));
        verdict.err().map(|why| (seed, why))
    })
}

#[test]
fn p01_retries_of_a_chain_never_exceed_its_allowance() {
    for allowance in [0, 1, 3, 8] {
        for lending in [Lending::Half, Lending::All, Lending::Nothing] {
            let broken = first_break(allowance, Bound::Split(allowance, lending));
            assert_eq!(broken, None, "allowance {allowance}, {lending:?}");
        }
    }
}

#[test]
fn p01_a_leaf_without_siblings_is_attempted_at_most_once_beyond_the_allowance() {
    for seed in 0..SEEDS {
        let scene = Scene {
            fan_out: 1,
            leaf_failure: 1.0,
            ..scene(seed, Bound::Split(3, Lending::Half))
        };
        let history = run(scene);
        let leaves: Vec<_> = history
            .attempts
            .into_iter()
            .filter(|it| it.is_leaf)
            .collect();
        for it in &leaves {
            let tries = leaves
                .iter()
                .filter(|other| other.chain == it.chain)
                .count();
            assert!(
                tries <= 4,
                "seed {seed}: {tries} leaf attempts in chain {}",
                it.chain
            );
        }
    }
}

#[test]
fn p01_the_allowance_is_used_when_a_leaf_fails() {
    let scene = Scene {
        leaf_failure: 1.0,
        loss: 0.0,
        kills: 0,
        chains: 1,
        resends: 0,
        ..Scene::default()
    };
    let history = run(scene);
    assert!(check(&history.attempts, 3).is_ok());
    assert!(check(&history.attempts, 0).is_err(), "no call was retried");
}

#[test]
fn p01_without_retries_each_call_is_attempted_once() {
    assert_eq!(first_break(0, Bound::None), None);
}

#[test]
fn p01_one_store_for_the_whole_chain_keeps_the_bound_too() {
    assert_eq!(first_break(3, Bound::Shared(3)), None);
}

#[test]
fn p01_a_copied_allowance_breaks_the_bound() {
    assert!(first_break(3, Bound::Copied(3)).is_some());
}

#[test]
fn p01_retries_at_each_hop_break_the_bound() {
    assert!(first_break(3, Bound::EachHop(3)).is_some());
}

#[test]
fn p01_the_checker_rejects_one_retry_too_many() {
    let call = |parent, position| Attempt {
        chain: ChainId(7),
        parent,
        position,
        is_leaf: true,
    };
    let good = [call(1, 2), call(1, 2), call(1, 3)];
    assert!(check(&good, 1).is_ok());
    assert!(check(&good, 0).is_err());
    let spread = [call(1, 2), call(1, 2), call(1, 3), call(1, 3)];
    assert!(
        check(&spread, 1).is_err(),
        "retries of different calls are summed"
    );
}
