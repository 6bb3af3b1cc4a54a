//! How long keys may be relied on.

use cassiashunt_mesh::{Freshness, ProofPace};
use cassiashunt_types::prelude::*;

const BOUND: Duration = Duration::from_millis(5_000);

#[test]
fn nothing_holds_before_the_first_proof() {
    assert!(!Freshness::new(BOUND).holds(Time::from_millis(10)));
}

#[test]
fn a_proof_counts_from_its_question_and_not_from_its_answer() {
    let mut freshness = Freshness::new(BOUND);
    freshness.prove(Time::from_millis(1_000));
    assert!(freshness.holds(Time::from_millis(5_800)));
    assert!(!freshness.holds(Time::from_millis(6_000)));
}

#[test]
fn an_older_proof_takes_nothing_back() {
    let mut freshness = Freshness::new(BOUND);
    freshness.prove(Time::from_millis(9_000));
    freshness.prove(Time::from_millis(2_000));
    assert_eq!(
        freshness.age(Time::from_millis(9_500)),
        Some(Duration::from_millis(500))
    );
}

#[test]
fn a_small_fleet_asks_the_store_less_than_once_in_two_seconds_a_node() {
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
fn proofs_grow_no_older_in_a_small_fleet() {
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
fn a_node_is_on_its_peers_word_once_the_store_alone_is_silent() {
    let mut freshness = Freshness::new(BOUND);
    let answered = Some(Time::from_millis(1_000));
    let now = Time::from_millis(4_500);
    freshness.prove(Time::from_millis(1_000));
    assert!(
        !freshness.is_proven_by_peers_only(now, answered),
        "the store answers nobody"
    );
    freshness.prove(Time::from_millis(4_000));
    assert!(freshness.is_proven_by_peers_only(now, answered));
    assert!(!freshness.is_proven_by_peers_only(now, Some(Time::from_millis(2_000))));
}
