//! The probe order and the probes in flight.

use std::{collections::BTreeMap, net::SocketAddr};

use cassiashunt_types::prelude::*;

use crate::Options;

/// A probe that has not been answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Probe {
    /// The probed process; `None` for whichever process has the address.
    pub target: Option<NodeId>,
    /// The address that the ping was sent to.
    pub addr: SocketAddr,
    /// When the ping was sent.
    pub sent: Time,
    /// Whether other nodes were asked to probe the target as well.
    pub is_relayed: bool,
}

/// A probe that is sent on another node's behalf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RelayedProbe {
    /// The address that the result is sent to.
    pub requester: SocketAddr,
    /// The requester's sequence number.
    pub seq: u32,
    /// The probed process.
    pub target: NodeId,
    sent: Time,
}

/// Open probes that have passed a timeout.
#[derive(Debug, Default)]
pub(crate) struct Overdue {
    /// Sequence numbers and targets of probes that other nodes should now repeat.
    pub relay: Vec<(u32, NodeId)>,
    /// Targets that did not answer within the probe timeout.
    pub unanswered: Vec<NodeId>,
}

/// The probe order and the open probes.
#[derive(Debug)]
pub(crate) struct Probes {
    order: Vec<NodeId>,
    next: usize,
    seq: u32,
    open: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
}

impl Probes {
    /// Starts at a random sequence number, so that answers to an earlier process at this address
    /// match no probe of this one.
    pub(crate) fn new(rng: &mut fastrand::Rng) -> Self {
        Self {
            order: Vec::new(),
            next: 0,
            seq: rng.u32(..),
            open: BTreeMap::new(),
            relayed: BTreeMap::new(),
        }
    }

    /// Adds a member at a random position in the probe order.
    pub(crate) fn add(&mut self, rng: &mut fastrand::Rng, id: NodeId) {
        let index = rng.usize(0..=self.order.len());
        self.order.insert(index, id);
    }

    /// The next member in the probe order for which `is_candidate` holds.
    ///
    /// At the end of each round, ids for which `is_member` is false are removed and the others are
    /// shuffled.
    pub(crate) fn next_target(
        &mut self,
        rng: &mut fastrand::Rng,
        is_member: impl Fn(NodeId) -> bool,
        is_candidate: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        for _ in 0..self.order.len() {
            if self.next >= self.order.len() {
                self.order.retain(|id| is_member(*id));
                rng.shuffle(&mut self.order);
                self.next = 0;
            }
            let id = *self.order.get(self.next)?;
            self.next += 1;
            if is_member(id) && is_candidate(id) {
                return Some(id);
            }
        }
        None
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Opens a probe and returns its sequence number.
    pub(crate) fn open(&mut self, now: Time, target: Option<NodeId>, addr: SocketAddr) -> u32 {
        let seq = self.next_seq();
        let probe = Probe {
            target,
            addr,
            sent: now,
            is_relayed: false,
        };
        self.open.insert(seq, probe);
        seq
    }

    /// Closes a probe that was answered.
    pub(crate) fn close(&mut self, seq: u32) -> Option<Probe> {
        self.open.remove(&seq)
    }

    /// Opens a probe on another node's behalf and returns its own sequence number.
    pub(crate) fn open_relayed(
        &mut self,
        now: Time,
        requester: SocketAddr,
        seq: u32,
        target: NodeId,
    ) -> u32 {
        let own_seq = self.next_seq();
        let probe = RelayedProbe {
            requester,
            seq,
            target,
            sent: now,
        };
        self.relayed.insert(own_seq, probe);
        own_seq
    }

    /// Closes a probe on another node's behalf.
    pub(crate) fn close_relayed(&mut self, seq: u32) -> Option<RelayedProbe> {
        self.relayed.remove(&seq)
    }

    /// Closes the probes that timed out, and reports the ones that other nodes should repeat.
    pub(crate) fn expire(&mut self, now: Time, opts: &Options) -> Overdue {
        let mut overdue = Overdue::default();
        self.relayed
            .retain(|_, probe| now.since(probe.sent) < opts.probe_timeout);
        self.open.retain(|seq, probe| {
            let waited = now.since(probe.sent);
            let Some(target) = probe.target else {
                return waited < opts.probe_timeout;
            };
            if waited >= opts.probe_timeout {
                overdue.unanswered.push(target);
                return false;
            }
            if waited >= opts.direct_timeout && !probe.is_relayed {
                probe.is_relayed = true;
                overdue.relay.push((*seq, target));
            }
            true
        });
        overdue
    }

    /// Drops every open probe without suspecting its target.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
        self.relayed.clear();
    }
}
