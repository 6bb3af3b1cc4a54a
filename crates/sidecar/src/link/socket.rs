//! A connection between two nodes as two halves that speak frames.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::AbortHandle,
    time::timeout,
};
use tokio_util::codec::{Decoder as _, Encoder as _, LengthDelimitedCodec};

use super::Frame;

/// The longest frame: a body at the operators' limit, and its headers.
const MAX_FRAME: usize = 65 << 20;
/// How long a new connection may take; one way is 20 ms at the most between the users' places.
const CONNECT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay without acknowledgement.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// Frames that wait to be written at the most.
const QUEUE: usize = 4_096;
/// Bytes gathered for one write.
const WRITE_BYTES: usize = 32 * 1024;
/// A read buffer above this is given back once it is empty.
const KEPT_BYTES: usize = 16 * 1024;

/// Where frames for a peer are queued; a full queue refuses.
pub(crate) type Sender = mpsc::Sender<Frame>;

fn codec() -> LengthDelimitedCodec {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME);
    codec
}

/// Opens a connection to a peer.
pub(crate) async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets what a connection between nodes needs.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Splits a connection into a reader and a queue that a task writes out.
pub(crate) fn split(stream: TcpStream) -> (Reader, Sender) {
    let (read, write) = stream.into_split();
    let (tx, rx) = mpsc::channel(QUEUE);
    let writer = tokio::task::spawn_local(write_frames(write, rx));
    let reader = Reader {
        read,
        writer: writer.abort_handle(),
        buf: BytesMut::new(),
        codec: codec(),
    };
    (reader, tx)
}

/// The frames that come in. The connection ends with it, whoever may still hold its queue.
#[derive(Debug)]
pub(crate) struct Reader {
    read: OwnedReadHalf,
    writer: AbortHandle,
    buf: BytesMut,
    codec: LengthDelimitedCodec,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

impl Reader {
    /// The next frame; nothing at the end of the connection, and an error after `silence`.
    pub(crate) async fn next(&mut self, silence: Duration) -> io::Result<Option<Frame>> {
        let frame = timeout(silence, self.read_frame()).await;
        frame.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// The next frame; nothing at the end of the connection. What has come in is kept where this is
    /// dropped before its end.
    pub(crate) async fn read_frame(&mut self) -> io::Result<Option<Frame>> {
        loop {
            if let Some(bytes) = self.codec.decode(&mut self.buf)? {
                let bytes: Bytes = bytes.freeze();
                let frame = Frame::decode(bytes);
                return frame.map(Some).map_err(io::Error::other);
            }
            if self.buf.is_empty() && self.buf.capacity() > KEPT_BYTES {
                self.buf = BytesMut::new();
            }
            self.read.readable().await?;
            if self.read.read_buf(&mut self.buf).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Writes frames out until the queue is closed or the connection fails; several at once where they
/// have gathered.
async fn write_frames(mut write: OwnedWriteHalf, mut rx: mpsc::Receiver<Frame>) {
    let mut codec = codec();
    let mut buf = BytesMut::new();
    while let Some(frame) = rx.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if let Err(err) = codec.encode(Bytes::from(frame.encode_to_vec()), &mut buf) {
                log::warn!(reason:% = err; "frame-too-long");
            }
            next = (buf.len() < WRITE_BYTES)
                .then(|| rx.try_recv().ok())
                .flatten();
        }
        // The reader of the same connection sees and logs its end.
        if write.write_all_buf(&mut buf).await.is_err() {
            return;
        }
        if buf.capacity() > KEPT_BYTES {
            buf = BytesMut::new();
        }
    }
}
