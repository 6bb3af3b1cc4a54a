use std::collections::HashMap;

use cassiashunt_types::{Epoch, Time};

use crate::{Key, home::Options, record::Record};

/// What a home begins its epoch with.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    pub(crate) records: HashMap<Key, Record>,
    /// The newest epoch that began without its predecessor's records.
    pub(crate) lossy: Epoch,
    /// Until when a key without a record and without a date may have run.
    pub(crate) caller_keys_blocked_until: Time,
    /// The last version that was given to a state of a record.
    pub(crate) version: u64,
}

impl InitialState {
    /// The first epoch of a shard that nobody ever held.
    #[must_use]
    pub fn first() -> Self {
        Self::default()
    }

    /// Begins `epoch` without the records of the one before. To be made once the claim's wait has
    /// ended: the predecessor gives no permit any more.
    #[must_use]
    pub fn without_records(epoch: Epoch, now: Time, options: &Options) -> Self {
        Self {
            records: HashMap::new(),
            lossy: epoch,
            caller_keys_blocked_until: now + options.max_record_lifetime(),
            version: 0,
        }
    }

    /// How many records there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
