//! Due times, soonest first.

use std::{cmp::Reverse, collections::BinaryHeap};

use cassiashunt_types::prelude::*;
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// One timer of a [`Queue`]; never used again for another timer.
    pub struct TimerKey;
}

/// Cancelled entries that the heap may hold beyond as many as there are timers.
const STALE_ENTRIES: usize = 64;

/// A timer whose time has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// The timer; a timer without a period is gone by now.
    pub key: TimerKey,
    /// The time it was due.
    pub at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Timer {
    at: Time,
    period: Option<Duration>,
}

/// A queue of timers, one-shot or periodic.
#[derive(Debug, Default)]
pub struct Queue {
    timers: SlotMap<TimerKey, Timer>,
    heap: BinaryHeap<Reverse<(Time, TimerKey)>>,
}

impl Queue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a timer that is due `at`, and then once in every `period` where there is one.
    ///
    /// A period of zero is taken as the clock's resolution of a microsecond.
    pub fn schedule(&mut self, at: Time, period: Option<Duration>) -> TimerKey {
        let period = period.map(|period| period.max(Duration::from_micros(1)));
        let key = self.timers.insert(Timer { at, period });
        self.heap.push(Reverse((at, key)));
        key
    }

    /// Removes a timer; `false` where it was gone already.
    pub fn cancel(&mut self, key: TimerKey) -> bool {
        let known = self.timers.remove(key).is_some();
        if self.heap.len() > 2 * self.timers.len() + STALE_ENTRIES {
            self.compact();
        }
        known
    }

    /// Takes the timers due at `now`, soonest first, each at most once.
    ///
    /// A periodic timer that missed several times is due once, and next at the first multiple of
    /// its period after `now`.
    pub fn expire(&mut self, now: Time) -> Vec<Due> {
        let mut due = Vec::new();
        while let Some(&Reverse((at, key))) = self.heap.peek()
            && at <= now
        {
            self.heap.pop();
            if self.is_current(at, key) {
                due.push(Due { key, at });
                self.renew(key, now);
            }
        }
        due
    }

    /// The time of the soonest timer.
    #[must_use]
    pub fn next_due(&mut self) -> Option<Time> {
        while let Some(&Reverse((at, key))) = self.heap.peek() {
            if self.is_current(at, key) {
                return Some(at);
            }
            self.heap.pop();
        }
        None
    }

    /// Whether the timer is still to come.
    #[must_use]
    pub fn contains(&self, key: TimerKey) -> bool {
        self.timers.contains_key(key)
    }

    /// The number of timers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Whether there is no timer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    fn is_current(&self, at: Time, key: TimerKey) -> bool {
        self.timers.get(key).is_some_and(|timer| timer.at == at)
    }

    fn renew(&mut self, key: TimerKey, now: Time) {
        let Some(timer) = self.timers.get_mut(key) else {
            return;
        };
        let Some(period) = timer.period else {
            self.timers.remove(key);
            return;
        };
        timer.at = following(timer.at, period, now);
        self.heap.push(Reverse((timer.at, key)));
    }

    fn compact(&mut self) {
        self.heap = self
            .timers
            .iter()
            .map(|(key, timer)| Reverse((timer.at, key)))
            .collect();
    }
}

/// The first of `at + k * period` after `now`.
fn following(at: Time, period: Duration, now: Time) -> Time {
    let period = u64::try_from(period.as_micros()).unwrap_or(u64::MAX);
    let missed = now.as_micros().saturating_sub(at.as_micros()) / period;
    let steps = missed.saturating_add(1);
    at + Duration::from_micros(period.saturating_mul(steps))
}
