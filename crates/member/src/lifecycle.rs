//! A node's own life, walked along the member chart.

use std::sync::LazyLock;

use cassiashunt_chart::{Chart, Machine, NotAllowed};
use cassiashunt_types::prelude::*;

use crate::{MEMBER_CHART, Phase};

static CHART: LazyLock<Chart> =
    LazyLock::new(|| Chart::parse(MEMBER_CHART).expect("a test reads the embedded chart"));

/// An event of the member chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Peers answered, or there are none.
    Joined,
    /// The backend server has finished its cold start.
    Warm,
    /// The backend server was restarted and is cold again.
    Cool,
    /// The node is asked to leave.
    Drain,
    /// Nothing is in flight any more.
    Drained,
    /// Peers were told goodbye.
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

/// One node's place in the member chart, and whether it takes new work.
///
/// The owning node asks [`may_accept`](Self::may_accept) at the moment it is about to take a
/// request, so that no peer's view of it matters.
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

    /// The state that the node is in.
    #[must_use]
    pub fn phase(&self) -> Phase {
        Phase::from_name(CHART.state_name(self.machine.state()))
            .expect("a test checks that chart and phases agree")
    }

    /// Follows one step of the chart and gives the phase that is entered.
    ///
    /// # Errors
    ///
    /// [`NotAllowed`] where the chart has no such step from the present phase.
    pub fn fire(&mut self, step: Step) -> Result<Phase, NotAllowed> {
        let event = CHART.event(step.as_str());
        let event = event.expect("a test checks that chart and steps agree");
        let taken = self.machine.fire(event)?;
        match taken.action.map(|action| CHART.action_name(action)) {
            Some("accept-new") => self.accepting = true,
            Some("refuse-new") => self.accepting = false,
            _ => {}
        }
        Ok(self.phase())
    }

    /// Closes the node to new work at `at` at the latest, whatever happens until then.
    ///
    /// For a backend server that said when it leaves. A time once set only moves forward to an
    /// earlier one.
    pub fn close_at(&mut self, at: Time) {
        let at = self.closes_at.map_or(at, |known| known.min(at));
        self.closes_at = Some(at);
    }

    /// Whether the node may take new work at `now`.
    #[must_use]
    pub fn may_accept(&self, now: Time) -> bool {
        self.accepting && self.closes_at.is_none_or(|at| now < at)
    }

    /// Whether the closing time has come while the node is not draining yet.
    #[must_use]
    pub fn must_drain(&self, now: Time) -> bool {
        self.phase() < Phase::Draining && self.closes_at.is_some_and(|at| at <= now)
    }
}
