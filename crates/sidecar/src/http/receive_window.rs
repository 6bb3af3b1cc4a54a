//! How much the kernel may receive for a client before it is read.

use socket2::SockRef;
use tokio::net::TcpStream;

/// Input that the kernel takes in for a connection without a long body. The platform counts it as the
/// process's memory.
pub(crate) const MIN_UNREAD_BYTES: usize = 8 * 1024;
/// The maximum for a long body; covers 200 Mbit/s at a round trip of 10 ms.
pub(super) const MAX_UNREAD_BYTES: usize = 256 * 1024;
/// The kernel doubles the size that is asked for, and takes in no more than that.
const KERNEL_FACTOR: usize = 2;

/// The receive buffer of a listener whose connections begin with [`MIN_UNREAD_BYTES`].
pub(crate) const CLIENT_RECEIVE_BYTES: u32 = (MIN_UNREAD_BYTES / KERNEL_FACTOR) as u32;

/// The receive buffer of one connection. It grows with the part of a body that has arrived, as TCP's own
/// window does, so that a client that sends nothing takes nothing.
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
    /// Lets the kernel take in as many bytes as the body has already, up to `max`.
    pub(super) fn widen(&mut self, stream: &TcpStream, read: usize, max: usize) {
        let wanted = read.min(max).min(MAX_UNREAD_BYTES);
        // In steps of two, since each is a system call.
        if wanted >= 2 * self.unread {
            self.set(stream, wanted);
        }
    }

    /// Goes back to [`MIN_UNREAD_BYTES`] after a body. Returns how many bytes were taken in behind it.
    pub(super) fn narrow(&mut self, stream: &TcpStream) -> usize {
        if self.unread == MIN_UNREAD_BYTES {
            return 0;
        }
        self.set(stream, MIN_UNREAD_BYTES);
        let unread = rustix::io::ioctl_fionread(stream).unwrap_or_default();
        usize::try_from(unread).unwrap_or(usize::MAX)
    }

    fn set(&mut self, stream: &TcpStream, unread: usize) {
        let set = SockRef::from(stream).set_recv_buffer_size(unread / KERNEL_FACTOR);
        if set.is_ok() {
            self.unread = unread;
        }
    }
}
