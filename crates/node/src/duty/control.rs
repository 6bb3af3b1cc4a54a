//! What the control thread shares with the request path.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        OnceLock, PoisonError, RwLock,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::SyncSender,
    },
};

use cassiashunt_types::prelude::*;
use cassiashunt_wire::Seal;

use super::event::Event;
use crate::link::Peer;

/// Where a node is found.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place {
    pub addr: SocketAddr,
    pub domain: FailureDomain,
}

/// The control thread's results, for the request path to read.
#[derive(Debug)]
pub(crate) struct Control {
    seal: Seal,
    addr: SocketAddr,
    in_touch_until: AtomicU64,
    open_homes: AtomicUsize,
    places: RwLock<HashMap<NodeId, Place>>,
    applied: RwLock<HashMap<NodeId, Revision>>,
    own_relays: RwLock<Vec<Peer>>,
    events: OnceLock<SyncSender<Event>>,
}

impl Control {
    /// A node that is out of touch and knows nobody.
    pub(crate) fn new(seal: Seal, addr: SocketAddr) -> Self {
        Self {
            seal,
            addr,
            in_touch_until: AtomicU64::new(0),
            open_homes: AtomicUsize::new(usize::MAX),
            places: RwLock::default(),
            applied: RwLock::default(),
            own_relays: RwLock::default(),
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
        self.place_of(node).map(|place| place.domain)
    }

    /// Where a node is reached by control messages.
    pub(crate) fn addr_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.place_of(node).map(|place| place.addr)
    }

    fn place_of(&self, node: NodeId) -> Option<Place> {
        let places = self.places.read().unwrap_or_else(PoisonError::into_inner);
        places.get(&node).copied()
    }

    /// This node.
    pub(crate) fn id(&self) -> NodeId {
        self.seal.node()
    }

    /// Shards of idempotency keys that nobody holds, or that this node holds and cannot act for.
    pub(crate) fn open_homes(&self) -> usize {
        self.open_homes.load(Ordering::Acquire)
    }

    pub(super) fn set_open_homes(&self, open: usize) {
        self.open_homes.store(open, Ordering::Release);
    }

    /// Where other nodes reach this one.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(super) fn seal(&self) -> &Seal {
        &self.seal
    }

    /// Tells the control thread something, waiting for room.
    pub(crate) fn tell(&self, event: Event) {
        let told = self.events.get().map(|tx| tx.send(event));
        if !matches!(told, Some(Ok(()))) {
            log::error!(event = "control-thread-gone"; "");
        }
    }

    /// Asks every live node which revisions it has in force; the answers come in later.
    pub(crate) fn ask_applied(&self) {
        self.tell(Event::AskApplied);
    }

    /// Live nodes that are not known to have `revision` in force.
    pub(crate) fn behind(&self, revision: Revision) -> Vec<NodeId> {
        let applied = self.applied.read().unwrap_or_else(PoisonError::into_inner);
        let places = self.places.read().unwrap_or_else(PoisonError::into_inner);
        let is_behind = |node: &NodeId| applied.get(node).is_none_or(|known| *known < revision);
        places.keys().copied().filter(is_behind).collect()
    }

    pub(super) fn set_events(&self, tx: SyncSender<Event>) {
        if self.events.set(tx).is_err() {
            log::error!(event = "control-set-twice"; "");
        }
    }

    /// The bearers of the roles of this failure domain's relays, as far as they are known.
    pub(super) fn own_relays(&self) -> Vec<Peer> {
        self.own_relays
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(super) fn set_own_relays(&self, relays: Vec<Peer>) {
        *self
            .own_relays
            .write()
            .unwrap_or_else(PoisonError::into_inner) = relays;
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

    pub(super) fn set_place(&self, node: NodeId, place: Place) {
        let mut places = self.places.write().unwrap_or_else(PoisonError::into_inner);
        places.insert(node, place);
    }

    pub(super) fn forget(&self, node: NodeId) {
        let mut places = self.places.write().unwrap_or_else(PoisonError::into_inner);
        places.remove(&node);
        drop(places);
        let mut applied = self.applied.write().unwrap_or_else(PoisonError::into_inner);
        applied.remove(&node);
    }
}
