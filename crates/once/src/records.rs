//! The records of a home, indexed by key and by expiry.

use std::collections::{BTreeSet, HashMap};

use cassiashunt_types::Time;

use crate::{Key, record::Record};

/// Records by key and in order of expiry, with the total size of their answers.
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

    /// Total size of the stored answers, in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// All keys, in ascending order.
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

    /// Removes the record that expires first, if it has expired, and returns its key.
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
