//! Who holds the shards, and this node's claims to them.

use std::collections::BTreeMap;

use cassiashunt_control::{
    ChangeAction, Claim, ClaimOptions, Control, ShardKey, ShardKind, Stage, edit::TakeOver,
    msg::Applied,
};
use cassiashunt_types::prelude::*;

use crate::limits::LIMIT_SHARDS;

/// How long a claim may take; many times the wait that belongs to it.
pub(super) const CLAIM_PATIENCE: Duration = Duration::from_secs(15);

/// Who holds the shards, and who is there.
#[derive(Clone, Copy)]
pub(super) struct View<'a> {
    pub control: &'a Control,
    /// Nodes that take work.
    pub live: &'a [NodeId],
    /// Holders that are surely gone or leaving.
    pub gone: &'a [NodeId],
}

/// A shard that this node may act for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Won {
    pub key: ShardKey,
    pub epoch: Epoch,
}

/// This node's claims.
pub(super) struct Shards {
    me: NodeId,
    domain: FailureDomain,
    options: ClaimOptions,
    claims: BTreeMap<ShardKey, Claim>,
    /// When each open claim began.
    began: BTreeMap<ShardKey, Time>,
}

impl Shards {
    pub(super) fn new(me: NodeId, domain: FailureDomain, freshness: Duration) -> Self {
        let options = ClaimOptions {
            freshness,
            ..Default::default()
        };
        Self {
            me,
            domain,
            options,
            claims: BTreeMap::new(),
            began: BTreeMap::new(),
        }
    }

    /// Begins to claim every shard that falls to this node and has no holder, or whose holder has
    /// handed it over to this node.
    pub(super) fn look_over(
        &mut self,
        now: Time,
        scene: &View<'_>,
        is_handed: impl Fn(ShardId, Epoch) -> bool,
        acts: impl Fn(ShardId) -> bool,
    ) {
        let View {
            control,
            live,
            gone,
        } = *scene;
        self.drop_stuck(now);
        for key in keys() {
            let epoch = control.epoch(key);
            let holder = control.shard(key).map(|shard| shard.primary);
            if is_handed(key.id, epoch) && holder != Some(self.me) {
                let claim = Claim::after_hand_over(self.me, self.domain, key, epoch, self.options);
                self.claims.entry(key).or_insert(claim);
            }
            let is_idle = holder == Some(self.me) && !acts(key.id);
            let is_held = holder.is_some_and(|holder| !gone.contains(&holder));
            let is_due = is_idle || !is_held && first(key, live) == Some(self.me);
            if !is_due || self.claims.contains_key(&key) {
                continue;
            }
            let claim = Claim::new(self.me, self.domain, key, epoch, self.options);
            self.claims.insert(key, claim);
        }
        for key in self.claims.keys() {
            self.began.entry(*key).or_insert(now);
        }
        self.began.retain(|key, _| self.claims.contains_key(key));
    }

    /// Gives up claims that do not get on; the shard is claimed anew, under a further epoch.
    fn drop_stuck(&mut self, now: Time) {
        let began = &self.began;
        self.claims.retain(|key, _| {
            let began = began.get(key).copied().unwrap_or(now);
            now.since(began) < CLAIM_PATIENCE
        });
        self.began.retain(|key, _| self.claims.contains_key(key));
    }

    pub(super) fn control_read(&mut self, now: Time, control: &Control) -> Vec<ClaimAsk> {
        self.each(|claim| claim.on_control_read(now, control))
    }

    pub(super) fn relay_applied(&mut self, now: Time, applied: &Applied) -> Vec<ClaimAsk> {
        self.each(|claim| claim.on_relay_applied(now, applied))
    }

    pub(super) fn tick(&mut self, now: Time) -> Vec<ClaimAsk> {
        self.each(|claim| claim.tick(now))
    }

    /// The claims that have just been won; lost ones are dropped.
    pub(super) fn take_won(&mut self) -> Vec<Won> {
        let won = self
            .claims
            .values()
            .filter_map(|claim| match claim.stage() {
                Stage::Ready(epoch) => Some(Won {
                    key: claim.key(),
                    epoch,
                }),
                _ => None,
            });
        let won = won.collect();
        let is_open = |claim: &Claim| !matches!(claim.stage(), Stage::Ready(_) | Stage::Lost);
        self.claims.retain(|_, claim| is_open(claim));
        won
    }

    fn each(&mut self, mut step: impl FnMut(&mut Claim) -> Vec<ChangeAction>) -> Vec<ClaimAsk> {
        let mut asks = Vec::new();
        for claim in self.claims.values_mut() {
            let asked = step(claim);
            let write = TakeOver {
                key: claim.key(),
                expected: claim.expected(),
                primary: self.me,
                backup: None,
                lossy: false,
            };
            asks.extend(asked.into_iter().map(|ask| ClaimAsk::of(write, ask)));
        }
        asks
    }
}

/// What a claim asks of the control thread.
#[derive(Debug, Clone, Copy)]
pub(super) enum ClaimAsk {
    /// Write the claim.
    Write(TakeOver),
    /// What any change asks.
    Plain(ChangeAction),
}

impl ClaimAsk {
    /// The ask of a claim that is written as `write`.
    pub(super) fn of(write: TakeOver, ask: ChangeAction) -> Self {
        match ask {
            ChangeAction::WriteClaim => Self::Write(write),
            ask => Self::Plain(ask),
        }
    }
}

fn keys() -> impl Iterator<Item = ShardKey> {
    (0..LIMIT_SHARDS).map(|id| ShardKey {
        kind: ShardKind::Limit,
        id: ShardId(id),
    })
}

/// The node that a shard falls to, by rendezvous hash.
pub(super) fn first(key: ShardKey, live: &[NodeId]) -> Option<NodeId> {
    live.iter()
        .copied()
        .max_by_key(|node| (score(key, *node), *node))
}

/// A mix of shard and node (SplitMix64's finalizer).
pub(super) fn score(key: ShardKey, node: NodeId) -> u64 {
    let kind = match key.kind {
        ShardKind::Limit => 1,
        ShardKind::Home => 2,
    };
    let mut mixed = node.0 ^ (key.id.0 << 8 | kind).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
