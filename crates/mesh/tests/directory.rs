//! Changes that arrive from the store and from peers, late, twice and in any order.

use cassiashunt_property::check;
use std::collections::BTreeMap;

use cassiashunt_mesh::{Directory, DirectoryUpdate, EntryChange};
use cassiashunt_types::prelude::*;

fn put(name: &str, revision: u64) -> EntryChange {
    EntryChange {
        name: name.into(),
        revision: Revision(revision),
        value: Some(format!("{name} at {revision}").into_bytes()),
    }
}

fn removal(name: &str, revision: u64) -> EntryChange {
    EntryChange {
        value: None,
        ..put(name, revision)
    }
}

fn update(at: u64, is_full: bool, changes: &[EntryChange]) -> DirectoryUpdate {
    DirectoryUpdate {
        revision: Revision(at),
        is_full,
        changes: changes.to_vec(),
    }
}

#[test]
fn an_older_change_does_not_restore_a_removed_entry() {
    let mut directory = Directory::default();
    directory.on_update(update(5, true, &[put("a", 3), put("b", 5)]));
    assert_eq!(
        directory
            .on_update(update(7, false, &[removal("a", 7)]))
            .len(),
        1
    );
    // An update from a peer that is behind, and a full read that began before the removal.
    assert!(
        directory
            .on_update(update(5, false, &[put("a", 3)]))
            .is_empty()
    );
    assert!(
        directory
            .on_update(update(6, true, &[put("a", 3), put("b", 5)]))
            .is_empty()
    );
    let all = directory.update_since(Revision(0));
    assert!(
        all.changes
            .iter()
            .all(|change| change.name != "a" || change.value.is_none())
    );
    // An entry that is added again after the removal has a higher revision.
    assert_eq!(
        directory.on_update(update(9, false, &[put("a", 9)])),
        [put("a", 9)]
    );
}

#[test]
fn a_full_update_removes_missing_entries() {
    let mut directory = Directory::default();
    directory.on_update(update(5, true, &[put("a", 3), put("b", 5)]));
    let changes = directory.on_update(update(8, true, &[put("b", 5), put("c", 8)]));
    assert_eq!(changes, [put("c", 8), removal("a", 8)]);
}

#[test]
fn a_full_update_does_not_remove_newer_entries() {
    let mut directory = Directory::default();
    directory.on_update(update(5, true, &[put("a", 3)]));
    directory.on_update(update(9, false, &[put("b", 9)]));
    assert!(
        directory
            .on_update(update(7, true, &[put("a", 3)]))
            .is_empty()
    );
}

#[test]
fn a_node_that_is_far_behind_gets_all_entries() {
    let mut directory = Directory::default();
    directory.on_update(update(5, true, &[put("a", 3)]));
    assert!(directory.update_since(Revision(2)).is_full);
    assert!(!directory.update_since(Revision(5)).is_full);
    for revision in 6..3_000 {
        directory.on_update(update(revision, false, &[put("b", revision)]));
    }
    assert!(directory.update_since(Revision(6)).is_full);
    assert!(!directory.update_since(Revision(2_990)).is_full);
}

#[test]
fn nodes_that_exchange_updates_in_any_order_converge_to_the_same_entries() {
    check(|u| {
        // The store's history, and nodes that read it or query each other at random times.
        let mut stored: BTreeMap<String, u64> = BTreeMap::new();
        let mut history = Vec::new();
        let mut nodes = vec![Directory::default(); 4];
        for revision in 1..u.int_in_range(2..=60)? {
            let name = ["a", "b", "c", "d", "e"][u.int_in_range(0..=4)?];
            if u.ratio(1, 3)? && stored.contains_key(name) {
                stored.remove(name);
                history.push(removal(name, revision));
            } else {
                stored.insert(name.into(), revision);
                history.push(put(name, revision));
            }
            let at = u.int_in_range(0..=3)?;
            match u.int_in_range(0..=3)? {
                0 => {
                    let all: Vec<_> = stored.iter().map(|(name, at)| put(name, *at)).collect();
                    nodes[at].on_update(update(revision, true, &all));
                }
                1 if nodes[at].revision() > Revision(0) => {
                    let since = nodes[at].revision();
                    let newer: Vec<_> = history
                        .iter()
                        .filter(|change| change.revision > since)
                        .cloned()
                        .collect();
                    nodes[at].on_update(update(revision, false, &newer));
                }
                2 => {
                    let from = u.int_in_range(0..=3)?;
                    let update = nodes[from].update_since(nodes[at].revision());
                    nodes[at].on_update(update);
                }
                _ => {}
            }
        }
        let newest = (0..4)
            .max_by_key(|at| nodes[*at].revision())
            .expect("there are four nodes");
        let reference = nodes[newest].clone();
        for node in &mut nodes {
            let since = node.revision();
            node.on_update(reference.update_since(since));
            assert_eq!(
                entries(node),
                entries(&reference),
                "since {since:?} of {:?}",
                reference.revision()
            );
        }
        Ok(())
    });
}

fn entries(directory: &Directory) -> BTreeMap<String, Revision> {
    let mut entries = BTreeMap::new();
    // A node that knows nothing gets all entries, or all changes since the first revision.
    for change in directory.update_since(Revision(0)).changes {
        match change.value {
            Some(_) => entries.insert(change.name, change.revision),
            None => entries.remove(&change.name),
        };
    }
    entries
}

#[test]
fn an_entry_too_long_for_a_node_replaces_the_older_one_and_takes_no_memory() {
    let mut directory = Directory::default();
    directory.on_update(update(5, true, &[put("a", 3), put("b", 5)]));
    let long = EntryChange {
        value: Some(vec![b'x'; 60_000]),
        ..put("a", 7)
    };
    let applied = directory.on_update(update(7, false, &[long]));
    let empty = EntryChange {
        value: Some(Vec::new()),
        ..put("a", 7)
    };
    assert_eq!(applied, std::slice::from_ref(&empty));
    assert_eq!(directory.update_since(Revision(5)).changes, [empty]);
}
