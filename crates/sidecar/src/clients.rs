//! Bounds the connections of clients, so that links, the store and the server keep descriptors.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::Notify;

use crate::metrics;

/// The memory that a connection may take beside bodies: a head and what is read ahead.
const CONNECTION_BYTES: usize = 32 * 1024;

/// The open connections of clients, and those among them that are idle.
#[derive(Debug)]
pub(crate) struct Clients {
    open: Cell<usize>,
    max: usize,
    /// By when they became idle.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    last_key: Cell<u64>,
}

impl Clients {
    /// At most three quarters of the process's descriptors, and no more than fit a third of its memory.
    pub(crate) fn new(max_fds: usize, memory_bytes: usize) -> Self {
        Self {
            open: Cell::new(0),
            max: (max_fds / 4 * 3).min(memory_bytes / 3 / CONNECTION_BYTES),
            idle: RefCell::default(),
            last_key: Cell::new(0),
        }
    }

    /// Takes a place for a new connection, for which the connection that was idle longest is closed
    /// where necessary; `None` if all are in use.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<Client> {
        if self.open.get() >= self.max {
            let Some((_, close)) = self.idle.borrow_mut().pop_first() else {
                metrics::client_closed("new");
                return None;
            };
            close.notify_one();
            metrics::client_closed("idle");
        }
        self.open.set(self.open.get() + 1);
        Some(Client(Rc::clone(self)))
    }

    /// Records that a connection is idle, until the result is dropped; `close` is notified if it is to
    /// be closed.
    pub(crate) fn idle(self: &Rc<Self>, close: &Rc<Notify>) -> Idle {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        self.idle.borrow_mut().insert(key, Rc::clone(close));
        Idle {
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

/// A connection that is idle.
#[derive(Debug)]
pub(crate) struct Idle {
    clients: Rc<Clients>,
    key: u64,
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.clients.idle.borrow_mut().remove(&self.key);
    }
}
