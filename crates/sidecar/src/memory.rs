//! The memory that bodies of requests and answers may take, over all connections of a node.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use cassiashunt_types::prelude::*;
use tokio::sync::Notify;

use crate::{clock, metrics};

/// Bodies up to this length may use the reserve, so that long ones don't block all others.
const SHORT_BODY_BYTES: usize = 256 * 1024;
/// The reserve is this fraction of the memory for bodies.
const RESERVE_DIVISOR: usize = 8;
/// A body makes progress with each further piece of this length: one that trickles in makes none.
const PROGRESS_BYTES: usize = 64 * 1024;
/// Up to this fraction of the memory, an announced body is counted in full from its first bytes.
const AMPLE_DIVISOR: usize = 4;
/// Answers may exceed the maximum by this fraction, so that one can be read where complete requests hold all.
const ANSWERS_DIVISOR: usize = 8;
/// The time between two looks for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bodies grow only while connections that are being closed hold less than this fraction of the memory:
/// all sockets may have input at once, before the first of them has closed.
const CLOSING_DIVISOR: usize = 16;
/// Bodies up to this length are not counted: connections are few enough for them.
pub(crate) const MIN_COUNTED_BYTES: usize = 4 * 1024;

/// Which end of a body's way a connection is closed at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// Between two requests.
    Idle,
    /// A request that is being read.
    Request,
    /// An answer that is being written.
    Answer,
}

impl Part {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Request => "request",
            Self::Answer => "answer",
        }
    }
}

/// Bytes of bodies that the node holds, and the connections that can be closed to free some.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    held: Arc<AtomicUsize>,
    max: usize,
    /// Bytes of connections that were told to close and have not yet.
    closing: Cell<usize>,
    closable: RefCell<BTreeMap<u64, Closable>>,
    last_key: Cell<u64>,
}

/// A connection that can be closed to free its body.
#[derive(Debug)]
struct Closable {
    part: Part,
    held: usize,
    /// The bytes that were moved at the last progress, and when that was.
    moved: usize,
    progressed_at: Time,
    is_closing: bool,
    close: Rc<Notify>,
}

/// The memory for bodies has no room, and the one that asks is the first to lose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// Counted bytes; they are free again when it drops.
#[derive(Debug)]
pub(crate) struct Lease {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Lease {
    /// The bytes that it counts.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn set(&mut self, bytes: usize) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = bytes;
    }

    /// Bytes that stay counted until their last copy drops.
    pub(crate) fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Counted {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Counted {
    bytes: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// At most `max` bytes for all bodies.
    pub(crate) fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            held: Arc::default(),
            max,
            closing: Cell::new(0),
            closable: RefCell::default(),
            last_key: Cell::new(0),
        })
    }

    /// Bytes held by bodies now.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Counts `bytes`, for which stalled connections are closed where necessary.
    pub(crate) fn lease(&self, bytes: usize) -> Result<Lease, NoRoom> {
        self.make_room(bytes, bytes, None)?;
        let mut lease = self.empty_lease();
        lease.set(bytes);
        Ok(lease)
    }

    /// Counts bytes that are held already, whether there is room or not.
    pub(crate) fn count(&self, bytes: usize) -> Lease {
        let mut lease = self.empty_lease();
        lease.set(bytes);
        lease
    }

    /// Counts `bytes` in all for an answer that is being read, for which stalled connections are closed where
    /// necessary.
    pub(crate) fn grow_answer(&self, lease: &mut Lease, bytes: usize) -> Result<(), NoRoom> {
        let more = bytes.saturating_sub(lease.bytes);
        let max = self.max + self.max / ANSWERS_DIVISOR;
        self.make_room_within(max, more, bytes, None)?;
        lease.set(bytes);
        Ok(())
    }

    /// Whether bodies with `more` bytes leave most of the memory free.
    pub(crate) fn is_ample(&self, more: usize) -> bool {
        self.held() + more <= self.max / AMPLE_DIVISOR
    }

    /// Waits while connections that were told to close still hold much of the memory.
    pub(crate) async fn wait_for_closing(&self) {
        while self.closing.get() > self.max / CLOSING_DIVISOR {
            tokio::task::yield_now().await;
        }
    }

    /// Like [`BodyMemory::lease`]; waits until there is room.
    pub(crate) async fn wait_for(&self, bytes: usize) -> Lease {
        loop {
            self.wait_for_closing().await;
            match self.lease(bytes) {
                Ok(lease) => return lease,
                Err(NoRoom) => tokio::time::sleep(ROOM_POLL_INTERVAL).await,
            }
        }
    }

    /// Registers a connection whose body can be dropped; `close` is notified then.
    pub(crate) fn account(self: &Rc<Self>, part: Part, close: &Rc<Notify>) -> Account {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let entry = Closable {
            part,
            held: 0,
            moved: 0,
            progressed_at: clock::now(),
            is_closing: false,
            close: Rc::clone(close),
        };
        self.closable.borrow_mut().insert(key, entry);
        Account {
            memory: Rc::clone(self),
            key,
            lease: self.empty_lease(),
        }
    }

    fn empty_lease(&self) -> Lease {
        Lease {
            total: Arc::clone(&self.held),
            bytes: 0,
        }
    }

    /// Closes the connections that have been without progress longest until `more` bytes fit, which
    /// belong to a body of `length`.
    fn make_room(&self, more: usize, length: usize, own: Option<u64>) -> Result<(), NoRoom> {
        let max = if length > SHORT_BODY_BYTES {
            self.max - self.max / RESERVE_DIVISOR
        } else {
            self.max
        };
        self.make_room_within(max, more, length, own)
    }

    /// The same, with all bodies taking at most `max` bytes.
    fn make_room_within(
        &self,
        max: usize,
        more: usize,
        length: usize,
        own: Option<u64>,
    ) -> Result<(), NoRoom> {
        let is_long = length > SHORT_BODY_BYTES;
        let held = self.held().saturating_sub(self.closing.get());
        let needed = (held + more).saturating_sub(max);
        let mut freed = 0;
        let mut victims = Vec::new();
        for (key, bytes) in self.displaceable(is_long) {
            if freed >= needed || Some(key) == own {
                break;
            }
            freed += bytes;
            victims.push(key);
        }
        if freed < needed {
            // None is closed in vain.
            return Err(NoRoom);
        }
        victims.into_iter().for_each(|key| self.close(key));
        Ok(())
    }

    /// The connections that may lose their bodies to a long or a short one, with the bytes that they
    /// hold: idle ones first, then the long ones, and of these the one that has been without progress longest.
    fn displaceable(&self, by_long: bool) -> Vec<(u64, usize)> {
        let closable = self.closable.borrow();
        let open = closable.iter().filter(|(_, it)| {
            let least = if by_long { SHORT_BODY_BYTES } else { 0 };
            !it.is_closing && (it.part == Part::Idle || it.held > least)
        });
        let mut open: Vec<_> = open.collect();
        open.sort_by_key(|(_, it)| {
            let is_short = it.held <= SHORT_BODY_BYTES;
            (it.part != Part::Idle, is_short, it.progressed_at)
        });
        open.into_iter().map(|(key, it)| (*key, it.held)).collect()
    }

    fn close(&self, key: u64) {
        let mut closable = self.closable.borrow_mut();
        if let Some(entry) = closable.get_mut(&key) {
            entry.is_closing = true;
            self.closing.set(self.closing.get() + entry.held);
            entry.close.notify_one();
            metrics::body_closed(entry.part.name());
        }
    }
}

/// A closable connection's part of the memory.
#[derive(Debug)]
pub(crate) struct Account {
    memory: Rc<BodyMemory>,
    key: u64,
    lease: Lease,
}

impl Account {
    /// The memory that it counts in.
    pub(crate) fn memory(&self) -> &BodyMemory {
        &self.memory
    }

    /// Counts `bytes` for the body.
    pub(crate) fn set_held(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let more = bytes.saturating_sub(self.lease.bytes);
        if self.is_closing() {
            return Err(NoRoom);
        }
        self.memory.make_room(more, bytes, Some(self.key))?;
        self.lease.set(bytes);
        self.update(|entry| entry.held = bytes);
        Ok(())
    }

    /// Records that a body of this length is held, which is counted elsewhere.
    pub(crate) fn set_counted(&self, bytes: usize) {
        self.update(|entry| entry.held = bytes);
    }

    /// Records how much of the body has been moved.
    pub(crate) fn on_moved(&self, bytes: usize) {
        self.update(|entry| {
            if bytes >= entry.moved + PROGRESS_BYTES {
                entry.moved = bytes;
                entry.progressed_at = clock::now();
            }
        });
    }

    /// The complete body, which can't be dropped any more.
    pub(crate) fn finish(self, body: Bytes) -> Result<Bytes, NoRoom> {
        let lease = self.keep(body.len())?;
        Ok(lease.attach(body))
    }

    /// Counts `bytes` from now on, which can't be dropped any more.
    pub(crate) fn keep(mut self, bytes: usize) -> Result<Lease, NoRoom> {
        if self.is_closing() {
            return Err(NoRoom);
        }
        let mut lease = self.memory.empty_lease();
        lease.set(bytes);
        self.lease.set(0);
        Ok(lease)
    }

    fn is_closing(&self) -> bool {
        let closable = self.memory.closable.borrow();
        closable.get(&self.key).is_some_and(|it| it.is_closing)
    }

    fn update(&self, change: impl FnOnce(&mut Closable)) {
        let mut closable = self.memory.closable.borrow_mut();
        if let Some(entry) = closable.get_mut(&self.key).filter(|it| !it.is_closing) {
            change(entry);
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let entry = self.memory.closable.borrow_mut().remove(&self.key);
        if let Some(entry) = entry.filter(|it| it.is_closing) {
            let closing = &self.memory.closing;
            closing.set(closing.get().saturating_sub(entry.held));
        }
    }
}
