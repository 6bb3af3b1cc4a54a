//! Bounds the connections of clients, so that links, the store and the server keep descriptors.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::Notify;

use crate::{http::MIN_UNREAD_BYTES, metrics};

/// The memory that a connection may take beside what is counted: its task and parsed fields, the read buffer
/// (a head or body that is too short to be counted, and as much read ahead), and unread input.
const CONNECTION_BYTES: usize = 8 * 1024 + 8 * 1024 + MIN_UNREAD_BYTES;
/// Connections that are being closed may exceed the maximum by this fraction.
const CLOSING_DIVISOR: usize = 8;

/// What a connection that can be closed does; one that is closed for room is idle rather than anything
/// else, then reads a request, then writes an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    Idle,
    Reading,
    Writing,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Reading => "reading",
            Self::Writing => "writing",
        }
    }
}

/// The open connections of clients, and those among them that can be closed.
#[derive(Debug)]
pub(crate) struct Clients {
    open: Cell<usize>,
    max: usize,
    /// By phase, and by when it began.
    closable: RefCell<BTreeMap<(Phase, u64), Rc<Notify>>>,
    last_key: Cell<u64>,
}

impl Clients {
    /// At most two thirds of the process's descriptors, and no more than fit a third of its memory together
    /// with those that are being closed.
    pub(crate) fn new(max_fds: usize, memory_bytes: usize) -> Self {
        let fitting = memory_bytes / 3 / CONNECTION_BYTES;
        let fitting = fitting - fitting / (CLOSING_DIVISOR + 1);
        Self::with_max((max_fds / 3 * 2).min(fitting))
    }

    /// At most `max` connections.
    pub(crate) fn with_max(max: usize) -> Self {
        Self {
            open: Cell::new(0),
            max,
            closable: RefCell::default(),
            last_key: Cell::new(0),
        }
    }

    /// Takes a place for a new connection, for which another one is closed where necessary; `None` if all
    /// run requests, or too many are still being closed.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<Client> {
        let open = self.open.get();
        if open >= self.max {
            let has_slack = open < self.max + self.max / CLOSING_DIVISOR;
            let first = has_slack.then(|| self.closable.borrow_mut().pop_first());
            let Some(((phase, _), close)) = first.flatten() else {
                metrics::client_closed("new");
                return None;
            };
            close.notify_one();
            metrics::client_closed(phase.name());
        }
        self.open.set(open + 1);
        Some(Client(Rc::clone(self)))
    }

    /// Records that a connection can be closed until the result is dropped; `close` is notified then.
    pub(crate) fn enter(self: &Rc<Self>, phase: Phase, close: &Rc<Notify>) -> InPhase {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let key = (phase, key);
        self.closable.borrow_mut().insert(key, Rc::clone(close));
        InPhase {
            clients: Rc::clone(self),
            key,
        }
    }
}

/// The place of an open connection.
#[derive(Debug)]
pub(crate) struct Client(Rc<Clients>);

impl Drop for Client {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

/// A connection that can be closed.
#[derive(Debug)]
pub(crate) struct InPhase {
    clients: Rc<Clients>,
    key: (Phase, u64),
}

impl Drop for InPhase {
    fn drop(&mut self) {
        self.clients.closable.borrow_mut().remove(&self.key);
    }
}
