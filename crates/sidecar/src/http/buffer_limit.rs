//! Limits on the bytes of bodies that are buffered while being read.

use std::cell::Cell;

use super::ReadError;
use crate::memory::Account;

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

    /// The limit for one body of at most `max` bytes, which counts against the shared limit.
    pub(crate) fn for_body(&self, max: usize) -> BufferLimit<'_> {
        BufferLimit {
            shared: Some(self),
            account: None,
            held: 0,
            max,
        }
    }
}

/// The limit for one body; releases its bytes from the shared total when dropped.
#[derive(Debug)]
pub(crate) struct BufferLimit<'a> {
    shared: Option<&'a SharedBufferLimit>,
    account: Option<&'a mut Account>,
    held: usize,
    max: usize,
}

impl<'a> BufferLimit<'a> {
    /// A limit for one body that is not shared.
    pub(crate) fn unshared(max: usize) -> Self {
        Self {
            shared: None,
            account: None,
            held: 0,
            max,
        }
    }

    /// The limit for one body of at most `max` bytes, which counts in an account.
    pub(crate) fn in_account(max: usize, account: &'a mut Account) -> Self {
        Self {
            account: Some(account),
            ..Self::unshared(max)
        }
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
            account.wait_for_closing().await;
        }
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
}

impl Drop for BufferLimit<'_> {
    fn drop(&mut self) {
        if let Some(shared) = self.shared {
            shared.held.set(shared.held.get().saturating_sub(self.held));
        }
    }
}
