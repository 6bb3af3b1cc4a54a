//! Calls to the platform's store.

use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use cassiashunt_adapter::{Call, StoreError, decode_era};
use cassiashunt_types::Time;
use tokio::{net::TcpStream, sync::Notify, time::timeout};

use super::CALL_TIMEOUT;
use crate::{
    http::{Connection, OutgoingMessage, ReadError},
    metrics,
};

/// The longest answer body: a page of items, or a value at its limit.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The most idle connections that are kept: one for calls and one for each watch.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Why a call failed.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The watch was abandoned to be started again.
    Abandoned,
    /// The answer is of an earlier era than one that is known.
    OlderEra,
    /// The item was written again each time that it was to be changed.
    Conflict,
    /// The store has been restored from a copy since the state that the call refers to was read.
    Restored,
    /// No answer arrived in time; the call may have been executed, or may still be.
    TimedOut,
    /// The connection could not be opened.
    Unreachable(std::io::Error),
    /// The connection ended before the answer was complete; the call may have been executed.
    Lost(ReadError),
    /// The answer is an error or can't be decoded.
    Answer(StoreError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Abandoned => f.write_str("abandoned to start a new watch"),
            Self::OlderEra => f.write_str("an answer from before the store was restored"),
            Self::Conflict => f.write_str("the item changed meanwhile"),
            Self::Restored => f.write_str("the store was restored"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::Unreachable(err) => write!(f, "unreachable: {err}"),
            Self::Lost(err) => write!(f, "connection lost: {err}"),
            Self::Answer(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for CallError {}

impl From<StoreError> for CallError {
    fn from(err: StoreError) -> Self {
        Self::Answer(err)
    }
}

/// An answer of the store.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The era in which the store carried out the call.
    pub(crate) era: u64,
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// An HTTP client of the store with kept-alive connections.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    last_answer: Cell<Option<Time>>,
    /// The highest known era; `None` before the first answer.
    era: Cell<Option<u64>>,
    restored: Notify,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
            last_answer: Cell::new(None),
            era: Cell::new(None),
            restored: Notify::new(),
        }
    }

    /// When the store last answered this node; `None` before the first answer.
    pub(crate) fn last_answer(&self) -> Option<Time> {
        self.last_answer.get()
    }

    /// The store's era, as far as this node knows.
    pub(crate) fn era(&self) -> u64 {
        self.era.get().unwrap_or_default()
    }

    /// Records an era that the store has reached, as stated by an answer or known to a peer.
    pub(crate) fn on_era(&self, era: u64) {
        let known = self.era.replace(self.era.get().max(Some(era)));
        if let Some(known) = known
            && known < era
        {
            log::warn!(known = known, era = era; "store-restored");
            self.restored.notify_waiters();
        }
    }

    /// Resolves when the store is next known to have been restored from a copy.
    pub(crate) async fn restored(&self) {
        self.restored.notified().await;
    }

    /// Makes one call. An answer of an earlier era than the known one is a failure. A connection on
    /// which no answer arrives in time is closed and not reused.
    pub(crate) async fn call(&self, call: &Call, limit: Duration) -> Result<Answer, CallError> {
        let began = crate::clock::now();
        let exchanged = timeout(limit, self.exchange(call)).await;
        let exchanged = exchanged.unwrap_or(Err(CallError::TimedOut));
        let end = match &exchanged {
            Ok(answer) if answer.status < 500 && answer.status != 429 => "answered",
            Ok(_) => "refused",
            Err(CallError::TimedOut) => "silent",
            Err(_) => "lost",
        };
        if end == "answered" {
            self.last_answer.set(Some(crate::clock::now()));
        }
        let spent = (limit == CALL_TIMEOUT).then(|| crate::clock::now().since(began));
        metrics::store_called(end, spent);
        exchanged
    }

    async fn exchange(&self, call: &Call) -> Result<Answer, CallError> {
        let mut connection = self.connection().await?;
        let request = OutgoingMessage::new(self.encode(call), Bytes::new());
        let exchanged = connection.exchange_head(&request, 0, call.method).await;
        let (head, _) = exchanged.map_err(CallError::Lost)?;
        let era = decode_era(head.pairs());
        self.on_era(era);
        let body = connection.read_body(head.framing, MAX_ANSWER_BYTES).await;
        let body = body.map_err(CallError::Lost)?;
        if era < self.era() {
            return Err(CallError::OlderEra);
        }
        let mut idle = self.idle.borrow_mut();
        if head.keep_alive && !connection.has_leftover() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        Ok(Answer {
            era,
            status: head.status,
            body,
        })
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let Some(mut kept) = kept else { break };
            if kept.is_idle() {
                return Ok(kept);
            }
        }
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(CallError::Unreachable)?;
        stream.set_nodelay(true).map_err(CallError::Unreachable)?;
        Ok(Connection::new(stream))
    }

    fn encode(&self, call: &Call) -> Vec<u8> {
        let (method, target, host) = (call.method, &call.target, self.address);
        let mut out = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
        if !call.body.is_empty() || method == "POST" {
            let length = call.body.len();
            let fields = format!("Content-Type: application/json\r\nContent-Length: {length}\r\n");
            out.extend_from_slice(fields.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&call.body);
        out
    }
}
