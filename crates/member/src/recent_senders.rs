//! The members that sent the most recent messages.

use std::collections::VecDeque;

use cassiashunt_types::prelude::*;

/// Maximum number of members that are kept.
const MAX_SENDERS: usize = 32;

/// The senders of the most recent messages, whose loads are passed on as hints; the latest is last.
#[derive(Debug, Default)]
pub(crate) struct RecentSenders {
    ids: VecDeque<NodeId>,
}

impl RecentSenders {
    /// Records a message from a member, replacing the oldest sender at the limit.
    pub(crate) fn add(&mut self, id: NodeId) {
        self.ids.retain(|known| *known != id);
        if self.ids.len() >= MAX_SENDERS {
            self.ids.pop_front();
        }
        self.ids.push_back(id);
    }

    /// Up to `count` random senders other than `except`.
    pub(crate) fn choose(
        &self,
        rng: &mut fastrand::Rng,
        except: NodeId,
        count: usize,
    ) -> Vec<NodeId> {
        let others = self.ids.iter().copied().filter(|id| *id != except);
        rng.choose_multiple(others, count)
    }
}
