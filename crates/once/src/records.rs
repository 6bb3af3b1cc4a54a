//! The records of a home, with what bounds them.

use std::collections::{BTreeSet, HashMap};

use cassiashunt_types::Time;

use crate::{Key, record::Record};

/// Records by key, and in order of expiry.
#[derive(Debug, Clone, Default)]
pub(crate) struct Records {
    by_key: HashMap<Key, Record>,
    expiries: BTreeSet<(Time, Key)>,
    answer_bytes: usize,
}

impl Records {
    pub(crate) fn new(by_key: HashMap<Key, Record>) -> Self {
        let expiries = by_key.iter().map(|(key, record)| (record.expiry, *key));
        Self {
            expiries: expiries.collect(),
            answer_bytes: by_key.values().map(Record::answer_bytes).sum(),
            by_key,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Bytes of the answers that are kept.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Every key, in order.
    pub(crate) fn keys(&self) -> BTreeSet<Key> {
        self.by_key.keys().copied().collect()
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Record> {
        self.by_key.get(&key)
    }

    pub(crate) fn put(&mut self, key: Key, record: Record) {
        self.remove(key);
        self.answer_bytes += record.answer_bytes();
        self.expiries.insert((record.expiry, key));
        self.by_key.insert(key, record);
    }

    /// Removes a record that has expired, while there is one.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Key> {
        let (expiry, key) = self.expiries.first().copied()?;
        if expiry > now {
            return None;
        }
        self.remove(key);
        Some(key)
    }

    pub(crate) fn into_map(self) -> HashMap<Key, Record> {
        self.by_key
    }

    fn remove(&mut self, key: Key) {
        if let Some(record) = self.by_key.remove(&key) {
            self.answer_bytes -= record.answer_bytes();
            self.expiries.remove(&(record.expiry, key));
        }
    }
}
