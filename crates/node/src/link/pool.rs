//! The node's connections to others.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cassiashunt_types::prelude::*;
use cassiashunt_wire::Secret;

use super::{Link, dialer, stream::Path};
use crate::Wiring;

/// How long a failed connection is not tried again.
const BACKOFF: Duration = Duration::from_millis(200);

/// How the node connects to others.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub node: NodeId,
    pub secret: Secret,
    pub domain: FailureDomain,
    pub connect: Duration,
    pub frames: usize,
    pub cross_domain_delay: Duration,
    pub wiring: Wiring,
}

/// Where another node is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Peer {
    pub node: NodeId,
    pub addr: SocketAddr,
    pub domain: FailureDomain,
}

#[derive(Default)]
struct Slot {
    link: Option<Arc<Link>>,
    failed: Option<Instant>,
}

/// Connections by node.
pub(crate) struct Links {
    opts: Options,
    slots: Mutex<HashMap<NodeId, Slot>>,
}

impl Links {
    pub(crate) fn new(opts: Options) -> Self {
        Self {
            opts,
            slots: Mutex::default(),
        }
    }

    /// The connection to `peer`, made where there is none.
    ///
    /// # Errors
    ///
    /// Not run where the node cannot be reached, or another run answers at its address.
    pub(crate) fn get(&self, peer: Peer) -> Result<Arc<Link>, Refusal> {
        let unreachable = Refusal::not_run(Reason::NoServer);
        if let Some(found) = self.look_up(peer.node) {
            return found.ok_or(unreachable);
        }
        match self.dial(peer) {
            Ok(link) => Ok(self.keep(peer.node, link)),
            Err(err) => {
                log::debug!(event = "link-dial-failed", peer:% = peer.node; "{err}");
                self.lock().entry(peer.node).or_default().failed = Some(Instant::now());
                Err(unreachable)
            }
        }
    }

    /// Forgets a node that is gone.
    pub(crate) fn forget(&self, node: NodeId) {
        let slot = self.lock().remove(&node);
        if let Some(link) = slot.and_then(|slot| slot.link) {
            link.lose();
        }
    }

    /// Connections in use.
    pub(crate) fn len(&self) -> usize {
        self.lock()
            .values()
            .filter(|slot| slot.link.is_some())
            .count()
    }

    /// Ends every connection.
    pub(crate) fn close(&self) {
        for (_, slot) in self.lock().drain() {
            if let Some(link) = slot.link {
                link.lose();
            }
        }
    }

    /// A live connection, or `Some(None)` where one failed a moment ago.
    fn look_up(&self, node: NodeId) -> Option<Option<Arc<Link>>> {
        let slots = self.lock();
        let slot = slots.get(&node)?;
        if let Some(link) = slot.link.as_ref().filter(|link| !link.is_lost()) {
            return Some(Some(Arc::clone(link)));
        }
        let failed = slot.failed.is_some_and(|at| at.elapsed() < BACKOFF);
        failed.then_some(None)
    }

    fn dial(&self, peer: Peer) -> io::Result<Arc<Link>> {
        let crosses = peer.domain != self.opts.domain;
        let delay = if crosses {
            self.opts.cross_domain_delay
        } else {
            Duration::ZERO
        };
        let (wiring, addr) = (self.opts.wiring.clone(), peer.addr);
        let opts = dialer::Options {
            node: self.opts.node,
            secret: self.opts.secret.clone(),
            connect: self.opts.connect,
            frames: self.opts.frames,
            path: Path {
                delay,
                is_cut: Arc::new(move || wiring.is_cut(addr)),
            },
        };
        let link = Link::dial(peer.addr, &opts)?;
        if link.peer() == peer.node {
            return Ok(link);
        }
        link.lose();
        Err(io::Error::other(
            "another run of the node answers at this address",
        ))
    }

    /// Keeps a fresh connection, or another thread's that came first.
    fn keep(&self, node: NodeId, link: Arc<Link>) -> Arc<Link> {
        let mut slots = self.lock();
        let slot = slots.entry(node).or_default();
        if let Some(first) = slot.link.as_ref().filter(|first| !first.is_lost()) {
            link.lose();
            return Arc::clone(first);
        }
        slot.failed = None;
        slot.link = Some(Arc::clone(&link));
        link
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
