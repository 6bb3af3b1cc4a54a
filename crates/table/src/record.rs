//! Records of the audit trail and the blocks that store them.

use cassiashunt_types::Revision;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Change, Edit, EditId, LineId};

/// Key prefix of the audit values.
pub const AUDIT_PREFIX: &str = "table/audit/";
/// Maximum number of revisions that a block spans.
const BLOCK_REVISIONS: u64 = 1_024;
/// Number of bytes of a block's digest in its key.
const KEY_DIGEST_BYTES: usize = 8;

/// A merge of two lines of history after the platform was restored to an older state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct MergeInfo {
    /// The revision of the other line's head.
    pub over: Revision,
    /// Edits of the other line that conflicted and were dropped; none of them was accepted, unless
    /// an operator preferred the platform's line.
    pub dropped: Vec<EditId>,
    /// The lines that were merged into this one.
    pub lines: Vec<LineId>,
}

/// One entry of the audit trail; each change has the state before and after.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Record {
    /// The identifier of the edit.
    pub edit: EditId,
    /// The revision that the edit created.
    pub revision: Revision,
    /// Who requested the edit.
    pub who: String,
    /// When it was requested, as wall-clock text.
    pub when: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The line of history that ends with this record.
    pub line: LineId,
    /// Set if this record merged two lines of history.
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

    /// Whether this record applied the edit, or states that it was dropped.
    pub(crate) fn settles(&self, edit: EditId) -> bool {
        let dropped = self
            .reinstall
            .as_ref()
            .map(|merge| merge.dropped.as_slice());
        self.edit == edit || dropped.unwrap_or_default().contains(&edit)
    }

    /// Whether this record ends the line, or merged it into another.
    pub(crate) fn accounts_for(&self, line: LineId) -> bool {
        let merged = self.reinstall.as_ref().map(|merge| merge.lines.as_slice());
        self.line == line || merged.unwrap_or_default().contains(&line)
    }

    /// Whether this record ends the line, or merged it into another without dropping an edit.
    pub(crate) fn keeps(&self, line: LineId) -> bool {
        let dropped = self
            .reinstall
            .as_ref()
            .is_some_and(|merge| !merge.dropped.is_empty());
        self.line == line || (self.accounts_for(line) && !dropped)
    }

    /// The size of the record in the head, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let text = serde_json::to_vec(self);
        text.expect("a record of strings and numbers is JSON").len()
    }
}

/// Records moved out of the head into an audit value of the platform.
///
/// The key is derived from the content, so that writing a block twice is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The key of the value.
    pub key: String,
    /// The value: a JSON list of [`Record`]s.
    pub value: Vec<u8>,
}

/// A key prefix shared by all blocks that may hold a revision from `from` to `to`.
///
/// Keys of other blocks may have the prefix as well.
#[must_use]
pub fn audit_prefix(from: Revision, to: Revision) -> String {
    let first = format!("{:016x}", from.0.saturating_sub(BLOCK_REVISIONS));
    let last = format!("{:016x}", to.0);
    let pairs = first.chars().zip(last.chars());
    let common = pairs.take_while(|(a, b)| a == b);
    let digits = common.map(|(digit, _)| digit);
    AUDIT_PREFIX.chars().chain(digits).collect()
}

impl Block {
    pub(crate) fn of(records: &[&Record]) -> Self {
        let value = serde_json::to_vec(records).expect("records of strings and numbers are JSON");
        let digest = Sha256::digest(&value);
        let digest = digest.iter().take(KEY_DIGEST_BYTES);
        let digest: String = digest.map(|byte| format!("{byte:02x}")).collect();
        let first = records.first().map_or(0, |record| record.revision.0);
        let key = format!("{AUDIT_PREFIX}{first:016x}-{digest}");
        Self { key, value }
    }

    /// Parses the records of an audit value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a JSON list of records.
    pub fn parse(value: &[u8]) -> Result<Vec<Record>, serde_json::Error> {
        serde_json::from_slice(value)
    }
}
