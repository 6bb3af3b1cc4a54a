//! A walk through a chart.

use std::fmt;

use crate::{Chart, Event, State, Transition};

/// A machine in one state of a chart.
#[derive(Debug, Clone, Copy)]
pub struct Machine<'c> {
    chart: &'c Chart,
    state: State,
}

/// An event that the machine's state does not allow; the machine stays where it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotAllowed {
    /// The name of the machine's state.
    pub state: String,
    /// The name of the event.
    pub event: String,
}

impl fmt::Display for NotAllowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { state, event } = self;
        write!(f, "{event:?} is not allowed in state {state:?}")
    }
}

impl std::error::Error for NotAllowed {}

impl<'c> Machine<'c> {
    /// A machine in the chart's initial state.
    #[must_use]
    pub fn new(chart: &'c Chart) -> Self {
        Self::at(chart, chart.initial())
    }

    /// A machine in the given state.
    #[must_use]
    pub fn at(chart: &'c Chart, state: State) -> Self {
        Self { chart, state }
    }

    /// The state that the machine is in.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// The chart that the machine walks.
    #[must_use]
    pub fn chart(&self) -> &'c Chart {
        self.chart
    }

    /// Whether the machine has ended.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.chart.is_final(self.state)
    }

    /// Follows the transition that `event` fires.
    ///
    /// # Errors
    ///
    /// [`NotAllowed`] where no transition leaves the state on this event.
    pub fn fire(&mut self, event: Event) -> Result<Transition, NotAllowed> {
        let step = self.chart.transition(self.state, event);
        let step = step.ok_or_else(|| self.not_allowed(event))?;
        self.state = step.to;
        Ok(step)
    }

    fn not_allowed(&self, event: Event) -> NotAllowed {
        NotAllowed {
            state: self.chart.state_name(self.state).into(),
            event: self.chart.event_name(event).into(),
        }
    }
}
