//! When a started node may rely on the table that it has read.

use cassiashunt_mesh::{FirstComparison, FleetCount};
use cassiashunt_types::prelude::*;

/// All nodes of the fleet, which are known.
const NODES: usize = 3;

/// A fleet that was met at this time.
fn met(at: Time) -> FleetCount {
    let mut fleet = FleetCount::default();
    fleet.on_entries(at);
    fleet.on_remembered(at, NODES);
    fleet
}

fn with_table() -> FirstComparison {
    let mut comparison = FirstComparison::default();
    comparison.on_table(Time::from_millis(5_000));
    comparison
}

#[test]
fn a_lone_node_waits_for_nobody() {
    let at = Time::from_millis(5_000);
    let mut fleet = FleetCount::default();
    fleet.on_entries(at);
    assert!(
        !with_table().is_over(at, &fleet, 1),
        "it may have been one of many"
    );
    fleet.on_remembered(at, 0);
    assert!(with_table().is_over(at, &fleet, 1));
}

#[test]
fn a_node_whose_peers_have_lost_their_entries_is_not_alone() {
    let at = Time::from_millis(5_000);
    assert!(!with_table().is_over(at, &met(at), 1));
}

#[test]
fn a_peer_without_a_table_or_with_a_newer_one_is_no_comparison() {
    let fleet = met(Time::from_millis(5_000));
    let mut comparison = with_table();
    comparison.on_peer(2, 0);
    comparison.on_peer(2, 3);
    assert!(!comparison.is_over(Time::from_millis(5_010), &fleet, NODES));
    comparison.on_peer(3, 3);
    assert!(comparison.is_over(Time::from_millis(5_010), &fleet, NODES));
}

#[test]
fn the_wait_for_a_peer_ends_and_is_counted_from_the_first_table() {
    let fleet = met(Time::from_millis(5_000));
    let mut comparison = FirstComparison::default();
    assert!(!comparison.is_over(Time::from_millis(60_000), &fleet, NODES));
    comparison.on_table(Time::from_millis(60_000));
    comparison.on_table(Time::from_millis(60_900));
    assert!(!comparison.is_over(Time::from_millis(60_990), &fleet, NODES));
    assert!(comparison.is_over(Time::from_millis(61_000), &fleet, NODES));
}

/// Guards against a wait that is over before the node knows which peers there are to wait for.
#[test]
fn the_wait_for_a_peer_begins_when_the_peers_are_known() {
    let comparison = with_table();
    let unmet = FleetCount::default();
    assert!(!comparison.is_over(Time::from_millis(60_000), &unmet, 1));
    let fleet = met(Time::from_millis(60_000));
    assert!(!comparison.is_over(Time::from_millis(60_990), &fleet, NODES));
    assert!(comparison.is_over(Time::from_millis(61_000), &fleet, NODES));
}
