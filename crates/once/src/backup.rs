//! The backup of a shard: holds copies of the home's records in another failure domain.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, ShardId, Time, prelude::Duration};

use crate::{
    InitialState, Key, Outgoing,
    msg::{Ack, Body, Complete, Copied, CopiedBody, Copy, CopyBody, Message, WireRecord},
    record::Record,
};

/// Maximum number of copies, of different epochs or homes, held at once.
const MAX_COPIES: usize = 4;

/// Identifies a home: its epoch and its node.
type HomeId = (Epoch, NodeId);

/// Holds copies of the records of one shard.
///
/// There may be several copies at a time: a home copies its records before it claims the epoch in
/// which it is to act on them.
#[derive(Debug, Clone)]
pub struct Backup {
    me: NodeId,
    shard: ShardId,
    epoch: Epoch,
    copies: BTreeMap<HomeId, HeldCopy>,
}

#[derive(Debug, Clone, Default)]
struct HeldCopy {
    records: HashMap<Key, (u64, Record)>,
    complete: Option<(Epoch, Time)>,
    is_sealed: bool,
}

impl Backup {
    /// Creates a backup that holds no copies.
    #[must_use]
    pub fn new(me: NodeId, shard: ShardId) -> Self {
        Self {
            me,
            shard,
            epoch: Epoch::default(),
            copies: BTreeMap::new(),
        }
    }

    /// Raises the shard's current epoch to `epoch` and drops the copies of earlier epochs.
    pub fn follow_epoch(&mut self, epoch: Epoch) {
        self.epoch = self.epoch.max(epoch);
        self.copies.retain(|home, _| home.0 >= self.epoch);
    }

    /// Whether this node holds a complete copy and could take over from `primary` under `epoch`.
    #[must_use]
    pub fn is_complete(&self, epoch: Epoch, primary: NodeId) -> bool {
        let held = self.copies.get(&(epoch, primary));
        held.is_some_and(|held| held.complete.is_some())
    }

    /// Stops accepting copies from `primary`, which then can give no further permit under `epoch`,
    /// and returns its records; `None` if the copy was never complete.
    ///
    /// Only the node that the control value names as the backup of `primary` under `epoch` may use
    /// the records, and only by claiming the next epoch.
    pub fn seal(&mut self, now: Time, epoch: Epoch, primary: NodeId) -> Option<InitialState> {
        let held = self.copies.entry((epoch, primary)).or_default();
        held.is_sealed = true;
        let (last_lossy_epoch, caller_keys_blocked_until) = held.complete?;
        let live = held
            .records
            .iter()
            .filter(|(_, (_, record))| record.expiry > now);
        Some(InitialState {
            records: live
                .map(|(key, (_, record))| (*key, record.clone()))
                .collect(),
            last_lossy_epoch,
            caller_keys_blocked_until,
            version: held.records.values().map(|it| it.0).max().unwrap_or(0),
        })
    }

    /// Handles a home's message; returns the reply.
    pub fn handle_message(&mut self, now: Time, msg: &Message) -> Vec<Outgoing> {
        let Some(Body::Copy(copy)) = &msg.body else {
            return Vec::new();
        };
        let home = (Epoch(msg.epoch), NodeId(copy.primary));
        let body = self.apply_copy(now, home, copy);
        let copied = Copied {
            primary: copy.primary,
            backup: self.me.0,
            body: Some(body),
        };
        let msg = Message::new(self.shard, home.0, Body::Copied(copied));
        let to = home.1;
        vec![Outgoing { to, msg }]
    }

    /// Removes expired records; to be called about once a second.
    pub fn tick(&mut self, now: Time) {
        for held in self.copies.values_mut() {
            held.records.retain(|_, (_, record)| record.expiry > now);
        }
    }

    /// Number of records in all copies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.copies.values().map(|held| held.records.len()).sum()
    }

    /// Whether no copy has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn apply_copy(&mut self, now: Time, home: HomeId, copy: &Copy) -> CopiedBody {
        let is_full = self.copies.len() >= MAX_COPIES && !self.copies.contains_key(&home);
        if home.0 < self.epoch || home.1 == self.me || is_full {
            return CopiedBody::Sealed(Ack {});
        }
        let held = self.copies.entry(home).or_default();
        if held.is_sealed {
            return CopiedBody::Sealed(Ack {});
        }
        match &copy.body {
            Some(CopyBody::Record(record)) => held.insert(now, self.shard, record),
            Some(CopyBody::Complete(complete)) => held.complete(now, complete),
            None => CopiedBody::Sealed(Ack {}),
        }
    }
}

impl HeldCopy {
    fn insert(&mut self, now: Time, shard: ShardId, wire: &WireRecord) -> CopiedBody {
        let key = wire.key.as_ref().and_then(|key| key.key(shard));
        let (Some(key), Some(record)) = (key, wire.record(now)) else {
            return CopiedBody::Sealed(Ack {});
        };
        let known = self.records.get(&key).map(|(version, _)| *version);
        if known.is_none_or(|known| known < wire.version) {
            self.records.insert(key, (wire.version, record));
        }
        CopiedBody::Held(wire.version)
    }

    fn complete(&mut self, now: Time, complete: &Complete) -> CopiedBody {
        let blocked_for = Duration::from_micros(complete.caller_keys_blocked_micros);
        let until = now + ClockDrift::default().max_elapsed(blocked_for);
        self.complete
            .get_or_insert((Epoch(complete.last_lossy_epoch), until));
        CopiedBody::Complete(Ack {})
    }
}
