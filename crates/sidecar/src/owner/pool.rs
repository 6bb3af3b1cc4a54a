//! Kept connections to the backend server.

use std::{cell::RefCell, io, net::SocketAddr};

use cassiashunt_types::prelude::*;
use tokio::{net::TcpStream, time::timeout};

use crate::http::{Connection, ResponseHead, Room, SharedRoom, header};

/// How long a new connection to the server on the same machine may take.
const CONNECT: Duration = Duration::from_millis(1_000);
/// How long a connection is kept idle where the server does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// The part of the announced idle time for which a connection is used, so that a request does not
/// cross the server's close.
const USED_SHARE: f64 = 0.6;
/// Idle connections kept at the most.
const MAX_IDLE: usize = 512;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// Bytes that all answers being read may hold together: a server in trouble may send without end,
/// on every connection.
const ANSWER_BYTES: usize = 16 << 20;

/// Kept connections to one server, and room for its answers.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: RefCell<Vec<Idle>>,
    room: SharedRoom,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
            room: SharedRoom::new(ANSWER_BYTES),
        }
    }
}

impl Pool {
    /// A kept connection that is still open, the one used last.
    pub(crate) fn take(&self, now: Time) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut kept) = idle.pop() {
            if kept.until > now && kept.connection.is_idle() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer with this head.
    pub(crate) fn put(&self, now: Time, connection: Connection, head: &ResponseHead) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            let until = now + idle_time(head).mul_f64(USED_SHARE);
            idle.push(Idle { connection, until });
        }
    }

    /// Room for one answer of at most `max` bytes.
    pub(crate) fn room(&self, max: usize) -> Room<'_> {
        self.room.room(max)
    }

    /// Drops the connections that are kept too long, and those on which bytes come that nobody asked
    /// for.
    pub(crate) fn expire(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|kept| kept.until > now && kept.connection.is_idle());
    }

    /// Drops all connections, as when another server has come.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a connection to the server.
pub(crate) async fn connect(server: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT, TcpStream::connect(server)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(Connection::new(stream))
}

/// Whether the server's port is closed: the server is not there, and not only slow or cut off.
pub(super) fn is_refused(err: &io::Error) -> bool {
    err.kind() == io::ErrorKind::ConnectionRefused
}

/// How long the server keeps the connection idle, as its answer says.
fn idle_time(head: &ResponseHead) -> Duration {
    let told = header(&head.headers, "keep-alive").and_then(|value| {
        let mut parts = value.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    told.map_or(DEFAULT_IDLE, Duration::from_secs)
}
