//! Tracks which states of records the backup of a home has acknowledged.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cassiashunt_types::Time;

use crate::Key;

/// Progress of the backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncState {
    /// The records with which the epoch began are being sent.
    Copying,
    /// The backup holds those records and is to acknowledge that its copy is complete.
    Completing,
    /// The backup holds everything but the unacknowledged states.
    InSync,
    /// The node is no longer the backup.
    Ended,
}

/// When an unacknowledged message was first and last sent.
#[derive(Debug, Clone, Copy, Default)]
struct SendTimes {
    first: Option<Time>,
    last: Option<Time>,
}

impl SendTimes {
    /// Whether to send the message now: first, or again `resend_interval` after the last time.
    /// If so, records it as sent.
    fn record_if_due(&mut self, now: Time, resend_interval: Duration) -> bool {
        let is_due = self
            .last
            .is_none_or(|last| now.since(last) >= resend_interval);
        if is_due {
            self.first.get_or_insert(now);
            self.last = Some(now);
        }
        is_due
    }
}

/// A state of a record that the backup has not acknowledged.
#[derive(Debug, Clone, Copy)]
struct UnackedState {
    key: Key,
    sent: SendTimes,
}

/// A message due to the backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DueMessage {
    /// The record of this key, with this version number.
    Record { version: u64, key: Key },
    /// That its copy is complete.
    Complete,
}

/// The states of records that the backup has not acknowledged.
#[derive(Debug, Clone)]
pub(crate) struct Replication {
    /// The last version number assigned to a state.
    version: u64,
    unacked: BTreeMap<u64, UnackedState>,
    versions: HashMap<Key, u64>,
    sync_state: SyncState,
    complete_sent: SendTimes,
}

impl Replication {
    /// Starts with nothing unacknowledged; the next version number is the one after `version`.
    pub(crate) fn new(version: u64) -> Self {
        Self {
            version,
            unacked: BTreeMap::new(),
            versions: HashMap::new(),
            sync_state: SyncState::Copying,
            complete_sent: SendTimes::default(),
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn is_in_sync(&self) -> bool {
        self.sync_state == SyncState::InSync
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.sync_state == SyncState::Ended
    }

    /// Whether the backup has not yet acknowledged the newest state of this key.
    pub(crate) fn is_unacked(&self, key: Key) -> bool {
        self.versions.contains_key(&key)
    }

    /// Whether a message to the backup has been unacknowledged for longer than `timeout`.
    pub(crate) fn is_ack_overdue(&self, now: Time, timeout: Duration) -> bool {
        let oldest = self.unacked.values().next().and_then(|it| it.sent.first);
        let oldest_sent = oldest.into_iter().chain(self.complete_sent.first);
        oldest_sent
            .into_iter()
            .any(|since| now.since(since) > timeout)
    }

    /// Enqueues the new state of the record of `key`, in place of an older one.
    pub(crate) fn enqueue(&mut self, key: Key) {
        self.remove(key);
        self.version += 1;
        self.versions.insert(key, self.version);
        let sent = SendTimes::default();
        let unacked = UnackedState { key, sent };
        self.unacked.insert(self.version, unacked);
    }

    /// Drops the state of `key`, whose record has been removed or replaced.
    pub(crate) fn remove(&mut self, key: Key) {
        if let Some(version) = self.versions.remove(&key) {
            self.unacked.remove(&version);
        }
    }

    /// Records that the backup holds this version; returns the key if that is its newest state.
    pub(crate) fn acknowledge(&mut self, version: u64) -> Option<Key> {
        let key = self.unacked.remove(&version)?.key;
        self.versions.remove(&key);
        Some(key)
    }

    /// Records that the backup has acknowledged that its copy is complete.
    pub(crate) fn acknowledge_complete(&mut self) {
        if self.sync_state == SyncState::Completing {
            self.sync_state = SyncState::InSync;
            self.complete_sent = SendTimes::default();
        }
    }

    /// Ends the replication: the backup acknowledges nothing any more.
    pub(crate) fn end(&mut self) {
        self.sync_state = SyncState::Ended;
    }

    /// Returns the messages to send now, unacknowledged ones again every `resend_interval`; at most
    /// `max_in_flight` records are in flight at once.
    pub(crate) fn due(
        &mut self,
        now: Time,
        resend_interval: Duration,
        max_in_flight: usize,
    ) -> Vec<DueMessage> {
        if self.sync_state == SyncState::Copying && self.unacked.is_empty() {
            self.sync_state = SyncState::Completing;
        }
        if self.has_ended() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (version, it) in self.unacked.iter_mut().take(max_in_flight) {
            if it.sent.record_if_due(now, resend_interval) {
                let (version, key) = (*version, it.key);
                due.push(DueMessage::Record { version, key });
            }
        }
        if self.sync_state == SyncState::Completing
            && self.complete_sent.record_if_due(now, resend_interval)
        {
            due.push(DueMessage::Complete);
        }
        due
    }
}
