//! Heartbeats of backend servers, and announcements of their nodes.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Whether a backend server accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// No server is known.
    #[default]
    Absent,
    /// The server accepts new requests.
    Ready,
    /// The server finishes its running requests and accepts no new ones.
    Draining,
}

/// A backend server's report on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The server's id; a restarted server usually has a different one.
    pub server: String,
    /// The address at which the server says that it listens. The node may reach it at another one,
    /// through a proxy.
    pub address: String,
    /// The service that the server runs.
    pub service: Service,
    /// When the server started, in Unix milliseconds.
    pub started_ms: u64,
    /// Increases with every heartbeat until the server restarts.
    pub sequence: u64,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether it accepts work.
    pub state: ServerState,
    /// How much longer the server is slow after its start.
    pub warm_up: Duration,
}

/// What a node publishes about its backend server and itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announcement {
    /// Identifies this run of the node; a restart gets a new one.
    pub incarnation: NodeId,
    /// The address at which peers reach the node, as `ip:port`.
    pub address: String,
    /// The failure domain of the node.
    pub domain: FailureDomain,
    /// The service of the backend server.
    pub service: Service,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts work.
    pub state: ServerState,
    /// Whether the server was still warming up when this was written.
    pub is_cold: bool,
    /// Whether the node itself is stopping.
    pub is_stopping: bool,
}

impl Announcement {
    /// The address at which peers reach the node; `None` if no connection can be made to it.
    #[must_use]
    pub fn peer_address(&self) -> Option<SocketAddr> {
        let address: SocketAddr = self.address.parse().ok()?;
        let ip = address.ip();
        let is_usable = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
        is_usable.then_some(address)
    }

    /// Whether another announcement of the same run contradicts this one: a running node keeps its
    /// address and failure domain.
    #[must_use]
    pub fn contradicts(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation
            && (self.address != other.address || self.domain != other.domain)
    }
}
