//! What fails during a phase.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A fault at a time of its phase.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TimedFault {
    /// The time since the phase began, in milliseconds.
    #[serde(default)]
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Something that fails or is mended. Servers and nodes are numbered from 0 within their service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Multiplies service times; 1 mends it.
    Slow {
        /// The service.
        service: Service,
        /// One server, or all.
        server: Option<usize>,
        /// The factor.
        factor: f64,
    },
    /// Lets a share of requests fail after their work; 0 mends it.
    Fail {
        /// The service.
        service: Service,
        /// One server, or all.
        server: Option<usize>,
        /// The share, 0 to 1.
        rate: f64,
    },
    /// Makes the load endpoint tell a multiple of the load; 1 mends it.
    LieLoad {
        /// The service.
        service: Service,
        /// One server, or all.
        server: Option<usize>,
        /// The factor.
        factor: f64,
    },
    /// Makes the health endpoint tell this whatever the truth is; none mends it.
    LieHealth {
        /// The service.
        service: Service,
        /// One server, or all.
        server: Option<usize>,
        /// What it tells.
        healthy: Option<bool>,
    },
    /// Crashes a backend server.
    KillServer {
        /// The service.
        service: Service,
        /// The server.
        server: usize,
    },
    /// Starts a crashed backend server again, cold.
    RestartServer {
        /// The service.
        service: Service,
        /// The server.
        server: usize,
    },
    /// Ends the node beside a server at once.
    KillNode {
        /// The service.
        service: Service,
        /// The server beside it.
        server: usize,
    },
    /// Shuts the node beside a server down gracefully.
    DrainNode {
        /// The service.
        service: Service,
        /// The server beside it.
        server: usize,
    },
    /// Starts a new node beside a server whose node was killed or drained.
    RestartNode {
        /// The service.
        service: Service,
        /// The server beside it.
        server: usize,
    },
    /// The platform stops answering.
    PlatformDown,
    /// The platform answers again, and at once.
    PlatformUp,
    /// The platform answers late.
    PlatformSlow {
        /// The delay of each answer, in milliseconds.
        delay_ms: u64,
    },
    /// Cuts a failure domain off from the others.
    CutDomain {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// Joins a failure domain that was cut off.
    HealDomain {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// Withdraws a workspace's key.
    WithdrawKey {
        /// The workspace.
        workspace: Workspace,
    },
}

impl Fault {
    /// The service that it names.
    #[must_use]
    pub fn service(&self) -> Option<Service> {
        match self {
            Self::Slow { service, .. }
            | Self::Fail { service, .. }
            | Self::LieLoad { service, .. }
            | Self::LieHealth { service, .. }
            | Self::KillServer { service, .. }
            | Self::RestartServer { service, .. }
            | Self::KillNode { service, .. }
            | Self::DrainNode { service, .. }
            | Self::RestartNode { service, .. } => Some(*service),
            Self::PlatformDown
            | Self::PlatformUp
            | Self::PlatformSlow { .. }
            | Self::CutDomain { .. }
            | Self::HealDomain { .. }
            | Self::WithdrawKey { .. } => None,
        }
    }

    /// The server that it names.
    #[must_use]
    pub fn server(&self) -> Option<usize> {
        match self {
            Self::Slow { server, .. }
            | Self::Fail { server, .. }
            | Self::LieLoad { server, .. }
            | Self::LieHealth { server, .. } => *server,
            Self::KillServer { server, .. }
            | Self::RestartServer { server, .. }
            | Self::KillNode { server, .. }
            | Self::DrainNode { server, .. }
            | Self::RestartNode { server, .. } => Some(*server),
            _ => None,
        }
    }
}
