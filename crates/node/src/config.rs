//! The table and keys in force at this node.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use cassiashunt_table::{
    Applied, Head, KeyState, LineId, Lookup, Offer, Record, SpillLimits, commit::HeadReport,
};
use cassiashunt_types::prelude::*;

/// The table and keys in force; only ever moves to higher revisions.
#[derive(Debug, Default)]
pub(crate) struct Config {
    applied: Mutex<Applied>,
    lookup: RwLock<Arc<Lookup>>,
}

impl Config {
    /// What the request path asks.
    pub(crate) fn lookup(&self) -> Arc<Lookup> {
        Arc::clone(&self.lookup.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.lookup
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .revision()
    }

    /// The head in force.
    pub(crate) fn head(&self) -> Option<Arc<Head>> {
        self.applied
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .head()
            .cloned()
    }

    /// Whether the table in force goes on from a line of history, as far as its records tell.
    pub(crate) fn accounts_for(&self, line: LineId, revision: Revision) -> bool {
        let head = self.head();
        head.is_some_and(|head| head.keeps_line(line) || head.may_have_spilled(revision))
    }

    /// What a commit is told that asks which head is in force here.
    pub(crate) fn holding(&self) -> Option<HeadReport> {
        self.applied
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .head_report()
    }

    /// Notes that a line of history was accepted.
    pub(crate) fn note_accepted(&self, line: LineId) {
        let mut applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        applied.note_accepted(line);
    }

    /// Puts a head in force unless it is older or forked.
    pub(crate) fn offer(&self, head: Head) -> Offer {
        self.offer_shared(&Arc::new(head))
    }

    /// Puts later records in force; `None` where they do not go on from the table in force.
    pub(crate) fn offer_records(&self, records: &[Record]) -> Option<Offer> {
        let mut applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        let offer = applied
            .offer_records(records, &SpillLimits::default())
            .ok()?;
        self.publish(&applied, &offer);
        Some(offer)
    }

    /// Puts a head in force unless it is older or forked.
    pub(crate) fn offer_shared(&self, head: &Arc<Head>) -> Offer {
        let mut applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        let offer = applied.offer(Arc::clone(head));
        self.publish(&applied, &offer);
        offer
    }

    fn publish(&self, applied: &Applied, offer: &Offer) {
        if let Offer::Applied { revision } = offer {
            *self.lookup.write().unwrap_or_else(PoisonError::into_inner) =
                Arc::clone(applied.lookup());
            log::info!(event = "table-in-force", revision = revision.0; "");
        }
    }

    /// Whether a key still works, by the table in force.
    pub(crate) fn is_key_active(&self, key: KeyId) -> bool {
        let head = self.head();
        let record = head.and_then(|head| head.keys().get(key));
        record.is_some_and(|record| record.state == KeyState::Active)
    }
}
