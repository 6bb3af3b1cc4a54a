//! The state of a key-value service, without clock or socket.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use cassiashunt_types::Time;

use crate::{Entry, Error, LeaseId, MAX_VALUE_BYTES, Version, swap};

/// How many writes can be undone.
const UNDO_WRITES: usize = 256;

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    ends_at: Time,
}

#[derive(Debug, Clone)]
struct Undo {
    key: String,
    before: Option<Entry>,
}

/// Keys, versions and leases of a key-value service.
#[derive(Debug, Default)]
pub struct Store {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    undo: VecDeque<Undo>,
    last_version: Version,
    last_lease: LeaseId,
}

impl Store {
    /// Reads the value under `key`.
    pub fn get(&mut self, now: Time, key: &str) -> Option<Entry> {
        self.lapse(now);
        self.entries.get(key).cloned()
    }

    /// Writes a value where the key still stands as expected.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] and [`Error::NoLease`].
    pub fn swap(&mut self, now: Time, req: &swap::Request<'_>) -> Result<swap::Outcome, Error> {
        check_size(req)?;
        self.lapse(now);
        self.check_lease(req.lease)?;
        let current = self.entries.get(req.key);
        if swap::Expected::of(current) != req.expected {
            let current = current.cloned();
            return Ok(swap::Outcome::Conflict { current });
        }
        let version = self.write(req);
        Ok(swap::Outcome::Applied { version })
    }

    /// Reads every value whose key begins with `prefix`.
    pub fn list(&mut self, now: Time, prefix: &str) -> Vec<Entry> {
        self.lapse(now);
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Time, ttl: Duration) -> LeaseId {
        self.last_lease.0 += 1;
        let ends_at = now + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, ends_at });
        self.last_lease
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::NoLease`].
    pub fn keep_alive(&mut self, now: Time, lease: LeaseId) -> Result<(), Error> {
        self.lapse(now);
        let held = self.leases.get_mut(&lease);
        let held = held.ok_or(Error::NoLease { lease })?;
        held.ends_at = now + held.ttl;
        Ok(())
    }

    /// Ends a lease, be it by its holder or early by a fault.
    ///
    /// # Errors
    ///
    /// [`Error::NoLease`].
    pub fn revoke(&mut self, now: Time, lease: LeaseId) -> Result<(), Error> {
        self.lapse(now);
        let held = self.leases.remove(&lease);
        held.ok_or(Error::NoLease { lease })?;
        self.drop_orphans();
        Ok(())
    }

    /// Undoes the last `writes` writes, as the restoration of a backup does.
    ///
    /// Versions go on from where they were, so that none is given twice.
    pub fn roll_back(&mut self, writes: usize) {
        for _ in 0..writes {
            let Some(undo) = self.undo.pop_back() else {
                break;
            };
            match undo.before {
                Some(entry) => self.entries.insert(undo.key, entry),
                None => self.entries.remove(&undo.key),
            };
        }
        self.drop_orphans();
    }

    /// When the next lease lapses.
    #[must_use]
    pub fn next_lapse(&self) -> Option<Time> {
        self.leases.values().map(|lease| lease.ends_at).min()
    }

    fn check_lease(&self, lease: Option<LeaseId>) -> Result<(), Error> {
        match lease {
            Some(lease) if !self.leases.contains_key(&lease) => Err(Error::NoLease { lease }),
            _ => Ok(()),
        }
    }

    fn write(&mut self, req: &swap::Request<'_>) -> Version {
        self.last_version.0 += 1;
        let entry = Entry {
            key: req.key.into(),
            version: self.last_version,
            lease: req.lease,
            value: req.value.into(),
        };
        let before = self.entries.insert(req.key.into(), entry);
        let key = req.key.into();
        self.undo.push_back(Undo { key, before });
        if self.undo.len() > UNDO_WRITES {
            self.undo.pop_front();
        }
        self.last_version
    }

    fn lapse(&mut self, now: Time) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| lease.ends_at > now);
        if self.leases.len() < before {
            self.drop_orphans();
        }
    }

    fn drop_orphans(&mut self) {
        let leases = &self.leases;
        self.entries
            .retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}

fn check_size(req: &swap::Request<'_>) -> Result<(), Error> {
    let bytes = req.value.len();
    if bytes <= MAX_VALUE_BYTES {
        return Ok(());
    }
    let key = req.key.into();
    Err(Error::TooLarge { key, bytes })
}
