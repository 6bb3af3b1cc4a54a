//! Changes of evacuations, from the store and from peers.

use cassiashunt_mesh::{EvacuationChange, Evacuations, StoreRevision};
use cassiashunt_types::prelude::*;

fn domain(name: &str) -> FailureDomain {
    FailureDomain::of_name(name)
}

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision::new(era, Revision(revision))
}

fn change(name: &str, at: StoreRevision, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        domain: domain(name),
        at,
        is_evacuated,
    }
}

#[test]
fn a_late_change_ends_no_evacuation_and_begins_none() {
    let mut known = Evacuations::default();
    assert!(known.on_change(change("east", at(0, 5), true)));
    assert!(!known.on_change(change("east", at(0, 4), false)));
    assert!(known.is_evacuated(domain("east")));
    assert!(!known.is_evacuated(domain("west")));
    assert!(known.on_change(change("east", at(0, 6), false)));
    assert!(!known.on_change(change("east", at(0, 5), true)));
    assert!(!known.is_evacuated(domain("east")));
}

#[test]
fn an_item_that_is_written_again_changes_nothing() {
    let mut known = Evacuations::default();
    assert!(known.on_change(change("east", at(0, 5), true)));
    assert!(!known.on_change(change("east", at(0, 6), true)));
    assert!(known.is_evacuated(domain("east")));
}

#[test]
fn a_listing_takes_back_what_it_lacks_unless_that_is_newer() {
    let mut known = Evacuations::default();
    known.on_change(change("east", at(0, 5), true));
    known.on_change(change("north", at(0, 9), true));
    let listed = [(domain("west"), Revision(7))];
    let changed = known.on_listing(at(0, 8), &listed);
    assert_eq!(changed.len(), 2, "{changed:?}");
    assert!(!known.is_evacuated(domain("east")));
    assert!(known.is_evacuated(domain("west")));
    assert!(
        known.is_evacuated(domain("north")),
        "newer than the listing"
    );
}

#[test]
fn a_store_restored_from_an_older_copy_ends_no_evacuation() {
    let mut known = Evacuations::default();
    known.on_change(change("east", at(0, 50), true));
    assert!(known.on_listing(at(1, 10), &[]).is_empty());
    assert!(known.is_evacuated(domain("east")));
    // The operators take it back in the restored store: they write it, and delete it.
    assert!(!known.on_change(change("east", at(1, 11), true)));
    assert!(known.on_change(change("east", at(1, 12), false)));
    assert!(!known.is_evacuated(domain("east")));
}

#[test]
fn nodes_that_exchange_their_changes_in_any_order_agree() {
    let changes = [
        change("east", at(0, 5), true),
        change("west", at(0, 6), true),
        change("east", at(0, 7), false),
        change("west", at(1, 3), true),
        change("east", at(1, 4), true),
    ];
    let mut forward = Evacuations::default();
    let mut backward = Evacuations::default();
    changes.iter().for_each(|it| {
        forward.on_change(*it);
    });
    changes.iter().rev().for_each(|it| {
        backward.on_change(*it);
    });
    assert!(forward.changes().eq(backward.changes()));
}

#[test]
fn domains_that_were_taken_back_are_forgotten_but_no_evacuation_is() {
    let mut known = Evacuations::default();
    known.on_change(change("east", at(0, 1), true));
    for number in 0..200 {
        known.on_change(change(&format!("d-{number}"), at(0, 2 + number), false));
    }
    assert!(known.changes().count() <= 40);
    assert!(known.is_evacuated(domain("east")));
}
