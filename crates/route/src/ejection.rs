//! Outlier ejection of one server, based only on failures that this node observes.

use cassiashunt_types::prelude::*;

/// The weight of a new outcome in the moving average of failures.
const FAILURE_RATE_GAIN: f64 = 0.1;
/// The number of outcomes from which the failure rate is considered.
const MIN_OUTCOMES: u32 = 10;
/// The failure rate at which a server is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// The number of consecutive failures at which a server is ejected.
const EJECTION_FAILURES_IN_A_ROW: u32 = 5;
/// The number of consecutive successes that end the probation.
const PROBATION_SUCCESSES: u32 = 3;
/// How often the ejection time may double.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// The observed outcomes of one server and its ejection state.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    outcomes: u32,
    failure_rate: f64,
    failures_in_a_row: u32,
    successes_in_a_row: u32,
    /// Ejections since the last passed probation.
    ejections: u32,
    state: State,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum State {
    #[default]
    Active,
    /// Receives no requests before `until`.
    Ejected { until: Time },
    /// Receives one request at a time.
    Probation,
}

impl Ejection {
    /// The state at `now`; an expired ejection becomes a probation.
    pub(crate) fn state(&self, now: Time) -> State {
        match self.state {
            State::Ejected { until } if now >= until => State::Probation,
            state => state,
        }
    }

    pub(crate) fn on_success(&mut self, now: Time) -> ProbationPassed {
        self.record(0.0);
        self.failures_in_a_row = 0;
        self.successes_in_a_row += 1;
        let is_over =
            self.state(now) == State::Probation && self.successes_in_a_row >= PROBATION_SUCCESSES;
        if !is_over {
            return ProbationPassed::No;
        }
        *self = Self::default();
        ProbationPassed::Yes
    }

    pub(crate) fn on_failure(&mut self) {
        self.record(1.0);
        self.failures_in_a_row += 1;
        self.successes_in_a_row = 0;
    }

    pub(crate) fn should_eject(&self, now: Time) -> bool {
        let fails_often =
            self.outcomes >= MIN_OUTCOMES && self.failure_rate >= EJECTION_FAILURE_RATE;
        let failed_in_probation = self.state(now) == State::Probation && self.failures_in_a_row > 0;
        fails_often || failed_in_probation || self.failures_in_a_row >= EJECTION_FAILURES_IN_A_ROW
    }

    pub(crate) fn eject(&mut self, now: Time, base: Duration) {
        let span = base * 2_u32.pow(self.ejections.min(MAX_EJECTION_DOUBLINGS));
        *self = Self {
            ejections: self.ejections + 1,
            state: State::Ejected { until: now + span },
            ..Self::default()
        };
    }

    fn record(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_rate += FAILURE_RATE_GAIN * (failure - self.failure_rate);
    }
}

/// Whether a success ended the probation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbationPassed {
    Yes,
    No,
}
