//! When a started node may rely on the table that it has read.

use cassiashunt_mesh::FirstComparison;
use cassiashunt_types::prelude::*;

fn with_table() -> FirstComparison {
    let mut comparison = FirstComparison::default();
    comparison.on_table(Time::from_millis(5_000));
    comparison
}

#[test]
fn a_lone_node_waits_for_nobody() {
    let mut comparison = with_table();
    comparison.on_no_peers();
    assert!(comparison.is_over(Time::from_millis(5_000)));
}

#[test]
fn a_peer_without_a_table_or_with_a_newer_one_is_no_comparison() {
    let mut comparison = with_table();
    comparison.on_peer(2, 0);
    comparison.on_peer(2, 3);
    assert!(!comparison.is_over(Time::from_millis(5_010)));
    comparison.on_peer(3, 3);
    assert!(comparison.is_over(Time::from_millis(5_010)));
}

#[test]
fn the_wait_for_a_peer_ends_and_is_counted_from_the_first_table() {
    let mut comparison = FirstComparison::default();
    assert!(!comparison.is_over(Time::from_millis(60_000)));
    comparison.on_table(Time::from_millis(60_000));
    comparison.on_table(Time::from_millis(60_900));
    assert!(!comparison.is_over(Time::from_millis(60_990)));
    assert!(comparison.is_over(Time::from_millis(61_000)));
}
