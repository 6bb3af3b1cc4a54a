//! Outlier ejection of one server, on observed failures only.

use cassiashunt_types::prelude::*;

/// The weight of a new outcome in the running share of failures.
const FAILURE_GAIN: f64 = 0.1;
/// Outcomes that must have been seen before the share of failures counts.
const MIN_OUTCOMES: u32 = 10;
/// The share of failures at which a server is an outlier.
const OUTLIER_SHARE: f64 = 0.5;
/// Failures in a row at which a server is an outlier.
const OUTLIER_RUN: u32 = 5;
/// Successes in a row that end the probation.
const PROBATION_RUN: u32 = 3;
/// The largest doubling of the ejection time.
const MAX_DOUBLINGS: u32 = 5;

/// What was observed of one server.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    outcomes: u32,
    failure_share: f64,
    failure_run: u32,
    success_run: u32,
    /// Ejections without a finished probation between them.
    ejections: u32,
    state: State,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum State {
    #[default]
    In,
    /// Given nothing until then.
    Out { until: Time },
    /// Given one request at a time.
    Probation,
}

impl Ejection {
    /// The state at `now`; an ejection that has run out becomes a probation.
    pub(crate) fn state(&self, now: Time) -> State {
        match self.state {
            State::Out { until } if now >= until => State::Probation,
            state => state,
        }
    }

    pub(crate) fn on_success(&mut self, now: Time) -> Passed {
        self.count(0.0);
        self.failure_run = 0;
        self.success_run += 1;
        let is_over = self.state(now) == State::Probation && self.success_run >= PROBATION_RUN;
        if !is_over {
            return Passed::No;
        }
        *self = Self::default();
        Passed::Yes
    }

    pub(crate) fn on_failure(&mut self) {
        self.count(1.0);
        self.failure_run += 1;
        self.success_run = 0;
    }

    pub(crate) fn is_outlier(&self, now: Time) -> bool {
        let is_failing = self.outcomes >= MIN_OUTCOMES && self.failure_share >= OUTLIER_SHARE;
        let failed_again = self.state(now) == State::Probation && self.failure_run > 0;
        is_failing || failed_again || self.failure_run >= OUTLIER_RUN
    }

    pub(crate) fn eject(&mut self, now: Time, base: Duration) {
        let span = base * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        *self = Self {
            ejections: self.ejections + 1,
            state: State::Out { until: now + span },
            ..Self::default()
        };
    }

    fn count(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_share += FAILURE_GAIN * (failure - self.failure_share);
    }
}

/// Whether a success ended the probation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Passed {
    Yes,
    No,
}
