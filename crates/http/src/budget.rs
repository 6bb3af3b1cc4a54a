//! Bounds the bytes of bodies that all connections hold.

use std::{
    collections::BTreeMap,
    net::{Shutdown, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;

/// The size of a part of a body.
pub(crate) const PART_BYTES: usize = 64 * 1024;

/// Bytes of requests that are read or run and of answers that are written, on all connections.
///
/// Where it has no room, the connection is closed that has been without progress longest.
#[derive(Debug)]
pub struct Budget {
    most: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    held: usize,
    last_key: u64,
    /// Parts to be used again.
    spare: Vec<Vec<u8>>,
    /// Those that can be closed.
    shares: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    progressed: Instant,
    is_closed: bool,
    stream: Arc<TcpStream>,
    /// The side that is closed: a reader still gets its refusal.
    side: Shutdown,
}

impl Budget {
    /// A budget of `most` bytes.
    #[must_use]
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            most,
            inner: Mutex::default(),
        })
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// The share of a connection, of which `side` is closed where room is short.
    pub(crate) fn share(self: &Arc<Self>, stream: &Arc<TcpStream>, side: Shutdown) -> Share {
        let mut inner = self.lock();
        inner.last_key += 1;
        let key = inner.last_key;
        let entry = Entry {
            bytes: 0,
            progressed: Instant::now(),
            is_closed: false,
            stream: Arc::clone(stream),
            side,
        };
        inner.shares.insert(key, entry);
        Share {
            budget: Arc::clone(self),
            key,
        }
    }

    /// An empty part.
    pub(crate) fn take_part(&self) -> Vec<u8> {
        let spare = self.lock().spare.pop();
        spare.unwrap_or_else(|| Vec::with_capacity(PART_BYTES))
    }

    /// Takes parts back.
    pub(crate) fn return_parts(&self, parts: &mut Vec<Vec<u8>>) {
        let most = self.most / PART_BYTES;
        let mut inner = self.lock();
        for mut part in parts.drain(..) {
            if part.capacity() == PART_BYTES && inner.spare.len() < most {
                part.clear();
                inner.spare.push(part);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Sets what a share holds, of `most` bytes in all; false if it is to be closed. Where there is no
    /// room, connections are closed that have been without progress for longer, unless that is not enough.
    fn hold(&mut self, key: u64, bytes: usize, most: usize) -> bool {
        let own = match self.shares.get(&key) {
            Some(entry) if !entry.is_closed => entry.bytes,
            _ => return false,
        };
        let needed = (self.held - own + bytes).saturating_sub(most);
        let open = self.shares.iter().filter(|(_, it)| !it.is_closed);
        let mut open: Vec<_> = open.filter(|(_, it)| it.bytes > 0).collect();
        open.sort_by_key(|(_, it)| it.progressed);
        let mut freed = 0;
        let mut victims = Vec::new();
        for (other, entry) in open {
            if freed >= needed || *other == key {
                break;
            }
            freed += entry.bytes;
            victims.push(*other);
        }
        if freed < needed {
            return false;
        }
        victims.into_iter().for_each(|it| self.close(it));
        self.held = self.held - own + bytes;
        if let Some(entry) = self.shares.get_mut(&key) {
            entry.bytes = bytes;
            entry.progressed = Instant::now();
        }
        true
    }

    fn close(&mut self, key: u64) {
        if let Some(entry) = self.shares.get_mut(&key) {
            entry.is_closed = true;
            self.held -= entry.bytes;
            // One that is closed already holds nothing for long.
            let _ = entry.stream.shutdown(entry.side);
        }
    }
}

/// What one connection holds.
#[derive(Debug)]
pub(crate) struct Share {
    budget: Arc<Budget>,
    key: u64,
}

impl Share {
    /// Holds this many bytes from now on, which is progress; false if the connection is to be closed.
    pub(crate) fn hold(&self, bytes: usize) -> bool {
        let most = self.budget.most;
        self.budget.lock().hold(self.key, bytes, most)
    }

    /// Whether the connection was closed for others.
    pub(crate) fn is_closed(&self) -> bool {
        let inner = self.budget.lock();
        inner.shares.get(&self.key).is_some_and(|it| it.is_closed)
    }

    /// Bytes that stay held until their last copy is dropped, and whose connection isn't closed.
    pub(crate) fn keep(self, bytes: Bytes) -> Option<Bytes> {
        let budget = Arc::clone(&self.budget);
        let mut inner = budget.lock();
        // Under one lock, so that the share can't be closed in between.
        if !inner.hold(self.key, bytes.len(), budget.most) {
            return None;
        }
        inner.shares.remove(&self.key);
        drop(inner);
        let kept = Kept { bytes, budget };
        Some(Bytes::from_owner(kept))
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut inner = self.budget.lock();
        if let Some(entry) = inner.shares.remove(&self.key).filter(|it| !it.is_closed) {
            inner.held -= entry.bytes;
        }
    }
}

struct Kept {
    bytes: Bytes,
    budget: Arc<Budget>,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.budget.lock().held -= self.bytes.len();
    }
}
