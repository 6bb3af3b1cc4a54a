//! One change.

use cassiashunt_types::{KeyId, Workspace};
use serde::{Deserialize, Serialize};

use crate::{Binding, Column, Endpoint, RowKey, Value, Verifier};

/// A change with what it expects to find.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Sets or clears a cell.
    Cell {
        /// The row.
        row: RowKey,
        /// The column.
        column: Column,
        /// What stood there when the operator looked.
        old: Option<Value>,
        /// What is to stand there.
        new: Option<Value>,
    },
    /// Binds an endpoint, or clears its binding.
    Route {
        /// The endpoint.
        endpoint: Endpoint,
        /// What it was bound to when the operator looked.
        old: Option<Binding>,
        /// What it is to be bound to.
        new: Option<Binding>,
    },
    /// Gives a key that has not been given before.
    GiveKey {
        /// The workspace of its callers.
        workspace: Workspace,
        /// What is kept of the key.
        verifier: Verifier,
    },
    /// Withdraws an active key for good.
    WithdrawKey {
        /// The key.
        id: KeyId,
    },
    /// Removes a withdrawn key from the head, to make room.
    ForgetKey {
        /// The key.
        id: KeyId,
    },
}
