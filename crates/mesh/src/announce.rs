//! What backend servers say of themselves, and what their nodes tell each other of them.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a backend server is ready for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// No server is known to be there.
    #[default]
    Absent,
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A backend server's word about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The server's id; another start has mostly another one.
    pub server: String,
    /// When the server started, in Unix milliseconds, where told.
    pub started_ms: Option<u64>,
    /// Rises with every heartbeat of one start.
    pub sequence: u64,
    /// The service that it runs.
    pub service: Service,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it is ready for.
    pub state: ServerState,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
}

/// What a node tells the fleet about its backend server and itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announcement {
    /// This start of the node.
    pub incarnation: NodeId,
    /// Where peers reach the node, as `ip:port`.
    pub address: String,
    /// The failure domain.
    pub domain: FailureDomain,
    /// The service of the backend server.
    pub service: Service,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// What the server is ready for.
    pub state: ServerState,
    /// Whether the server was slow after its start when this was written.
    pub is_cold: bool,
    /// Whether the node itself is stopping.
    pub is_stopping: bool,
}
