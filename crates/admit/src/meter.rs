//! Turns refusals and waiting into a shedding level.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{Level, Priority};

/// The time between two steps of the level.
const STEP: Duration = Duration::from_millis(100);
/// How long a priority counts as present after its last request.
const PRESENCE: Duration = Duration::from_secs(600);
/// The share of offered requests that an owner refuses itself when the level is right. It keeps
/// the server busy.
const TARGET_REFUSED: f64 = 0.05;
/// The part of the distance to the target by which the share moves in a step.
const GAIN: f64 = 0.3;
/// The fall of the share in a step in which the server was idle; in proportion where it was partly.
const IDLE_FALL: f64 = 0.4;
/// The largest share; the rest keeps the owner informed.
const MAX_SHARE: f64 = 0.95;

/// Watches one backend server's overload in steps.
#[derive(Debug)]
pub(crate) struct Meter {
    started: Time,
    offered: u32,
    refused: u32,
    /// The sum of the loads that were observed, and their number.
    load_sum: f64,
    observed: u32,
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
            load_sum: 0.0,
            observed: 0,
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
    pub(crate) fn observe(&mut self, now: Time, load: f64) {
        self.load_sum += load;
        self.observed += 1;
        if now.since(self.started) >= STEP {
            self.step(now);
            self.load_sum = 0.0;
            self.observed = 0;
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
        let refused = f64::from(self.refused) / f64::from(self.offered.max(self.refused).max(1));
        let idle = (1.0 - self.load_sum / f64::from(self.observed.max(1))).max(0.0);
        if refused > TARGET_REFUSED {
            self.rise(GAIN * (refused - TARGET_REFUSED));
        } else {
            self.fall((GAIN * (TARGET_REFUSED - refused)).max(IDLE_FALL * idle) * steps);
        }
        self.started = now;
        self.offered = 0;
        self.refused = 0;
    }

    /// Raises the share by a part of what is not shed yet.
    fn rise(&mut self, part: f64) {
        self.skip_absent();
        self.share += part * (1.0 - self.share);
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
