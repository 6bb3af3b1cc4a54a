//! A single change of an edit.

use cassiashunt_types::{KeyId, Workspace};
use serde::{Deserialize, Serialize};

use crate::{Binding, Column, Endpoint, RowKey, Value, Verifier};

/// A change, with the current state that it expects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Sets or clears a cell.
    Cell {
        /// The row.
        row: RowKey,
        /// The column.
        column: Column,
        /// The value that the operator expects to replace; `None` if the cell is empty.
        old: Option<Value>,
        /// The new value; `None` clears the cell.
        new: Option<Value>,
    },
    /// Binds an endpoint, or clears its binding.
    Route {
        /// The endpoint.
        endpoint: Endpoint,
        /// The binding that the operator expects to replace; `None` if it is not bound.
        old: Option<Binding>,
        /// The new binding; `None` clears it.
        new: Option<Binding>,
    },
    /// Issues a key that has not been issued before.
    GiveKey {
        /// The workspace of its callers.
        workspace: Workspace,
        /// The verifier stored in place of the key.
        verifier: Verifier,
    },
    /// Withdraws an active key permanently.
    WithdrawKey {
        /// The key.
        id: KeyId,
    },
    /// Removes a withdrawn key from the head, to free bytes.
    ForgetKey {
        /// The key.
        id: KeyId,
    },
}
