//! The lines of history that a commit has to account for.

use std::sync::Arc;

use crate::{Head, LineId, Lineage, Merged, merge};

/// What a peer has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadReport {
    /// The head.
    pub head: Arc<Head>,
    /// The newest line in it that is known to have been accepted.
    pub accepted: Option<LineId>,
}

impl HeadReport {
    fn is_forked_from(&self, line: &Head) -> bool {
        self.head.lineage(line) == Lineage::Forked
    }

    /// Whether an accepted edit that this holds is missing in a line that forked from it.
    ///
    /// As two majorities share a peer, nothing that only the line holds was or will be accepted.
    #[must_use]
    pub fn rules_out(&self, line: &Head) -> bool {
        let lacking = self
            .accepted
            .is_some_and(|accepted| !line.accounts_for(accepted));
        lacking && self.is_forked_from(line)
    }
}

/// What the peers have in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadReports {
    /// What each peer that answered and may vouch has, this node included.
    pub peers: Vec<HeadReport>,
    /// How many peers have to refuse a head so that it cannot reach a majority.
    pub blocking: usize,
}

impl HeadReports {
    /// Whether nothing that only this line holds was or will be accepted: so many peers hold lines
    /// that forked from it, or one of them rules it out.
    fn blocks(&self, line: &Head) -> bool {
        let forked = self.peers.iter().filter(|peer| peer.is_forked_from(line));
        forked.count() >= self.blocking || self.peers.iter().any(|peer| peer.rules_out(line))
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
    pub held: Option<&'a HeadReports>,
    /// Whether the platform's line holds where the peers leave it undecided.
    pub prefer_platform: bool,
}

impl Lines<'_> {
    /// One head that accounts for both lines, or nothing where the peers have to say more.
    ///
    /// Where the lines contradict each other in either order, the one that the peers block gives
    /// way. One order alone does not tell: an edit made on a restored cell may find what it expects
    /// below an accepted edit of that cell, and not on top of it.
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
        let on_known = merge(known, stored);
        let on_stored = merge(stored, known);
        if !on_known.conflicting && !on_stored.conflicting {
            return Some(on_known);
        }
        let held = self.held?;
        match (held.blocks(known), held.blocks(stored)) {
            (false, true) => Some(on_known),
            (true, false) => Some(on_stored),
            (true, true) => Some(on_known),
            (false, false) => self.join_undecided(on_known, on_stored),
        }
    }

    /// Where the peers leave it open, an order that drops nothing, or what an operator said.
    fn join_undecided(&self, on_known: Merged, on_stored: Merged) -> Option<Merged> {
        if !on_known.conflicting {
            return Some(on_known);
        }
        (!on_stored.conflicting || self.prefer_platform).then_some(on_stored)
    }
}

fn whole(head: &Head) -> Merged {
    Merged {
        head: head.clone(),
        dropped: Vec::new(),
        conflicting: false,
    }
}
