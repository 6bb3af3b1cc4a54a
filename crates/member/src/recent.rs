//! Members heard of lately.

use std::collections::VecDeque;

use cassiashunt_types::prelude::*;

/// The most members that are kept.
const LIMIT: usize = 32;

/// The members that messages came from last, of whose loads some are passed on.
#[derive(Debug, Default)]
pub(crate) struct Recent {
    ids: VecDeque<NodeId>,
}

impl Recent {
    /// Notes a message from a member.
    pub(crate) fn add(&mut self, id: NodeId) {
        self.ids.retain(|known| *known != id);
        if self.ids.len() >= LIMIT {
            self.ids.pop_front();
        }
        self.ids.push_back(id);
    }

    /// Up to `count` random ones other than `except`.
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
