//! Which table a node has in force, and whether it is the store's newest, across restores.

use cassiashunt_mesh::{KnownTable, StoreRevision};
use cassiashunt_property::check;
use cassiashunt_types::prelude::*;

fn at(era: u64, revision: u64) -> StoreRevision {
    StoreRevision::new(era, Revision(revision))
}

fn table(era: u64, revision: u64, version: u64) -> KnownTable {
    KnownTable {
        at: at(era, revision),
        version,
        ..KnownTable::default()
    }
}

#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    assert!(at(1, 3) > at(0, 90));
    assert!(at(1, 4) > at(1, 3));
    let mut known = table(0, 90, 7);
    assert!(known.on_item(at(1, 3)));
    assert!(!known.on_item(at(0, 95)), "a late item of the era before");
    assert_eq!(known.at, at(1, 3));
}

#[test]
fn an_older_version_is_not_put_in_force_however_new_its_position() {
    let mut known = table(0, 90, 7);
    assert!(known.on_item(at(1, 3)));
    assert!(!known.on_table(5));
    assert!(!known.on_table(7));
    assert!(known.on_table(8));
    assert_eq!(known, table(1, 3, 8));
}

#[test]
fn a_table_that_only_a_peer_still_has_is_requested_from_it() {
    let fresh = table(1, 3, 5);
    assert!(fresh.is_behind(table(1, 3, 7)));
    assert!(
        fresh.is_behind(table(0, 90, 7)),
        "a peer that the store does not answer"
    );
    assert!(!fresh.is_behind(table(0, 90, 5)));
    assert!(!table(1, 3, 7).is_behind(fresh));
}

#[test]
fn a_proof_of_the_same_revision_in_another_era_proves_nothing() {
    let known = table(1, 3, 7);
    assert!(known.is_proven_by(table(1, 3, 7)));
    assert!(known.is_proven_by(table(1, 3, 5)));
    assert!(!known.is_proven_by(table(0, 3, 7)));
    assert!(!known.is_proven_by(table(2, 3, 7)));
    assert!(
        !known.is_proven_by(table(1, 3, 8)),
        "the peer has a newer one"
    );
}

/// Guards against proofs by an item that was read but could not be put in force.
#[test]
fn a_refused_item_proves_nothing_until_a_newer_one_is_read() {
    let mut known = table(0, 90, 7);
    assert!(known.on_item(at(0, 91)));
    known.on_refused(at(0, 91));
    assert!(!known.is_comparable());
    assert!(!known.is_proven_by(table(0, 91, 7)));
    assert!(
        !known.is_proven_by(table(0, 91, 9)),
        "the peer has the item in force"
    );
    assert!(!known.on_item(at(0, 91)));
    assert!(!known.is_comparable(), "the same item, read again");
    assert!(known.on_item(at(0, 92)));
    assert!(known.on_table(8));
    assert!(known.is_comparable());
    assert!(known.is_proven_by(table(0, 92, 8)));
}

#[test]
fn a_refused_table_that_the_store_has_lost_leaves_the_newest_item_comparable() {
    let mut known = table(1, 3, 7);
    known.on_refused(at(0, 90));
    assert!(known.is_comparable());
}

#[test]
fn nothing_proves_a_table_before_the_first_is_in_force() {
    let mut known = KnownTable::default();
    assert!(known.on_item(at(0, 4)));
    assert!(!known.is_comparable());
    assert!(!known.is_proven_by(table(0, 4, 0)));
}

#[test]
fn nodes_that_read_and_exchange_tables_in_any_order_never_go_back_and_agree_in_the_end() {
    check(|u| {
        // The store's item: its revision and the operators' version of its table.
        let (mut era, mut revision, mut item, mut newest_version) = (0, 1, (1, 1), 1);
        let mut copy = (revision, item);
        let mut nodes = [KnownTable::default(); 3];
        for _ in 0..u.int_in_range(1..=60)? {
            let node = u.int_in_range(0..=2)?;
            let before = nodes[node];
            match u.int_in_range(0..=4)? {
                0 => copy = (revision, item),
                1 => {
                    (revision, item) = copy;
                    era += 1;
                }
                2 => {
                    newest_version += u.int_in_range(1..=3)?;
                    revision += u.int_in_range(1..=3)?;
                    item = (revision, newest_version);
                }
                3 => {
                    if nodes[node].on_item(at(era, item.0)) {
                        nodes[node].on_table(item.1);
                    }
                }
                _ => {
                    let peer = nodes[u.int_in_range(0..=2)?];
                    exchange(&mut nodes[node], peer);
                }
            }
            assert!(nodes[node].at >= before.at);
            assert!(nodes[node].version >= before.version);
        }
        let known = nodes.iter().map(|node| node.version).max().unwrap_or(0);
        for node in &mut nodes {
            if node.on_item(at(era, item.0)) {
                node.on_table(item.1);
            }
        }
        for _ in 0..nodes.len() {
            for node in 0..nodes.len() {
                let peer = nodes[(node + 1) % nodes.len()];
                exchange(&mut nodes[node], peer);
            }
        }
        for node in nodes {
            assert_eq!(node, table(era, item.0, known.max(item.1)));
            assert!(node.is_proven_by(nodes[0]));
        }
        Ok(())
    });
}

/// A node receives the table of a peer if it lacks it.
fn exchange(node: &mut KnownTable, peer: KnownTable) {
    if node.is_behind(peer) {
        node.on_item(peer.at);
        node.on_table(peer.version);
    }
}
