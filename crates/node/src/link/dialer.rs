//! The asking side of a connection.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use cassiashunt_ring::{PopError, Ring};
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Begin, Body, Cancel, Chunk, Dialer, End, Fetch, Frame, Secret, Welcome};

use super::{
    pending::Pending,
    stream::{Path, Queued, Reader, Writer},
};

/// Pieces of one answer that may wait for their reader: 512 KiB.
pub(crate) const ANSWER_PIECES: usize = 8;
/// How long one answer may hold up the others of its connection.
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);
/// Bytes of a body in one frame.
pub(crate) const CHUNK_BYTES: usize = 64 * 1024;

/// How to connect.
#[derive(Clone)]
pub(crate) struct Options {
    pub node: NodeId,
    pub secret: Secret,
    pub connect: Duration,
    pub frames: usize,
    pub path: Path,
}

/// A connection to another node.
pub(crate) struct Link {
    peer: NodeId,
    stream: Arc<TcpStream>,
    out: Ring<Queued>,
    pending: Arc<Pending>,
    next: AtomicU64,
    is_lost: Arc<AtomicBool>,
}

/// A request on its way.
pub(crate) struct Call {
    link: Arc<Link>,
    request: u64,
    answer: Ring<Body>,
    is_done: bool,
}

impl Link {
    /// Connects, authenticates both sides and starts the threads.
    pub(crate) fn dial(addr: SocketAddr, opts: &Options) -> io::Result<Arc<Self>> {
        if (opts.path.is_cut)() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let stream = Arc::new(TcpStream::connect_timeout(&addr, opts.connect)?);
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(opts.connect))?;
        let mut reader = Reader::new(Arc::clone(&stream));
        let mut writer = Writer::new(Arc::clone(&stream));
        let peer = shake_hands(&mut reader, &mut writer, opts)?;
        stream.set_read_timeout(None)?;
        let link = Arc::new(Self {
            peer,
            stream,
            out: Ring::new(opts.frames),
            pending: Arc::default(),
            next: AtomicU64::new(1),
            is_lost: Arc::default(),
        });
        link.start(reader, writer, opts.path.clone())?;
        Ok(link)
    }

    fn start(self: &Arc<Self>, reader: Reader, mut writer: Writer, path: Path) -> io::Result<()> {
        let link = Arc::clone(self);
        let read = move || {
            link.read(reader);
            link.lose();
        };
        thread::Builder::new()
            .name("link-read".into())
            .spawn(read)?;
        let link = Arc::clone(self);
        let write = move || {
            let written = writer.run(&link.out, &path, |frame| {
                if matches!(frame.body, Some(Body::Begin(_))) {
                    link.pending.mark_written(frame.request);
                }
            });
            if let Err(err) = written {
                log::debug!(event = "link-write-failed", peer:% = link.peer; "{err}");
            }
            link.lose();
        };
        thread::Builder::new()
            .name("link-write".into())
            .spawn(write)?;
        Ok(())
    }

    /// The node at the other end.
    pub(crate) fn peer(&self) -> NodeId {
        self.peer
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Acquire)
    }

    /// Ends the connection; waiting requests fail.
    pub(crate) fn lose(&self) {
        self.is_lost.store(true, Ordering::Release);
        self.out.close();
        // The other side may have closed before.
        let _ = self.stream.shutdown(Shutdown::Both);
        self.pending.lose();
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Not run where the connection is lost or has no room.
    pub(crate) fn call(self: &Arc<Self>, begin: Begin, body: &Bytes) -> Result<Call, Refusal> {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let answer = Ring::new(ANSWER_PIECES);
        if !self.pending.add(request, answer.clone()) {
            return Err(Refusal::not_run(Reason::NoServer));
        }
        let mut call = Call {
            link: Arc::clone(self),
            request,
            answer,
            is_done: false,
        };
        let end = End {
            body_len: body.len() as u64,
            ..End::default()
        };
        let mut frames = vec![Body::Begin(Box::new(begin))];
        frames.extend(chunks(body).map(Body::Chunk));
        frames.push(Body::End(end));
        for frame in frames {
            if let Err(refusal) = self.send(request, frame) {
                call.cancel();
                return Err(refusal);
            }
        }
        Ok(call)
    }

    /// Asks for a value of the configuration.
    ///
    /// # Errors
    ///
    /// Not run where the connection is lost or has no room.
    pub(crate) fn fetch(self: &Arc<Self>, question: Fetch) -> Result<Call, Refusal> {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let answer = Ring::new(ANSWER_PIECES);
        if !self.pending.add(request, answer.clone()) {
            return Err(Refusal::not_run(Reason::NoServer));
        }
        let call = Call {
            link: Arc::clone(self),
            request,
            answer,
            is_done: false,
        };
        self.send(request, Body::Fetch(question))?;
        Ok(call)
    }

    fn send(&self, request: u64, body: Body) -> Result<(), Refusal> {
        let queued = Queued::now(Frame::new(request, body));
        // The request has run at the earliest after its last frame: any loss here is not-run.
        self.out
            .push(queued)
            .map_err(|_| Refusal::not_run(Reason::Full))
    }

    fn read(&self, mut reader: Reader) {
        loop {
            match reader.next::<Frame>() {
                Ok(Some(frame)) if matches!(frame.body, Some(Body::GoAway(_))) => {
                    return self.go_away();
                }
                Ok(Some(frame)) => self.deliver(frame),
                Ok(None) => return,
                Err(err) => {
                    log::debug!(event = "link-read-failed", peer:% = self.peer; "{err}");
                    return;
                }
            }
        }
    }

    /// The other side stops; it has answered all that it read.
    fn go_away(&self) {
        log::debug!(event = "link-told-to-go", peer:% = self.peer; "");
        self.is_lost.store(true, Ordering::Release);
        self.pending.refuse_unread();
    }

    /// Hands a frame to the request that it answers; late frames of done requests are dropped.
    fn deliver(&self, frame: Frame) {
        let (Some(answer), Some(body)) = (self.pending.answer(frame.request), frame.body) else {
            return;
        };
        if answer.push_within(body, ANSWER_PATIENCE).is_err() {
            answer.close();
        }
    }
}

impl Call {
    /// The next piece of the answer.
    ///
    /// # Errors
    ///
    /// [`PopError::Closed`] where the connection was lost before the answer was whole.
    pub(crate) fn next(&self, patience: Duration) -> Result<Body, PopError> {
        self.answer.pop_within(patience)
    }

    /// Notes that the answer is whole.
    pub(crate) fn finish(&mut self) {
        self.is_done = true;
        self.link.pending.remove(self.request);
    }

    /// Gives the request up; `true` where it surely does not run.
    pub(crate) fn cancel(&mut self) -> bool {
        self.is_done = true;
        let unsent = self.link.pending.remove(self.request);
        let cancel = Queued::now(Frame::new(self.request, Body::Cancel(Cancel {})));
        // Without room the other side goes on until the deadline that it knows.
        let _ = self.link.out.push(cancel);
        unsent && self.link.is_lost()
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_done {
            self.cancel();
        }
    }
}

/// The body in pieces of at most [`CHUNK_BYTES`].
pub(crate) fn chunks(body: &Bytes) -> impl Iterator<Item = Chunk> {
    let body = body.clone();
    (0..body.len()).step_by(CHUNK_BYTES).map(move |from| {
        let to = body.len().min(from + CHUNK_BYTES);
        Chunk {
            data: body.slice(from..to),
        }
    })
}

fn shake_hands(reader: &mut Reader, writer: &mut Writer, opts: &Options) -> io::Result<NodeId> {
    let dialer = Dialer::new(opts.node);
    writer.send(dialer.hello())?;
    let welcome = reader
        .next::<Welcome>()?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let (peer, proof) = dialer
        .finish(&opts.secret, &welcome)
        .map_err(io::Error::other)?;
    writer.send(&proof)?;
    Ok(peer)
}
