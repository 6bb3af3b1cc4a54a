//! A connection between two nodes, split into a reader and a writer of length-delimited frames.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Buf as _, Bytes, BytesMut};
use cassiashunt_space::Space;
use prost::Message as _;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::JoinHandle,
    time::timeout,
};

use super::{Frame, Kind};
use crate::memory::{BodyMemory, Lease, MIN_COUNTED_BYTES};

/// The longest frame: a body at the operators' limit plus its headers.
const MAX_FRAME_BYTES: usize = 65 << 20;
/// Frames of this length are not read into the read buffer, which would keep their memory.
const LONG_FRAME_BYTES: usize = 64 * 1024;
/// The length of a frame's length.
const LENGTH_BYTES: usize = 4;
/// How long opening a connection may take; the one-way delay between the platform's sites is at
/// most 20 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// The receive buffer of a link. The kernel takes in twice as much at most, which the platform counts as the
/// process's memory; covers 200 Mbit/s at a round trip of 5 ms.
pub(crate) const RECEIVE_BYTES: u32 = 64 * 1024;
/// The most frames that may wait to be written.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// No further frames are added to a write of this size.
const WRITE_BATCH_BYTES: usize = 32 * 1024;
/// An empty buffer with more capacity than this is freed.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// The bounded queue of frames for a peer.
pub(crate) type Sender = mpsc::Sender<Frame>;

/// The length of the frame that begins in the buffer; `None` before its length has arrived.
fn frame_length(buf: &[u8]) -> io::Result<Option<usize>> {
    let Some(bytes) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*bytes)).unwrap_or(usize::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    Ok(Some(length))
}

/// Opens a connection to a peer.
pub(crate) async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(peer)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets the socket options of a connection between nodes.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Splits a connection into a reader and a queue whose frames a task writes.
pub(crate) fn split(stream: TcpStream, memory: &Rc<BodyMemory>) -> (Reader, Sender) {
    let (read, write) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = tokio::task::spawn_local(write_frames(write, rx));
    let reader = Reader {
        read,
        writer,
        buf: BytesMut::new(),
        memory: Rc::clone(memory),
        lease: None,
        long: None,
    };
    (reader, tx)
}

/// Reads frames. Dropping it closes the connection, even while others still hold its queue.
#[derive(Debug)]
pub(crate) struct Reader {
    read: OwnedReadHalf,
    writer: JoinHandle<()>,
    buf: BytesMut,
    memory: Rc<BodyMemory>,
    /// The memory of the counted frame that is being read.
    lease: Option<Lease>,
    /// What has arrived of a frame that is too long for the read buffer, and its memory.
    long: Option<(Space, Lease)>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

impl Reader {
    /// The next frame; `None` at the end of the connection. Fails with `TimedOut` if no complete
    /// frame arrives within `idle_timeout`.
    pub(crate) async fn next(&mut self, idle_timeout: Duration) -> io::Result<Option<Frame>> {
        let frame = timeout(idle_timeout, self.read_frame()).await;
        frame.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// The next frame; `None` at the end of the connection. Cancel-safe: received bytes stay
    /// buffered when the future is dropped.
    pub(crate) async fn read_frame(&mut self) -> io::Result<Option<Frame>> {
        loop {
            if let Some((frame, lease)) = self.long.take_if(|(frame, _)| frame.is_full()) {
                let frame = Frame::decode(lease.attach(frame.into_bytes()));
                return frame.map(Some).map_err(io::Error::other);
            }
            if let Some((frame, _)) = &mut self.long {
                match self.read.read(frame.spare()).await? {
                    0 => return Ok(None),
                    count => frame.advance(count),
                }
                continue;
            }
            if let Some(length) = frame_length(&self.buf)? {
                let end = LENGTH_BYTES + length;
                if self.buf.len() >= end {
                    let frame = Frame::decode(self.take_frame(length));
                    return frame.map(Some).map_err(io::Error::other);
                }
                if length > MIN_COUNTED_BYTES && self.lease.is_none() {
                    self.lease = Some(self.memory.wait_for(length).await);
                }
                if length >= LONG_FRAME_BYTES
                    && let Some(lease) = self.lease.take()
                {
                    let mut frame = Space::with_capacity(length)?;
                    frame.extend(&self.buf[LENGTH_BYTES..]);
                    self.buf = BytesMut::new();
                    self.long = Some((frame, lease));
                    continue;
                }
                self.buf.reserve(end - self.buf.len());
            }
            if self.buf.is_empty() && self.buf.capacity() > MAX_IDLE_BUFFER_BYTES {
                self.buf = BytesMut::new();
            }
            self.read.readable().await?;
            if self.read.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// The next frame, which is in the buffer. The memory of a long one stays counted while it is used.
    fn take_frame(&mut self, length: usize) -> Bytes {
        let end = LENGTH_BYTES + length;
        let Some(lease) = self.lease.take() else {
            let mut frame = self.buf.split_to(end);
            frame.advance(LENGTH_BYTES);
            return frame.freeze();
        };
        // The buffer would keep the frame's memory.
        let rest = BytesMut::from(&self.buf[end..]);
        let mut frame = std::mem::replace(&mut self.buf, rest);
        frame.truncate(end);
        frame.advance(LENGTH_BYTES);
        lease.attach(frame.freeze())
    }

    /// Waits until the peer has read the last frame and closed the connection; what it sends until
    /// then is discarded. What it sends to a closed socket resets the connection, and frames that it
    /// has not read yet would be lost.
    pub(crate) async fn finish(mut self) {
        loop {
            self.buf.clear();
            if matches!(self.read.read_buf(&mut self.buf).await, Ok(0) | Err(_)) {
                return;
            }
        }
    }
}

/// Writes frames until the queue is closed, `GoAway` is written or the connection fails, and closes
/// this side of the connection. Queued frames are batched into one write.
async fn write_frames(mut write: OwnedWriteHalf, mut rx: mpsc::Receiver<Frame>) {
    let mut buf = BytesMut::new();
    let mut is_last = false;
    while !is_last && let Some(frame) = rx.recv().await {
        let mut next = Some(frame);
        let mut body = Bytes::new();
        while let Some(frame) = next {
            is_last = matches!(frame.kind, Some(Kind::GoAway(_)));
            body = frame.encode_delimited(MAX_FRAME_BYTES, &mut buf);
            next = (!is_last && body.is_empty() && buf.len() < WRITE_BATCH_BYTES)
                .then(|| rx.try_recv().ok())
                .flatten();
        }
        // The reader of the same connection detects and logs the failure.
        if write.write_all_buf(&mut buf).await.is_err() || write.write_all(&body).await.is_err() {
            return;
        }
        if buf.capacity() > MAX_IDLE_BUFFER_BYTES {
            buf = BytesMut::new();
        }
    }
}
