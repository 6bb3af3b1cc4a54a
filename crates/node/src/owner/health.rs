//! Whether the backend server is up, by its state chart.

use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

use cassiashunt_chart::{Chart, Machine};

static CHART: LazyLock<Chart> = LazyLock::new(|| {
    Chart::parse(include_str!("../../charts/server.toml")).expect("a test reads this chart")
});

/// What is seen of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sight {
    /// It answers.
    Answer,
    /// It takes no connection.
    Refuse,
    /// The node stops.
    Leave,
}

impl Sight {
    const fn event(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Refuse => "refuse",
            Self::Leave => "leave",
        }
    }
}

/// The server's state.
#[derive(Debug)]
pub(crate) struct Health {
    machine: Mutex<Machine<'static>>,
}

impl Health {
    /// A server that nobody has seen yet.
    pub(crate) fn new() -> Self {
        Self {
            machine: Mutex::new(Machine::new(&CHART)),
        }
    }

    /// Takes in what was seen; `true` where the state changed by it.
    pub(crate) fn see(&self, sight: Sight) -> bool {
        let event = CHART
            .event(sight.event())
            .expect("the chart lists every sight");
        let mut machine = self.lock();
        let before = machine.state();
        // Once gone, nothing that is seen matters.
        let fired = machine.fire(event);
        fired.is_ok_and(|step| step.to != before)
    }

    /// The state's name.
    pub(crate) fn name(&self) -> &'static str {
        CHART.state_name(self.lock().state())
    }

    /// Whether requests may be run.
    pub(crate) fn is_up(&self) -> bool {
        self.name() == "up"
    }

    fn lock(&self) -> MutexGuard<'_, Machine<'static>> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
