//! The body of a request while it is read.

use std::sync::Arc;

use bytes::Bytes;
use cassiashunt_space::Space;

use crate::{
    ReadError,
    budget::{Budget, PART_BYTES, Share},
};

/// A body in parts of one size, which are used again: buffers that grow step by step leave gaps in the
/// heap of each thread, which count as the process's memory.
#[derive(Debug)]
pub(crate) struct Parts {
    budget: Arc<Budget>,
    /// There is none for a short body.
    share: Option<Share>,
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl Parts {
    pub(crate) fn new(budget: &Arc<Budget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            share: None,
            full: Vec::new(),
            last: Vec::new(),
        }
    }

    /// The number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.full.len() * PART_BYTES + self.last.len()
    }

    /// Whether the connection was closed for others.
    pub(crate) fn is_closed(&self) -> bool {
        self.share.as_ref().is_some_and(Share::is_closed)
    }

    /// Appends bytes, which are counted from a first part on; `share` gives the connection's share.
    pub(crate) fn extend(
        &mut self,
        mut bytes: &[u8],
        share: impl Fn() -> Share,
    ) -> Result<(), ReadError> {
        while !bytes.is_empty() {
            if self.last.len() == PART_BYTES {
                let length = self.len();
                let share = self.share.get_or_insert_with(&share);
                if !share.hold(length + PART_BYTES) {
                    return Err(ReadError::NoRoom);
                }
                let next = self.budget.take_part();
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let now = bytes.len().min(PART_BYTES - self.last.len());
            self.last.extend_from_slice(&bytes[..now]);
            bytes = &bytes[now..];
        }
        Ok(())
    }

    /// The whole body.
    pub(crate) fn finish(mut self) -> Result<Bytes, ReadError> {
        let length = self.len();
        let Some(share) = self.share.take() else {
            return Ok(std::mem::take(&mut self.last).into());
        };
        // The parts and their copy.
        if !share.hold(2 * length) {
            return Err(ReadError::NoRoom);
        }
        let mut body = Space::with_capacity(length).map_err(|_| ReadError::NoRoom)?;
        for part in &self.full {
            body.extend(part);
        }
        body.extend(&self.last);
        drop(self);
        share.keep(body.into_bytes()).ok_or(ReadError::NoRoom)
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        if !self.full.is_empty() {
            self.full.push(std::mem::take(&mut self.last));
            self.budget.return_parts(&mut self.full);
        }
    }
}
