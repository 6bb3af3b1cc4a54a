//! Updates that are still to be passed on.

use std::collections::{BTreeMap, BTreeSet};

use cassiashunt_types::prelude::*;
use prost::Message as _;

use crate::{msg::Update, view::mix};

/// Bytes of tag and length that precede one update within a message.
const FRAME_BYTES: usize = 3;

/// The members whose state is to be passed on, with the number of times each was sent.
///
/// Only ids are kept: the update is built from the view at the time of sending.
///
/// Updates that were sent equally often are ordered by a hash that differs between nodes. If every
/// node used the same order, the last updates would wait for all the others.
#[derive(Debug)]
pub(crate) struct GossipQueue {
    salt: u64,
    sends: BTreeMap<NodeId, u32>,
    order: BTreeSet<(u32, u64, NodeId)>,
}

impl GossipQueue {
    pub(crate) fn new(me: NodeId) -> Self {
        Self {
            salt: mix(me.0),
            sends: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    fn rank(&self, id: NodeId) -> u64 {
        mix(self.salt ^ id.0)
    }

    /// Queues a member's update; one that is queued already starts again at zero sends.
    pub(crate) fn add(&mut self, id: NodeId) {
        self.remove(id);
        self.put(id, 0);
    }

    /// Queues a member's update unless it is queued already.
    pub(crate) fn add_if_absent(&mut self, id: NodeId) {
        if !self.sends.contains_key(&id) {
            self.put(id, 0);
        }
    }

    /// The queued members, the least often sent first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.order.iter().map(|(_, _, id)| *id)
    }

    /// Takes up to `limit_bytes` of updates for a message; the one about `first` is always included.
    /// Counts each as sent.
    pub(crate) fn take(
        &mut self,
        first: Option<NodeId>,
        sends: u32,
        limit_bytes: usize,
        update_of: impl Fn(NodeId) -> Option<Update>,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut taken = Vec::new();
        let mut bytes = 0;
        let queued = self.iter().filter(|id| Some(*id) != first);
        for id in first.into_iter().chain(queued) {
            let update = update_of(id);
            bytes += update.as_ref().map_or(0, framed_bytes);
            if bytes > limit_bytes && !updates.is_empty() {
                break;
            }
            taken.push(id);
            updates.extend(update);
        }
        for id in taken {
            self.sent(id, sends);
        }
        updates
    }

    /// Counts one send, and removes the update after `limit` sends.
    pub(crate) fn sent(&mut self, id: NodeId, limit: u32) {
        let Some(count) = self.remove(id) else {
            return;
        };
        if count + 1 < limit {
            self.put(id, count + 1);
        }
    }

    /// Removes a member's update and returns how often it was sent.
    pub(crate) fn remove(&mut self, id: NodeId) -> Option<u32> {
        let count = self.sends.remove(&id)?;
        self.order.remove(&(count, self.rank(id), id));
        Some(count)
    }

    fn put(&mut self, id: NodeId, count: u32) {
        self.sends.insert(id, count);
        self.order.insert((count, self.rank(id), id));
    }

    pub(crate) fn len(&self) -> usize {
        self.sends.len()
    }
}

/// The encoded size of an update within a message, in bytes.
pub(crate) fn framed_bytes(update: &Update) -> usize {
    update.encoded_len() + FRAME_BYTES
}
