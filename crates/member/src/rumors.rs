//! News that is still to be passed on.

use std::collections::{BTreeMap, BTreeSet};

use cassiashunt_types::prelude::*;
use prost::Message as _;

use crate::{msg::Update, view::mix};

/// The bytes that frame one update within a message.
const FRAME_BYTES: usize = 3;

/// The members about which there is news, and how often each piece has been sent.
///
/// Only ids are kept: what is sent is the view at the time of sending.
///
/// Among pieces that were told equally often, each node has an order of its own; with the same
/// order everywhere, the last ones would wait for all the others.
#[derive(Debug)]
pub(crate) struct Rumors {
    salt: u64,
    sends: BTreeMap<NodeId, u32>,
    order: BTreeSet<(u32, u64, NodeId)>,
}

impl Rumors {
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

    /// There is news about this member.
    pub(crate) fn add(&mut self, id: NodeId) {
        self.remove(id);
        self.put(id, 0);
    }

    /// There is news unless the member's news is still under way.
    pub(crate) fn add_if_absent(&mut self, id: NodeId) {
        if !self.sends.contains_key(&id) {
            self.put(id, 0);
        }
    }

    /// The members to tell of, the least often told first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.order.iter().map(|(_, _, id)| *id)
    }

    /// Takes up to `limit_bytes` of news for a message, and news about `first` in any case.
    pub(crate) fn take(
        &mut self,
        first: Option<NodeId>,
        sends: u32,
        limit_bytes: usize,
        news_of: impl Fn(NodeId) -> Option<Update>,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut told = Vec::new();
        let mut bytes = 0;
        let queued = self.iter().filter(|id| Some(*id) != first);
        for id in first.into_iter().chain(queued) {
            let update = news_of(id);
            bytes += update.as_ref().map_or(0, framed_bytes);
            if bytes > limit_bytes && !updates.is_empty() {
                break;
            }
            told.push(id);
            updates.extend(update);
        }
        for id in told {
            self.sent(id, sends);
        }
        updates
    }

    /// Counts one sending, of at most `limit`.
    pub(crate) fn sent(&mut self, id: NodeId, limit: u32) {
        let Some(count) = self.remove(id) else {
            return;
        };
        if count + 1 < limit {
            self.put(id, count + 1);
        }
    }

    /// Forgets the news about a member.
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

/// The bytes of an update within a message.
pub(crate) fn framed_bytes(update: &Update) -> usize {
    update.encoded_len() + FRAME_BYTES
}
