//! Rows and routes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Binding, Column, Endpoint, InvalidValue, Row, RowKey, Value};

/// The operators' table.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Table {
    #[serde(default)]
    rows: BTreeMap<RowKey, Row>,
    #[serde(default)]
    routes: BTreeMap<Endpoint, Binding>,
}

impl Table {
    /// The value of a cell, where it is set in this very row.
    #[must_use]
    pub fn get(&self, row: &RowKey, column: Column) -> Option<Value> {
        self.rows.get(row)?.get(column)
    }

    /// Sets or clears a cell; a row without cells goes.
    ///
    /// # Errors
    ///
    /// Fails where the value cannot stand in this row and column.
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
        let outcome = cells.set(column, value);
        if cells.is_empty() {
            self.rows.remove(&row);
        }
        outcome
    }

    /// The cells of a row, where one of them is set.
    #[must_use]
    pub fn row(&self, row: &RowKey) -> Option<&Row> {
        self.rows.get(row)
    }

    /// Every row with a cell that is set, in order.
    pub fn rows(&self) -> impl Iterator<Item = (&RowKey, &Row)> {
        self.rows.iter()
    }

    /// What an endpoint is bound to.
    #[must_use]
    pub fn binding(&self, endpoint: &Endpoint) -> Option<Binding> {
        self.routes.get(endpoint).copied()
    }

    /// Binds an endpoint, or clears its binding.
    pub fn bind(&mut self, endpoint: Endpoint, binding: Option<Binding>) {
        match binding {
            Some(binding) => self.routes.insert(endpoint, binding),
            None => self.routes.remove(&endpoint),
        };
    }

    /// Every endpoint with its binding, in order.
    pub fn routes(&self) -> impl Iterator<Item = (&Endpoint, &Binding)> {
        self.routes.iter()
    }
}
