//! The rate at which requests start at a cold backend server.

use std::collections::VecDeque;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The window in which starts are counted: the second of the operators' bound, and the time by which
/// requests that started earlier may arrive late.
const WINDOW: Duration = Duration::from_millis(1_100);
/// The part of the window, and of its starts, that may begin at once.
const BURST_DIVISOR: u32 = 5;

/// How many requests a cold server may get.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct StartLimit {
    /// The maximum number of requests that start in any second, over all their senders; at least 1.
    pub per_second: u32,
    /// How long a server stays cold after its start at the longest.
    pub cold_time: Duration,
}

/// Counts the starts at a server, and bounds them while it is cold.
///
/// Starts are counted while it is warm, too: it may turn cold at any time, and the requests of the
/// second before count.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartRate {
    limit: Option<StartLimit>,
    /// The last starts, oldest first; as many as the limit allows in its window.
    starts: VecDeque<Time>,
    cold_until: Time,
}

impl StartRate {
    /// The rate of a server that is cold until `cold_until`.
    pub(crate) fn new(limit: Option<StartLimit>, cold_until: Time) -> Self {
        Self {
            limit,
            cold_until,
            ..Self::default()
        }
    }

    /// Changes the limit; `None` sets none.
    pub(crate) fn set_limit(&mut self, limit: Option<StartLimit>) {
        self.limit = limit;
        self.trim();
    }

    /// Records until when the server is cold.
    pub(crate) fn set_cold_until(&mut self, cold_until: Time) {
        self.cold_until = cold_until;
    }

    /// Takes all starts that are allowed in the second before `now` to have happened.
    pub(crate) fn spend(&mut self, now: Time) {
        self.starts = std::iter::repeat_n(now, self.max_starts()).collect();
    }

    pub(crate) fn on_start(&mut self, now: Time) {
        if self.limit.is_some() {
            self.starts.push_back(now);
            self.trim();
        }
    }

    /// The limit that is in force at `now`; `None` while the server is warm.
    pub(crate) fn limit(&self, now: Time) -> Option<u32> {
        let limit = self.limit.filter(|_| now < self.cold_until)?;
        Some(limit.per_second.max(1))
    }

    /// Whether a request may start at `now`.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.limit(now).is_none() || self.next_start(now) <= now
    }

    /// The time from which one more request may start.
    pub(crate) fn next_start(&self, now: Time) -> Time {
        if self.limit(now).is_none() {
            return now;
        }
        let max = self.max_starts();
        let burst = max.div_ceil(BURST_DIVISOR as usize);
        let after = |count: usize, window: Duration| {
            let at = self.starts.len().checked_sub(count)?;
            self.starts.get(at).map(|start| *start + window)
        };
        let next = [after(max, WINDOW), after(burst, WINDOW / BURST_DIVISOR)];
        next.into_iter().flatten().max().unwrap_or(now).max(now)
    }

    /// The share of the starts of the last window that is used up; 0 while the server is warm.
    pub(crate) fn used_share(&self, now: Time) -> f64 {
        let Some(limit) = self.limit(now) else {
            return 0.0;
        };
        let recent = self.starts.iter().rev();
        let recent = recent.take_while(|start| now.since(**start) < WINDOW);
        recent.count() as f64 / f64::from(limit)
    }

    /// The time in which `count` more requests start.
    pub(crate) fn time_for(&self, now: Time, count: u32) -> Duration {
        self.limit(now)
            .map_or(Duration::ZERO, |limit| WINDOW * count / limit)
    }

    fn max_starts(&self) -> usize {
        self.limit.map_or(0, |it| it.per_second.max(1) as usize)
    }

    fn trim(&mut self) {
        let extra = self.starts.len().saturating_sub(self.max_starts());
        self.starts.drain(..extra);
    }
}
