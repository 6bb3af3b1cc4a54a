//! What the control thread shares with the request path.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        OnceLock, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
        mpsc::SyncSender,
    },
};

use cassiashunt_types::prelude::*;
use cassiashunt_wire::Seal;

use super::event::Event;

/// The control thread's results, for the request path to read.
#[derive(Debug)]
pub(crate) struct Control {
    pub(super) seal: Seal,
    pub(super) addr: SocketAddr,
    in_touch_until: AtomicU64,
    domains: RwLock<HashMap<NodeId, FailureDomain>>,
    applied: RwLock<HashMap<NodeId, Revision>>,
    events: OnceLock<SyncSender<Event>>,
}

impl Control {
    /// A node that is out of touch and knows nobody.
    pub(crate) fn new(seal: Seal, addr: SocketAddr) -> Self {
        Self {
            seal,
            addr,
            in_touch_until: AtomicU64::new(0),
            domains: RwLock::default(),
            applied: RwLock::default(),
            events: OnceLock::new(),
        }
    }

    /// Whether the node is in touch with the rest of the fleet at this moment.
    pub(crate) fn check(&self, now: Time) -> Result<(), Refusal> {
        let until = Time::from_micros(self.in_touch_until.load(Ordering::Acquire));
        if now < until {
            return Ok(());
        }
        Err(Refusal::not_run(Reason::NotInTouch).retry_after(Duration::from_secs(1)))
    }

    /// The failure domain that a node stands in.
    pub(crate) fn domain_of(&self, node: NodeId) -> Option<FailureDomain> {
        self.domains
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&node)
            .copied()
    }

    /// Asks every live node which revisions it has in force; the answers come in later.
    pub(crate) fn ask_applied(&self) {
        if let Some(tx) = self.events.get()
            && tx.try_send(Event::AskApplied).is_err()
        {
            log::warn!(event = "control-ring-full"; "the question is put again later");
        }
    }

    /// Live nodes that are not known to have `revision` in force.
    pub(crate) fn behind(&self, revision: Revision) -> Vec<NodeId> {
        let applied = self.applied.read().unwrap_or_else(PoisonError::into_inner);
        let domains = self.domains.read().unwrap_or_else(PoisonError::into_inner);
        let is_behind = |node: &NodeId| applied.get(node).is_none_or(|known| *known < revision);
        domains.keys().copied().filter(is_behind).collect()
    }

    pub(super) fn set_events(&self, tx: SyncSender<Event>) {
        if self.events.set(tx).is_err() {
            log::error!(event = "control-set-twice"; "");
        }
    }

    pub(super) fn set_applied(&self, node: NodeId, revision: Revision) {
        let mut applied = self.applied.write().unwrap_or_else(PoisonError::into_inner);
        let known = applied.entry(node).or_default();
        *known = revision.max(*known);
    }

    pub(super) fn set_in_touch_until(&self, until: Time) {
        self.in_touch_until
            .store(until.as_micros(), Ordering::Release);
    }

    pub(super) fn set_domain(&self, node: NodeId, domain: FailureDomain) {
        self.domains
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(node, domain);
    }

    pub(super) fn forget(&self, node: NodeId) {
        self.domains
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&node);
        self.applied
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&node);
    }
}
