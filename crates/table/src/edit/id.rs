//! Identifiers of edits.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{LineId, line_id::digest};

/// Third number of the digest of a merge's identifier, where that of a line has its revision; keeps
/// the two from being equal.
const MERGE_ID_TAG: u64 = u64::MAX;

/// Identifier of an edit, written as 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EditId(pub u64);

/// A text that is not a valid identifier of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidEditId {
    /// The text as given.
    pub text: String,
}

impl fmt::Display for InvalidEditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is no edit: write 16 hexadecimal digits", self.text)
    }
}

impl std::error::Error for InvalidEditId {}

impl EditId {
    /// Generates an identifier from the operating system's random source.
    ///
    /// # Panics
    ///
    /// Panics if the operating system's random source fails.
    #[must_use]
    pub fn random() -> Self {
        Self(getrandom::u64().expect("the operating system's random source failed"))
    }

    /// The identifier of the edit that merges two lines of history.
    pub(crate) fn of_merge(ours: Option<LineId>, theirs: Option<LineId>) -> Self {
        let number = |line: Option<LineId>| line.map_or(0, |line| line.0);
        Self(digest([number(ours), number(theirs), MERGE_ID_TAG]))
    }
}

impl fmt::Display for EditId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for EditId {
    type Err = InvalidEditId;

    fn from_str(text: &str) -> Result<Self, InvalidEditId> {
        let id = u64::from_str_radix(text, 16).ok();
        let id = id.filter(|_| text.len() == 16);
        id.map(Self)
            .ok_or_else(|| InvalidEditId { text: text.into() })
    }
}

impl TryFrom<String> for EditId {
    type Error = InvalidEditId;

    fn try_from(text: String) -> Result<Self, InvalidEditId> {
        text.parse()
    }
}

impl From<EditId> for String {
    fn from(id: EditId) -> Self {
        id.to_string()
    }
}
