//! The difference between two tables, as changes of an edit.

use std::collections::BTreeSet;

use crate::{Change, Column, Endpoint, RowKey, Table};

/// The changes that turn `before` into `after`: first the cells, by row and column, then the
/// routes, by endpoint.
#[must_use]
pub fn diff(before: &Table, after: &Table) -> Vec<Change> {
    let mut changes = Vec::new();
    for row in row_keys(before, after) {
        changes.extend(row_changes(before, after, row));
    }
    for endpoint in endpoints(before, after) {
        let old = before.binding(endpoint);
        let new = after.binding(endpoint);
        if old != new {
            let endpoint = endpoint.clone();
            changes.push(Change::Route { endpoint, old, new });
        }
    }
    changes
}

fn row_keys(before: &Table, after: &Table) -> BTreeSet<RowKey> {
    let rows = before.rows().chain(after.rows());
    rows.map(|(row, _)| *row).collect()
}

fn endpoints<'a>(before: &'a Table, after: &'a Table) -> BTreeSet<&'a Endpoint> {
    let routes = before.routes().chain(after.routes());
    routes.map(|(endpoint, _)| endpoint).collect()
}

fn row_changes(before: &Table, after: &Table, row: RowKey) -> impl Iterator<Item = Change> {
    let change = move |column| {
        let old = before.get(&row, column);
        let new = after.get(&row, column);
        let changed = old != new;
        changed.then_some(Change::Cell {
            row,
            column,
            old,
            new,
        })
    };
    Column::ALL.into_iter().filter_map(change)
}
