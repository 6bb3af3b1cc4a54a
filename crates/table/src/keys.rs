//! The API keys known to the table.

use std::collections::BTreeMap;

use cassiashunt_types::{KeyId, Revision, Workspace};
use serde::{Deserialize, Serialize};

use crate::Verifier;

/// Whether a key is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyState {
    /// Requests with the key are accepted.
    Active,
    /// The key is permanently revoked.
    Withdrawn,
}

/// The stored record of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KeyRecord {
    /// The workspace of the callers that present the key.
    pub workspace: Workspace,
    /// The hash that a presented key is checked against.
    pub verifier: Verifier,
    /// Whether the key is accepted.
    pub state: KeyState,
    /// The revision that set this state.
    pub changed: Revision,
}

/// The data of a key that the request path uses, as found by its verifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyEntry {
    /// The identifier of the key.
    pub id: KeyId,
    /// The workspace of the callers that present the key.
    pub workspace: Workspace,
    /// Whether the key is accepted.
    pub state: KeyState,
    /// The revision that set this state.
    pub changed: Revision,
}

/// All keys that were issued and not yet forgotten, withdrawn ones included.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Keys {
    by_id: BTreeMap<KeyId, KeyRecord>,
}

impl Keys {
    /// The record of a key, or `None` if the key is not known.
    #[must_use]
    pub fn get(&self, id: KeyId) -> Option<KeyRecord> {
        self.by_id.get(&id).copied()
    }

    /// All keys, in the order of their identifiers.
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
