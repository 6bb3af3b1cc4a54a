//! What this node knows of its backend server.

use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;

/// The slots of a server that has told none.
const UNKNOWN_SLOTS: u32 = 8;

/// The backend server's present start.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) service: Service,
    pub(crate) slots: u32,
    pub(crate) state: ServerState,
    pub(crate) warm_at: Time,
    born_ms: Option<u64>,
    sequence: u64,
}

/// What a heartbeat changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing: it says what is known.
    None,
    /// Nothing: it is older than what is known.
    Stale,
    /// What the same start is ready for.
    State,
    /// Another start of the server.
    Restart,
}

impl Server {
    /// A server that answered a probe.
    pub(crate) fn probed(id: String, service: Service, slots: Option<u32>, now: Time) -> Self {
        Self {
            id,
            service,
            slots: slots.unwrap_or(UNKNOWN_SLOTS),
            state: ServerState::Ready,
            warm_at: now,
            born_ms: None,
            sequence: 0,
        }
    }

    /// A server that sent a heartbeat.
    pub(crate) fn announced(beat: &Heartbeat, now: Time) -> Self {
        Self {
            id: beat.server.clone(),
            service: beat.service,
            slots: if beat.slots == 0 {
                UNKNOWN_SLOTS
            } else {
                beat.slots
            },
            state: beat.state,
            warm_at: now + beat.warm_up,
            born_ms: beat.started_ms,
            sequence: beat.sequence,
        }
    }

    /// What a heartbeat changes. Starts are ordered by the time at which they began, and the
    /// heartbeats of one start by their sequence; a server that drains does not come back.
    pub(crate) fn compare(&self, beat: &Heartbeat) -> Change {
        match (self.born_ms, beat.started_ms) {
            (Some(known), Some(told)) if told < known => return Change::Stale,
            (Some(known), Some(told)) if told > known => return Change::Restart,
            _ if self.id != beat.server => return Change::Restart,
            _ => {}
        }
        if beat.sequence <= self.sequence && self.sequence > 0 {
            return Change::Stale;
        }
        let is_same = self.state == beat.state && self.slots == beat.slots;
        let is_known = is_same && self.service == beat.service;
        if is_known || self.state == ServerState::Draining {
            Change::None
        } else {
            Change::State
        }
    }

    /// Takes in a heartbeat of the same start.
    pub(crate) fn take_in(&mut self, beat: &Heartbeat, now: Time) {
        self.sequence = self.sequence.max(beat.sequence);
        self.born_ms = self.born_ms.or(beat.started_ms);
        if beat.slots > 0 {
            self.slots = beat.slots;
        }
        self.service = beat.service;
        self.warm_at = now + beat.warm_up;
        if self.state != ServerState::Draining {
            self.state = beat.state;
        }
    }
}
