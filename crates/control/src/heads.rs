use cassiashunt_types::Revision;
use serde::{Deserialize, Serialize};

/// The revisions of the two values that the platform stores: the table and the control value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Heads {
    /// Revision of the table.
    pub table: Revision,
    /// Revision of the control value.
    pub control: Revision,
}

impl Heads {
    /// Whether neither revision is older than `other`'s.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.table >= other.table && self.control >= other.control
    }

    /// The newer revision of each value.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            table: self.table.max(other.table),
            control: self.control.max(other.control),
        }
    }
}
