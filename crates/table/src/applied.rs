//! The configuration that a node has in force.

use std::sync::Arc;

use cassiashunt_types::Revision;

use crate::{
    Head, LineId, Lineage, Lookup, NonConsecutiveRecord, Record, SpillLimits, commit::HeadReport,
};

/// How a node handles a head that it received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum Offer {
    /// The head was put in force.
    Applied {
        /// Its revision.
        revision: Revision,
    },
    /// The head was in force already.
    Same,
    /// The head is older than the one in force, and is refused.
    ///
    /// From a peer this is an ordinary delay. From the platform it means that the platform was
    /// restored to an older state, and that the head in force has to be installed again.
    Older {
        /// The revision in force.
        ours: Revision,
        /// The revision refused.
        theirs: Revision,
    },
    /// The head lacks an edit that is in force here, and is refused.
    ///
    /// The platform was restored to an older state and edited since; the two have to be merged.
    Forked {
        /// The revision in force.
        ours: Revision,
        /// The revision refused.
        theirs: Revision,
    },
}

/// The head in force at one node; its revision never decreases.
#[derive(Debug, Clone, Default)]
pub struct Applied {
    head: Option<Arc<Head>>,
    accepted: Option<LineId>,
    lookup: Arc<Lookup>,
}

impl Applied {
    /// The head in force; `None` before the first.
    #[must_use]
    pub fn head(&self) -> Option<&Arc<Head>> {
        self.head.as_ref()
    }

    /// The revision in force; zero before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.head
            .as_ref()
            .map_or(Revision(0), |head| head.revision())
    }

    /// The newest line that is known to be accepted; `None` if no such line in the head in force is
    /// known.
    #[must_use]
    pub fn accepted(&self) -> Option<LineId> {
        self.accepted
    }

    /// Records that a line was accepted, as reported by a commit's outcome or a peer.
    ///
    /// A line that is not part of the head in force is ignored; peers report it again.
    pub fn note_accepted(&mut self, line: LineId) {
        let Some(head) = &self.head else {
            return;
        };
        let age = |line| {
            head.recent()
                .rev()
                .position(|record| record.accounts_for(line))
        };
        let known = self.accepted.and_then(age);
        let newer = age(line).is_some_and(|age| known.is_none_or(|known| age < known));
        if newer {
            self.accepted = Some(line);
        }
    }

    /// This node's report to a commit that asks which heads are in force; `None` before the first
    /// head.
    #[must_use]
    pub fn head_report(&self) -> Option<HeadReport> {
        let head = self.head.clone()?;
        let accepted = self.accepted;
        Some(HeadReport { head, accepted })
    }

    /// The lookup of the head in force, for the request path.
    #[must_use]
    pub fn lookup(&self) -> &Arc<Lookup> {
        &self.lookup
    }

    /// Applies later records to the head in force; `limits` bounds the records that the new head
    /// keeps.
    ///
    /// # Errors
    ///
    /// Fails if the records do not continue the head in force; the complete head has to be
    /// requested then.
    pub fn offer_records(
        &mut self,
        records: &[Record],
        limits: &SpillLimits,
    ) -> Result<Offer, NonConsecutiveRecord> {
        let base = self.head.clone().unwrap_or_default();
        let head = base.apply_records(records)?;
        let head = head.spill(limits).map_or(head, |(_, trimmed)| trimmed);
        Ok(self.offer(Arc::new(head)))
    }

    /// Offers a head whose edit is about to be accepted, and returns whether the edit is in force
    /// here.
    ///
    /// A node may answer `true` only if it has kept its head since its earlier answers: a replaced
    /// node must receive the heads of a majority first.
    pub fn vouch(&mut self, head: &Arc<Head>) -> bool {
        let _ = self.offer(Arc::clone(head));
        self.head.as_ref().is_some_and(|held| held.keeps(head))
    }

    /// Puts a head in force unless it is older or lacks an edit of the one in force.
    pub fn offer(&mut self, head: Arc<Head>) -> Offer {
        let Some(held) = &self.head else {
            return self.put_in_force(head);
        };
        let ours = held.revision();
        let theirs = head.revision();
        match held.lineage(&head) {
            Lineage::Same => Offer::Same,
            Lineage::Ahead if theirs > ours => self.put_in_force(head),
            Lineage::Behind => Offer::Older { ours, theirs },
            Lineage::Ahead | Lineage::Forked => Offer::Forked { ours, theirs },
        }
    }

    fn put_in_force(&mut self, head: Arc<Head>) -> Offer {
        let revision = head.revision();
        self.lookup = Arc::new(Lookup::new(&head));
        self.head = Some(head);
        Offer::Applied { revision }
    }
}
