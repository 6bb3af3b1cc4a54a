//! Rows with unset columns, as the lookup stores them.

use std::time::Duration;

use crate::{Column, MinuteLimit, Rate, RateLimit, RequestPolicy, Row, Scope};

/// A row's settings, in a form that is cheap to overlay on less specific rows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Partial {
    weight: Option<u32>,
    rate: Option<Rate>,
    burst: Option<u32>,
    minute: Option<MinuteLimit>,
    priority: Option<u8>,
    idempotent: Option<bool>,
    open: Option<bool>,
    deadline_ms: Option<u32>,
    retries: Option<u32>,
}

impl Partial {
    pub(crate) fn new(row: &Row, scope: Scope) -> Self {
        let number = |column| row.get(column).and_then(|value| value.number());
        let flag = |column| row.get(column).and_then(|value| value.flag());
        let minute = |limit| MinuteLimit { limit, scope };
        Self {
            weight: number(Column::Weight),
            rate: row.get(Column::Rate).and_then(|value| value.rate()),
            burst: number(Column::Burst),
            minute: number(Column::PerMinute).map(minute),
            priority: number(Column::Priority).and_then(|value| value.try_into().ok()),
            idempotent: flag(Column::Idempotent),
            open: flag(Column::Open),
            deadline_ms: number(Column::DeadlineMs),
            retries: number(Column::Retries),
        }
    }

    /// Fills unset columns from a less specific row.
    pub(crate) fn or(self, other: &Self) -> Self {
        Self {
            weight: self.weight.or(other.weight),
            rate: self.rate.or(other.rate),
            burst: self.burst.or(other.burst),
            minute: self.minute.or(other.minute),
            priority: self.priority.or(other.priority),
            idempotent: self.idempotent.or(other.idempotent),
            open: self.open.or(other.open),
            deadline_ms: self.deadline_ms.or(other.deadline_ms),
            retries: self.retries.or(other.retries),
        }
    }

    /// Fills the remaining unset columns from the built-in defaults.
    pub(crate) fn finish(&self) -> RequestPolicy {
        let defaults = RequestPolicy::default();
        let deadline = self.deadline_ms.map(u64::from).map(Duration::from_millis);
        RequestPolicy {
            weight: self.weight.unwrap_or(defaults.weight),
            limit: self.limit(),
            minute: self.minute,
            priority: self.priority.unwrap_or(defaults.priority),
            idempotent: self.idempotent.unwrap_or(defaults.idempotent),
            open: self.open.unwrap_or(defaults.open),
            deadline: deadline.unwrap_or(defaults.deadline),
            retries: self.retries.unwrap_or(defaults.retries),
        }
    }

    /// An unset burst defaults to one second of the rate, and at least one request.
    fn limit(&self) -> Option<RateLimit> {
        let rate = self.rate?;
        let one_second = rate.milli().div_ceil(1_000).max(1);
        let burst = self.burst.unwrap_or(one_second);
        Some(RateLimit { rate, burst })
    }
}
