//! Identifiers of lines of history.

use std::{fmt, str::FromStr};

use cassiashunt_types::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::EditId;

/// Identifies a head together with its complete ordered history: a hash chain over its edits.
///
/// Two heads with the same latest edit after different earlier ones have different identifiers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LineId(pub u64);

/// A text that is not a valid identifier of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidLineId;

impl fmt::Display for InvalidLineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a line is named by 16 hexadecimal digits")
    }
}

impl std::error::Error for InvalidLineId {}

impl LineId {
    /// The line that continues `previous` with an edit.
    pub(crate) fn after(previous: Option<Self>, edit: EditId, revision: Revision) -> Self {
        let previous = previous.map_or(0, |line| line.0);
        Self(digest([previous, edit.0, revision.0]))
    }
}

/// The first eight bytes of the SHA-256 of three numbers.
pub(crate) fn digest(numbers: [u64; 3]) -> u64 {
    let mut digest = Sha256::new();
    for number in numbers {
        digest.update(number.to_be_bytes());
    }
    let digest: [u8; 32] = digest.finalize().into();
    let first = digest.first_chunk().expect("a digest has 32 bytes");
    u64::from_be_bytes(*first)
}

impl fmt::Display for LineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for LineId {
    type Err = InvalidLineId;

    fn from_str(text: &str) -> Result<Self, InvalidLineId> {
        let id = u64::from_str_radix(text, 16).map_err(|_| InvalidLineId)?;
        Ok(Self(id))
    }
}

impl TryFrom<String> for LineId {
    type Error = InvalidLineId;

    fn try_from(text: String) -> Result<Self, InvalidLineId> {
        text.parse()
    }
}

impl From<LineId> for String {
    fn from(line: LineId) -> Self {
        line.to_string()
    }
}
