//! Waiting for a change.

use crate::Entry;

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The key has another value than the one seen.
    Changed(Entry),
    /// The key has no value any more.
    Gone,
    /// Nothing changed before the timeout.
    Unchanged,
}
