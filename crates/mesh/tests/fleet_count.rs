//! Over how many nodes a started node divides the limits.

use cassiashunt_mesh::FleetCount;
use cassiashunt_types::prelude::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against a node that takes the whole limit since it has not read the others' entries.
#[test]
fn the_count_is_unknown_until_entries_and_the_remembered_count_were_read() {
    let mut count = FleetCount::default();
    assert_eq!(count.nodes(at(60_000), 1), None);
    count.on_entries(at(60_000));
    assert_eq!(count.nodes(at(60_000), 1), None);
    count.on_remembered(at(61_000), 0);
    assert_eq!(count.nodes(at(61_000), 1), Some(1));
    assert_eq!(count.known_since(), Some(at(61_000)));
}

/// Guards against nodes that all start in an outage in which all entries expired, and that each count
/// only those that have written theirs again.
#[test]
fn a_started_node_counts_no_fewer_nodes_than_there_were_until_entries_are_back() {
    let mut count = FleetCount::default();
    count.on_remembered(at(1_000), 14);
    count.on_entries(at(2_000));
    assert_eq!(count.nodes(at(2_000), 1), Some(14));
    assert_eq!(count.nodes(at(9_000), 5), Some(14));
    assert_eq!(count.nodes(at(9_000), 20), Some(20), "the fleet has grown");
}

/// Guards against the opposite error: nodes that are gone lower all limits for good.
#[test]
fn nodes_that_do_not_come_back_are_not_counted_for_long() {
    let mut count = FleetCount::default();
    count.on_remembered(at(1_000), 14);
    count.on_entries(at(2_000));
    assert_eq!(count.nodes(at(10_000), 5), Some(5));
}

#[test]
fn entries_of_a_peer_count_where_the_store_does_not_answer() {
    let mut count = FleetCount::default();
    count.on_entries_of_peer(at(1_000));
    assert_eq!(count.nodes(at(1_000), 6), Some(6));
    count.on_remembered(at(1_200), 14);
    assert_eq!(count.nodes(at(1_200), 6), Some(14));
    assert_eq!(count.known_since(), Some(at(1_000)), "it was known before");
}
