//! The answering side of connections.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use bytes::BytesMut;
use cassiashunt_ring::Ring;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Begin, Body, Frame, GoAway, Hello, Listener, Proof, Refused, Secret};

use super::Submit;
use super::stream::{Path, Queued, Reader, Writer, is_timeout};
use crate::owner::Reply;

/// Requests of one connection whose bodies have not arrived whole.
const MAX_PARTIAL: usize = 1_024;
/// How often a connection without frames looks whether it is to be closed.
const CLOSE_POLL: Duration = Duration::from_millis(50);
/// How often a closing connection looks whether its requests have ended.
const OUTCOME_LOOK: Duration = Duration::from_millis(2);
/// How long before the end of a close the last frames are queued.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// How long the other side has to close after the last frame.
const LINGER: Duration = Duration::from_secs(1);

/// How connections are accepted.
#[derive(Clone)]
pub(crate) struct Options {
    pub node: NodeId,
    pub secret: Secret,
    pub frames: usize,
    pub body_bytes: usize,
    pub handshake: Duration,
    /// What lies between this node and another.
    pub path: Arc<dyn Fn(NodeId) -> Path + Send + Sync>,
}

/// Accepts connections of other nodes.
pub(crate) struct Acceptor {
    opts: Options,
    submit: Submit,
    open: Mutex<Vec<Weak<TcpStream>>>,
    is_stopped: AtomicBool,
    /// Until when connections may take to close in order, once they are to be closed.
    close_until: OnceLock<Instant>,
}

/// The requests of one connection.
#[derive(Default)]
struct Requests {
    partial: HashMap<u64, Partial>,
    replies: HashMap<u64, Weak<Reply>>,
    /// Whether a request that was read ended without an outcome for the other side.
    is_outcome_lost: Arc<AtomicBool>,
}

/// A request whose body is still arriving.
struct Partial {
    begin: Box<Begin>,
    body: BytesMut,
}

impl Acceptor {
    pub(crate) fn new(opts: Options, submit: Submit) -> Arc<Self> {
        let open = Mutex::default();
        Arc::new(Self {
            opts,
            submit,
            open,
            is_stopped: AtomicBool::new(false),
            close_until: OnceLock::new(),
        })
    }

    /// Accepts until [`Acceptor::stop`] or [`Acceptor::close`].
    pub(crate) fn run(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.is_stopped.load(Ordering::Acquire) {
                return;
            }
            let Ok(stream) = stream.map(Arc::new) else {
                continue;
            };
            self.remember(&stream);
            let acceptor = Arc::clone(self);
            let serve = move || {
                if let Err(err) = acceptor.serve(stream) {
                    log::debug!(event = "peer-connection-ended"; "{err}");
                }
            };
            if let Err(err) = thread::Builder::new().name("peer-read".into()).spawn(serve) {
                log::error!(event = "thread-refused"; "{err}");
            }
        }
    }

    /// Accepts no more connections; the listener is woken by one from here.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
    }

    /// Closes every connection once the outcomes of the requests that were read are written, and
    /// waits for that until `until`.
    pub(crate) fn close(&self, until: Instant) {
        let outcomes_until = until.checked_sub(FLUSH_TIME).unwrap_or(until);
        self.close_until.get_or_init(|| outcomes_until);
        while self.is_open() && Instant::now() < until {
            thread::sleep(OUTCOME_LOOK);
        }
    }

    /// Ends all connections at once.
    pub(crate) fn cut(&self) {
        for stream in self.open().drain(..).filter_map(|stream| stream.upgrade()) {
            // The other side may have closed before.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_open(&self) -> bool {
        self.open().iter().any(|stream| stream.strong_count() > 0)
    }

    fn open(&self) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: Arc<TcpStream>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.opts.handshake))?;
        let mut reader = Reader::new(Arc::clone(&stream));
        let mut writer = Writer::new(Arc::clone(&stream));
        let peer = self.shake_hands(&mut reader, &mut writer)?;
        stream.set_read_timeout(Some(CLOSE_POLL))?;
        let out = Ring::new(self.opts.frames);
        let writing = self.start_writing(peer, writer, out.clone(), stream)?;
        let mut requests = Requests::default();
        let read = self.read(&mut reader, &mut requests, &out);
        if let Ok(Some(until)) = read {
            self.finish(requests, &out, until);
            // It has logged why it ended.
            let _ = writing.join();
            return reader.drop_rest(until.min(Instant::now() + LINGER));
        }
        out.close();
        self.cancel(&requests);
        read.map(|_| ())
    }

    fn start_writing(
        &self,
        peer: NodeId,
        mut writer: Writer,
        ring: Ring<Queued>,
        stream: Arc<TcpStream>,
    ) -> io::Result<JoinHandle<()>> {
        let path = (self.opts.path)(peer);
        let write = move || {
            let written = writer.run(&ring, &path, |_| ());
            ring.close();
            let side = match written {
                Ok(()) => Shutdown::Write,
                Err(err) => {
                    log::debug!(event = "peer-write-failed", peer:% = peer; "{err}");
                    Shutdown::Both
                }
            };
            // The other side may have closed before.
            let _ = stream.shutdown(side);
        };
        thread::Builder::new()
            .name("peer-write".into())
            .spawn(write)
    }

    /// Queues the outcomes of all requests that were read, and the end of the connection. `GoAway` says
    /// that there are no others, so it is left out if one is missing.
    fn finish(&self, requests: Requests, out: &Ring<Queued>, until: Instant) {
        let is_running = || requests.replies.values().any(|r| r.strong_count() > 0);
        while is_running() && Instant::now() < until {
            thread::sleep(OUTCOME_LOOK);
        }
        let running = requests
            .replies
            .iter()
            .filter(|(_, r)| r.strong_count() > 0);
        let running: Vec<_> = running.map(|(request, _)| *request).collect();
        self.cancel(&requests);
        let lost = Refusal::may_have_run(Reason::Lost);
        let are_told = running.into_iter().all(|request| tell(out, request, lost));
        if are_told && !requests.is_outcome_lost.load(Ordering::Acquire) {
            let left = until.saturating_duration_since(Instant::now());
            // Fails once the connection is closed.
            let _ = out.push_within(Queued::now(Frame::new(0, Body::GoAway(GoAway {}))), left);
        }
        out.close();
    }

    /// Gives up the requests that still run; nobody waits for their answers.
    fn cancel(&self, requests: &Requests) {
        for reply in requests.replies.values().filter_map(Weak::upgrade) {
            self.submit.cancel(&reply);
        }
    }

    fn remember(&self, stream: &Arc<TcpStream>) {
        let mut open = self.open();
        open.retain(|stream| stream.strong_count() > 0);
        open.push(Arc::downgrade(stream));
    }

    fn shake_hands(&self, reader: &mut Reader, writer: &mut Writer) -> io::Result<NodeId> {
        let opts = &self.opts;
        let hello = reader
            .next::<Hello>()?
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        let listener = Listener::new(opts.node, &opts.secret, hello).map_err(io::Error::other)?;
        writer.send(listener.welcome())?;
        let proof = reader
            .next::<Proof>()?
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        listener.finish(&opts.secret, &proof).map_err(|err| {
            log::warn!(event = "peer-refused"; "{err}");
            io::Error::other(err)
        })
    }

    /// Reads frames until the other side's end, or until the connection is to be closed, and gives
    /// the time that it has for that.
    fn read(
        &self,
        reader: &mut Reader,
        requests: &mut Requests,
        out: &Ring<Queued>,
    ) -> io::Result<Option<Instant>> {
        loop {
            if let Some(until) = self.close_until.get() {
                return Ok(Some(*until));
            }
            match reader.next::<Frame>() {
                Ok(Some(frame)) => self.on_frame(frame, requests, out),
                Ok(None) => return Ok(None),
                Err(err) if is_timeout(&err) => {}
                Err(err) => return Err(err),
            }
        }
    }

    fn on_frame(&self, frame: Frame, requests: &mut Requests, out: &Ring<Queued>) {
        let Requests {
            partial,
            replies,
            is_outcome_lost,
        } = requests;
        let request = frame.request;
        match frame.body {
            Some(Body::Begin(begin)) if partial.len() < MAX_PARTIAL => {
                partial.insert(
                    request,
                    Partial {
                        begin,
                        body: BytesMut::new(),
                    },
                );
            }
            Some(Body::Begin(_)) => refuse(out, request, Reason::Full),
            Some(Body::Chunk(chunk)) => {
                let Some(waiting) = partial.get_mut(&request) else {
                    return;
                };
                if waiting.body.len() + chunk.data.len() > self.opts.body_bytes {
                    partial.remove(&request);
                    refuse(out, request, Reason::BodyTooLarge);
                    return;
                }
                waiting.body.extend_from_slice(&chunk.data);
            }
            Some(Body::End(end)) => {
                let Some(whole) = partial.remove(&request) else {
                    return;
                };
                if whole.body.len() as u64 != end.body_len {
                    refuse(out, request, Reason::BadRequest);
                    return;
                }
                let is_lost = Arc::clone(is_outcome_lost);
                let reply = Arc::new(Reply::link(out.clone(), request, is_lost));
                replies.retain(|_, reply| reply.strong_count() > 0);
                replies.insert(request, Arc::downgrade(&reply));
                self.submit.start(*whole.begin, whole.body.freeze(), &reply);
            }
            Some(Body::Cancel(_)) => {
                partial.remove(&request);
                if let Some(reply) = replies.remove(&request).and_then(|reply| reply.upgrade()) {
                    self.submit.cancel(&reply);
                }
            }
            Some(Body::Fetch(fetch)) => {
                // What is fetched is no request that could run.
                let reply = Reply::link(out.clone(), request, Arc::default());
                self.submit.fetch(fetch, &reply);
            }
            Some(Body::Head(_) | Body::Refused(_) | Body::GoAway(_)) | None => {}
        }
    }
}

/// Refuses a request that does not run. Without room the asking side finds out by its deadline.
fn refuse(out: &Ring<Queued>, request: u64, reason: Reason) {
    tell(out, request, Refusal::not_run(reason));
}

/// Queues a refusal; `false` without room.
fn tell(out: &Ring<Queued>, request: u64, refusal: Refusal) -> bool {
    let refused = Refused::from(refusal);
    out.push(Queued::now(Frame::new(request, Body::Refused(refused))))
        .is_ok()
}
