//! The entries of all nodes, which a few nodes read from the store and forward to the others.
//!
//! Every entry and every removal carries its revision in the store, so that changes may arrive from
//! any node, late or twice: the highest revision wins. After a restore of the store from a copy,
//! entries start over with a complete list of the new era, and updates of older eras are ignored.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashSet, VecDeque},
};

use cassiashunt_types::prelude::*;

use crate::StoreRevision;

/// The number of changes that are kept for nodes that request newer ones. A node that is further
/// behind gets all entries.
const MAX_LOGGED_CHANGES: usize = 1_024;

/// The longest entry that is kept. Longer ones are not announcements of nodes, and count as empty.
const MAX_ENTRY_BYTES: usize = 4 * 1_024;

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryChange {
    /// The node's name.
    pub name: String,
    /// The store's revision of the change, in the era of the update.
    pub revision: Revision,
    /// The entry as it is stored; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// Changes for a node that already has all changes up to some revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// The store's revision up to which these changes are complete, and the era of all of them.
    pub revision: StoreRevision,
    /// Whether these are all entries, so that names missing from them have been removed.
    pub is_full: bool,
    /// The changes.
    pub changes: Vec<EntryChange>,
}

/// The entries known to one node.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    revision: StoreRevision,
    /// The entries and their revisions in the current era.
    entries: BTreeMap<String, (Revision, Vec<u8>)>,
    /// The latest changes, oldest first. Those at revisions up to `log_floor` are incomplete.
    log: VecDeque<EntryChange>,
    log_floor: Revision,
}

impl Directory {
    /// Returns the store's revision up to which all changes are known.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the entry of a node as it is stored.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<&[u8]> {
        self.entries.get(name).map(|(_, value)| value.as_slice())
    }

    /// Applies an update. Returns the changes that were new, including removals. Only a complete
    /// list starts a new era.
    pub fn on_update(&mut self, update: DirectoryUpdate) -> Vec<EntryChange> {
        match update.revision.era.cmp(&self.revision.era) {
            Ordering::Less => Vec::new(),
            Ordering::Equal => self.on_update_of_era(update),
            Ordering::Greater if update.is_full => self.start_era(update),
            Ordering::Greater => Vec::new(),
        }
    }

    /// Replaces all entries by those of a new era, whose revisions are not comparable with the
    /// known ones. Returns the changes of values.
    fn start_era(&mut self, update: DirectoryUpdate) -> Vec<EntryChange> {
        let known = std::mem::take(&mut self.entries);
        self.log.clear();
        self.log_floor = Revision(0);
        self.revision = StoreRevision::new(update.revision.era, Revision(0));
        let revision = update.revision.revision;
        let mut changes = self.on_update_of_era(update);
        changes.retain(|change| {
            let old = known.get(&change.name).map(|(_, value)| value);
            old != change.value.as_ref()
        });
        let missing = known
            .into_keys()
            .filter(|name| !self.entries.contains_key(name));
        changes.extend(missing.map(|name| EntryChange {
            name,
            revision,
            value: None,
        }));
        changes
    }

    fn on_update_of_era(&mut self, update: DirectoryUpdate) -> Vec<EntryChange> {
        let revision = update.revision.revision;
        let mut changes = update.changes;
        let values = changes.iter_mut().filter_map(|it| it.value.as_mut());
        for value in values.filter(|it| it.len() > MAX_ENTRY_BYTES) {
            *value = Vec::new();
        }
        if update.is_full {
            let listed: HashSet<_> = changes.iter().map(|change| &change.name).collect();
            let entries = self.entries.iter();
            let missing = entries
                .filter(|(name, (changed, _))| *changed <= revision && !listed.contains(name));
            let removed: Vec<_> = missing
                .map(|(name, _)| EntryChange {
                    name: name.clone(),
                    revision,
                    value: None,
                })
                .collect();
            changes.extend(removed);
        }
        let applied: Vec<_> = changes
            .into_iter()
            .filter(|change| self.apply(change))
            .collect();
        if update.is_full && self.revision < update.revision {
            // An entry that was added and removed in between was not seen here, but a node that
            // requests changes may have it.
            self.log_floor = self.log_floor.max(revision);
        }
        self.revision = self.revision.max(update.revision);
        applied
    }

    /// Returns the update for a node that knows all changes up to `since`: all entries if that is a
    /// revision of another era, since the changes of this era are not comparable with it.
    #[must_use]
    pub fn update_since(&self, since: StoreRevision) -> DirectoryUpdate {
        let is_full = since.era != self.revision.era || since.revision < self.log_floor;
        let changes = if is_full {
            let entries = self.entries.iter();
            let all = entries.map(|(name, (revision, value))| EntryChange {
                name: name.clone(),
                revision: *revision,
                value: Some(value.clone()),
            });
            all.collect()
        } else {
            let newer = self
                .log
                .iter()
                .filter(|change| change.revision > since.revision);
            newer.cloned().collect()
        };
        DirectoryUpdate {
            revision: self.revision,
            is_full,
            changes,
        }
    }

    /// Applies and logs one change. Returns whether it was newer than what is known.
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
        if self.log.len() > MAX_LOGGED_CHANGES
            && let Some(dropped) = self.log.pop_front()
        {
            self.log_floor = self.log_floor.max(dropped.revision);
        }
        true
    }
}
