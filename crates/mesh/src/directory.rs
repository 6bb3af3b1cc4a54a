//! Which nodes are there, as entries that a few nodes read in the store and pass on.
//!
//! Every entry and every removal bears the store's revision, so that they may come from anyone, late
//! or twice: the newest revision counts.

use std::collections::{BTreeMap, HashSet, VecDeque};

use cassiashunt_types::prelude::*;

/// Changes that are kept for nodes that ask for what is new to them; a node that is further behind
/// gets all entries.
const KEPT: usize = 1_024;

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChange {
    /// The node's name.
    pub name: String,
    /// The store's revision of the change.
    pub revision: Revision,
    /// The entry as it is written; nothing where it is gone.
    pub value: Option<Vec<u8>>,
}

/// Changes for a node that has all of them up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// The revision up to which these changes are complete.
    pub revision: Revision,
    /// Whether these are all entries; names that are not among them are gone.
    pub is_full: bool,
    /// The changes.
    pub changes: Vec<EntryChange>,
}

/// All entries as far as they are known.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    revision: Revision,
    entries: BTreeMap<String, (Revision, Vec<u8>)>,
    /// The last changes, oldest first, and the revision up to which they are incomplete.
    log: VecDeque<EntryChange>,
    floor: Revision,
}

impl Directory {
    /// The revision of the store up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes news in. Returns the changes that were new.
    pub fn on_update(&mut self, news: DirectoryUpdate) -> Vec<EntryChange> {
        let mut changes = news.changes;
        if news.is_full {
            let listed: HashSet<_> = changes.iter().map(|change| &change.name).collect();
            let entries = self.entries.iter();
            let missing = entries.filter(|(name, (revision, _))| {
                *revision <= news.revision && !listed.contains(name)
            });
            let gone: Vec<_> = missing
                .map(|(name, _)| EntryChange {
                    name: name.clone(),
                    revision: news.revision,
                    value: None,
                })
                .collect();
            changes.extend(gone);
        }
        let new: Vec<_> = changes
            .into_iter()
            .filter(|change| self.apply(change))
            .collect();
        if news.is_full && self.revision < news.revision {
            // What came and went in between was not seen; others may have seen it come.
            self.floor = self.floor.max(news.revision);
        }
        self.revision = self.revision.max(news.revision);
        new
    }

    /// What is new to a node that knows all changes up to `since`.
    #[must_use]
    pub fn update_since(&self, since: Revision) -> DirectoryUpdate {
        let is_full = since < self.floor;
        let changes = if is_full {
            let entries = self.entries.iter();
            let all = entries.map(|(name, (revision, value))| EntryChange {
                name: name.clone(),
                revision: *revision,
                value: Some(value.clone()),
            });
            all.collect()
        } else {
            let newer = self.log.iter().filter(|change| change.revision > since);
            newer.cloned().collect()
        };
        DirectoryUpdate {
            revision: self.revision,
            is_full,
            changes,
        }
    }

    /// Whether the change was new.
    fn apply(&mut self, change: &EntryChange) -> bool {
        let known = self
            .entries
            .get(&change.name)
            .map(|(revision, _)| *revision);
        let logged = self.log.iter().rev().find(|it| it.name == change.name);
        let newest = known.max(logged.map(|it| it.revision));
        if newest.is_some_and(|newest| change.revision <= newest) {
            return false;
        }
        match &change.value {
            Some(value) => {
                let entry = (change.revision, value.clone());
                self.entries.insert(change.name.clone(), entry);
            }
            None => {
                self.entries.remove(&change.name);
            }
        }
        self.log.push_back(change.clone());
        if self.log.len() > KEPT
            && let Some(dropped) = self.log.pop_front()
        {
            self.floor = self.floor.max(dropped.revision);
        }
        true
    }
}
