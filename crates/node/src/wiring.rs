//! What a program that runs a node in its own process may hand in.

use std::{fmt, net::SocketAddr, sync::Arc};

use metrics_exporter_prometheus::PrometheusHandle;

/// Says whether nothing may pass to the node at an address, for tests of cuts.
pub type Cut = Arc<dyn Fn(SocketAddr) -> bool + Send + Sync>;

/// What a program that runs a node in its own process may hand in.
#[derive(Clone, Default)]
pub struct Wiring {
    /// Renders the process's metrics on the operators' interface.
    pub metrics: Option<PrometheusHandle>,
    /// Cuts this node off from others.
    pub cut: Option<Cut>,
}

impl fmt::Debug for Wiring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Wiring").finish_non_exhaustive()
    }
}

impl Wiring {
    /// Whether nothing may pass to the node at `addr` now.
    pub(crate) fn is_cut(&self, addr: SocketAddr) -> bool {
        self.cut.as_ref().is_some_and(|cut| cut(addr))
    }
}
