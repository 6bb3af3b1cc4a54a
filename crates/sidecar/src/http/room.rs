//! How many bytes of a body may be held.

use std::cell::Cell;

use super::ReadError;

/// A body up to this length is held whatever others hold, so that a few long ones do not stop all.
const SMALL: usize = 256 * 1024;

/// What the bodies that are being read hold together.
#[derive(Debug)]
pub(crate) struct SharedRoom {
    held: Cell<usize>,
    most: usize,
}

impl SharedRoom {
    /// Room for so many bytes.
    pub(crate) fn new(most: usize) -> Self {
        Self {
            held: Cell::new(0),
            most,
        }
    }

    /// Room for one body of at most `max` bytes.
    pub(crate) fn room(&self, max: usize) -> Room<'_> {
        Room {
            shared: Some(self),
            held: 0,
            max,
        }
    }
}

/// Room for one body; given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Room<'a> {
    shared: Option<&'a SharedRoom>,
    held: usize,
    max: usize,
}

impl Room<'_> {
    /// Room that is not shared with others.
    pub(crate) fn of_its_own(max: usize) -> Self {
        Self {
            shared: None,
            held: 0,
            max,
        }
    }

    /// Checks that a body may become so long.
    pub(crate) fn check(&self, length: usize) -> Result<(), ReadError> {
        if length > self.max {
            Err(ReadError::BodyTooLong)
        } else {
            Ok(())
        }
    }

    /// Takes in that the body is so long by now.
    pub(crate) fn hold(&mut self, length: usize) -> Result<(), ReadError> {
        self.check(length)?;
        let Some(shared) = self.shared else {
            return Ok(());
        };
        let held = shared.held.get() + length.saturating_sub(self.held);
        if held > shared.most && length > SMALL {
            return Err(ReadError::NoRoom);
        }
        shared.held.set(held);
        self.held = self.held.max(length);
        Ok(())
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        if let Some(shared) = self.shared {
            shared.held.set(shared.held.get().saturating_sub(self.held));
        }
    }
}
