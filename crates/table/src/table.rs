//! The configuration table: rows and routes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Binding, Column, Endpoint, InvalidValue, Row, RowKey, Value};

/// The operators' configuration: limits and settings by row, and the routes of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Table {
    #[serde(default)]
    rows: BTreeMap<RowKey, Row>,
    #[serde(default)]
    routes: BTreeMap<Endpoint, Binding>,
}

impl Table {
    /// The value of a cell in exactly this row, without fallback to less specific rows; `None` if
    /// it is not set.
    #[must_use]
    pub fn get(&self, row: &RowKey, column: Column) -> Option<Value> {
        self.rows.get(row)?.get(column)
    }

    /// Sets a cell, or clears it if `value` is `None`. A row without cells is removed.
    ///
    /// # Errors
    ///
    /// Fails if the column does not accept the value or cannot be set in this row.
    pub fn set(
        &mut self,
        row: RowKey,
        column: Column,
        value: Option<Value>,
    ) -> Result<(), InvalidValue> {
        if value.is_some() {
            column.check_row(&row)?;
        }
        let cells = self.rows.entry(row).or_default();
        let result = cells.set(column, value);
        if cells.is_empty() {
            self.rows.remove(&row);
        }
        result
    }

    /// The cells of a row, or `None` if none of them is set.
    #[must_use]
    pub fn row(&self, row: &RowKey) -> Option<&Row> {
        self.rows.get(row)
    }

    /// All rows with at least one cell set, in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows.iter()
    }

    /// The binding of exactly this endpoint, or `None` if it has none.
    #[must_use]
    pub fn binding(&self, endpoint: &Endpoint) -> Option<Binding> {
        self.routes.get(endpoint).copied()
    }

    /// Sets the binding of an endpoint, or removes it if `binding` is `None`.
    pub fn bind(&mut self, endpoint: Endpoint, binding: Option<Binding>) {
        match binding {
            Some(binding) => self.routes.insert(endpoint, binding),
            None => self.routes.remove(&endpoint),
        };
    }

    /// All endpoints with their bindings, in the order of endpoints.
    pub fn routes(&self) -> impl Iterator<Item = (&Endpoint, &Binding)> {
        self.routes.iter()
    }
}
