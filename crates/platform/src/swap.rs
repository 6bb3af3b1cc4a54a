//! Compare-and-swap.

use crate::{Entry, LeaseId, Version};

/// How a key is expected to stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Expected {
    /// There is no value.
    Absent,
    /// The value has this version.
    At(Version),
}

impl Expected {
    /// How the key of `entry` stands.
    #[must_use]
    pub fn of(entry: Option<&Entry>) -> Self {
        entry.map_or(Self::Absent, |entry| Self::At(entry.version))
    }
}

/// A write on a condition.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The key.
    pub key: &'a str,
    /// How the key must stand for the write to take effect.
    pub expected: Expected,
    /// The new value.
    pub value: &'a [u8],
    /// The lease whose end deletes the key.
    pub lease: Option<LeaseId>,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Outcome {
    /// The write took effect.
    Applied {
        /// The version of the new value.
        version: Version,
    },
    /// The key did not stand as expected; nothing was written.
    Conflict {
        /// How the key stands.
        current: Option<Entry>,
    },
    /// No answer came; the write may have taken effect, or may yet do so.
    Unknown,
}
