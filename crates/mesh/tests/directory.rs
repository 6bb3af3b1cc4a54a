//! Changes that arrive from the store and from peers, late, twice and in any order.

use cassiashunt_property::check;
use std::collections::BTreeMap;

use cassiashunt_mesh::{Directory, DirectoryUpdate, EntryChange, StoreRevision};
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
    update_in_era(0, at, is_full, changes)
}

fn since(revision: u64) -> StoreRevision {
    StoreRevision::new(0, Revision(revision))
}

fn update_in_era(era: u64, at: u64, is_full: bool, changes: &[EntryChange]) -> DirectoryUpdate {
    DirectoryUpdate {
        revision: StoreRevision::new(era, Revision(at)),
        is_full,
        changes: changes.to_vec(),
    }
}

/// Lets a node ask another for what it lacks.
fn sync(node: &mut Directory, peer: &Directory) {
    let (own, known) = (node.revision(), peer.revision());
    if known > own {
        node.on_update(peer.update_since(own));
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
    let all = directory.update_since(since(0));
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
    assert!(directory.update_since(since(2)).is_full);
    assert!(!directory.update_since(since(5)).is_full);
    for revision in 6..3_000 {
        directory.on_update(update(revision, false, &[put("b", revision)]));
    }
    assert!(directory.update_since(since(6)).is_full);
    assert!(!directory.update_since(since(2_990)).is_full);
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
                1 if nodes[at].revision().revision > Revision(0) => {
                    let since = nodes[at].revision().revision;
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

#[test]
fn a_full_list_of_a_new_era_replaces_entries_with_higher_revisions() {
    let mut directory = Directory::default();
    directory.on_update(update(9, true, &[put("a", 3), put("b", 9)]));
    let list = [put("a", 2), put("c", 5)];
    let changes = directory.on_update(update_in_era(1, 5, true, &list));
    assert_eq!(changes, [put("a", 2), put("c", 5), removal("b", 5)]);
    assert_eq!(
        directory.on_update(update_in_era(1, 6, false, &[put("b", 6)])),
        [put("b", 6)],
        "a revision below one of the era before"
    );
}

#[test]
fn an_entry_with_the_same_value_in_a_new_era_is_no_change() {
    let mut directory = Directory::default();
    directory.on_update(update(9, true, &[put("a", 3)]));
    let changes = directory.on_update(update_in_era(1, 5, true, &[put("a", 3)]));
    assert!(changes.is_empty());
    assert_eq!(directory.revision(), StoreRevision::new(1, Revision(5)));
}

#[test]
fn an_update_of_an_older_era_changes_nothing() {
    let mut directory = Directory::default();
    directory.on_update(update_in_era(1, 5, true, &[put("a", 3)]));
    let known = entries(&directory);
    for is_full in [false, true] {
        let late = update(90, is_full, &[put("a", 80), put("b", 90)]);
        assert!(directory.on_update(late).is_empty());
    }
    assert_eq!(entries(&directory), known);
}

#[test]
fn only_a_full_list_starts_a_new_era() {
    let mut directory = Directory::default();
    directory.on_update(update(9, true, &[put("a", 3)]));
    let partial = update_in_era(1, 7, false, &[put("b", 7)]);
    assert!(directory.on_update(partial).is_empty());
    assert_eq!(directory.revision(), StoreRevision::new(0, Revision(9)));
}

#[test]
fn a_node_of_an_older_era_gets_all_entries() {
    let (mut old, mut new) = (Directory::default(), Directory::default());
    old.on_update(update(9, true, &[put("a", 3), put("b", 9)]));
    new.on_update(update_in_era(1, 4, true, &[put("a", 3)]));
    new.on_update(update_in_era(1, 6, false, &[put("c", 6)]));
    sync(&mut old, &new);
    assert_eq!(entries(&old), entries(&new));
    assert_eq!(old.revision(), new.revision());
}

#[test]
fn nodes_of_different_eras_converge_to_the_entries_of_the_newest() {
    check(|u| {
        // The store's history in its current era, and copies of it to restore.
        let mut stored: BTreeMap<String, u64> = BTreeMap::new();
        let mut history: Vec<EntryChange> = Vec::new();
        let (mut era, mut revision) = (0, 1);
        let mut copy = (stored.clone(), history.clone(), revision);
        let mut nodes = vec![Directory::default(); 4];
        let mut in_flight: Vec<DirectoryUpdate> = Vec::new();
        for _ in 1..u.int_in_range(2..=80)? {
            let at = u.int_in_range(0..=3)?;
            match u.int_in_range(0..=8)? {
                0 => copy = (stored.clone(), history.clone(), revision),
                1 => {
                    (stored, history, revision) = copy.clone();
                    era += 1;
                }
                2 | 3 => {
                    revision += 1;
                    let name = ["a", "b", "c", "d", "e"][u.int_in_range(0..=4)?];
                    if u.ratio(1, 3)? && stored.remove(name).is_some() {
                        history.push(removal(name, revision));
                    } else {
                        stored.insert(name.into(), revision);
                        history.push(put(name, revision));
                    }
                }
                4 => {
                    let all: Vec<_> = stored.iter().map(|(name, at)| put(name, *at)).collect();
                    nodes[at].on_update(update_in_era(era, revision, true, &all));
                }
                5 if nodes[at].revision().era == era => {
                    let since = nodes[at].revision().revision;
                    let newer = history.iter().filter(|change| change.revision > since);
                    let newer: Vec<_> = newer.cloned().collect();
                    nodes[at].on_update(update_in_era(era, revision, false, &newer));
                }
                6 => {
                    let from = u.int_in_range(0..=3)?;
                    let peer = nodes[from].clone();
                    sync(&mut nodes[at], &peer);
                }
                7 => {
                    let since = Revision(u.int_in_range(0..=revision)?);
                    let since = StoreRevision::new(nodes[at].revision().era, since);
                    in_flight.push(nodes[at].update_since(since));
                }
                // An answer that arrives late.
                _ => {
                    let known = nodes[at].revision();
                    let late = in_flight.iter().position(|it| it.revision.era < known.era);
                    if let Some(late) = late {
                        let before = entries(&nodes[at]);
                        assert!(nodes[at].on_update(in_flight.swap_remove(late)).is_empty());
                        assert_eq!(entries(&nodes[at]), before);
                    }
                }
            }
        }
        let all: Vec<_> = stored.iter().map(|(name, at)| put(name, *at)).collect();
        nodes[0].on_update(update_in_era(era, revision, true, &all));
        let reference = nodes[0].clone();
        for node in &mut nodes {
            sync(node, &reference);
            assert_eq!(entries(node), stored_entries(&stored));
            assert_eq!(node.revision(), reference.revision());
        }
        Ok(())
    });
}

fn stored_entries(stored: &BTreeMap<String, u64>) -> BTreeMap<String, Revision> {
    let entries = stored.iter();
    entries
        .map(|(name, at)| (name.clone(), Revision(*at)))
        .collect()
}

fn entries(directory: &Directory) -> BTreeMap<String, Revision> {
    let mut entries = BTreeMap::new();
    // A node that knows nothing gets all entries, or all changes since the first revision.
    let start = StoreRevision::new(directory.revision().era, Revision(0));
    for change in directory.update_since(start).changes {
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
    assert_eq!(directory.update_since(since(5)).changes, [empty]);
}

/// A node asked for changes by a revision of the era before, and got some of a new era without the
/// earlier ones of that era.
#[test]
fn a_request_by_a_revision_of_an_older_era_hides_no_entry_of_the_new_one() {
    let (mut asker, mut peer) = (Directory::default(), Directory::default());
    let old = update(500, true, &[put("a", 400)]);
    asker.on_update(old.clone());
    peer.on_update(old);
    peer.on_update(update(505, false, &[put("a", 505)]));
    // Both are of one era: the node asks for what changed since 500.
    let asked = asker.revision();
    // The store comes back from a copy before the peer reads that. Both read the new era.
    asker.on_update(update_in_era(1, 450, true, &[put("a", 400)]));
    peer.on_update(update_in_era(1, 450, true, &[put("a", 400)]));
    peer.on_update(update_in_era(1, 480, false, &[put("b", 480)]));
    peer.on_update(update_in_era(1, 510, false, &[put("c", 510)]));
    asker.on_update(peer.update_since(asked));
    // It asks again as long as it knows of something newer.
    sync(&mut asker, &peer);
    assert_eq!(entries(&asker), entries(&peer));
}
