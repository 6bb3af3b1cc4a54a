//! The answering side of connections.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::BytesMut;
use cassiashunt_ring::Ring;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Begin, Body, Frame, Hello, Listener, Proof, Refused, Secret};

use super::Submit;
use super::stream::{Path, Queued, Reader, Writer};
use crate::owner::Reply;

/// Requests of one connection whose bodies have not arrived whole.
const MAX_PARTIAL: usize = 1_024;

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
        })
    }

    /// Accepts until [`Acceptor::stop`].
    pub(crate) fn run(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.is_stopped.load(Ordering::Acquire) {
                return;
            }
            let Ok(stream) = stream else { continue };
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

    /// Ends all connections; the listener is woken by one from here.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..).filter_map(|stream| stream.upgrade()) {
            // The other side may have closed before.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let stream = Arc::new(stream);
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.opts.handshake))?;
        let mut reader = Reader::new(Arc::clone(&stream));
        let mut writer = Writer::new(Arc::clone(&stream));
        let peer = self.shake_hands(&mut reader, &mut writer)?;
        stream.set_read_timeout(None)?;
        self.remember(&stream);
        let out = Ring::new(self.opts.frames);
        let path = (self.opts.path)(peer);
        let ring = out.clone();
        let cut = Arc::clone(&stream);
        let write = move || {
            if let Err(err) = writer.run(&ring, &path, |_| ()) {
                log::debug!(event = "peer-write-failed", peer:% = peer; "{err}");
            }
            ring.close();
            // The reader may have closed before.
            let _ = cut.shutdown(Shutdown::Both);
        };
        thread::Builder::new()
            .name("peer-write".into())
            .spawn(write)?;
        let read = self.read(&mut reader, &out);
        out.close();
        read
    }

    fn remember(&self, stream: &Arc<TcpStream>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
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

    fn read(&self, reader: &mut Reader, out: &Ring<Queued>) -> io::Result<()> {
        let mut partial = HashMap::new();
        let mut cancels = HashMap::new();
        while let Some(frame) = reader.next::<Frame>()? {
            self.on_frame(frame, &mut partial, &mut cancels, out);
        }
        // Nobody waits for these answers any more.
        for reply in cancels
            .into_values()
            .filter_map(|reply: Weak<_>| reply.upgrade())
        {
            self.submit.cancel(&reply);
        }
        Ok(())
    }

    fn on_frame(
        &self,
        frame: Frame,
        partial: &mut HashMap<u64, Partial>,
        cancels: &mut HashMap<u64, Weak<Reply>>,
        out: &Ring<Queued>,
    ) {
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
                let reply = Arc::new(Reply::link(out.clone(), request));
                cancels.retain(|_, reply| reply.strong_count() > 0);
                cancels.insert(request, Arc::downgrade(&reply));
                self.submit.start(*whole.begin, whole.body.freeze(), &reply);
            }
            Some(Body::Cancel(_)) => {
                partial.remove(&request);
                if let Some(reply) = cancels.remove(&request).and_then(|reply| reply.upgrade()) {
                    self.submit.cancel(&reply);
                }
            }
            Some(Body::Fetch(fetch)) => {
                self.submit.fetch(fetch, &Reply::link(out.clone(), request));
            }
            Some(Body::Head(_) | Body::Refused(_)) | None => {}
        }
    }
}

fn refuse(out: &Ring<Queued>, request: u64, reason: Reason) {
    let refused = Refused::from(Refusal::not_run(reason));
    // Without room the asking side finds out by its deadline.
    let _ = out.push(Queued::now(Frame::new(request, Body::Refused(refused))));
}
