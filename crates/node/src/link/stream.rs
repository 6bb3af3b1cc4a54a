//! Framed reading and writing on a socket.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use cassiashunt_ring::Ring;
use cassiashunt_wire::{CodecError, Frame, FrameCodec};
use prost::Message;

/// Bytes read from a socket at a time.
const READ_BYTES: usize = 64 * 1024;
/// Bytes after which a batch of frames is written.
const BATCH_BYTES: usize = 64 * 1024;

/// How often a cut path is looked at.
const CUT_LOOK: Duration = Duration::from_millis(10);

/// A frame on its way out.
#[derive(Debug)]
pub(crate) struct Queued {
    pub frame: Frame,
    /// When it was queued.
    pub at: Instant,
}

impl Queued {
    pub(crate) fn now(frame: Frame) -> Self {
        Self {
            frame,
            at: Instant::now(),
        }
    }
}

/// Reads messages off a socket.
pub(crate) struct Reader {
    stream: Arc<TcpStream>,
    codec: FrameCodec,
    buf: BytesMut,
}

impl Reader {
    pub(crate) fn new(stream: Arc<TcpStream>) -> Self {
        Self {
            stream,
            codec: FrameCodec::default(),
            buf: BytesMut::with_capacity(READ_BYTES),
        }
    }

    /// The next message; `None` at the end of the stream.
    pub(crate) fn next<M: Message + Default>(&mut self) -> io::Result<Option<M>> {
        loop {
            if let Some(message) = self.codec.decode(&mut self.buf).map_err(invalid)? {
                return Ok(Some(message));
            }
            let filled = self.buf.len();
            self.buf.resize(filled + READ_BYTES, 0);
            let read = (&*self.stream).read(&mut self.buf[filled..]);
            self.buf
                .truncate(filled + read.as_ref().copied().unwrap_or(0));
            match read {
                Ok(0) => return Ok(None),
                Ok(_) => {}
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Reads and drops what still comes, until the other side's end or `until`.
    pub(crate) fn drop_rest(&mut self, until: Instant) -> io::Result<()> {
        let mut buf = vec![0; READ_BYTES];
        while Instant::now() < until {
            match (&*self.stream).read(&mut buf) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(err) if is_timeout(&err) => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }
}

/// Whether a read ended without data because of its time limit.
pub(crate) fn is_timeout(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// Writes messages to a socket.
pub(crate) struct Writer {
    stream: Arc<TcpStream>,
    codec: FrameCodec,
    buf: BytesMut,
}

impl Writer {
    pub(crate) fn new(stream: Arc<TcpStream>) -> Self {
        Self {
            stream,
            codec: FrameCodec::default(),
            buf: BytesMut::new(),
        }
    }

    /// Writes one message at once.
    pub(crate) fn send<M: Message>(&mut self, message: &M) -> io::Result<()> {
        self.codec.encode(message, &mut self.buf).map_err(invalid)?;
        self.flush()
    }

    /// Writes what comes out of `ring` until it is closed; `about_to_write` sees each frame
    /// before any of its bytes leave.
    pub(crate) fn run(
        &mut self,
        ring: &Ring<Queued>,
        path: &Path,
        mut about_to_write: impl FnMut(&Frame),
    ) -> io::Result<()> {
        while let Ok(first) = ring.pop() {
            path.hold(first.at);
            let mut next = Some(first);
            while let Some(queued) = next {
                about_to_write(&queued.frame);
                self.codec
                    .encode(&queued.frame, &mut self.buf)
                    .map_err(invalid)?;
                let go_on = path.delay.is_zero() && self.buf.len() < BATCH_BYTES;
                next = if go_on { ring.try_pop() } else { None };
            }
            self.flush()?;
        }
        Ok(())
    }

    fn flush(&mut self) -> io::Result<()> {
        (&*self.stream).write_all(&self.buf)?;
        self.buf.clear();
        Ok(())
    }
}

/// What lies between this node and the one at the other end.
#[derive(Clone)]
pub(crate) struct Path {
    /// How long everything takes, for experiments on one machine.
    pub delay: Duration,
    /// Whether nothing passes now, for tests of cuts.
    pub is_cut: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl Path {
    /// Waits until what was queued at `at` may pass.
    fn hold(&self, at: Instant) {
        let left = self.delay.saturating_sub(at.elapsed());
        if !left.is_zero() {
            std::thread::sleep(left);
        }
        while (self.is_cut)() {
            std::thread::sleep(CUT_LOOK);
        }
    }
}

fn invalid(err: CodecError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, err)
}
