//! Accepts callers' connections, a bounded number at a time.

use std::{
    io,
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

use cassiashunt_http::{Budget, Connection, Limits};
use cassiashunt_types::prelude::*;

use super::{answer, serve};
use crate::shared::Shared;

/// Stack of a connection's thread, in bytes.
const CONNECTION_STACK: usize = 512 * 1024;

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How callers' connections are accepted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Options {
    pub connections: usize,
    pub limits: Limits,
    /// Bytes of requests and of answers that callers read, at a time.
    pub body_memory: usize,
}

/// Accepts callers' connections.
pub(crate) struct Acceptor {
    opts: Options,
    shared: Arc<Shared>,
    budget: Arc<Budget>,
    open: AtomicUsize,
    busy: AtomicUsize,
    has_ended: AtomicBool,
    is_stopped: AtomicBool,
    is_killed: AtomicBool,
}

impl Acceptor {
    pub(crate) fn new(opts: Options, shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            budget: Budget::new(opts.body_memory),
            opts,
            shared,
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            is_killed: AtomicBool::new(false),
        })
    }

    /// Accepts until [`Acceptor::stop`], then what waits to be accepted.
    pub(crate) fn run(self: &Arc<Self>, listener: &TcpListener) {
        self.accept_until_stopped(listener);
        self.has_ended.store(true, Ordering::Release);
    }

    fn accept_until_stopped(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            self.take_in(stream);
            if self.is_stopped() {
                break;
            }
        }
        if self.is_killed() || listener.set_nonblocking(true).is_err() {
            return;
        }
        while let Ok((stream, _)) = listener.accept() {
            self.take_in(stream.set_nonblocking(false).map(|()| stream));
        }
    }

    fn take_in(self: &Arc<Self>, stream: io::Result<TcpStream>) {
        if self.is_killed() {
            return;
        }
        let Ok(stream) = stream else {
            // Descriptors may have run out.
            return thread::sleep(ACCEPT_RETRY_DELAY);
        };
        if let Err(err) = self.accept(stream) {
            log::warn!(event = "caller-refused"; "{err}");
        }
    }

    /// Takes no more connections; the listener is woken by one from here.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
    }

    /// Ends without a last answer on each connection.
    pub(crate) fn kill(&self) {
        self.is_killed.store(true, Ordering::Release);
        self.stop();
    }

    pub(super) fn is_killed(&self) -> bool {
        self.is_killed.load(Ordering::Acquire)
    }

    /// Whether connections are to be closed at the next chance.
    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Whether all connections have ended, and no other is taken.
    pub(crate) fn is_closed(&self) -> bool {
        self.has_ended.load(Ordering::Acquire) && self.open() == 0
    }

    /// Connections that are open.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Requests that are being answered.
    pub(crate) fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    /// Counts a request as being answered while `answer` runs.
    pub(super) fn while_busy<T>(&self, answer: impl FnOnce() -> T) -> T {
        self.busy.fetch_add(1, Ordering::AcqRel);
        let answered = answer();
        self.busy.fetch_sub(1, Ordering::AcqRel);
        answered
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        if self.open() >= 2 * self.opts.connections {
            // Too many are still being refused.
            return Ok(());
        }
        let mut connection = Connection::with_budget(stream, self.opts.limits, &self.budget)?;
        let place = Place::take(self);
        let acceptor = Arc::clone(self);
        let is_full = self.open() > self.opts.connections;
        let serve = move || {
            if is_full {
                let refusal = Refusal::not_run(Reason::Full).retry_after(Duration::from_secs(1));
                // A caller that has gone needs no answer.
                let _ = connection.write(&answer::refusal(refusal), false, true);
                connection.close();
            } else {
                serve::connection(&acceptor, &acceptor.shared, connection);
            }
            drop(place);
        };
        let builder = thread::Builder::new().name("caller".into());
        builder.stack_size(CONNECTION_STACK).spawn(serve)?;
        Ok(())
    }
}

/// One open connection's place in the count.
struct Place(Arc<Acceptor>);

impl Place {
    fn take(acceptor: &Arc<Acceptor>) -> Self {
        acceptor.open.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(acceptor))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
