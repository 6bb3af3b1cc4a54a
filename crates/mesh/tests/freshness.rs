//! How long keys may be accepted after a proof of the table, and the pace of proofs.

use cassiashunt_mesh::{Freshness, ProofPace};
use cassiashunt_types::prelude::*;

const KEY_WITHDRAWAL_BOUND: Duration = Duration::from_millis(5_000);

#[test]
fn keys_are_refused_before_the_first_proof() {
    assert!(!Freshness::new(KEY_WITHDRAWAL_BOUND).holds(Time::from_millis(10)));
}

#[test]
fn a_proof_is_dated_by_its_query_and_not_by_its_answer() {
    let mut freshness = Freshness::new(KEY_WITHDRAWAL_BOUND);
    freshness.prove(Time::from_millis(1_000));
    assert!(freshness.holds(Time::from_millis(5_800)));
    assert!(!freshness.holds(Time::from_millis(6_000)));
}

#[test]
fn a_changed_bound_applies_to_proofs_from_before() {
    let mut freshness = Freshness::new(KEY_WITHDRAWAL_BOUND);
    freshness.prove(Time::from_millis(1_000));
    freshness.set_bound(Duration::from_millis(2_000));
    assert!(freshness.holds(Time::from_millis(2_800)));
    assert!(!freshness.holds(Time::from_millis(3_000)));
}

#[test]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut freshness = Freshness::new(KEY_WITHDRAWAL_BOUND);
    freshness.prove(Time::from_millis(9_000));
    freshness.prove(Time::from_millis(2_000));
    assert_eq!(
        freshness.age(Time::from_millis(9_500)),
        Some(Duration::from_millis(500))
    );
}

#[test]
fn a_small_fleet_queries_the_store_less_than_once_in_two_seconds_per_node() {
    for nodes in 4..200 {
        let pace = ProofPace::of(nodes, 2);
        let calls_per_node = 2.0 / pace.prove_interval.as_secs_f64() / nodes as f64;
        assert!(
            calls_per_node < 0.5,
            "{nodes} nodes: {calls_per_node} calls/s"
        );
    }
}

#[test]
fn proofs_are_as_recent_in_a_small_fleet() {
    for nodes in 1..200 {
        let pace = ProofPace::of(nodes, 2);
        assert!(
            pace.prove_interval + pace.ask_interval <= Duration::from_millis(1_700),
            "{nodes} nodes"
        );
        assert!(
            pace.ask_interval >= Duration::from_millis(400),
            "{nodes} nodes"
        );
    }
}

#[test]
fn a_node_is_proven_by_peers_only_once_the_store_answers_the_peers_but_not_the_node() {
    let mut freshness = Freshness::new(KEY_WITHDRAWAL_BOUND);
    let answered = Some(Time::from_millis(1_000));
    let now = Time::from_millis(4_500);
    freshness.prove(Time::from_millis(1_000));
    assert!(
        !freshness.is_proven_by_peers_only(now, answered),
        "the store answers no node"
    );
    freshness.prove(Time::from_millis(4_000));
    assert!(freshness.is_proven_by_peers_only(now, answered));
    assert!(!freshness.is_proven_by_peers_only(now, Some(Time::from_millis(2_000))));
}
