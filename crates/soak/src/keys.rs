//! The keys that clients use, and when they were withdrawn.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// The key that stays.
pub(crate) const LASTING: &str = "key-that-lasts";
/// Withdrawn keys that clients go on with.
const TRIED_ON: usize = 3;

/// Keys as the operator knows them.
#[derive(Debug)]
pub(crate) struct Keys(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    version: u64,
    /// The key that changes.
    current: String,
    withdrawn: Vec<(String, Instant)>,
}

impl Default for Keys {
    fn default() -> Self {
        Self(Mutex::new(Inner {
            version: 1,
            current: "key-1".into(),
            withdrawn: Vec::new(),
        }))
    }
}

impl Keys {
    /// The version of the table and the keys in it.
    pub(crate) fn table(&self) -> (u64, Vec<String>) {
        let inner = self.lock();
        (inner.version, vec![LASTING.into(), inner.current.clone()])
    }

    /// The next version, with another key in place of the one that changes or with the same. The
    /// withdrawal counts from when `put` has put it in force.
    pub(crate) fn change(&self, is_withdrawn: bool, put: impl FnOnce(u64, &[String])) {
        let old = {
            let mut inner = self.lock();
            inner.version += 1;
            let next = format!("key-{}", inner.version);
            is_withdrawn.then(|| std::mem::replace(&mut inner.current, next))
        };
        let (version, keys) = self.table();
        put(version, &keys);
        if let Some(old) = old {
            self.lock().withdrawn.push((old, Instant::now()));
        }
    }

    /// A key for a client: one in force, or one that was withdrawn lately.
    pub(crate) fn draw(&self) -> String {
        let inner = self.lock();
        let late = inner.withdrawn.iter().rev().take(TRIED_ON);
        let late: Vec<_> = late.map(|(key, _)| key.as_str()).collect();
        let all = [LASTING, LASTING, LASTING, &inner.current];
        let at = fastrand::usize(..all.len() + late.len());
        all.get(at)
            .unwrap_or_else(|| &late[at - all.len()])
            .to_string()
    }

    /// Keys that were withdrawn, and when that was acknowledged.
    pub(crate) fn withdrawn(&self) -> Vec<(String, Instant)> {
        self.lock().withdrawn.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
