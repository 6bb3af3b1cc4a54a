//! Edits of the table and the keys.
//!
//! Each change of an edit states the current value that it expects. If the value differs, the edit
//! as a whole fails with a [`Conflict`] that shows it; edits of different cells are independent.

mod apply;
mod change;
mod error;
mod id;

use serde::{Deserialize, Serialize};

pub(crate) use apply::apply_change;
pub use apply::{MAX_EDIT_BYTES, apply};
pub use change::Change;
pub use error::{Conflict, Current, Error, Invalid};
pub use id::{EditId, InvalidEditId};

/// Changes requested by an operator, applied all or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Edit {
    /// Identifies the edit permanently, so that it can be looked up when an answer was lost.
    pub id: EditId,
    /// Who requests the edit.
    pub who: String,
    /// When it was requested, as wall-clock text; only shown in the audit trail.
    pub when: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
