//! Stored values and their identifiers.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The version of one value; a later value of the same key has a greater one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A lease.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A value with its key and version.
#[derive(Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The version of the value.
    pub version: Version,
    /// The lease whose end deletes the key.
    pub lease: Option<LeaseId>,
    /// The value.
    pub value: Arc<[u8]>,
}

impl fmt::Debug for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Entry")
            .field("key", &self.key)
            .field("version", &self.version)
            .field("lease", &self.lease)
            .field("bytes", &self.value.len())
            .finish()
    }
}
