//! Incremental updates of a head by its records, so that an update sends the change and not the
//! complete table.

use std::fmt;

use crate::{Head, LineId, Record, edit::apply_change};

/// A record that does not continue the head in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NonConsecutiveRecord {
    /// The line of the first such record.
    pub line: LineId,
}

impl fmt::Display for NonConsecutiveRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {} does not go on from the head in force",
            self.line
        )
    }
}

impl std::error::Error for NonConsecutiveRecord {}

impl Head {
    /// The records after `line` up to this head.
    ///
    /// `None` if `line` is not among the latest ones; the complete head has to be sent then.
    #[must_use]
    pub fn records_after(&self, line: LineId) -> Option<Vec<Record>> {
        let mut records = self.recent();
        records.find(|record| record.line == line)?;
        Some(records.cloned().collect())
    }

    /// Returns this head with later records applied.
    ///
    /// # Errors
    ///
    /// Fails with the first record that does not continue the one before it.
    pub fn apply_records(&self, records: &[Record]) -> Result<Self, NonConsecutiveRecord> {
        let mut head = self.clone();
        for record in records {
            head.apply_record(record)?;
        }
        Ok(head)
    }

    fn apply_record(&mut self, record: &Record) -> Result<(), NonConsecutiveRecord> {
        let line = record.line;
        if self.line_after(record.edit, record.revision) != line {
            return Err(NonConsecutiveRecord { line });
        }
        for change in &record.changes {
            let applied = apply_change(self, record.revision, change);
            applied.map_err(|_| NonConsecutiveRecord { line })?;
        }
        self.push(record.clone());
        Ok(())
    }
}
