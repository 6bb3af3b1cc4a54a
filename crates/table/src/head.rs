//! The head: the single platform value that holds the table, the keys and the latest edits.

use std::{collections::VecDeque, fmt};

use cassiashunt_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Block, EditId, Keys, LineId, Record, Table};

/// The platform's key of the head.
pub const HEAD_KEY: &str = "table/head";
/// Version of the head's format that this code reads and writes.
const HEAD_FORMAT: u32 = 1;

/// Relation of another head to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lineage {
    /// Both are the same.
    Same,
    /// The other head is a descendant of this one.
    Ahead,
    /// The other head is an ancestor of this one.
    Behind,
    /// Each has an edit that the other does not account for.
    Forked,
}

/// The table, the keys and the latest edits, under one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Head {
    format: u32,
    revision: Revision,
    table: Table,
    keys: Keys,
    recent: VecDeque<Record>,
}

/// A value that this code cannot read as a head.
#[derive(Debug)]
pub enum InvalidHead {
    /// The value is malformed.
    Malformed(serde_json::Error),
    /// The value has a format version that this code does not support.
    Format {
        /// The format version found.
        format: u32,
    },
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(err) => write!(f, "the table in the platform is malformed: {err}"),
            Self::Format { format } => write!(
                f,
                "the table in the platform has format {format}, this program knows {HEAD_FORMAT}; \
                 use a newer program"
            ),
        }
    }
}

impl std::error::Error for InvalidHead {}

impl Default for Head {
    fn default() -> Self {
        Self {
            format: HEAD_FORMAT,
            revision: Revision(0),
            table: Table::default(),
            keys: Keys::default(),
            recent: VecDeque::new(),
        }
    }
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}

impl Head {
    /// Parses a head from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value is malformed or of an unsupported format version.
    pub fn from_bytes(value: &[u8]) -> Result<Self, InvalidHead> {
        let Format { format } = serde_json::from_slice(value).map_err(InvalidHead::Malformed)?;
        if format != HEAD_FORMAT {
            return Err(InvalidHead::Format { format });
        }
        serde_json::from_slice(value).map_err(InvalidHead::Malformed)
    }

    /// Serializes the head as JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head of strings and numbers is JSON")
    }

    /// The revision of the latest edit; zero for an empty head.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The operators' table.
    #[must_use]
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// The verifiers and states of the keys.
    #[must_use]
    pub const fn keys(&self) -> &Keys {
        &self.keys
    }

    /// The records of the latest edits, oldest first.
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.recent.iter()
    }

    /// The line of history, which distinguishes heads of the same revision; `None` before the first
    /// edit.
    #[must_use]
    pub fn line(&self) -> Option<LineId> {
        self.recent.back().map(|record| record.line)
    }

    /// The record of an edit, if it is among the latest ones.
    #[must_use]
    pub fn find(&self, edit: EditId) -> Option<&Record> {
        self.recent.iter().find(|record| record.edit == edit)
    }

    /// Whether an edit is among the latest ones, or was dropped by one of them.
    #[must_use]
    pub fn settles(&self, edit: EditId) -> bool {
        self.recent.iter().any(|record| record.settles(edit))
    }

    /// Whether the head continues a line or merged it, as far as its latest records show.
    #[must_use]
    pub fn accounts_for(&self, line: LineId) -> bool {
        self.recent.iter().any(|record| record.accounts_for(line))
    }

    /// Whether this is `older`, or a descendant of it that has dropped none of its edits.
    #[must_use]
    pub fn keeps(&self, older: &Self) -> bool {
        let kept = older.line().is_none_or(|line| self.keeps_line(line));
        kept || self.may_have_spilled(older.revision)
    }

    /// Whether the head continues a line, or merged it without dropping an edit, as far as its
    /// latest records show.
    #[must_use]
    pub fn keeps_line(&self, line: LineId) -> bool {
        self.recent.iter().any(|record| record.keeps(line))
    }

    /// Whether the latest records state that an edit was dropped.
    #[must_use]
    pub fn has_dropped(&self, edit: EditId) -> bool {
        self.settles(edit) && self.find(edit).is_none()
    }

    /// Whether records as old as `revision` may have been moved out of the head.
    #[must_use]
    pub fn may_have_spilled(&self, revision: Revision) -> bool {
        let first = self.recent.front().map(|record| record.revision);
        first.is_some_and(|first| revision < first)
    }

    /// The relation of `other` to this head.
    ///
    /// A head whose latest edit is older than all records in the other head counts as its ancestor.
    #[must_use]
    pub fn lineage(&self, other: &Self) -> Lineage {
        if self.line() == other.line() && self.revision == other.revision {
            return Lineage::Same;
        }
        if other.builds_on(self) {
            return Lineage::Ahead;
        }
        if self.builds_on(other) {
            return Lineage::Behind;
        }
        Lineage::Forked
    }

    fn builds_on(&self, older: &Self) -> bool {
        let accounted = older.line().is_none_or(|line| self.accounts_for(line));
        accounted || self.may_have_spilled(older.revision)
    }

    /// Moves the oldest records into a block if there are more than `limits` allow; returns the
    /// block and the head without them.
    #[must_use]
    pub fn spill(&self, limits: &SpillLimits) -> Option<(Block, Self)> {
        let moved = limits.count_to_move(&self.recent);
        if moved == 0 {
            return None;
        }
        let records: Vec<_> = self.recent.iter().take(moved).collect();
        let block = Block::of(&records);
        let mut trimmed = self.clone();
        trimmed.recent.drain(..moved);
        Some((block, trimmed))
    }

    pub(crate) fn table_mut(&mut self) -> &mut Table {
        &mut self.table
    }

    pub(crate) fn keys_mut(&mut self) -> &mut Keys {
        &mut self.keys
    }

    /// The line that continues this head with an edit.
    pub(crate) fn line_after(&self, edit: EditId, revision: Revision) -> LineId {
        LineId::after(self.line(), edit, revision)
    }

    /// Appends a record and sets the head's revision to the record's.
    pub(crate) fn push(&mut self, record: Record) {
        self.revision = record.revision;
        self.recent.push_back(record);
    }
}

/// Maximum number of records moved out of the head at once.
const MAX_RECORDS_PER_BLOCK: usize = 512;

/// Limits on the audit records that stay in the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpillLimits {
    /// Records are moved out when the head has more than this many.
    pub max_records: usize,
    /// Records are moved out when their total size exceeds this many bytes, until at most half as
    /// many are left.
    pub max_bytes: usize,
    /// How many records stay when some are moved out, fewer where `max_bytes` requires it; at least
    /// one stays.
    pub kept_records: usize,
}

impl Default for SpillLimits {
    fn default() -> Self {
        Self {
            max_records: 128,
            max_bytes: 128 * 1_024,
            kept_records: 64,
        }
    }
}

impl SpillLimits {
    fn count_to_move(&self, recent: &VecDeque<Record>) -> usize {
        let too_many = recent.len() > self.max_records;
        let mut bytes: usize = recent.iter().map(Record::bytes).sum();
        let too_large = bytes > self.max_bytes;
        if !too_many && !too_large {
            return 0;
        }
        let movable = recent.len().saturating_sub(1).min(MAX_RECORDS_PER_BLOCK);
        let by_count = recent.len().saturating_sub(self.kept_records.max(1));
        let mut moved = 0;
        for record in recent.iter().take(movable) {
            if moved >= by_count && bytes <= self.max_bytes / 2 {
                break;
            }
            bytes -= record.bytes();
            moved += 1;
        }
        moved
    }
}
