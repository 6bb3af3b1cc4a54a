//! The columns of the table.

use std::{fmt, ops::RangeInclusive, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{RowKey, Value};

/// The type of the values of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ValueType {
    /// An unsigned 32-bit integer; see [`Column::check`] for the range of each column.
    Number,
    /// A boolean, written `yes` or `no`.
    Flag,
    /// A rate in requests per second.
    Rate,
}

/// A column of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Column {
    /// The weight in the sharing of a contended server among requests of the same priority, 1 to
    /// 1000.
    Weight,
    /// The sustained rate of the whole workspace, in requests per second.
    Rate,
    /// The burst that the whole workspace may send above its rate, in requests.
    Burst,
    /// The maximum number of requests in any one-minute window.
    PerMinute,
    /// The shedding priority, 0 to 255; higher values are shed last.
    Priority,
    /// Whether a request may safely run more than once.
    Idempotent,
    /// Whether the route accepts callers without an API key.
    Open,
    /// The deadline of a request in milliseconds if the caller sets none, 1 to 600000.
    DeadlineMs,
    /// The retries that a request may cause along its whole chain, 0 to 16.
    Retries,
}

/// A value that a column does not accept, or a row in which the column cannot be set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// The column that rejected the value.
    pub column: Column,
    /// What is wrong, and which values or rows are valid.
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

    /// The type of the column's values.
    #[must_use]
    pub const fn value_type(self) -> ValueType {
        match self {
            Self::Rate => ValueType::Rate,
            Self::Idempotent | Self::Open => ValueType::Flag,
            _ => ValueType::Number,
        }
    }

    /// Parses a value of this column.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a value of the column's type or is out of range.
    pub fn parse(self, text: &str) -> Result<Value, InvalidValue> {
        let value = match self.value_type() {
            ValueType::Number => parse_number(text).map(Value::Number),
            ValueType::Flag => parse_flag(text).map(Value::Flag),
            ValueType::Rate => text.parse().ok().map(Value::Rate),
        };
        let value = value.ok_or_else(|| self.invalid(format!("{text:?} is no value")))?;
        self.check(value)?;
        Ok(value)
    }

    /// Checks that a value has the column's type and is in its range.
    ///
    /// # Errors
    ///
    /// Fails with the valid range if the value is out of range.
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

    /// Checks that the column can be set in this row.
    ///
    /// # Errors
    ///
    /// Fails with the rows in which the column can be set.
    pub fn check_row(self, row: &RowKey) -> Result<(), InvalidValue> {
        let workspace_wide = matches!(self, Self::Rate | Self::Burst);
        if workspace_wide && !row.is_workspace_wide() {
            let detail = "holds for whole workspaces; set it where route and class are *";
            return Err(self.invalid(detail.into()));
        }
        if self == Self::Open && !row.workspace.is_any() {
            let detail = "holds for callers without a workspace; set it where the workspace is *";
            return Err(self.invalid(detail.into()));
        }
        Ok(())
    }

    /// The valid numbers of the column.
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

fn parse_number(text: &str) -> Option<u32> {
    let digits_only = text.bytes().all(|byte| byte.is_ascii_digit());
    digits_only.then(|| text.parse().ok())?
}

fn parse_flag(text: &str) -> Option<bool> {
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

/// A text that is not the name of a column.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownColumn {
    /// The rejected text.
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
