//! Limits on the bytes of bodies that are buffered while being read.

use std::cell::Cell;

use bytes::Bytes;

use super::ReadError;
use crate::memory::{Account, BodyMemory, Lease};

/// Bodies up to this length may use the reserve beyond the shared limit, so that a few long ones don't
/// block all others.
const SHORT_BODY_BYTES: usize = 256 * 1024;
/// The size of that reserve.
const SHORT_BODY_RESERVE_BYTES: usize = 8 << 20;

/// The total of bytes held by all bodies that are being read, and its limit.
#[derive(Debug)]
pub(crate) struct SharedBufferLimit {
    held: Cell<usize>,
    max: usize,
}

impl SharedBufferLimit {
    /// A shared limit of `max` bytes.
    pub(crate) fn new(max: usize) -> Self {
        Self {
            held: Cell::new(0),
            max,
        }
    }

    /// The limit for one body of at most `max` bytes, which counts against the shared limit and in `memory`.
    pub(crate) fn for_body<'a>(&'a self, max: usize, memory: &'a BodyMemory) -> BufferLimit<'a> {
        let mut limit = BufferLimit::unshared(max);
        limit.shared = Some(self);
        limit.lease = Some((memory, memory.count(0)));
        limit
    }
}

/// The limit for one body; releases its bytes from the shared total when dropped.
#[derive(Debug)]
pub(crate) struct BufferLimit<'a> {
    shared: Option<&'a SharedBufferLimit>,
    account: Option<&'a mut Account>,
    /// The memory that the body counts in, and its part of it.
    lease: Option<(&'a BodyMemory, Lease)>,
    held: usize,
    max: usize,
}

impl<'a> BufferLimit<'a> {
    /// A limit for one body that is not shared.
    pub(crate) fn unshared(max: usize) -> Self {
        Self {
            shared: None,
            account: None,
            lease: None,
            held: 0,
            max,
        }
    }

    /// The limit for one body of at most `max` bytes, which counts in an account.
    pub(crate) fn in_account(max: usize, account: &'a mut Account) -> Self {
        let mut limit = Self::unshared(max);
        limit.account = Some(account);
        limit
    }

    /// The maximum length of the body.
    pub(crate) fn max(&self) -> usize {
        self.max
    }

    /// Records that this much of the body has arrived.
    pub(crate) fn on_read(&self, length: usize) {
        if let Some(account) = &self.account {
            account.on_moved(length);
        }
    }

    /// Waits while connections that were told to close still hold much of the memory.
    pub(crate) async fn wait_for_closing(&self) {
        if let Some(account) = &self.account {
            account.memory().wait_for_closing().await;
        } else if let Some((memory, _)) = &self.lease {
            memory.wait_for_closing().await;
        }
    }

    /// Whether a body of `length` bytes leaves most of the memory for bodies free.
    pub(crate) fn is_ample(&self, length: usize) -> bool {
        let account = self.account.as_ref().map(|it| it.memory());
        let memory = account.or(self.lease.as_ref().map(|(memory, _)| *memory));
        memory.is_some_and(|it| it.is_ample(length))
    }

    /// Checks that a body of `length` bytes is within the limit for one body.
    pub(crate) fn check(&self, length: usize) -> Result<(), ReadError> {
        if length > self.max {
            Err(ReadError::BodyTooLong)
        } else {
            Ok(())
        }
    }

    /// Records that `length` bytes of the body are now held, and that so many others of it may wait in the
    /// kernel; checks both limits.
    pub(crate) fn set_held(&mut self, length: usize, unread: usize) -> Result<(), ReadError> {
        self.check(length)?;
        if let Some(account) = &mut self.account {
            let counted = account.set_held(length + unread);
            counted.map_err(|_| ReadError::BufferLimitReached)?;
        }
        if let Some((memory, lease)) = &mut self.lease {
            let grown = memory.grow_answer(lease, length);
            grown.map_err(|_| ReadError::BufferLimitReached)?;
        }
        let Some(shared) = self.shared else {
            return Ok(());
        };
        let held = shared.held.get() + length.saturating_sub(self.held);
        let max = if length > SHORT_BODY_BYTES {
            shared.max
        } else {
            shared.max + SHORT_BODY_RESERVE_BYTES
        };
        if held > max {
            return Err(ReadError::BufferLimitReached);
        }
        shared.held.set(held);
        self.held = self.held.max(length);
        Ok(())
    }

    /// The complete body, which stays counted until its last copy is dropped.
    pub(crate) fn keep(mut self, body: Bytes) -> Bytes {
        match self.lease.take().filter(|_| self.held > 0) {
            Some((_, lease)) => lease.attach(body),
            None => body,
        }
    }
}

impl Drop for BufferLimit<'_> {
    fn drop(&mut self) {
        if let Some(shared) = self.shared {
            shared.held.set(shared.held.get().saturating_sub(self.held));
        }
    }
}
