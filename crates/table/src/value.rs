//! The value of a cell of the table.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Rate, ValueType};

/// The value of a cell; its type is that of the column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// An unsigned 32-bit integer.
    Number(u32),
    /// A boolean, written `yes` or `no` in CSV.
    Flag(bool),
    /// A rate in requests per second.
    Rate(Rate),
}

impl Value {
    /// The type of the value.
    #[must_use]
    pub const fn value_type(self) -> ValueType {
        match self {
            Self::Number(_) => ValueType::Number,
            Self::Flag(_) => ValueType::Flag,
            Self::Rate(_) => ValueType::Rate,
        }
    }

    /// The number, or `None` for a value of another type.
    #[must_use]
    pub const fn number(self) -> Option<u32> {
        match self {
            Self::Number(number) => Some(number),
            _ => None,
        }
    }

    /// The flag, or `None` for a value of another type.
    #[must_use]
    pub const fn flag(self) -> Option<bool> {
        match self {
            Self::Flag(flag) => Some(flag),
            _ => None,
        }
    }

    /// The rate, or `None` for a value of another type.
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
