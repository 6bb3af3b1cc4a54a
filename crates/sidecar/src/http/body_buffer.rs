//! The buffer of a body that is being read.

use bytes::Bytes;
use cassiashunt_space::Space;

use super::{ReadError, buffer_limit::BufferLimit};

/// The first space.
const FIRST_SPACE_BYTES: usize = 8 * 1024;
/// The second space. A body that is longer gets the space for its announced length at once, or further
/// parts: buffers that grow step by step leave gaps in the heap, which count as the process's memory.
const MIN_PART_BYTES: usize = 64 * 1024;
/// The largest part.
const MAX_PART_BYTES: usize = 1024 * 1024;
/// Parts grow with the body, to this fraction of it.
const PART_DIVISOR: usize = 4;

/// The bytes of a body so far.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    full_parts: Vec<Space>,
    full_bytes: usize,
    last_part: Option<Space>,
    /// Up to where bytes are counted. A space may have more, which isn't resident yet.
    counted: usize,
    /// How many bytes in the kernel are counted besides.
    unread: usize,
    /// The complete length, where it is known.
    expected: Option<usize>,
}

impl BodyBuffer {
    pub(super) fn new(expected: Option<usize>) -> Self {
        Self {
            full_parts: Vec::new(),
            full_bytes: 0,
            last_part: None,
            counted: 0,
            unread: 0,
            expected,
        }
    }

    /// The number of bytes so far.
    pub(super) fn len(&self) -> usize {
        self.full_bytes + self.last_part.as_ref().map_or(0, Space::len)
    }

    /// How many bytes the kernel may hold for the body, since they are counted: the rest of a body whose
    /// space is, or so many beyond the space.
    pub(super) fn max_unread(&self) -> usize {
        match self.expected {
            Some(expected) if self.counted == expected => expected - self.len(),
            _ => self.unread,
        }
    }

    /// Space for at least one and at most `max` further bytes, which are counted. What is filled of it is
    /// to be told with [`BodyBuffer::advance`].
    pub(super) fn space(
        &mut self,
        max: usize,
        limit: &mut BufferLimit<'_>,
    ) -> Result<&mut [u8], ReadError> {
        if self.len() == self.counted {
            self.grow(limit)?;
        }
        let max = max.min(self.counted - self.len());
        let spare = self.last_part.as_mut().map_or(&mut [][..], Space::spare);
        let count = max.min(spare.len());
        Ok(&mut spare[..count])
    }

    /// Records that the first `count` bytes of the space are filled.
    pub(super) fn advance(&mut self, count: usize) {
        if let Some(part) = &mut self.last_part {
            part.advance(count);
        }
    }

    /// Appends bytes.
    pub(super) fn extend(
        &mut self,
        mut bytes: &[u8],
        limit: &mut BufferLimit<'_>,
    ) -> Result<(), ReadError> {
        while !bytes.is_empty() {
            let space = self.space(bytes.len(), limit)?;
            let (now, later) = bytes.split_at(space.len());
            space.copy_from_slice(now);
            self.advance(now.len());
            bytes = later;
        }
        Ok(())
    }

    /// The complete body. Where it came in parts they are copied one after the other, each of which goes
    /// back to the machine before the next.
    pub(super) fn finish(self) -> Result<Bytes, ReadError> {
        let length = self.len();
        let last = self.last_part.map_or_else(|| Space::with_capacity(0), Ok)?;
        if self.full_parts.is_empty() {
            return Ok(last.into_bytes());
        }
        let mut body = Space::with_capacity(length)?;
        for part in self.full_parts.into_iter().chain([last]) {
            body.extend(part.as_ref());
        }
        Ok(body.into_bytes())
    }

    /// Counts further bytes, and makes room for them.
    fn grow(&mut self, limit: &mut BufferLimit<'_>) -> Result<(), ReadError> {
        let length = self.len();
        limit.check(length + 1)?;
        let longest = self.expected.unwrap_or(limit.max()).max(length + 1);
        let is_short = length < MIN_PART_BYTES;
        let counted = match self.expected {
            Some(expected) if length == 0 && limit.is_ample(expected) => expected,
            _ if is_short => (2 * length).max(FIRST_SPACE_BYTES),
            Some(expected) => expected,
            None => length + (length / PART_DIVISOR).clamp(MIN_PART_BYTES, MAX_PART_BYTES),
        };
        let counted = counted.min(longest);
        let unread = if self.expected == Some(counted) {
            0
        } else {
            length.min(MIN_PART_BYTES)
        };
        limit.set_held(counted, unread)?;
        (self.counted, self.unread) = (counted, unread);
        let full = match self.last_part.take() {
            Some(part) if !part.is_full() => {
                self.last_part = Some(part);
                return Ok(());
            }
            full => full,
        };
        let next = match full {
            Some(full) if self.expected.is_none() && !is_short => {
                self.full_parts.push(full);
                self.full_bytes = length;
                Space::with_capacity(counted - length)?
            }
            Some(full) => {
                let capacity = counted.max(MIN_PART_BYTES.min(longest));
                let mut next = Space::with_capacity(capacity)?;
                next.extend(full.as_ref());
                next
            }
            None => Space::with_capacity(counted)?,
        };
        self.last_part = Some(next);
        Ok(())
    }
}
