//! The lines of history that a commit has to account for.

use std::sync::Arc;

use crate::{Head, Lineage, Merged, merge};

/// What the peers hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The head in force at each peer that answered and may vouch, this node's own included.
    pub heads: Vec<Arc<Head>>,
    /// How many peers have to refuse a head so that it cannot reach a majority.
    pub blocking: usize,
}

impl Held {
    /// Whether so many peers hold a line that forked from this one that nothing which only this
    /// one holds was or will be accepted.
    fn blocks(&self, line: &Head) -> bool {
        let forked = |head: &&Arc<Head>| head.lineage(line) == Lineage::Forked;
        self.heads.iter().filter(forked).count() >= self.blocking
    }
}

/// The heads that a commit knows of.
#[derive(Debug, Clone)]
pub(super) struct Lines<'a> {
    /// The newest head known here.
    pub known: Option<&'a Arc<Head>>,
    /// The platform's head.
    pub stored: Option<&'a Arc<Head>>,
    /// What the peers hold, where they were asked.
    pub held: Option<&'a Held>,
}

impl Lines<'_> {
    /// One head that accounts for both lines, or nothing where the peers have to say more.
    ///
    /// Where the lines contradict each other, the one that the peers block gives way.
    pub(super) fn join(&self) -> Option<Merged> {
        match (self.known, self.stored) {
            (None, None) => Some(whole(&Head::default())),
            (Some(line), None) | (None, Some(line)) => Some(whole(line)),
            (Some(known), Some(stored)) => match known.lineage(stored) {
                Lineage::Same | Lineage::Ahead => Some(whole(stored)),
                Lineage::Behind => Some(whole(known)),
                Lineage::Forked => self.join_forked(known, stored),
            },
        }
    }

    fn join_forked(&self, known: &Head, stored: &Head) -> Option<Merged> {
        let gives_way = |line| self.held.is_some_and(|held| held.blocks(line));
        let (base, other) = match gives_way(known) && !gives_way(stored) {
            true => (stored, known),
            false => (known, stored),
        };
        let merged = merge(base, other);
        (!merged.contested || gives_way(other)).then_some(merged)
    }
}

fn whole(head: &Head) -> Merged {
    Merged {
        head: head.clone(),
        dropped: Vec::new(),
        contested: false,
    }
}
