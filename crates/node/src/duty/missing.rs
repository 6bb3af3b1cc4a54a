//! Which holders of shards are gone.

use std::collections::BTreeMap;

use cassiashunt_member::{Members, Phase, Reach};
use cassiashunt_types::prelude::*;

/// How long a holder that this node has never heard of counts as being there: at the start of a
/// fleet the control value is faster than the membership.
const PATIENCE: Duration = Duration::from_secs(5);

/// Holders that the membership does not know, with the time since when.
#[derive(Debug, Default)]
pub(super) struct Missing {
    since: BTreeMap<NodeId, Time>,
}

impl Missing {
    /// The holders that have left, are leaving, cannot be reached, or stay unknown.
    pub(super) fn gone(&mut self, now: Time, holders: &[NodeId], members: &Members) -> Vec<NodeId> {
        self.since.retain(|node, _| holders.contains(node));
        let mut gone = Vec::new();
        for holder in holders {
            if !gone.contains(holder) && self.is_gone(now, *holder, members) {
                gone.push(*holder);
            }
        }
        gone
    }

    fn is_gone(&mut self, now: Time, holder: NodeId, members: &Members) -> bool {
        if members.is_gone(holder) {
            return true;
        }
        if let Some(member) = members.get(holder) {
            self.since.remove(&holder);
            return member.reach == Reach::Unreachable || member.record.phase >= Phase::Draining;
        }
        let since = *self.since.entry(holder).or_insert(now);
        now.since(since) >= PATIENCE
    }
}
