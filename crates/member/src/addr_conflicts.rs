//! Claims about new processes at addresses that belong to other members.
//!
//! Wall clocks cannot order two processes at one address, so the address is probed: the process
//! that answers a ping sent after the other process became known has replaced it.

use std::{collections::BTreeMap, net::SocketAddr};

use cassiashunt_types::prelude::*;

use crate::msg::Update;

/// Maximum number of claims that wait for a probe at a time; further ones are dropped.
const MAX_CONFLICTS: usize = 64;

/// A claim that waits for an answer from its address.
#[derive(Debug, Clone)]
struct AddrConflict {
    update: Update,
    addr: SocketAddr,
    since: Time,
}

/// The claims that wait for an answer from their address, by the claimed process.
#[derive(Debug, Default)]
pub(crate) struct AddrConflicts {
    pending: BTreeMap<NodeId, AddrConflict>,
}

/// The result of resolving the claims to an address that has answered.
#[derive(Debug, Default)]
pub(crate) struct Resolved {
    /// The claim of the process that answered.
    pub holder: Option<Update>,
    /// Processes that it replaced.
    pub replaced: Vec<NodeId>,
}

impl AddrConflicts {
    /// Adds a claim; returns whether its address has to be probed.
    pub(crate) fn add(&mut self, now: Time, addr: SocketAddr, update: &Update) -> bool {
        let id = NodeId(update.id);
        if let Some(known) = self.pending.get_mut(&id) {
            if known.update.incarnation < update.incarnation {
                known.update = update.clone();
            }
            return false;
        }
        if self.pending.len() >= MAX_CONFLICTS {
            return false;
        }
        let conflict = AddrConflict {
            update: update.clone(),
            addr,
            since: now,
        };
        self.pending.insert(id, conflict);
        true
    }

    /// Drops a claim after its address did not answer.
    pub(crate) fn remove(&mut self, id: NodeId) {
        self.pending.remove(&id);
    }

    /// Drops every claim.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Resolves the claims to `addr`, where `holder` answered a ping sent at `ping_sent`.
    pub(crate) fn resolve(
        &mut self,
        addr: SocketAddr,
        holder: NodeId,
        ping_sent: Time,
    ) -> Resolved {
        let mut resolved = Resolved::default();
        self.pending.retain(|id, conflict| {
            if conflict.addr != addr {
                return true;
            }
            if *id == holder {
                resolved.holder = Some(conflict.update.clone());
                return false;
            }
            let is_earlier = conflict.since <= ping_sent;
            if is_earlier {
                resolved.replaced.push(*id);
            }
            !is_earlier
        });
        resolved
    }
}
