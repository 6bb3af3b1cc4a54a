//! Turns refusals and waiting into a shedding level.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{Level, Priority};

/// The time between two steps of the level.
const STEP: Duration = Duration::from_millis(100);
/// How long a priority counts as present after its last request.
const PRESENCE: Duration = Duration::from_secs(60);
/// The least rise of the share in an overloaded step.
const MIN_RISE: f64 = 0.05;
/// The fall of the share in a step without overload.
const FALL: f64 = 0.02;
/// The fall of the share in a step in which the server was half idle.
const IDLE_FALL: f64 = 0.2;
/// The load, in parts of the concurrency limit, below which the server is half idle.
const IDLE_LOAD: f64 = 0.5;
/// The largest share; the rest keeps the owner informed.
const MAX_SHARE: f64 = 0.98;

/// Watches one backend server's overload in steps.
#[derive(Debug)]
pub(crate) struct Meter {
    started: Time,
    offered: u32,
    refused: u32,
    /// Whether the queue was empty at some point of this step.
    was_empty: bool,
    peak_load: f64,
    threshold: Priority,
    share: f64,
    present: BTreeMap<Priority, Time>,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            started: Time::ZERO,
            offered: 0,
            refused: 0,
            was_empty: true,
            peak_load: 0.0,
            threshold: Priority(0),
            share: 0.0,
            present: BTreeMap::new(),
        }
    }
}

impl Meter {
    pub(crate) fn on_offer(&mut self, now: Time, priority: Priority) {
        self.offered += 1;
        self.present.insert(priority, now);
    }

    pub(crate) fn on_refusal(&mut self) {
        self.refused += 1;
    }

    /// Takes in the state after an event, and steps the level when it is time.
    pub(crate) fn observe(&mut self, now: Time, load: f64, is_queue_empty: bool) {
        self.was_empty |= is_queue_empty;
        self.peak_load = self.peak_load.max(load);
        if now.since(self.started) >= STEP {
            self.step(now);
            self.was_empty = is_queue_empty;
            self.peak_load = load;
        }
    }

    pub(crate) fn level(&self) -> Level {
        Level {
            threshold: self.threshold,
            share: (self.share * 256.0) as u8,
        }
    }

    fn step(&mut self, now: Time) {
        let steps = now.since(self.started).as_secs_f64() / STEP.as_secs_f64();
        self.present.retain(|_, seen| now.since(*seen) <= PRESENCE);
        if self.refused > 0 || !self.was_empty {
            let excess = f64::from(self.refused) / f64::from(self.offered.max(self.refused).max(1));
            self.rise(excess);
        } else {
            let fall = if self.peak_load < IDLE_LOAD {
                IDLE_FALL
            } else {
                FALL
            };
            self.fall(fall * steps);
        }
        self.started = now;
        self.offered = 0;
        self.refused = 0;
    }

    fn rise(&mut self, excess: f64) {
        self.skip_absent();
        self.share += (excess * (1.0 - self.share)).max(MIN_RISE);
        if self.share <= MAX_SHARE {
            return;
        }
        match self.present.range(self.threshold..).nth(1) {
            Some((&next, _)) => {
                self.threshold = next;
                self.share = 0.0;
            }
            None => self.share = MAX_SHARE,
        }
    }

    /// Moves up to the lowest priority that is present at or above the threshold.
    fn skip_absent(&mut self) {
        if let Some((&next, _)) = self.present.range(self.threshold..).next()
            && next != self.threshold
        {
            self.threshold = next;
            self.share = 0.0;
        }
    }

    fn fall(&mut self, by: f64) {
        self.share -= by;
        if self.share > 0.0 {
            return;
        }
        match self.present.range(..self.threshold).next_back() {
            Some((&below, _)) => {
                self.threshold = below;
                self.share = (1.0 + self.share).clamp(0.0, MAX_SHARE);
            }
            None => {
                self.threshold = Priority(0);
                self.share = 0.0;
            }
        }
    }
}
