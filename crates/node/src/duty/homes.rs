//! The homes of idempotency keys that this node keeps, claims or backs up.

use std::collections::BTreeMap;

use cassiashunt_control::{
    Candidate, Claim, ClaimOptions, Control, Shard, ShardKey, ShardKind, Stage, edit::TakeOver,
    msg::Applied,
};
use cassiashunt_once::{
    Backup, HOME_SHARDS, Home, InitialState, Outgoing, Role,
    home::Options,
    msg::{Body, Message},
};
use cassiashunt_types::prelude::*;

use super::shards::{CLAIM_PATIENCE, ClaimAsk, first, score};

/// A home that is not in force yet.
struct Pending {
    /// The epoch that it is to succeed.
    after: Epoch,
    /// Its backup.
    backup: Option<NodeId>,
    /// The home, where it takes records over; it is made once the claim is won otherwise.
    home: Option<Home>,
    /// The claim, once the records are copied.
    claim: Option<Claim>,
    began: Time,
}

/// This node's part in keeping the records.
pub(super) struct Homes {
    me: NodeId,
    domain: FailureDomain,
    options: Options,
    claims: ClaimOptions,
    acting: BTreeMap<ShardId, Home>,
    pending: BTreeMap<ShardId, Pending>,
    backups: BTreeMap<ShardId, Backup>,
}

/// Who is there and what is in force.
pub(super) struct Scene<'a> {
    pub now: Time,
    pub control: &'a Control,
    /// Nodes that take work.
    pub live: &'a [Candidate],
    /// Holders that are surely gone or leaving.
    pub gone: &'a [NodeId],
}

impl Homes {
    pub(super) fn new(
        me: NodeId,
        domain: FailureDomain,
        freshness: Duration,
        window: Duration,
        needs_backup: bool,
    ) -> Self {
        let options = Options {
            retention: window,
            needs_backup,
            ..Default::default()
        };
        let claims = ClaimOptions {
            freshness,
            validity: options.validity,
            ..Default::default()
        };
        let shards = || (0..HOME_SHARDS).map(ShardId);
        Self {
            me,
            domain,
            options,
            claims,
            acting: BTreeMap::new(),
            pending: BTreeMap::new(),
            backups: shards()
                .map(|shard| (shard, Backup::new(me, shard)))
                .collect(),
        }
    }

    /// Begins what falls to this node: first claims, successions and new backups.
    pub(super) fn look_over(&mut self, scene: &Scene<'_>) {
        self.renew_stuck(scene);
        for id in (0..HOME_SHARDS).map(ShardId) {
            if !self.pending.contains_key(&id) {
                match scene.control.shard(key(id)).copied() {
                    None => self.begin_first(scene, id),
                    Some(shard) if shard.primary == self.me => self.mend_backup(scene, shard),
                    Some(shard) if is_gone(scene, shard.primary) => self.succeed(scene, shard),
                    Some(_) => {}
                }
            }
        }
    }

    /// Begins anew what does not get on; records that are at hand go to another backup.
    fn renew_stuck(&mut self, scene: &Scene<'_>) {
        let is_stuck = |pending: &Pending| scene.now.since(pending.began) >= CLAIM_PATIENCE;
        let stuck = self.pending.extract_if(.., |_, pending| is_stuck(pending));
        for (id, pending) in stuck.collect::<Vec<_>>() {
            log::warn!(event = "home-claim-stuck", shard = id.0; "");
            let named = scene.control.shard(key(id));
            let mine = named.filter(|shard| shard.primary == self.me);
            let after = mine.map_or(pending.after, |shard| shard.epoch);
            if let Some((home, backup)) = pending.home.zip(self.choose_backup(scene, id)) {
                self.go_on(scene.now, id, after, backup, home.stop());
            }
        }
    }

    /// Follows a control value: homes and copies of earlier epochs are dropped.
    pub(super) fn apply_control(&mut self, control: &Control) {
        for shard in control
            .shards
            .iter()
            .filter(|shard| shard.key.kind == ShardKind::Home)
        {
            let id = shard.key.id;
            if let Some(backup) = self.backups.get_mut(&id) {
                backup.follow_epoch(shard.epoch);
            }
            self.acting
                .retain(|acting, home| *acting != id || home.epoch() >= shard.epoch);
        }
    }

    /// Takes in a message for a home or a backup here.
    pub(super) fn receive(
        &mut self,
        scene: &Scene<'_>,
        msg: &Message,
        in_touch: bool,
    ) -> Vec<Outgoing> {
        let id = ShardId(msg.shard);
        match &msg.body {
            Some(Body::Copy(_)) => {
                let backup = self.backups.get_mut(&id);
                backup
                    .map(|backup| backup.handle_message(scene.now, msg))
                    .unwrap_or_default()
            }
            Some(Body::Ask(_) | Body::Copied(_)) => {
                let stance = self.stance(scene.control, id, in_touch);
                let mut sends = Vec::new();
                if let Some(home) = self.acting.get_mut(&id) {
                    sends.extend(home.handle_message(scene.now, msg, stance));
                }
                let pending = self.pending.get_mut(&id);
                if let Some(home) = pending.and_then(|pending| pending.home.as_mut()) {
                    sends.extend(home.handle_message(scene.now, msg, Role::Standby));
                }
                sends
            }
            Some(Body::Reply(_)) | None => Vec::new(),
        }
    }

    /// Copies records, and claims epochs whose records are copied.
    pub(super) fn tick(&mut self, scene: &Scene<'_>) -> (Vec<Outgoing>, Vec<ClaimAsk>) {
        let mut sends = Vec::new();
        let mut asks = Vec::new();
        for backup in self.backups.values_mut() {
            backup.tick(scene.now);
        }
        for home in self.acting.values_mut() {
            sends.extend(home.tick(scene.now));
        }
        for (id, pending) in &mut self.pending {
            if let Some(home) = &mut pending.home {
                sends.extend(home.tick(scene.now));
            }
            let is_copied = pending.home.as_ref().is_some_and(Home::is_replicated);
            if pending.claim.is_none() && is_copied {
                let after = pending.after;
                let claim =
                    Claim::after_hand_over(self.me, self.domain, key(*id), after, self.claims);
                pending.claim = Some(claim);
            }
        }
        asks.extend(self.each(|claim| claim.tick(scene.now)));
        self.settle(scene);
        (sends, asks)
    }

    pub(super) fn control_read(&mut self, now: Time, control: &Control) -> Vec<ClaimAsk> {
        self.each(|claim| claim.on_control_read(now, control))
    }

    pub(super) fn relay_applied(&mut self, now: Time, applied: &Applied) -> Vec<ClaimAsk> {
        self.each(|claim| claim.on_relay_applied(now, applied))
    }

    /// Shards that nobody holds, or that this node holds and cannot act for yet.
    pub(super) fn open(&self, control: &Control) -> usize {
        let mine = control
            .shards
            .iter()
            .filter(|shard| shard.key.kind == ShardKind::Home && shard.primary == self.me);
        let acts = |shard: &&Shard| {
            let home = self.acting.get(&shard.key.id);
            home.is_some_and(|home| home.epoch() == shard.epoch && home.is_replicated())
        };
        unclaimed(control) + mine.filter(|shard| !acts(shard)).count()
    }

    fn begin_first(&mut self, scene: &Scene<'_>, id: ShardId) {
        let nodes: Vec<_> = scene.live.iter().map(|member| member.node).collect();
        if first(key(id), &nodes) == Some(self.me) {
            self.claim(scene, id, Epoch(0));
        }
    }

    /// Claims an epoch without records of the one before.
    fn claim(&mut self, scene: &Scene<'_>, id: ShardId, after: Epoch) {
        let backup = self.choose_backup(scene, id);
        if backup.is_none() && self.options.needs_backup {
            return;
        }
        let claim = Claim::new(self.me, self.domain, key(id), after, self.claims);
        let pending = Pending {
            after,
            backup,
            home: None,
            claim: Some(claim),
            began: scene.now,
        };
        self.pending.insert(id, pending);
    }

    /// Replaces a backup that is lost, in an epoch of its own.
    fn mend_backup(&mut self, scene: &Scene<'_>, shard: Shard) {
        let id = shard.key.id;
        let Some(home) = self.acting.get(&id) else {
            // A claim that was written and did not get on: the records are lost.
            return self.claim(scene, id, shard.epoch);
        };
        let has_gone = home.backup().is_some_and(|backup| is_gone(scene, backup));
        if !has_gone && !home.backup_is_lost(scene.now) {
            return;
        }
        let Some(backup) = self.choose_backup(scene, id) else {
            return;
        };
        if let Some(home) = self.acting.remove(&id) {
            log::info!(event = "home-backup-replaced", shard = id.0; "");
            self.go_on(scene.now, id, shard.epoch, backup, home.stop());
        }
    }

    /// Succeeds a primary that is gone: its backup with the records, another without.
    fn succeed(&mut self, scene: &Scene<'_>, shard: Shard) {
        let id = shard.key.id;
        if shard.backup == Some(self.me) {
            let backup = self.choose_backup(scene, id);
            if backup.is_none() && self.options.needs_backup {
                return;
            }
            let held = self.backups.get_mut(&id);
            let start = held.and_then(|held| held.seal(scene.now, shard.epoch, shard.primary));
            log::warn!(event = "home-succeeds", shard = id.0, whole = start.is_some(); "");
            return match (start, backup) {
                (Some(start), Some(backup)) => {
                    self.go_on(scene.now, id, shard.epoch, backup, start);
                }
                _ => self.claim(scene, id, shard.epoch),
            };
        }
        let has_backup = shard.backup.is_some_and(|backup| !is_gone(scene, backup));
        let nodes: Vec<_> = scene.live.iter().map(|member| member.node).collect();
        if !has_backup && first(key(id), &nodes) == Some(self.me) {
            log::error!(event = "home-records-lost", shard = id.0, epoch = shard.epoch.0; "");
            self.claim(scene, id, shard.epoch);
        }
    }

    /// Copies the records to the backup of the next epoch, which is claimed once it has them.
    fn go_on(&mut self, now: Time, id: ShardId, after: Epoch, backup: NodeId, start: InitialState) {
        let home = Home::new(self.me, id, after.next(), Some(backup), start, self.options);
        let pending = Pending {
            after,
            backup: Some(backup),
            home: Some(home),
            claim: None,
            began: now,
        };
        self.pending.insert(id, pending);
    }

    /// Puts the homes of won claims in force, and drops lost ones.
    fn settle(&mut self, scene: &Scene<'_>) {
        let stage = |pending: &Pending| pending.claim.as_ref().map(Claim::stage);
        let ids: Vec<_> = self.pending.keys().copied().collect();
        for id in ids {
            match self.pending.get(&id).and_then(stage) {
                Some(Stage::Ready(epoch)) => self.win(scene, id, epoch),
                Some(Stage::Lost) => {
                    self.pending.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn win(&mut self, scene: &Scene<'_>, id: ShardId, epoch: Epoch) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        log::info!(event = "home", shard = id.0, epoch = epoch.0; "");
        let is_first = epoch == Epoch(1);
        let (me, options, now) = (self.me, self.options, scene.now);
        let home = pending.home.unwrap_or_else(|| {
            let start = match is_first {
                true => InitialState::first(),
                false => InitialState::without_records(epoch, now, &options),
            };
            Home::new(me, id, epoch, pending.backup, start, options)
        });
        self.acting.insert(id, home);
    }

    fn stance(&self, control: &Control, id: ShardId, in_touch: bool) -> Role {
        let named = control.shard(key(id));
        let is_named = self
            .acting
            .get(&id)
            .zip(named)
            .is_some_and(|(home, shard)| {
                let pair = (shard.epoch, shard.backup);
                shard.primary == self.me && pair == (home.epoch(), home.backup())
            });
        match is_named && in_touch {
            true => Role::Active,
            false => Role::Standby,
        }
    }

    /// A live node of another failure domain.
    fn choose_backup(&self, scene: &Scene<'_>, id: ShardId) -> Option<NodeId> {
        let others = scene
            .live
            .iter()
            .filter(|member| member.domain != self.domain);
        let nodes = others.map(|member| member.node);
        nodes.max_by_key(|node| (score(key(id), *node), *node))
    }

    fn each(
        &mut self,
        mut step: impl FnMut(&mut Claim) -> Vec<cassiashunt_control::ChangeAction>,
    ) -> Vec<ClaimAsk> {
        let mut asks = Vec::new();
        for pending in self.pending.values_mut() {
            let (Some(claim), backup) = (&mut pending.claim, pending.backup) else {
                continue;
            };
            let lossy = pending.home.is_none() && pending.after > Epoch(0);
            let asked = step(claim);
            let write = TakeOver {
                key: claim.key(),
                expected: claim.expected(),
                primary: self.me,
                backup,
                lossy,
            };
            asks.extend(asked.into_iter().map(|ask| ClaimAsk::of(write, ask)));
        }
        asks
    }
}

/// Shards of idempotency keys that nobody ever claimed.
fn unclaimed(control: &Control) -> usize {
    let ids = (0..HOME_SHARDS).map(ShardId);
    ids.filter(|id| control.shard(key(*id)).is_none()).count()
}

fn key(id: ShardId) -> ShardKey {
    ShardKey {
        kind: ShardKind::Home,
        id,
    }
}

fn is_gone(scene: &Scene<'_>, node: NodeId) -> bool {
    scene.gone.contains(&node)
}
