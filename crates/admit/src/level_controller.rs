//! Controls the shedding level of one backend server by its refusals and its load.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{Level, Priority};

/// The minimum time between two steps of the level.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a priority counts as in use after its last request.
const PRIORITY_IN_USE_TIME: Duration = Duration::from_secs(600);
/// The set point: the share of offered requests that an owner still refuses itself. It is above
/// zero to keep the server busy.
const TARGET_REFUSED_SHARE: f64 = 0.05;
/// The fraction of the distance to the set point by which the share changes in a step.
const STEP_GAIN: f64 = 0.3;
/// The decrease of the share in a step in which the server was idle; proportionally less if it was
/// partly idle.
const IDLE_SHARE_DECREASE: f64 = 0.4;
/// The maximum share; the owner measures its overload with the requests that are still admitted.
const MAX_SHED_SHARE: f64 = 0.95;

/// The controller of one backend server's shedding level.
#[derive(Debug)]
pub(crate) struct LevelController {
    step_started: Time,
    offered: u32,
    refused: u32,
    /// The sum of the observed loads, and their number.
    load_sum: f64,
    observations: u32,
    threshold: Priority,
    share: f64,
    last_offered: BTreeMap<Priority, Time>,
}

impl Default for LevelController {
    fn default() -> Self {
        Self {
            step_started: Time::ZERO,
            offered: 0,
            refused: 0,
            load_sum: 0.0,
            observations: 0,
            threshold: Priority(0),
            share: 0.0,
            last_offered: BTreeMap::new(),
        }
    }
}

impl LevelController {
    pub(crate) fn on_offer(&mut self, now: Time, priority: Priority) {
        self.offered += 1;
        self.last_offered.insert(priority, now);
    }

    pub(crate) fn on_refusal(&mut self) {
        self.refused += 1;
    }

    /// Records the load after an event, and updates the level if a step is due.
    pub(crate) fn observe(&mut self, now: Time, load: f64) {
        self.load_sum += load;
        self.observations += 1;
        if now.since(self.step_started) >= STEP_INTERVAL {
            self.step(now);
            self.load_sum = 0.0;
            self.observations = 0;
        }
    }

    pub(crate) fn level(&self) -> Level {
        Level {
            threshold: self.threshold,
            share: (self.share * 256.0) as u8,
        }
    }

    fn step(&mut self, now: Time) {
        let steps = now.since(self.step_started).as_secs_f64() / STEP_INTERVAL.as_secs_f64();
        self.last_offered
            .retain(|_, offered_at| now.since(*offered_at) <= PRIORITY_IN_USE_TIME);
        let refused = f64::from(self.refused) / f64::from(self.offered.max(self.refused).max(1));
        let idle = (1.0 - self.load_sum / f64::from(self.observations.max(1))).max(0.0);
        if refused > TARGET_REFUSED_SHARE {
            self.increase(STEP_GAIN * (refused - TARGET_REFUSED_SHARE));
        } else {
            self.decrease(
                (STEP_GAIN * (TARGET_REFUSED_SHARE - refused)).max(IDLE_SHARE_DECREASE * idle)
                    * steps,
            );
        }
        self.step_started = now;
        self.offered = 0;
        self.refused = 0;
    }

    /// Increases the share by `fraction` of the requests that are not shed yet. Above the maximum,
    /// moves the threshold up to the next priority in use.
    fn increase(&mut self, fraction: f64) {
        self.skip_unused_priorities();
        self.share += fraction * (1.0 - self.share);
        if self.share <= MAX_SHED_SHARE {
            return;
        }
        match self.last_offered.range(self.threshold..).nth(1) {
            Some((&next, _)) => {
                self.threshold = next;
                self.share = 0.0;
            }
            None => self.share = MAX_SHED_SHARE,
        }
    }

    /// Moves the threshold up to the lowest priority in use at or above it.
    fn skip_unused_priorities(&mut self) {
        if let Some((&next, _)) = self.last_offered.range(self.threshold..).next()
            && next != self.threshold
        {
            self.threshold = next;
            self.share = 0.0;
        }
    }

    fn decrease(&mut self, by: f64) {
        self.share -= by;
        if self.share > 0.0 {
            return;
        }
        match self.last_offered.range(..self.threshold).next_back() {
            Some((&previous, _)) => {
                self.threshold = previous;
                self.share = (1.0 + self.share).clamp(0.0, MAX_SHED_SHARE);
            }
            None => {
                self.threshold = Priority(0);
                self.share = 0.0;
            }
        }
    }
}
