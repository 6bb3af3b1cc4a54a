//! Members that have departed.

use std::collections::{BTreeSet, VecDeque};

use cassiashunt_types::prelude::*;

/// The ids of departed members; beyond `limit`, the oldest is dropped.
#[derive(Debug)]
pub(crate) struct Tombstones {
    ids: BTreeSet<NodeId>,
    order: VecDeque<NodeId>,
    limit: usize,
}

impl Tombstones {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            ids: BTreeSet::new(),
            order: VecDeque::new(),
            limit,
        }
    }

    /// Adds an id; returns `false` if it was present already.
    pub(crate) fn insert(&mut self, id: NodeId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }

    pub(crate) fn contains(&self, id: NodeId) -> bool {
        self.ids.contains(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }
}
