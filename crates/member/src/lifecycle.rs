//! A node's own lifecycle, as a run of the member state chart.

use std::sync::LazyLock;

use cassiashunt_chart::{Chart, Machine, NotAllowed};
use cassiashunt_types::prelude::*;

use crate::{MEMBER_CHART, Phase};

static CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(MEMBER_CHART).expect("the embedded member chart does not parse"));

/// An event of the member chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Peers answered, or there are no peers.
    Joined,
    /// The backend server has finished its cold start.
    Warm,
    /// The backend server was restarted and is cold again.
    Cool,
    /// The node is asked to leave.
    Drain,
    /// No request is in flight any more.
    Drained,
    /// The node has announced its departure to peers.
    Left,
    /// The process stops without draining.
    Abandon,
}

impl Step {
    /// Every step, in the order of the chart.
    pub const ALL: [Self; 7] = [
        Self::Joined,
        Self::Warm,
        Self::Cool,
        Self::Drain,
        Self::Drained,
        Self::Left,
        Self::Abandon,
    ];

    /// The event's name in the chart.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Joined => "joined",
            Self::Warm => "warm",
            Self::Cool => "cool",
            Self::Drain => "drain",
            Self::Drained => "drained",
            Self::Left => "left",
            Self::Abandon => "abandon",
        }
    }
}

/// A node's state in the member chart, and whether it accepts new work.
///
/// The owner checks [`may_accept`](Self::may_accept) when it is about to accept a request, so the
/// decision does not depend on the views of its peers.
#[derive(Debug, Clone, Copy)]
pub struct Lifecycle {
    machine: Machine<'static>,
    accepting: bool,
    closes_at: Option<Time>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self::new()
    }
}

impl Lifecycle {
    /// A node that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self {
            machine: Machine::new(&CHART),
            accepting: false,
            closes_at: None,
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        // A test checks that the chart's states and the phases have the same names.
        Phase::from_name(CHART.state_name(self.machine.state()))
            .expect("a chart state has no phase of its name")
    }

    /// Takes one step in the chart and returns the phase that is entered.
    ///
    /// # Errors
    ///
    /// [`NotAllowed`] if the chart has no such step from the current phase.
    pub fn fire(&mut self, step: Step) -> Result<Phase, NotAllowed> {
        // A test checks that the chart's events and the steps have the same names.
        let event = CHART.event(step.as_str());
        let event = event.expect("a step has no chart event of its name");
        let taken = self.machine.fire(event)?;
        match taken.action.map(|action| CHART.action_name(action)) {
            Some("accept-new") => self.accepting = true,
            Some("refuse-new") => self.accepting = false,
            _ => {}
        }
        Ok(self.phase())
    }

    /// Refuses new work from `at` on, even if the node has not started to drain.
    ///
    /// Used when the backend server has announced when it will leave. A later call can only make
    /// the time earlier.
    pub fn close_at(&mut self, at: Time) {
        let at = self.closes_at.map_or(at, |known| known.min(at));
        self.closes_at = Some(at);
    }

    /// Whether the node may accept new work at `now`.
    #[must_use]
    pub fn may_accept(&self, now: Time) -> bool {
        self.accepting && self.closes_at.is_none_or(|at| now < at)
    }

    /// Whether the closing time has passed and the node has not started to drain.
    #[must_use]
    pub fn must_drain(&self, now: Time) -> bool {
        self.phase() < Phase::Draining && self.closes_at.is_some_and(|at| at <= now)
    }
}
