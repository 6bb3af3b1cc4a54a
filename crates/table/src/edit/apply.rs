//! Applies an edit to a head.

use cassiashunt_platform::MAX_VALUE_BYTES;
use cassiashunt_types::{KeyId, Revision, Workspace};

use super::{Change, Conflict, Current, Edit, Error, Invalid};
use crate::{
    Binding, Column, Endpoint, Head, KeyRecord, KeyState, Record, RowKey, Value, Verifier,
};

/// The maximum size of an edit's audit record, in bytes.
pub const MAX_EDIT_BYTES: usize = 250_000;

/// Returns the head with the edit applied, under the next revision.
///
/// # Errors
///
/// Fails with the change that could not be applied and the reason; no change is applied then.
pub fn apply(head: &Head, edit: &Edit) -> Result<Head, Error> {
    let revision = head.revision().next();
    let line = head.line_after(edit.id, revision);
    let record = Record::of(edit, revision, line);
    let bytes = record.bytes();
    if bytes > MAX_EDIT_BYTES {
        return Err(Error::EditTooLarge { bytes });
    }
    let mut next = head.clone();
    for change in &edit.changes {
        apply_change(&mut next, revision, change)?;
    }
    next.push(record);
    check_size(next)
}

fn check_size(head: Head) -> Result<Head, Error> {
    let bytes = head.to_bytes().len();
    if bytes > MAX_VALUE_BYTES {
        return Err(Error::HeadTooLarge { bytes });
    }
    Ok(head)
}

/// Applies one change without recording it.
pub(crate) fn apply_change(
    head: &mut Head,
    revision: Revision,
    change: &Change,
) -> Result<(), Error> {
    match change {
        Change::Cell {
            row,
            column,
            old,
            new,
        } => set_cell(head, (*row, *column), *old, *new),
        Change::Route { endpoint, old, new } => bind(head, endpoint, *old, *new),
        Change::GiveKey {
            workspace,
            verifier,
        } => give_key(head, revision, *workspace, *verifier),
        Change::WithdrawKey { id } => withdraw_key(head, revision, *id),
        Change::ForgetKey { id } => forget_key(head, *id),
    }
}

fn set_cell(
    head: &mut Head,
    (row, column): (RowKey, Column),
    old: Option<Value>,
    new: Option<Value>,
) -> Result<(), Error> {
    let current = head.table().get(&row, column);
    if current != old {
        return conflict(
            Change::Cell {
                row,
                column,
                old,
                new,
            },
            Current::Cell(current),
        );
    }
    let outcome = head.table_mut().set(row, column, new);
    outcome.map_err(|err| Error::Invalid(Invalid::Value(err)))
}

fn bind(
    head: &mut Head,
    endpoint: &Endpoint,
    old: Option<Binding>,
    new: Option<Binding>,
) -> Result<(), Error> {
    let current = head.table().binding(endpoint);
    if current != old {
        let endpoint = endpoint.clone();
        return conflict(
            Change::Route { endpoint, old, new },
            Current::Route(current),
        );
    }
    head.table_mut().bind(endpoint.clone(), new);
    Ok(())
}

fn give_key(
    head: &mut Head,
    changed: Revision,
    workspace: Workspace,
    verifier: Verifier,
) -> Result<(), Error> {
    if workspace.as_str() == "*" {
        return Err(Error::Invalid(Invalid::Workspace(workspace)));
    }
    let id = verifier.key_id();
    if let Some(held) = head.keys().get(id) {
        let change = Change::GiveKey {
            workspace,
            verifier,
        };
        return conflict(change, Current::Key(Some(held.state)));
    }
    let record = KeyRecord {
        workspace,
        verifier,
        state: KeyState::Active,
        changed,
    };
    head.keys_mut().put(id, Some(record));
    Ok(())
}

fn withdraw_key(head: &mut Head, changed: Revision, id: KeyId) -> Result<(), Error> {
    let held = head.keys().get(id);
    let Some(active) = held.filter(|held| held.state == KeyState::Active) else {
        let current = Current::Key(held.map(|held| held.state));
        return conflict(Change::WithdrawKey { id }, current);
    };
    let record = KeyRecord {
        state: KeyState::Withdrawn,
        changed,
        ..active
    };
    head.keys_mut().put(id, Some(record));
    Ok(())
}

fn forget_key(head: &mut Head, id: KeyId) -> Result<(), Error> {
    match head.keys().get(id).map(|held| held.state) {
        Some(KeyState::Withdrawn) => {
            head.keys_mut().put(id, None);
            Ok(())
        }
        Some(KeyState::Active) => Err(Error::Invalid(Invalid::KeyInUse(id))),
        None => conflict(Change::ForgetKey { id }, Current::Key(None)),
    }
}

fn conflict(change: Change, current: Current) -> Result<(), Error> {
    Err(Conflict { change, current }.into())
}
