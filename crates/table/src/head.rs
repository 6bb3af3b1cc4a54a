//! The one value that the platform keeps.

use std::{collections::VecDeque, fmt};

use cassiashunt_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Block, EditId, Keys, LineId, Record, Table};

/// The platform's key of the head.
pub const HEAD_KEY: &str = "table/head";
/// The form of the head that this code reads and writes.
const FORMAT: u32 = 1;

/// How another head stands to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lineage {
    /// It is this one.
    Same,
    /// It builds on this one.
    Ahead,
    /// This one builds on it.
    Behind,
    /// Each holds an edit that the other does not account for.
    Forked,
}

/// The table, the keys and the last accepted edits, under one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Head {
    format: u32,
    revision: Revision,
    table: Table,
    keys: Keys,
    recent: VecDeque<Record>,
}

/// A value that is no head which this code can read.
#[derive(Debug)]
pub enum InvalidHead {
    /// The value is malformed.
    Malformed(serde_json::Error),
    /// The value has a form that this code does not know.
    Format {
        /// The number of the form.
        format: u32,
    },
}

impl fmt::Display for InvalidHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(err) => write!(f, "the table in the platform is malformed: {err}"),
            Self::Format { format } => write!(
                f,
                "the table in the platform has format {format}, this program knows {FORMAT}; \
                 use a newer program"
            ),
        }
    }
}

impl std::error::Error for InvalidHead {}

impl Default for Head {
    fn default() -> Self {
        Self {
            format: FORMAT,
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
    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Fails where the value is malformed or of an unknown form.
    pub fn from_bytes(value: &[u8]) -> Result<Self, InvalidHead> {
        let Format { format } = serde_json::from_slice(value).map_err(InvalidHead::Malformed)?;
        if format != FORMAT {
            return Err(InvalidHead::Format { format });
        }
        serde_json::from_slice(value).map_err(InvalidHead::Malformed)
    }

    /// Writes the head as JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head of strings and numbers is JSON")
    }

    /// The revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The table.
    #[must_use]
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// The keys.
    #[must_use]
    pub const fn keys(&self) -> &Keys {
        &self.keys
    }

    /// The last accepted edits, oldest first.
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &Record> {
        self.recent.iter()
    }

    /// The line of history, which tells apart heads of the same revision.
    #[must_use]
    pub fn line(&self) -> Option<LineId> {
        self.recent.back().map(|record| record.line)
    }

    /// The record of an edit, where it is among the last ones.
    #[must_use]
    pub fn find(&self, edit: EditId) -> Option<&Record> {
        self.recent.iter().find(|record| record.edit == edit)
    }

    /// Whether an edit is among the last ones, or was dropped by one of them.
    #[must_use]
    pub fn settles(&self, edit: EditId) -> bool {
        self.recent.iter().any(|record| record.settles(edit))
    }

    /// Whether the head goes on from a line or joined it, as far as its last records tell.
    #[must_use]
    pub fn accounts_for(&self, line: LineId) -> bool {
        self.recent.iter().any(|record| record.accounts_for(line))
    }

    /// Whether this is `older`, or builds on it and has dropped none of its edits.
    #[must_use]
    pub fn keeps(&self, older: &Self) -> bool {
        let kept = older.line().is_none_or(|line| self.keeps_line(line));
        kept || self.may_have_spilled(older.revision)
    }

    /// Whether the head goes on from a line, or joined it without dropping an edit, as far as its
    /// last records tell.
    #[must_use]
    pub fn keeps_line(&self, line: LineId) -> bool {
        self.recent.iter().any(|record| record.keeps(line))
    }

    /// Whether the last records say that an edit was dropped.
    #[must_use]
    pub fn has_dropped(&self, edit: EditId) -> bool {
        self.settles(edit) && self.find(edit).is_none()
    }

    /// Whether edits as old as `revision` may have left the head.
    #[must_use]
    pub fn may_have_spilled(&self, revision: Revision) -> bool {
        let first = self.recent.front().map(|record| record.revision);
        first.is_some_and(|first| revision < first)
    }

    /// How `other` stands to this head.
    ///
    /// A head whose last edit is older than the other's audit records is taken for its ancestor.
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

    /// Takes the oldest records out where there are more than `limits` allow.
    #[must_use]
    pub fn spill(&self, limits: &SpillLimits) -> Option<(Block, Self)> {
        let moved = limits.count_to_move(&self.recent);
        if moved == 0 {
            return None;
        }
        let records: Vec<_> = self.recent.iter().take(moved).collect();
        let block = Block::of(&records);
        let mut rest = self.clone();
        rest.recent.drain(..moved);
        Some((block, rest))
    }

    pub(crate) fn table_mut(&mut self) -> &mut Table {
        &mut self.table
    }

    pub(crate) fn keys_mut(&mut self) -> &mut Keys {
        &mut self.keys
    }

    /// The line that goes on from this head with an edit.
    pub(crate) fn line_after(&self, edit: EditId, revision: Revision) -> LineId {
        LineId::after(self.line(), edit, revision)
    }

    /// Adds a record and takes on its revision.
    pub(crate) fn push(&mut self, record: Record) {
        self.revision = record.revision;
        self.recent.push_back(record);
    }
}

/// How many records leave the head at once at most.
const MAX_RECORDS_PER_BLOCK: usize = 512;

/// How many audit records stay in the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpillLimits {
    /// Records leave the head when there are more than this.
    pub max_records: usize,
    /// Records leave the head when they have more bytes than this.
    pub max_bytes: usize,
    /// How many records stay when some leave; at least one stays.
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
        let spare = recent.len().saturating_sub(1).min(MAX_RECORDS_PER_BLOCK);
        let by_count = recent.len().saturating_sub(self.kept_records.max(1));
        let mut moved = 0;
        for record in recent.iter().take(spare) {
            if moved >= by_count && bytes <= self.max_bytes / 2 {
                break;
            }
            bytes -= record.bytes();
            moved += 1;
        }
        moved
    }
}
