//! Entries that come from the store and from peers, late, twice and in any order.

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

fn gone(name: &str, revision: u64) -> EntryChange {
    EntryChange {
        value: None,
        ..put(name, revision)
    }
}

fn news(at: u64, is_full: bool, changes: &[EntryChange]) -> DirectoryUpdate {
    DirectoryUpdate {
        revision: Revision(at),
        is_full,
        changes: changes.to_vec(),
    }
}

#[test]
fn an_older_word_does_not_bring_a_server_back_that_has_left() {
    let mut directory = Directory::default();
    directory.on_update(news(5, true, &[put("a", 3), put("b", 5)]));
    assert_eq!(
        directory.on_update(news(7, false, &[gone("a", 7)])).len(),
        1
    );
    // A peer that is behind, and a reading that began before the removal.
    assert!(
        directory
            .on_update(news(5, false, &[put("a", 3)]))
            .is_empty()
    );
    assert!(
        directory
            .on_update(news(6, true, &[put("a", 3), put("b", 5)]))
            .is_empty()
    );
    let all = directory.update_since(Revision(0));
    assert!(
        all.changes
            .iter()
            .all(|change| change.name != "a" || change.value.is_none())
    );
    // Its next start is a newer word.
    assert_eq!(
        directory.on_update(news(9, false, &[put("a", 9)])),
        [put("a", 9)]
    );
}

#[test]
fn a_reading_of_all_finds_what_is_gone() {
    let mut directory = Directory::default();
    directory.on_update(news(5, true, &[put("a", 3), put("b", 5)]));
    let changes = directory.on_update(news(8, true, &[put("b", 5), put("c", 8)]));
    assert_eq!(changes, [put("c", 8), gone("a", 8)]);
}

#[test]
fn a_reading_does_not_remove_what_came_after_it() {
    let mut directory = Directory::default();
    directory.on_update(news(5, true, &[put("a", 3)]));
    directory.on_update(news(9, false, &[put("b", 9)]));
    assert!(
        directory
            .on_update(news(7, true, &[put("a", 3)]))
            .is_empty()
    );
}

#[test]
fn a_node_that_is_far_behind_gets_all_entries() {
    let mut directory = Directory::default();
    directory.on_update(news(5, true, &[put("a", 3)]));
    assert!(directory.update_since(Revision(2)).is_full);
    assert!(!directory.update_since(Revision(5)).is_full);
    for revision in 6..3_000 {
        directory.on_update(news(revision, false, &[put("b", revision)]));
    }
    assert!(directory.update_since(Revision(6)).is_full);
    assert!(!directory.update_since(Revision(2_990)).is_full);
}

#[test]
fn nodes_that_pass_news_on_in_any_order_come_to_the_same_entries() {
    check(|u| {
        // The store's history, and nodes that read it or ask each other at odd moments.
        let mut truth: BTreeMap<String, u64> = BTreeMap::new();
        let mut history = Vec::new();
        let mut nodes = vec![Directory::default(); 4];
        for revision in 1..u.int_in_range(2..=60)? {
            let name = ["a", "b", "c", "d", "e"][u.int_in_range(0..=4)?];
            if u.ratio(1, 3)? && truth.contains_key(name) {
                truth.remove(name);
                history.push(gone(name, revision));
            } else {
                truth.insert(name.into(), revision);
                history.push(put(name, revision));
            }
            let at = u.int_in_range(0..=3)?;
            match u.int_in_range(0..=3)? {
                0 => {
                    let all: Vec<_> = truth.iter().map(|(name, at)| put(name, *at)).collect();
                    nodes[at].on_update(news(revision, true, &all));
                }
                1 if nodes[at].revision() > Revision(0) => {
                    let since = nodes[at].revision();
                    let newer: Vec<_> = history
                        .iter()
                        .filter(|change| change.revision > since)
                        .cloned()
                        .collect();
                    nodes[at].on_update(news(revision, false, &newer));
                }
                2 => {
                    let from = u.int_in_range(0..=3)?;
                    let told = nodes[from].update_since(nodes[at].revision());
                    nodes[at].on_update(told);
                }
                _ => {}
            }
        }
        let newest = (0..4)
            .max_by_key(|at| nodes[*at].revision())
            .expect("four nodes");
        let told = nodes[newest].clone();
        for node in &mut nodes {
            let since = node.revision();
            node.on_update(told.update_since(since));
            assert_eq!(
                entries(node),
                entries(&told),
                "since {since:?} of {:?}",
                told.revision()
            );
        }
        Ok(())
    });
}

fn entries(directory: &Directory) -> BTreeMap<String, Revision> {
    let mut entries = BTreeMap::new();
    // An asker that knows nothing gets all entries, or all changes since the beginning.
    for change in directory.update_since(Revision(0)).changes {
        match change.value {
            Some(_) => entries.insert(change.name, change.revision),
            None => entries.remove(&change.name),
        };
    }
    entries
}
