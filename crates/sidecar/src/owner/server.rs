//! The state of the backend server as this node knows it.

use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;

/// The slots of a server that has announced none.
const DEFAULT_SLOTS: u32 = 8;

/// The current start of the backend server.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) slots: u32,
    pub(crate) state: ServerState,
    pub(crate) warm_at: Time,
    started_ms: Option<u64>,
    sequence: u64,
}

/// What a heartbeat changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatChange {
    /// Nothing: it repeats the known state.
    None,
    /// Nothing: it is older than the known state.
    Stale,
    /// The state or slots of the same start.
    State,
    /// Another start of the server.
    Restart,
}

impl Server {
    /// The state of a server that answered a probe.
    pub(crate) fn from_probe(id: String, slots: Option<u32>, now: Time) -> Self {
        Self {
            id,
            slots: slots.unwrap_or(DEFAULT_SLOTS),
            state: ServerState::Ready,
            warm_at: now,
            started_ms: None,
            sequence: 0,
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
            started_ms: Some(heartbeat.started_ms),
            sequence: heartbeat.sequence,
        }
    }

    /// What a heartbeat changes. Starts are ordered by their start time, and the heartbeats of one
    /// start by their sequence number; a draining server never becomes ready again.
    pub(crate) fn compare(&self, heartbeat: &Heartbeat) -> HeartbeatChange {
        let announced = heartbeat.started_ms;
        match self.started_ms {
            Some(known) if announced < known => return HeartbeatChange::Stale,
            Some(known) if announced > known => return HeartbeatChange::Restart,
            _ if self.id != heartbeat.server => return HeartbeatChange::Restart,
            _ => {}
        }
        if heartbeat.sequence <= self.sequence && self.sequence > 0 {
            return HeartbeatChange::Stale;
        }
        let is_same = self.state == heartbeat.state && self.slots == heartbeat.slots;
        if is_same || self.state == ServerState::Draining {
            HeartbeatChange::None
        } else {
            HeartbeatChange::State
        }
    }

    /// Applies a heartbeat of the same start.
    pub(crate) fn apply(&mut self, heartbeat: &Heartbeat, now: Time) {
        self.sequence = self.sequence.max(heartbeat.sequence);
        self.started_ms = Some(heartbeat.started_ms);
        if heartbeat.slots > 0 {
            self.slots = heartbeat.slots;
        }
        self.warm_at = now + heartbeat.warm_up;
        if self.state != ServerState::Draining {
            self.state = heartbeat.state;
        }
    }
}
