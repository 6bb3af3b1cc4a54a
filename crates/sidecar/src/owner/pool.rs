//! Pool of idle connections to the backend server.

use std::{cell::RefCell, io, net::SocketAddr};

use cassiashunt_types::prelude::*;
use tokio::{net::TcpSocket, time::timeout};

use crate::{
    http::{BufferLimit, Connection, ResponseHead, SharedBufferLimit, header},
    memory::BodyMemory,
};

/// Timeout for connecting to the server, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The receive buffer of a connection to the server, which is on the same machine. The kernel takes in twice as
/// much at most, which the platform counts as the process's memory.
const RECEIVE_BYTES: u32 = 32 * 1024;
/// Idle timeout of the server if it announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the server's idle timeout for which a connection is reused, so that a request is not
/// sent while the server closes the connection.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 512;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Time,
}

/// Bytes that all answers being read may hold together: a faulty server may send endless answers on
/// every connection.
const MAX_BUFFERED_ANSWER_BYTES: usize = 16 << 20;

/// Idle connections to one server, and the buffer limit for its answers.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: RefCell<Vec<IdleConnection>>,
    buffer_limit: SharedBufferLimit,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
            buffer_limit: SharedBufferLimit::new(MAX_BUFFERED_ANSWER_BYTES),
        }
    }
}

impl Pool {
    /// Takes the most recently used connection that is still open.
    pub(crate) fn take(&self, now: Time) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut entry) = idle.pop() {
            if entry.until > now && entry.connection.is_idle() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete answer with this head.
    pub(crate) fn put(&self, now: Time, connection: Connection, head: &ResponseHead) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            let until = now + idle_timeout(head).mul_f64(IDLE_TIMEOUT_SHARE);
            idle.push(IdleConnection { connection, until });
        }
    }

    /// The buffer limit for one answer of at most `max` bytes.
    pub(crate) fn buffer_limit<'a>(
        &'a self,
        max: usize,
        memory: &'a BodyMemory,
    ) -> BufferLimit<'a> {
        self.buffer_limit.for_body(max, memory)
    }

    /// Drops the connections that have been idle too long or on which unexpected bytes have
    /// arrived.
    pub(crate) fn expire(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|entry| entry.until > now && entry.connection.is_idle());
    }

    /// Drops all idle connections: the server is down or was replaced.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Opens a connection to the server.
pub(crate) async fn connect(server: SocketAddr) -> io::Result<Connection> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(server)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(Connection::new(stream))
}

/// Whether the server's port is closed: no server is running, rather than a slow or cut-off one.
pub(super) fn is_refused(err: &io::Error) -> bool {
    err.kind() == io::ErrorKind::ConnectionRefused
}

/// How long the server keeps the connection open when idle: the `Keep-Alive` timeout of its answer.
fn idle_timeout(head: &ResponseHead) -> Duration {
    let announced = header(&head.headers, "keep-alive").and_then(|value| {
        let mut parts = value.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    });
    announced.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs)
}
