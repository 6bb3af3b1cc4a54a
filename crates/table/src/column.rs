//! The columns of the table.

use std::{fmt, ops::RangeInclusive, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{RowKey, Value};

/// What kind of value stands in a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ValueType {
    /// A whole number.
    Number,
    /// Yes or no.
    Flag,
    /// Requests for each second.
    Rate,
}

/// A column of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Column {
    /// The share of a contended server in proportion to others of the same priority.
    Weight,
    /// Requests for each second in the long run, for the whole workspace.
    Rate,
    /// Requests at once on top of the rate, for the whole workspace.
    Burst,
    /// Requests in any minute.
    PerMinute,
    /// The order of shedding; higher goes last.
    Priority,
    /// Whether running a request twice does no harm.
    Idempotent,
    /// Whether the route serves callers without a key.
    Open,
    /// How long a request may take, in milliseconds, where the caller does not say.
    DeadlineMs,
    /// How many retries a request may cause along its whole chain.
    Retries,
}

/// A value that cannot stand in a column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// The column.
    pub column: Column,
    /// What was wrong, and what to write.
    pub detail: String,
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: {}", self.column, self.detail)
    }
}

impl std::error::Error for InvalidValue {}

impl Column {
    /// Every column, in the order of the CSV form.
    pub const ALL: [Self; 9] = [
        Self::Weight,
        Self::Rate,
        Self::Burst,
        Self::PerMinute,
        Self::Priority,
        Self::Idempotent,
        Self::Open,
        Self::DeadlineMs,
        Self::Retries,
    ];

    /// The column's name in CSV, JSON and on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Weight => "weight",
            Self::Rate => "rate",
            Self::Burst => "burst",
            Self::PerMinute => "per-minute",
            Self::Priority => "priority",
            Self::Idempotent => "idempotent",
            Self::Open => "open",
            Self::DeadlineMs => "deadline-ms",
            Self::Retries => "retries",
        }
    }

    /// What kind of value stands in the column.
    #[must_use]
    pub const fn value_type(self) -> ValueType {
        match self {
            Self::Rate => ValueType::Rate,
            Self::Idempotent | Self::Open => ValueType::Flag,
            _ => ValueType::Number,
        }
    }

    /// Reads a value of this column.
    ///
    /// # Errors
    ///
    /// Says what to write instead.
    pub fn parse(self, text: &str) -> Result<Value, InvalidValue> {
        let value = match self.value_type() {
            ValueType::Number => number(text).map(Value::Number),
            ValueType::Flag => flag(text).map(Value::Flag),
            ValueType::Rate => text.parse().ok().map(Value::Rate),
        };
        let value = value.ok_or_else(|| self.invalid(format!("{text:?} is no value")))?;
        self.check(value)?;
        Ok(value)
    }

    /// Checks that a value may stand in the column.
    ///
    /// # Errors
    ///
    /// Says what to write instead.
    pub fn check(self, value: Value) -> Result<(), InvalidValue> {
        if value.value_type() != self.value_type() {
            return Err(self.invalid(format!("{value} is of the wrong kind")));
        }
        let range = self.range();
        match value.number() {
            Some(number) if !range.contains(&number) => Err(self.invalid(format!(
                "{number} is out of range; write {} to {}",
                range.start(),
                range.end()
            ))),
            _ => Ok(()),
        }
    }

    /// Checks that the column has a meaning in this row.
    ///
    /// # Errors
    ///
    /// Says in which rows the column may be set.
    pub fn check_row(self, row: &RowKey) -> Result<(), InvalidValue> {
        let whole = matches!(self, Self::Rate | Self::Burst);
        if whole && !row.is_whole_workspace() {
            let detail = "holds for whole workspaces; set it where route and class are *";
            return Err(self.invalid(detail.into()));
        }
        if self == Self::Open && !row.workspace.is_any() {
            let detail = "holds for callers without a workspace; set it where the workspace is *";
            return Err(self.invalid(detail.into()));
        }
        Ok(())
    }

    /// The numbers that may stand in the column.
    const fn range(self) -> RangeInclusive<u32> {
        match self {
            Self::Weight => 1..=1_000,
            Self::Priority => 0..=255,
            Self::DeadlineMs => 1..=600_000,
            Self::Retries => 0..=16,
            _ => 0..=u32::MAX,
        }
    }

    const fn invalid(self, detail: String) -> InvalidValue {
        InvalidValue {
            column: self,
            detail,
        }
    }
}

fn number(text: &str) -> Option<u32> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit());
    plain.then(|| text.parse().ok())?
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A text that names no column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownColumn {
    /// The text as given.
    pub text: String,
}

impl fmt::Display for UnknownColumn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Column::ALL.map(Column::as_str).join(", ");
        write!(f, "{:?} is no column; there are {names}", self.text)
    }
}

impl std::error::Error for UnknownColumn {}

impl FromStr for Column {
    type Err = UnknownColumn;

    fn from_str(text: &str) -> Result<Self, UnknownColumn> {
        let found = Self::ALL.into_iter().find(|column| column.as_str() == text);
        found.ok_or_else(|| UnknownColumn { text: text.into() })
    }
}
