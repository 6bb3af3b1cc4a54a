//! The keys that callers may present.

use std::collections::BTreeMap;

use cassiashunt_types::{KeyId, Revision, Workspace};
use serde::{Deserialize, Serialize};

use crate::Verifier;

/// Whether a key works.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// The key works.
    Active,
    /// The key was withdrawn and never works again.
    Withdrawn,
}

/// What is kept of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeyRecord {
    /// The workspace of its callers.
    pub workspace: Workspace,
    /// The verifier.
    pub verifier: Verifier,
    /// Whether it works.
    pub state: KeyState,
    /// The revision that brought it to this state.
    pub changed: Revision,
}

/// What the request path needs of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyEntry {
    /// The key.
    pub id: KeyId,
    /// The workspace of its callers.
    pub workspace: Workspace,
    /// Whether it works.
    pub state: KeyState,
    /// The revision that brought it to this state.
    pub changed: Revision,
}

/// Every key that was given and not yet forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Keys {
    by_id: BTreeMap<KeyId, KeyRecord>,
}

impl Keys {
    /// What is kept of a key.
    #[must_use]
    pub fn get(&self, id: KeyId) -> Option<KeyRecord> {
        self.by_id.get(&id).copied()
    }

    /// Every key, in the order of identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (KeyId, KeyRecord)> {
        self.by_id.iter().map(|(id, record)| (*id, *record))
    }

    pub(crate) fn put(&mut self, id: KeyId, record: Option<KeyRecord>) {
        match record {
            Some(record) => self.by_id.insert(id, record),
            None => self.by_id.remove(&id),
        };
    }
}
