//! A row of the table.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Column, InvalidValue, Value};

/// The cells of one row that are set, by column.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "Cells", into = "Cells")]
pub struct Row {
    cells: Cells,
}

type Cells = BTreeMap<Column, Value>;

impl Row {
    /// The value in a column, or `None` if the cell is not set.
    #[must_use]
    pub fn get(&self, column: Column) -> Option<Value> {
        self.cells.get(&column).copied()
    }

    /// Sets a cell, or clears it if `value` is `None`.
    ///
    /// # Errors
    ///
    /// Fails if the column does not accept the value.
    pub fn set(&mut self, column: Column, value: Option<Value>) -> Result<(), InvalidValue> {
        let Some(value) = value else {
            self.cells.remove(&column);
            return Ok(());
        };
        column.check(value)?;
        self.cells.insert(column, value);
        Ok(())
    }

    /// Whether no cell is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// The number of cells that are set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cells.len()
    }
}

impl TryFrom<Cells> for Row {
    type Error = InvalidValue;

    fn try_from(cells: Cells) -> Result<Self, InvalidValue> {
        for (column, value) in &cells {
            column.check(*value)?;
        }
        Ok(Self { cells })
    }
}

impl From<Row> for Cells {
    fn from(row: Row) -> Self {
        row.cells
    }
}
