//! Memory for the bytes of one message.

use std::{
    io,
    ops::{Deref, DerefMut},
};

use bytes::Bytes;
use memmap2::MmapMut;

/// Spaces of this size and more are mapped. Freed in the heap, they would leave gaps that stay resident,
/// and raise the size up to which the allocator keeps freed memory, in the heap of each thread.
const MIN_MAPPED_BYTES: usize = 16 * 1024;

/// A fixed capacity that is filled from its start. A large one goes back to the machine when it drops, and
/// is resident only as far as it is filled.
#[derive(Debug)]
pub struct Space {
    region: Region,
    len: usize,
}

#[derive(Debug)]
enum Region {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

impl Space {
    /// An empty space for `capacity` bytes.
    ///
    /// # Errors
    ///
    /// Fails where the machine has no memory.
    pub fn with_capacity(capacity: usize) -> io::Result<Self> {
        let region = if capacity >= MIN_MAPPED_BYTES {
            Region::Mapped(MmapMut::map_anon(capacity)?)
        } else {
            Region::Heap(vec![0; capacity])
        };
        Ok(Self { region, len: 0 })
    }

    /// The number of bytes so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The bytes that are not filled yet.
    pub fn spare(&mut self) -> &mut [u8] {
        let len = self.len;
        &mut self.region[len..]
    }

    /// Whether all of it is filled.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len == self.region.len()
    }

    /// Records that the first `count` spare bytes are filled.
    pub fn advance(&mut self, count: usize) {
        self.len += count;
    }

    /// Appends bytes.
    ///
    /// # Panics
    ///
    /// Panics if there is no room for them.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.spare()[..bytes.len()].copy_from_slice(bytes);
        self.advance(bytes.len());
    }

    /// The bytes so far, without a copy.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        match self.region {
            Region::Heap(mut bytes) => {
                bytes.truncate(self.len);
                bytes.into()
            }
            Region::Mapped(_) => Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for Space {
    fn as_ref(&self) -> &[u8] {
        &self.region[..self.len]
    }
}

impl Deref for Region {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(bytes) => bytes,
        }
    }
}

impl DerefMut for Region {
    fn deref_mut(&mut self) -> &mut [u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(bytes) => bytes,
        }
    }
}
