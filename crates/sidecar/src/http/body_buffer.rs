//! The buffer of a body that is being read.

use bytes::{BufMut as _, buf::Limit};

use super::{ReadError, buffer_limit::BufferLimit};

/// The first space.
const FIRST_SPACE_BYTES: usize = 8 * 1024;
/// A body that is longer gets the space for its announced length at once, or further parts of this
/// size: buffers that grow step by step leave gaps in the heap, which count as the process's memory.
const PART_BYTES: usize = 64 * 1024;

/// The bytes of a body so far.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    full_parts: Vec<Vec<u8>>,
    full_bytes: usize,
    last_part: Vec<u8>,
    /// The complete length, where it is known.
    expected: Option<usize>,
}

impl BodyBuffer {
    pub(super) fn new(expected: Option<usize>) -> Self {
        Self {
            full_parts: Vec::new(),
            full_bytes: 0,
            last_part: Vec::new(),
            expected,
        }
    }

    /// The number of bytes so far.
    pub(super) fn len(&self) -> usize {
        self.full_bytes + self.last_part.len()
    }

    /// How many bytes the kernel may hold for the body besides: they are covered by what is counted, since
    /// the space for an announced body is, and one further part for others.
    pub(super) fn max_unread(&self) -> usize {
        match self.expected {
            Some(expected) => expected - self.len(),
            None => PART_BYTES,
        }
    }

    /// Space for at least one and at most `max` further bytes, which are counted.
    pub(super) fn space(
        &mut self,
        max: usize,
        limit: &mut BufferLimit<'_>,
    ) -> Result<Limit<&mut Vec<u8>>, ReadError> {
        if self.last_part.len() == self.last_part.capacity() {
            self.grow(limit)?;
        }
        let spare = self.last_part.capacity() - self.last_part.len();
        Ok((&mut self.last_part).limit(max.min(spare)))
    }

    /// Appends bytes.
    pub(super) fn extend(
        &mut self,
        mut bytes: &[u8],
        limit: &mut BufferLimit<'_>,
    ) -> Result<(), ReadError> {
        while !bytes.is_empty() {
            let mut space = self.space(bytes.len(), limit)?;
            let (now, later) = bytes.split_at(space.remaining_mut());
            space.put_slice(now);
            bytes = later;
        }
        Ok(())
    }

    /// The complete body.
    pub(super) fn finish(mut self) -> Vec<u8> {
        if self.full_parts.is_empty() {
            return self.last_part;
        }
        let mut body = Vec::with_capacity(self.len());
        self.full_parts.push(self.last_part);
        for part in self.full_parts {
            body.extend_from_slice(&part);
        }
        body
    }

    fn grow(&mut self, limit: &mut BufferLimit<'_>) -> Result<(), ReadError> {
        let length = self.len();
        limit.check(length + 1)?;
        let longest = self.expected.unwrap_or(limit.max()).max(length + 1);
        let capacity = match self.expected {
            _ if length < PART_BYTES => (2 * length).max(FIRST_SPACE_BYTES),
            Some(expected) => expected,
            None => length + PART_BYTES,
        };
        let capacity = capacity.min(longest);
        let unread = match self.expected {
            None if length >= PART_BYTES => PART_BYTES,
            _ => 0,
        };
        limit.set_held(capacity, unread)?;
        if self.expected.is_none() && length >= PART_BYTES {
            self.full_parts.push(std::mem::take(&mut self.last_part));
            self.full_bytes = length;
        }
        let reserved = self.last_part.try_reserve_exact(capacity - length);
        reserved.map_err(|_| ReadError::BufferLimitReached)
    }
}
