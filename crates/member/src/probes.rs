//! Whom to probe next, and which probes are not answered yet.

use std::{collections::BTreeMap, net::SocketAddr};

use cassiashunt_types::prelude::*;

use crate::Options;

/// A question that is not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Probe {
    /// The process that was asked; `None` for whoever holds the address.
    pub target: Option<NodeId>,
    /// Where it was asked.
    pub addr: SocketAddr,
    /// When it was asked.
    pub sent: Time,
    /// Others were asked to probe it as well.
    pub relayed: bool,
}

/// A question on another node's behalf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Errand {
    /// Whom to tell.
    pub asker: SocketAddr,
    /// The asker's number.
    pub seq: u32,
    /// The process that is asked.
    pub target: NodeId,
    sent: Time,
}

/// What has become of the open probes.
#[derive(Debug, Default)]
pub(crate) struct Overdue {
    /// Numbers and targets of probes for which others are to be asked now.
    pub relay: Vec<(u32, NodeId)>,
    /// Targets that have not answered in time.
    pub silent: Vec<NodeId>,
}

/// The order of probing and the open probes.
#[derive(Debug)]
pub(crate) struct Probes {
    ring: Vec<NodeId>,
    next: usize,
    seq: u32,
    open: BTreeMap<u32, Probe>,
    errands: BTreeMap<u32, Errand>,
}

impl Probes {
    /// Starts at a random number, so that answers to an earlier process are not mistaken.
    pub(crate) fn new(rng: &mut fastrand::Rng) -> Self {
        Self {
            ring: Vec::new(),
            next: 0,
            seq: rng.u32(..),
            open: BTreeMap::new(),
            errands: BTreeMap::new(),
        }
    }

    /// Adds a member at a random place of the ring.
    pub(crate) fn add(&mut self, rng: &mut fastrand::Rng, id: NodeId) {
        let place = rng.usize(0..=self.ring.len());
        self.ring.insert(place, id);
    }

    /// The next member of the ring for which `wanted` holds; others leave the ring with `false`
    /// from `kept`.
    pub(crate) fn next_target(
        &mut self,
        rng: &mut fastrand::Rng,
        kept: impl Fn(NodeId) -> bool,
        wanted: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        for _ in 0..self.ring.len() {
            if self.next >= self.ring.len() {
                self.ring.retain(|id| kept(*id));
                rng.shuffle(&mut self.ring);
                self.next = 0;
            }
            let id = *self.ring.get(self.next)?;
            self.next += 1;
            if kept(id) && wanted(id) {
                return Some(id);
            }
        }
        None
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Opens a probe and gives its number.
    pub(crate) fn open(&mut self, now: Time, target: Option<NodeId>, addr: SocketAddr) -> u32 {
        let seq = self.next_seq();
        let probe = Probe {
            target,
            addr,
            sent: now,
            relayed: false,
        };
        self.open.insert(seq, probe);
        seq
    }

    /// Closes a probe that was answered.
    pub(crate) fn close(&mut self, seq: u32) -> Option<Probe> {
        self.open.remove(&seq)
    }

    /// Opens a probe on another node's behalf.
    pub(crate) fn open_errand(
        &mut self,
        now: Time,
        asker: SocketAddr,
        seq: u32,
        target: NodeId,
    ) -> u32 {
        let own = self.next_seq();
        let errand = Errand {
            asker,
            seq,
            target,
            sent: now,
        };
        self.errands.insert(own, errand);
        own
    }

    /// Closes a probe on another node's behalf.
    pub(crate) fn close_errand(&mut self, seq: u32) -> Option<Errand> {
        self.errands.remove(&seq)
    }

    /// Closes the probes whose time is over.
    pub(crate) fn expire(&mut self, now: Time, opts: &Options) -> Overdue {
        let mut overdue = Overdue::default();
        self.errands
            .retain(|_, errand| now.since(errand.sent) < opts.probe_timeout);
        self.open.retain(|seq, probe| {
            let waited = now.since(probe.sent);
            let Some(target) = probe.target else {
                return waited < opts.probe_timeout;
            };
            if waited >= opts.probe_timeout {
                overdue.silent.push(target);
                return false;
            }
            if waited >= opts.direct_timeout && !probe.relayed {
                probe.relayed = true;
                overdue.relay.push((*seq, target));
            }
            true
        });
        overdue
    }

    /// Forgets every open probe without a verdict.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
        self.errands.clear();
    }
}
