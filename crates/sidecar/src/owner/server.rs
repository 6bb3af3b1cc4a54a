//! The state of the backend server as this node knows it.

use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;

use super::identify::ProbeAnswer;

/// The slots of a server that has announced none.
const DEFAULT_SLOTS: u32 = 8;

/// The current start of the backend server.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) slots: u32,
    pub(crate) state: ServerState,
    pub(crate) warm_at: Time,
}

impl Server {
    /// The state of a server that answered a probe.
    pub(crate) fn from_probe(answer: ProbeAnswer, now: Time) -> Self {
        Self {
            id: answer.id,
            slots: answer.slots.unwrap_or(DEFAULT_SLOTS),
            state: ServerState::Ready,
            warm_at: now + answer.warm_up,
        }
    }

    /// The state of a server that sent a heartbeat.
    pub(crate) fn from_heartbeat(heartbeat: &Heartbeat, now: Time) -> Self {
        Self {
            id: heartbeat.server.clone(),
            slots: if heartbeat.slots == 0 {
                DEFAULT_SLOTS
            } else {
                heartbeat.slots
            },
            state: heartbeat.state,
            warm_at: now + heartbeat.warm_up,
        }
    }

    /// Whether a heartbeat of the same start changes the state or slots. A draining server never becomes
    /// ready again.
    pub(crate) fn is_changed_by(&self, heartbeat: &Heartbeat) -> bool {
        let is_same = self.state == heartbeat.state && self.slots == heartbeat.slots;
        !is_same && self.state != ServerState::Draining
    }

    /// Applies a heartbeat of the same start.
    pub(crate) fn apply(&mut self, heartbeat: &Heartbeat, now: Time) {
        if heartbeat.slots > 0 {
            self.slots = heartbeat.slots;
        }
        self.warm_at = now + heartbeat.warm_up;
        if self.state != ServerState::Draining {
            self.state = heartbeat.state;
        }
    }
}
