//! Which holders of shards are gone.

use std::collections::BTreeMap;

use cassiashunt_control::{Control, Shard, ShardKey};
use cassiashunt_member::{Members, Phase, Reach};
use cassiashunt_types::prelude::*;

/// How long a holder that this node has never heard of counts as being there: at the start of a
/// fleet the control value is faster than the membership.
const PATIENCE: Duration = Duration::from_secs(5);

/// How long a holder that cannot be reached, but claimed a shard since, counts as being there: it
/// lives on the other side of a cut from where it reaches the platform.
const CLAIM_PATIENCE: Duration = Duration::from_secs(60);

/// What was seen of the holders of shards.
#[derive(Debug, Default)]
pub(super) struct Missing {
    /// Holders that the membership does not know, with the time since when.
    since: BTreeMap<NodeId, Time>,
    /// When each shard's present epoch was first seen.
    epochs: BTreeMap<ShardKey, Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    epoch: Epoch,
    at: Time,
}

impl Missing {
    /// The holders that have left, are leaving, cannot be reached, or stay unknown.
    pub(super) fn gone(&mut self, now: Time, control: &Control, members: &Members) -> Vec<NodeId> {
        let mut claimed = BTreeMap::new();
        for shard in &control.shards {
            let at = self.seen(now, shard);
            let newest = claimed.entry(shard.primary).or_insert(at);
            *newest = at.max(*newest);
            if let Some(backup) = shard.backup {
                claimed.entry(backup).or_insert(Time::ZERO);
            }
        }
        self.since.retain(|node, _| claimed.contains_key(node));
        let me = members.id();
        let others = claimed.into_iter().filter(|(node, _)| *node != me);
        let gone = others.filter(|(node, at)| self.is_gone(now, *node, *at, members));
        gone.map(|(node, _)| node).collect()
    }

    /// When the shard's epoch was first seen.
    fn seen(&mut self, now: Time, shard: &Shard) -> Time {
        let epoch = shard.epoch;
        let seen = self
            .epochs
            .entry(shard.key)
            .or_insert(Seen { epoch, at: now });
        if seen.epoch != epoch {
            *seen = Seen { epoch, at: now };
        }
        seen.at
    }

    fn is_gone(&mut self, now: Time, holder: NodeId, claimed: Time, members: &Members) -> bool {
        if members.has_departed(holder) {
            return true;
        }
        if let Some(member) = members.get(holder) {
            self.since.remove(&holder);
            let is_silent = member.reach == Reach::Unreachable;
            let has_claimed_since =
                claimed > member.reach_since && now.since(claimed) < CLAIM_PATIENCE;
            let is_lost = is_silent && !has_claimed_since;
            return is_lost || member.record.phase >= Phase::Draining;
        }
        let since = *self.since.entry(holder).or_insert(now);
        now.since(since) >= PATIENCE
    }
}
