//! Histories of edits and the check that they are strictly serializable and lose no accepted edit.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use cassiashunt_table::{Binding, Change, EditId, Head, KeyState, Record, Table, Value, diff};
use cassiashunt_types::{KeyId, Revision, Time};

/// The result of an edit as returned to its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Returned {
    Accepted,
    NotApplied,
    Unknown,
}

/// One edit as its operator observed it.
#[derive(Debug, Clone)]
pub struct Operation {
    pub edit: EditId,
    pub invoked: Time,
    pub returned: Option<(Time, Returned)>,
}

/// What a run recorded.
#[derive(Debug, Default)]
pub struct History {
    pub operations: Vec<Operation>,
    /// The heads that each process put in force, in order.
    pub in_force: Vec<Vec<(Time, Arc<Head>)>>,
    /// The records of the last head, oldest first, audit values included.
    pub line: Vec<Record>,
    pub last: Head,
    /// The nodes that did not have the last head in force at the end.
    pub outdated: Vec<usize>,
}

type Cells = BTreeMap<String, String>;

/// Checks a complete history; the error is the first violation.
pub fn check(history: &History) -> Result<(), String> {
    check_end(history)?;
    check_each_once(history)?;
    check_outcomes(history)?;
    check_replay(history)?;
    check_order(history)?;
    history
        .in_force
        .iter()
        .try_for_each(|heads| check_process(history, heads))
}

fn check_end(history: &History) -> Result<(), String> {
    let outdated = &history.outdated;
    outdated
        .is_empty()
        .then_some(())
        .ok_or_else(|| format!("nodes {outdated:?} lack the last head"))
}

fn check_each_once(history: &History) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    let twice = history.line.iter().find(|record| !seen.insert(record.edit));
    twice.map_or(Ok(()), |record| {
        Err(format!("edit {} occurs twice", record.edit))
    })
}

fn check_outcomes(history: &History) -> Result<(), String> {
    for operation in &history.operations {
        let edit = operation.edit;
        let present = history.line.iter().any(|record| record.edit == edit);
        match operation.returned {
            Some((_, Returned::Accepted)) if !present => {
                return Err(format!("accepted edit {edit} is lost"));
            }
            Some((_, Returned::NotApplied)) if present => {
                return Err(format!("edit {edit} took effect though it was refused"));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Replays the line from an empty table: each edit must find the state it expects, and the result
/// must equal the last head.
fn check_replay(history: &History) -> Result<(), String> {
    let mut cells = Cells::new();
    for record in &history.line {
        for change in &record.changes {
            let (cell, old, new) = effect(change);
            let found = cells.get(&cell).cloned().unwrap_or_default();
            if found != old {
                let edit = record.edit;
                return Err(format!(
                    "edit {edit} expected {old:?} in {cell}, found {found:?}"
                ));
            }
            cells.insert(cell, new);
        }
    }
    cells.retain(|_, value| !value.is_empty());
    let last = contents(&history.last);
    (cells == last)
        .then_some(())
        .ok_or_else(|| format!("the line gives {cells:?}, the last head holds {last:?}"))
}

/// The cell that a change affects, and its text before and after.
fn effect(change: &Change) -> (String, String, String) {
    let text = |value: &Option<_>| value.map_or(String::new(), |value: Value| value.to_string());
    match change {
        Change::Cell {
            row,
            column,
            old,
            new,
        } => (format!("{row} {column}"), text(old), text(new)),
        Change::Route { endpoint, old, new } => {
            let text =
                |bound: &Option<Binding>| bound.map_or(String::new(), |bound| bound.to_string());
            (endpoint.to_string(), text(old), text(new))
        }
        Change::GiveKey { verifier, .. } => key_effect(verifier.key_id(), "", "active"),
        Change::WithdrawKey { id } => key_effect(*id, "active", "withdrawn"),
        Change::ForgetKey { id } => key_effect(*id, "withdrawn", ""),
    }
}

fn key_effect(id: KeyId, old: &str, new: &str) -> (String, String, String) {
    (format!("key {id}"), old.into(), new.into())
}

fn contents(head: &Head) -> Cells {
    let mut cells = table_contents(head.table());
    for (id, record) in head.keys().iter() {
        let state = match record.state {
            KeyState::Active => "active",
            KeyState::Withdrawn => "withdrawn",
        };
        cells.insert(format!("key {id}"), state.into());
    }
    cells
}

fn table_contents(table: &Table) -> Cells {
    let mut cells = Cells::new();
    for change in diff::diff(&Table::default(), table) {
        let (cell, _, new) = effect(&change);
        cells.insert(cell, new);
    }
    cells
}

/// Searches a total order that agrees with the order of the line where two edits share a cell, and
/// with real time: an edit accepted before another was invoked comes first.
fn check_order(history: &History) -> Result<(), String> {
    let count = history.line.len();
    let cells: Vec<_> = history.line.iter().map(cells_of).collect();
    let mut before = vec![BTreeSet::new(); count];
    for later in 0..count {
        for earlier in 0..count {
            let shares = earlier < later && !cells[earlier].is_disjoint(&cells[later]);
            if shares || precedes_in_real_time(history, earlier, later) {
                before[later].insert(earlier);
            }
        }
    }
    let mut remaining: BTreeSet<usize> = (0..count).collect();
    while !remaining.is_empty() {
        let next = remaining
            .iter()
            .copied()
            .find(|edit| before[*edit].is_disjoint(&remaining));
        let Some(next) = next else {
            return Err(format!(
                "no order of edits {remaining:?} of the line agrees with real time"
            ));
        };
        remaining.remove(&next);
    }
    Ok(())
}

fn cells_of(record: &Record) -> BTreeSet<String> {
    let changes = record.changes.iter();
    changes.map(|change| effect(change).0).collect()
}

fn precedes_in_real_time(history: &History, earlier: usize, later: usize) -> bool {
    let find = |index: usize| {
        let edit = history.line[index].edit;
        history
            .operations
            .iter()
            .find(|operation| operation.edit == edit)
    };
    let accepted = find(earlier).and_then(|operation| match operation.returned {
        Some((at, Returned::Accepted)) => Some(at),
        _ => None,
    });
    let invoked = find(later).map(|operation| operation.invoked);
    matches!((accepted, invoked), (Some(accepted), Some(invoked)) if accepted < invoked)
}

/// Revisions must increase, and an accepted edit that was in force must stay in force.
fn check_process(history: &History, heads: &[(Time, Arc<Head>)]) -> Result<(), String> {
    let mut revision = Revision(0);
    let mut in_force = BTreeSet::new();
    for (at, head) in heads {
        if head.revision() <= revision && revision.0 > 0 {
            return Err(format!(
                "revision {} after {revision} at {at}",
                head.revision()
            ));
        }
        revision = head.revision();
        let held: BTreeSet<_> = accepted(history)
            .filter(|edit| head.find(*edit).is_some())
            .collect();
        if let Some(edit) = in_force.difference(&held).next() {
            let spilled = history.line.iter().find(|record| record.edit == *edit);
            if spilled.is_none_or(|record| !head.may_have_spilled(record.revision)) {
                return Err(format!("accepted edit {edit} was reverted at {at}"));
            }
        }
        in_force.extend(held);
    }
    Ok(())
}

fn accepted(history: &History) -> impl Iterator<Item = EditId> {
    let operations = history.operations.iter();
    operations
        .filter(|operation| matches!(operation.returned, Some((_, Returned::Accepted))))
        .map(|operation| operation.edit)
}
