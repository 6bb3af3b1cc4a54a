//! The node that keeps copies of a home's records.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, ShardId, Time, prelude::Duration};

use crate::{
    InitialState, Key, Outgoing,
    msg::{Ack, Body, Complete, Copied, CopiedBody, Copy, CopyBody, Message, WireRecord},
    record::Record,
};

/// Copies of different epochs or homes that are kept at once.
const COPIES: usize = 4;

/// A home under one epoch.
type Pair = (Epoch, NodeId);

/// Keeps copies of the records of one shard.
///
/// There may be several at a time: a home copies its records before it claims the epoch in which
/// it is to act with them.
#[derive(Debug, Clone)]
pub struct Backup {
    me: NodeId,
    shard: ShardId,
    epoch: Epoch,
    copies: BTreeMap<Pair, Held>,
}

#[derive(Debug, Clone, Default)]
struct Held {
    records: HashMap<Key, (u64, Record)>,
    complete: Option<(Epoch, Time)>,
    is_sealed: bool,
}

impl Backup {
    /// Keeps nothing yet.
    #[must_use]
    pub fn new(me: NodeId, shard: ShardId) -> Self {
        Self {
            me,
            shard,
            epoch: Epoch::default(),
            copies: BTreeMap::new(),
        }
    }

    /// The shard is at this epoch; copies of earlier ones are of no use any more.
    pub fn follow_epoch(&mut self, epoch: Epoch) {
        self.epoch = self.epoch.max(epoch);
        self.copies.retain(|pair, _| pair.0 >= self.epoch);
    }

    /// Whether this node could succeed `primary` under `epoch` with its records.
    #[must_use]
    pub fn is_complete(&self, epoch: Epoch, primary: NodeId) -> bool {
        let held = self.copies.get(&(epoch, primary));
        held.is_some_and(|held| held.complete.is_some())
    }

    /// Stops copying from `primary`, which from now on gets no leave to give a permit under
    /// `epoch`, and returns its records; nothing where the copy was never complete.
    ///
    /// Only the node that the control value names as the backup of `primary` under `epoch` may go
    /// on from them, and only by claiming the epoch that follows it.
    pub fn seal(&mut self, now: Time, epoch: Epoch, primary: NodeId) -> Option<InitialState> {
        let held = self.copies.entry((epoch, primary)).or_default();
        held.is_sealed = true;
        let (lossy, caller_keys_blocked_until) = held.complete?;
        let live = held
            .records
            .iter()
            .filter(|(_, (_, record))| record.expiry > now);
        Some(InitialState {
            records: live
                .map(|(key, (_, record))| (*key, record.clone()))
                .collect(),
            lossy,
            caller_keys_blocked_until,
            version: held.records.values().map(|it| it.0).max().unwrap_or(0),
        })
    }

    /// Takes in a home's message.
    pub fn handle_message(&mut self, now: Time, msg: &Message) -> Vec<Outgoing> {
        let Some(Body::Copy(copy)) = &msg.body else {
            return Vec::new();
        };
        let pair = (Epoch(msg.epoch), NodeId(copy.primary));
        let body = self.copy(now, pair, copy);
        let copied = Copied {
            primary: copy.primary,
            backup: self.me.0,
            body: Some(body),
        };
        let msg = Message::new(self.shard, pair.0, Body::Copied(copied));
        let to = pair.1;
        vec![Outgoing { to, msg }]
    }

    /// Forgets what has expired; to be called about once a second.
    pub fn tick(&mut self, now: Time) {
        for held in self.copies.values_mut() {
            held.records.retain(|_, (_, record)| record.expiry > now);
        }
    }

    /// How many records are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.copies.values().map(|held| held.records.len()).sum()
    }

    /// Whether no record is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn copy(&mut self, now: Time, pair: Pair, copy: &Copy) -> CopiedBody {
        let is_full = self.copies.len() >= COPIES && !self.copies.contains_key(&pair);
        if pair.0 < self.epoch || pair.1 == self.me || is_full {
            return CopiedBody::Sealed(Ack {});
        }
        let held = self.copies.entry(pair).or_default();
        if held.is_sealed {
            return CopiedBody::Sealed(Ack {});
        }
        match &copy.body {
            Some(CopyBody::Record(record)) => held.hold(now, self.shard, record),
            Some(CopyBody::Complete(complete)) => held.complete(now, complete),
            None => CopiedBody::Sealed(Ack {}),
        }
    }
}

impl Held {
    fn hold(&mut self, now: Time, shard: ShardId, wire: &WireRecord) -> CopiedBody {
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
        let left = Duration::from_micros(complete.caller_keys_blocked_micros);
        let until = now + ClockDrift::default().max_elapsed(left);
        self.complete.get_or_insert((Epoch(complete.lossy), until));
        CopiedBody::Complete(Ack {})
    }
}
