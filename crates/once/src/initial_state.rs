use std::collections::HashMap;

use cassiashunt_types::{Epoch, Time};

use crate::{Key, home::Options, record::Record};

/// The state with which a home begins its epoch.
#[derive(Debug, Clone, Default)]
pub struct InitialState {
    pub(crate) records: HashMap<Key, Record>,
    /// The newest epoch that began without the records of the epoch before it.
    pub(crate) last_lossy_epoch: Epoch,
    /// Until then a caller-chosen key without a record may have run before, and is refused.
    pub(crate) caller_keys_blocked_until: Time,
    /// The last version number assigned to a state of a record.
    pub(crate) version: u64,
}

impl InitialState {
    /// The state for the first epoch of a shard that no node has ever held.
    #[must_use]
    pub fn first() -> Self {
        Self::default()
    }

    /// Begins `epoch` without the records of the epoch before it. Call it only after the claim's
    /// wait, when the predecessor can no longer give permits.
    #[must_use]
    pub fn without_records(epoch: Epoch, now: Time, options: &Options) -> Self {
        Self {
            records: HashMap::new(),
            last_lossy_epoch: epoch,
            caller_keys_blocked_until: now + options.max_record_lifetime(),
            version: 0,
        }
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
