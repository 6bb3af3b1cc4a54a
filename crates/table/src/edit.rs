//! Changing the table and the keys.
//!
//! Each change of an edit names what it expects to find. Where something else stands, the whole
//! edit is a [`Conflict`] that shows it; edits of different cells do not disturb each other.

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

/// What an operator wants changed, all of it or nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Edit {
    /// Names the edit for good, so that it can be looked for when an answer was lost.
    pub id: EditId,
    /// Who asks.
    pub who: String,
    /// When they asked, as wall-clock text; shown in the audit trail and used for nothing else.
    pub when: String,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
