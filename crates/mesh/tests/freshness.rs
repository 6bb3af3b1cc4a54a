//! How long keys may be relied on.

use cassiashunt_mesh::Freshness;
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
