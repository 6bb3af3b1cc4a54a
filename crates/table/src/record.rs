//! The audit trail.

use cassiashunt_types::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Change, Edit, EditId, LineId};

/// What the keys of audit values begin with.
pub const AUDIT_PREFIX: &str = "table/audit/";
/// How many revisions a block may hold at most.
const BLOCK_REVISIONS: u64 = 1_024;
/// How many bytes of a block's digest stand in its key.
const DIGEST_BYTES: usize = 8;

/// Two lines of history that were joined after the platform had gone back to an older state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MergeInfo {
    /// The revision that the platform had.
    pub over: Revision,
    /// Edits of the platform's line that were never accepted and could not be kept.
    pub dropped: Vec<EditId>,
    /// The lines of the platform that were joined.
    pub lines: Vec<LineId>,
}

/// One entry of the audit trail; a change says what stood before and after.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Record {
    /// The edit.
    pub edit: EditId,
    /// The revision that it made.
    pub revision: Revision,
    /// Who asked.
    pub who: String,
    /// When they asked, as wall-clock text.
    pub when: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The line of history that ends with this record.
    pub line: LineId,
    /// Set where this joined two lines of history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reinstall: Option<MergeInfo>,
}

impl Record {
    pub(crate) fn of(edit: &Edit, revision: Revision, line: LineId) -> Self {
        Self {
            edit: edit.id,
            revision,
            who: edit.who.clone(),
            when: edit.when.clone(),
            changes: edit.changes.clone(),
            line,
            reinstall: None,
        }
    }

    /// Whether this applied the edit, or recorded that it was dropped.
    pub(crate) fn settles(&self, edit: EditId) -> bool {
        let dropped = self.reinstall.as_ref().map(|join| join.dropped.as_slice());
        self.edit == edit || dropped.unwrap_or_default().contains(&edit)
    }

    /// Whether this ends the line, or joined it with another.
    pub(crate) fn accounts_for(&self, line: LineId) -> bool {
        let joined = self.reinstall.as_ref().map(|join| join.lines.as_slice());
        self.line == line || joined.unwrap_or_default().contains(&line)
    }

    /// Whether this ends the line, or joined it with another and dropped nothing.
    pub(crate) fn keeps(&self, line: LineId) -> bool {
        let dropped = self
            .reinstall
            .as_ref()
            .is_some_and(|join| !join.dropped.is_empty());
        self.line == line || (self.accounts_for(line) && !dropped)
    }

    /// The size of the record in the head, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let text = serde_json::to_vec(self);
        text.expect("a record of strings and numbers is JSON").len()
    }
}

/// Records that leave the head, to be kept in a platform value of their own.
///
/// The key is made from the content, so that writing a block twice does no harm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The key of the value.
    pub key: String,
    /// The value: a JSON list of [`Record`]s.
    pub value: Vec<u8>,
}

/// What the keys of all blocks begin with that may hold a revision of `from` to `to`.
///
/// Other blocks may begin with it as well.
#[must_use]
pub fn audit_prefix(from: Revision, to: Revision) -> String {
    let first = format!("{:016x}", from.0.saturating_sub(BLOCK_REVISIONS));
    let last = format!("{:016x}", to.0);
    let pairs = first.chars().zip(last.chars());
    let common = pairs.take_while(|(one, other)| one == other);
    let digits = common.map(|(digit, _)| digit);
    AUDIT_PREFIX.chars().chain(digits).collect()
}

impl Block {
    pub(crate) fn of(records: &[&Record]) -> Self {
        let value = serde_json::to_vec(records).expect("records of strings and numbers are JSON");
        let digest = Sha256::digest(&value);
        let digest = digest.iter().take(DIGEST_BYTES);
        let digest: String = digest.map(|byte| format!("{byte:02x}")).collect();
        let first = records.first().map_or(0, |record| record.revision.0);
        let key = format!("{AUDIT_PREFIX}{first:016x}-{digest}");
        Self { key, value }
    }

    /// Reads the records of an audit value.
    ///
    /// # Errors
    ///
    /// Fails where the value is no list of records.
    pub fn parse(value: &[u8]) -> Result<Vec<Record>, serde_json::Error> {
        serde_json::from_slice(value)
    }
}
