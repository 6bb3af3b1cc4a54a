//! Errors of applying an edit.

use std::fmt;

use cassiashunt_types::{KeyId, Workspace};
use serde::{Deserialize, Serialize};

use super::Change;
use crate::{Binding, InvalidValue, KeyState, Value};

/// The current state where an edit expected another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Current {
    /// The value of a cell; `None` if it is empty.
    Cell(Option<Value>),
    /// The binding of an endpoint; `None` if it is not bound.
    Route(Option<Binding>),
    /// The state of a key; `None` if there is no such key.
    Key(Option<KeyState>),
}

/// A change whose expected state differs from the current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Conflict {
    /// The change that failed.
    pub change: Change,
    /// The current state.
    pub current: Current,
}

/// Why a change is invalid, whatever the current state of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invalid {
    /// The column does not allow the value.
    Value(InvalidValue),
    /// A key cannot belong to the default workspace.
    Workspace(Workspace),
    /// An active key cannot be forgotten; it has to be withdrawn first.
    KeyInUse(KeyId),
}

/// Why an edit was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The expected state of a change differs from the current one.
    Conflict(Box<Conflict>),
    /// A change is invalid.
    Invalid(Invalid),
    /// The edit has more than [`MAX_EDIT_BYTES`](super::MAX_EDIT_BYTES).
    EditTooLarge {
        /// The size of the edit, in bytes.
        bytes: usize,
    },
    /// The head would have more bytes than the platform allows in a value.
    HeadTooLarge {
        /// The size that the head would have, in bytes.
        bytes: usize,
    },
}

impl From<Conflict> for Error {
    fn from(conflict: Conflict) -> Self {
        Self::Conflict(Box::new(conflict))
    }
}

impl fmt::Display for Current {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cell(Some(value)) => write!(f, "the cell holds {value}"),
            Self::Cell(None) => f.write_str("the cell is empty"),
            Self::Route(Some(binding)) => write!(f, "the endpoint is bound to {binding}"),
            Self::Route(None) => f.write_str("the endpoint is not bound"),
            Self::Key(Some(KeyState::Active)) => f.write_str("the key is active"),
            Self::Key(Some(KeyState::Withdrawn)) => f.write_str("the key is withdrawn"),
            Self::Key(None) => f.write_str("there is no such key"),
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Cell { row, column, .. } => write!(f, "{row} {column}: ")?,
            Change::Route { endpoint, .. } => write!(f, "{endpoint}: ")?,
            Change::GiveKey { verifier, .. } => write!(f, "key {}: ", verifier.key_id())?,
            Change::WithdrawKey { id } | Change::ForgetKey { id } => write!(f, "key {id}: ")?,
        }
        write!(f, "{}; look again and repeat the edit", self.current)
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value(err) => err.fmt(f),
            Self::Workspace(name) => write!(f, "a key cannot belong to workspace {name}"),
            Self::KeyInUse(id) => write!(f, "key {id} still works; withdraw it first"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(conflict) => conflict.fmt(f),
            Self::Invalid(invalid) => invalid.fmt(f),
            Self::EditTooLarge { bytes } => {
                let max = super::MAX_EDIT_BYTES;
                write!(f, "the edit has {bytes} bytes, more than {max}; split it")
            }
            Self::HeadTooLarge { bytes } => write!(
                f,
                "with this edit the table would have {bytes} bytes, more than the platform keeps \
                 in a value; remove rows or forget withdrawn keys first"
            ),
        }
    }
}

impl std::error::Error for Error {}
