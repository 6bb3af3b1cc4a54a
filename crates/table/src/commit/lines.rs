//! The lines of history that a commit has to reconcile.

use std::sync::Arc;

use crate::{Head, LineId, Lineage, Merged, merge};

/// A peer's report of the head that it has in force.
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

    /// Whether `line` forked from this head and lacks an edit in it that was accepted.
    ///
    /// As two majorities share a peer, no edit that only `line` has was or will be accepted.
    #[must_use]
    pub fn rules_out(&self, line: &Head) -> bool {
        let lacking = self
            .accepted
            .is_some_and(|accepted| !line.accounts_for(accepted));
        lacking && self.is_forked_from(line)
    }
}

/// The peers' reports of the heads that they have in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadReports {
    /// One report of each peer that answered and may vouch, this node included.
    pub peers: Vec<HeadReport>,
    /// Size of a blocking quorum: if this many peers refuse a head, it cannot reach a majority.
    pub blocking: usize,
}

impl HeadReports {
    /// Whether no edit that only this line has was or will be accepted: a blocking quorum of peers
    /// has lines that forked from it, or one peer rules it out.
    fn blocks(&self, line: &Head) -> bool {
        let forked = self.peers.iter().filter(|peer| peer.is_forked_from(line));
        forked.count() >= self.blocking || self.peers.iter().any(|peer| peer.rules_out(line))
    }
}

/// The heads that a commit has to reconcile.
#[derive(Debug, Clone)]
pub(super) struct Lines<'a> {
    /// The newest head known here.
    pub known: Option<&'a Arc<Head>>,
    /// The platform's head.
    pub stored: Option<&'a Arc<Head>>,
    /// The peers' reports; `None` before they were asked.
    pub reports: Option<&'a HeadReports>,
    /// Whether the platform's line wins if the peers cannot decide.
    pub prefer_platform: bool,
}

impl Lines<'_> {
    /// One head that accounts for both lines, or `None` if the peers have to be asked first or
    /// leave it undecided.
    ///
    /// If the lines conflict in either order, the edits of the line that the peers block are the
    /// ones dropped. Both orders have to be tried: an edit made on a restored cell may find the
    /// value it expects before an accepted edit of that cell is applied, but not after it.
    pub(super) fn merge(&self) -> Option<Merged> {
        match (self.known, self.stored) {
            (None, None) => Some(unmerged(&Head::default())),
            (Some(line), None) | (None, Some(line)) => Some(unmerged(line)),
            (Some(known), Some(stored)) => match known.lineage(stored) {
                Lineage::Same | Lineage::Ahead => Some(unmerged(stored)),
                Lineage::Behind => Some(unmerged(known)),
                Lineage::Forked => self.merge_forked(known, stored),
            },
        }
    }

    fn merge_forked(&self, known: &Head, stored: &Head) -> Option<Merged> {
        let on_known = merge(known, stored);
        let on_stored = merge(stored, known);
        if !on_known.conflicting && !on_stored.conflicting {
            return Some(on_known);
        }
        let reports = self.reports?;
        match (reports.blocks(known), reports.blocks(stored)) {
            (false, true) => Some(on_known),
            (true, false) => Some(on_stored),
            (true, true) => Some(on_known),
            (false, false) => self.choose_undecided(on_known, on_stored),
        }
    }

    /// If the peers do not decide: an order without conflict, or the operator's preference.
    fn choose_undecided(&self, on_known: Merged, on_stored: Merged) -> Option<Merged> {
        if !on_known.conflicting {
            return Some(on_known);
        }
        (!on_stored.conflicting || self.prefer_platform).then_some(on_stored)
    }
}

fn unmerged(head: &Head) -> Merged {
    Merged {
        head: head.clone(),
        dropped: Vec::new(),
        conflicting: false,
    }
}
