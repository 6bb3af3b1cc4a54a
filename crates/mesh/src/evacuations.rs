//! Which failure domains the operators have evacuated.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::StoreRevision;

/// The maximum number of domains that were taken back and are remembered.
const MAX_TAKEN_BACK: usize = 32;

/// The last change of one failure domain's evacuation in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Where the store has the change.
    pub at: StoreRevision,
    /// Whether its backend servers are to get no requests from then on.
    pub is_evacuated: bool,
}

/// The last known change of each failure domain's evacuation.
///
/// Nodes read changes from the store or receive them from peers, in any order; for each domain the
/// change that is latest in the store counts. Only a deletion ends an evacuation. A store that was
/// restored from a copy from before an evacuation has not deleted it.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    domains: BTreeMap<FailureDomain, (StoreRevision, bool)>,
}

impl Evacuations {
    /// Returns whether the backend servers of a failure domain are to get no requests.
    #[must_use]
    pub fn is_evacuated(&self, domain: FailureDomain) -> bool {
        self.domains.get(&domain).is_some_and(|(_, it)| *it)
    }

    /// Returns the last change of each domain, for peers.
    pub fn changes(&self) -> impl Iterator<Item = EvacuationChange> {
        self.domains
            .iter()
            .map(|(domain, (at, is_evacuated))| EvacuationChange {
                domain: *domain,
                at: *at,
                is_evacuated: *is_evacuated,
            })
    }

    /// Handles a change. Returns whether the domain was evacuated or taken back by it.
    pub fn on_change(&mut self, change: EvacuationChange) -> bool {
        let was_evacuated = self.is_evacuated(change.domain);
        let known = self.domains.get(&change.domain);
        if known.is_some_and(|(at, _)| *at >= change.at) {
            return false;
        }
        self.domains
            .insert(change.domain, (change.at, change.is_evacuated));
        self.forget_oldest();
        was_evacuated != change.is_evacuated
    }

    /// Handles a listing of all evacuations that the store had at `at`, each with its own revision.
    /// Returns the domains that were evacuated or taken back by it.
    pub fn on_listing(
        &mut self,
        at: StoreRevision,
        listed: &[(FailureDomain, Revision)],
    ) -> Vec<EvacuationChange> {
        let listed = listed.iter().map(|(domain, revision)| EvacuationChange {
            domain: *domain,
            at: StoreRevision::new(at.era, *revision),
            is_evacuated: true,
        });
        let listed: Vec<_> = listed.collect();
        let is_missing = |it: &EvacuationChange| {
            it.is_evacuated
                && it.at.era == at.era
                && !listed.iter().any(|other| other.domain == it.domain)
        };
        let missing = self.changes().filter(is_missing);
        let missing: Vec<_> = missing
            .map(|it| EvacuationChange {
                at,
                is_evacuated: false,
                ..it
            })
            .collect();
        let changes = listed.into_iter().chain(missing);
        changes.filter(|it| self.on_change(*it)).collect()
    }

    /// Bounds the memory of domains that are not evacuated.
    fn forget_oldest(&mut self) {
        let taken_back = self.domains.iter().filter(|(_, (_, is))| !is);
        let taken_back: Vec<_> = taken_back.map(|(domain, (at, _))| (*at, *domain)).collect();
        if taken_back.len() > MAX_TAKEN_BACK
            && let Some((_, oldest)) = taken_back.iter().min()
        {
            self.domains.remove(oldest);
        }
    }
}
