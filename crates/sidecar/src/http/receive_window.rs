//! How much the kernel may receive for a client before it is read.

use socket2::SockRef;
use tokio::net::TcpStream;

/// Input that the kernel takes in for a connection without a long body. The platform counts it as the
/// process's memory.
pub(crate) const MIN_UNREAD_BYTES: usize = 8 * 1024;
/// The maximum for a long body. Connections that begin small have no window scaling, so that the window can't
/// exceed half of it.
const MAX_UNREAD_BYTES: usize = 128 * 1024;
/// The kernel doubles the size that is asked for, and takes in no more than that.
const KERNEL_FACTOR: usize = 2;

/// The receive buffer of a listener whose connections begin with [`MIN_UNREAD_BYTES`].
pub(crate) const CLIENT_RECEIVE_BYTES: u32 = (MIN_UNREAD_BYTES / KERNEL_FACTOR) as u32;

/// The receive buffer of one connection. It grows with long bodies and never shrinks: on loopback, a sender's
/// segments are half of the largest window that it has seen, and it sends less only on a timer.
#[derive(Debug)]
pub(super) struct ReceiveWindow {
    unread: usize,
}

impl Default for ReceiveWindow {
    fn default() -> Self {
        Self {
            unread: MIN_UNREAD_BYTES,
        }
    }
}

impl ReceiveWindow {
    /// Lets the kernel take in `max` bytes of a body, which are counted.
    pub(super) fn widen(&mut self, stream: &TcpStream, max: usize) {
        let wanted = max.min(MAX_UNREAD_BYTES);
        // In steps of two, since each is a system call.
        if wanted >= 2 * self.unread {
            self.set(stream, wanted);
        }
    }

    /// How many bytes the kernel may take in beyond [`MIN_UNREAD_BYTES`].
    pub(super) fn widened(&self) -> usize {
        self.unread - MIN_UNREAD_BYTES
    }

    fn set(&mut self, stream: &TcpStream, unread: usize) {
        let set = SockRef::from(stream).set_recv_buffer_size(unread / KERNEL_FACTOR);
        if set.is_ok() {
            self.unread = unread;
        }
    }
}
