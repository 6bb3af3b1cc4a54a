//! A simulated node: client, home, backup and claims, with a control value reduced to one shard.

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_once::{
    Attempt, Backup, Client, Home, InitialState, Outgoing, Role,
    home::Options,
    msg::{Body, Message},
};
use cassiashunt_types::{ClockDrift, Epoch, NodeId, ShardId, Time};

pub const SHARD: ShardId = ShardId(0);
pub const CONTROL_FRESHNESS: Duration = Duration::from_secs(2);

/// The shard's entry of the control value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Control {
    pub epoch: Epoch,
    pub primary: Option<NodeId>,
    pub backup: Option<NodeId>,
}

/// A compare-and-swap of the entry, applied only if its epoch is still `expected`.
#[derive(Debug, Clone, Copy)]
pub struct Swap {
    pub expected: Epoch,
    pub primary: NodeId,
    pub backup: Option<NodeId>,
}

#[derive(Debug)]
enum Claim {
    /// A claim with the records, in a home that may have to copy them first.
    WithRecords { home: Box<Home>, copies_first: bool },
    /// A claim without records; once won, the home may act from `ready` on.
    WithoutRecords { backup: NodeId, ready: Option<Time> },
}

pub struct Node {
    pub id: NodeId,
    pub client: Client,
    pub open_attempts: BTreeMap<Attempt, (usize, usize)>,
    home: Option<Home>,
    backup: Backup,
    claim: Option<(Epoch, Claim)>,
    control: Control,
    read_at: Option<Time>,
    next_swap_at: Time,
    options: Options,
}

impl Node {
    pub fn new(id: NodeId, options: Options) -> Self {
        Self {
            id,
            client: Client::new(id, Default::default()),
            open_attempts: BTreeMap::new(),
            home: None,
            backup: Backup::new(id, SHARD),
            claim: None,
            control: Control::default(),
            read_at: None,
            next_swap_at: Time::ZERO,
            options,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.control.epoch
    }

    pub fn is_in_touch(&self, now: Time) -> bool {
        self.read_at
            .is_some_and(|at| now.since(at) < CONTROL_FRESHNESS)
    }

    fn role(&self, now: Time, home: &Home) -> Role {
        let control = &self.control;
        let is_named = control.epoch == home.epoch()
            && control.primary == Some(self.id)
            && control.backup == home.backup();
        match is_named && self.is_in_touch(now) {
            true => Role::Active,
            false => Role::Standby,
        }
    }

    pub fn handle_message(&mut self, now: Time, msg: &Message) -> Vec<Outgoing> {
        match msg.body {
            Some(Body::Reply(_)) => self.client.handle_message(now, msg),
            Some(Body::Copy(_)) => return self.backup.handle_message(now, msg),
            _ => {
                let role = self.home.as_ref().map(|home| self.role(now, home));
                let mut sends = match (&mut self.home, role) {
                    (Some(home), Some(role)) => home.handle_message(now, msg, role),
                    _ => Vec::new(),
                };
                if let Some((_, Claim::WithRecords { home, .. })) = &mut self.claim {
                    sends.extend(home.handle_message(now, msg, Role::Standby));
                }
                return sends;
            }
        }
        Vec::new()
    }

    /// Applies the platform's answer to a read sent at `asked`.
    pub fn apply_control(&mut self, now: Time, asked: Time, control: Control) {
        if control.epoch < self.control.epoch {
            return;
        }
        self.control = control;
        self.read_at = self.read_at.max(Some(asked));
        self.backup.follow_epoch(control.epoch);
        if let Some(primary) = control.primary {
            self.client.follow_home(SHARD, control.epoch, primary);
        }
        self.home.take_if(|home| home.epoch() < control.epoch);
        self.update_claim(now);
    }

    fn update_claim(&mut self, now: Time) {
        let control = self.control;
        let Some((expected, claim)) = self.claim.take() else {
            return;
        };
        let is_mine = control.epoch == expected.next() && control.primary == Some(self.id);
        match claim {
            claim if control.epoch == expected => self.claim = Some((expected, claim)),
            Claim::WithRecords { home, .. } if is_mine => self.home = Some(*home),
            Claim::WithoutRecords { backup, ready } if is_mine => {
                let wait =
                    ClockDrift::default().max_elapsed(CONTROL_FRESHNESS + self.options.validity);
                let ready = ready.or(Some(now + wait));
                self.claim = Some((expected, Claim::WithoutRecords { backup, ready }));
            }
            _ => {}
        }
    }

    /// Runs periodic work; `live` are the unsuspected nodes in other failure domains.
    pub fn tick(
        &mut self,
        now: Time,
        live: &[NodeId],
        has_failed: impl Fn(NodeId) -> bool,
        may_claim: bool,
    ) -> (Vec<Outgoing>, Option<Swap>) {
        let mut sends = self.client.poll(now);
        self.backup.tick(now);
        if let Some(home) = &mut self.home {
            sends.extend(home.tick(now));
        }
        if let Some((_, Claim::WithRecords { home, .. })) = &mut self.claim {
            sends.extend(home.tick(now));
        }
        if self.is_in_touch(now) {
            self.maintain_home(now, live, &has_failed, may_claim);
        }
        let swap = self.swap(now, live, &has_failed);
        (sends, swap)
    }

    fn maintain_home(
        &mut self,
        now: Time,
        live: &[NodeId],
        has_failed: &impl Fn(NodeId) -> bool,
        may_claim: bool,
    ) {
        let control = self.control;
        let Some(other) = live.first().copied() else {
            return;
        };
        if let Some((_, Claim::WithoutRecords { ready, backup })) = &self.claim
            && ready.is_some_and(|ready| now >= ready)
        {
            let start = InitialState::without_records(control.epoch, now, &self.options);
            let backup = control.backup.or(Some(*backup));
            self.home = Some(self.new_home(control.epoch, backup, start));
            self.claim = None;
        }
        if self.claim.is_some() {
            return;
        }
        let Some(primary) = control.primary else {
            if may_claim {
                self.claim_with_records(control.epoch, other, InitialState::first(), false);
            }
            return;
        };
        if primary == self.id {
            let is_lost = |home: &mut Home| {
                home.backup() != control.backup
                    || home.backup_is_lost(now)
                    || home.backup().is_some_and(has_failed)
            };
            match self.home.take_if(is_lost) {
                Some(home) => self.claim_with_records(control.epoch, other, home.stop(), true),
                None if self.home.is_none() => self.claim_without_records(control.epoch, other),
                None => {}
            }
        } else if has_failed(primary) && control.backup == Some(self.id) {
            match self.backup.seal(now, control.epoch, primary) {
                Some(start) => self.claim_with_records(control.epoch, other, start, false),
                None => self.claim_without_records(control.epoch, other),
            }
        } else if has_failed(primary) && control.backup.is_none_or(has_failed) && may_claim {
            self.claim_without_records(control.epoch, other);
        }
    }

    fn new_home(&self, epoch: Epoch, backup: Option<NodeId>, start: InitialState) -> Home {
        Home::new(self.id, SHARD, epoch, backup, start, self.options)
    }

    fn claim_with_records(
        &mut self,
        expected: Epoch,
        backup: NodeId,
        start: InitialState,
        copies_first: bool,
    ) {
        let home = Box::new(self.new_home(expected.next(), Some(backup), start));
        self.claim = Some((expected, Claim::WithRecords { home, copies_first }));
    }

    fn claim_without_records(&mut self, expected: Epoch, backup: NodeId) {
        let ready = None;
        self.claim = Some((expected, Claim::WithoutRecords { backup, ready }));
    }

    fn swap(
        &mut self,
        now: Time,
        live: &[NodeId],
        has_failed: &impl Fn(NodeId) -> bool,
    ) -> Option<Swap> {
        let (expected, claim) = self.claim.take()?;
        let (claim, backup) = match claim {
            Claim::WithRecords { home, copies_first } => {
                let is_lost = home.backup_is_lost(now) || home.backup().is_some_and(has_failed);
                let home = match live.iter().find(|node| Some(**node) != home.backup()) {
                    Some(other) if is_lost => {
                        Box::new(self.new_home(home.epoch(), Some(*other), home.stop()))
                    }

                    _ => home,
                };
                let backup = home
                    .backup()
                    .filter(|_| home.is_replicated() || !copies_first);
                (Claim::WithRecords { home, copies_first }, backup)
            }
            Claim::WithoutRecords { backup, ready } => (
                Claim::WithoutRecords { backup, ready },
                Some(backup).filter(|_| ready.is_none()),
            ),
        };
        self.claim = Some((expected, claim));
        if backup.is_none() || now < self.next_swap_at || self.control.epoch != expected {
            return None;
        }
        self.next_swap_at = now + Duration::from_millis(500);
        let primary = self.id;
        Some(Swap {
            expected,
            primary,
            backup,
        })
    }
}
