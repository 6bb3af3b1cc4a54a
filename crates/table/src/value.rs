//! The content of a cell of the table.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Rate, ValueType};

/// What stands in a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// A whole number.
    Number(u32),
    /// Yes or no.
    Flag(bool),
    /// Requests for each second.
    Rate(Rate),
}

impl Value {
    /// The kind of the value.
    #[must_use]
    pub const fn value_type(self) -> ValueType {
        match self {
            Self::Number(_) => ValueType::Number,
            Self::Flag(_) => ValueType::Flag,
            Self::Rate(_) => ValueType::Rate,
        }
    }

    /// The number, where it is one.
    #[must_use]
    pub const fn number(self) -> Option<u32> {
        match self {
            Self::Number(number) => Some(number),
            _ => None,
        }
    }

    /// The flag, where it is one.
    #[must_use]
    pub const fn flag(self) -> Option<bool> {
        match self {
            Self::Flag(flag) => Some(flag),
            _ => None,
        }
    }

    /// The rate, where it is one.
    #[must_use]
    pub const fn rate(self) -> Option<Rate> {
        match self {
            Self::Rate(rate) => Some(rate),
            _ => None,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => number.fmt(f),
            Self::Flag(true) => f.pad("yes"),
            Self::Flag(false) => f.pad("no"),
            Self::Rate(rate) => f.pad(&rate.to_string()),
        }
    }
}
