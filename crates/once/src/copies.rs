//! What a home's backup holds and what it has yet to get.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cassiashunt_types::Time;

use crate::Key;

/// How far the backup has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pairing {
    /// It is being sent the records that the epoch began with.
    Copying,
    /// It holds them and is to confirm that it knows.
    Completing,
    /// It holds everything but the newest states.
    Paired,
    /// It is the backup no longer.
    Ended,
}

/// When something was sent that is not yet answered.
#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    first: Option<Time>,
    last: Option<Time>,
}

impl Sent {
    /// Whether to send it now, again where it was not answered within `again`; notes that it is.
    fn is_due(&mut self, now: Time, again: Duration) -> bool {
        let is_due = self.last.is_none_or(|last| now.since(last) >= again);
        if is_due {
            self.first.get_or_insert(now);
            self.last = Some(now);
        }
        is_due
    }
}

/// A state that the backup is not known to hold.
#[derive(Debug, Clone, Copy)]
struct UnderWay {
    key: Key,
    sent: Sent,
}

/// What is to be sent to the backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Due {
    /// The record of this key, as this version.
    Record { version: u64, key: Key },
    /// That it holds everything.
    Complete,
}

/// The states of records on their way to the backup.
#[derive(Debug, Clone)]
pub(crate) struct Copies {
    /// The last version that was given to a state.
    version: u64,
    under_way: BTreeMap<u64, UnderWay>,
    versions: HashMap<Key, u64>,
    pairing: Pairing,
    complete: Sent,
}

impl Copies {
    /// Nothing is on its way; the next version is the one after `version`.
    pub(crate) fn new(version: u64) -> Self {
        Self {
            version,
            under_way: BTreeMap::new(),
            versions: HashMap::new(),
            pairing: Pairing::Copying,
            complete: Sent::default(),
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn is_paired(&self) -> bool {
        self.pairing == Pairing::Paired
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.pairing == Pairing::Ended
    }

    /// Whether the backup may lack the newest state of this key.
    pub(crate) fn is_under_way(&self, key: Key) -> bool {
        self.versions.contains_key(&key)
    }

    /// Whether the backup has left something unanswered for longer than `timeout`.
    pub(crate) fn is_late(&self, now: Time, timeout: Duration) -> bool {
        let oldest = self.under_way.values().next().and_then(|it| it.sent.first);
        let waits = oldest.into_iter().chain(self.complete.first);
        waits.into_iter().any(|since| now.since(since) > timeout)
    }

    /// The record of `key` has a new state.
    pub(crate) fn add(&mut self, key: Key) {
        self.remove(key);
        self.version += 1;
        self.versions.insert(key, self.version);
        let sent = Sent::default();
        let under_way = UnderWay { key, sent };
        self.under_way.insert(self.version, under_way);
    }

    /// The record of `key` is gone.
    pub(crate) fn remove(&mut self, key: Key) {
        if let Some(version) = self.versions.remove(&key) {
            self.under_way.remove(&version);
        }
    }

    /// The backup holds this version; returns the key where that is its newest.
    pub(crate) fn held(&mut self, version: u64) -> Option<Key> {
        let key = self.under_way.remove(&version)?.key;
        self.versions.remove(&key);
        Some(key)
    }

    /// The backup knows that it holds everything.
    pub(crate) fn completed(&mut self) {
        if self.pairing == Pairing::Completing {
            self.pairing = Pairing::Paired;
            self.complete = Sent::default();
        }
    }

    /// The backup acknowledges nothing any more.
    pub(crate) fn end(&mut self) {
        self.pairing = Pairing::Ended;
    }

    /// What is to be sent now, again where it was not answered within `again`; at most `most`
    /// records are under way at once.
    pub(crate) fn due(&mut self, now: Time, again: Duration, most: usize) -> Vec<Due> {
        if self.pairing == Pairing::Copying && self.under_way.is_empty() {
            self.pairing = Pairing::Completing;
        }
        if self.has_ended() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (version, it) in self.under_way.iter_mut().take(most) {
            if it.sent.is_due(now, again) {
                let (version, key) = (*version, it.key);
                due.push(Due::Record { version, key });
            }
        }
        if self.pairing == Pairing::Completing && self.complete.is_due(now, again) {
            due.push(Due::Complete);
        }
        due
    }
}
