//! Sends one request to the backend server and reads its answer.

use std::{cell::Cell, fmt, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use cassiashunt_adapter::{
    ResponseHeaders, ServerLoad, is_not_executed, promises_not_run, read_response_headers,
    server_headers,
};
use cassiashunt_types::prelude::*;

use super::pool::{self, Pool};
use crate::{
    http::{Connection, Framing, OutgoingMessage, ReadError, ResponseHead, forwardable, header},
    link::{Answer, Field, WorkRequest},
    memory::BodyMemory,
};

/// Maximum body of an answer. It is buffered completely, so that a truncated answer is never passed
/// on as a complete one.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Maximum number of interim answers and answers to earlier requests that are skipped.
const MAX_STALE_ANSWERS: usize = 4;

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Connecting failed: the server never received the request.
    Unreachable(std::io::Error),
    /// The server stated that it did not run the request; its status.
    NotExecuted(u16),
    /// The connection closed or failed before the complete answer was read.
    Lost(ReadError),
    /// The answer cannot be trusted to be the server's answer to this request; why.
    InvalidAnswer(&'static str),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(err) => write!(f, "unreachable: {err}"),
            Self::NotExecuted(status) => write!(f, "not executed: {status}"),
            Self::Lost(err) => write!(f, "lost: {err}"),
            Self::InvalidAnswer(what) => write!(f, "spoiled: {what}"),
        }
    }
}

impl Failure {
    /// The refusal for the failure.
    pub(crate) fn refusal(&self) -> Refusal {
        match self {
            Self::Unreachable(_) => Refusal::not_run(Reason::NoServer),
            Self::NotExecuted(_) => Refusal::not_run(Reason::ServerRefused),
            Self::Lost(_) | Self::InvalidAnswer(_) => Refusal::may_have_run(Reason::Lost),
        }
    }
}

/// What is known of an exchange besides its answer.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether the server may have received a part of the request.
    pub(super) is_sent: Rc<Cell<bool>>,
    /// The load that the server reported with its last response.
    pub(super) load: Cell<Option<ServerLoad>>,
}

/// Sends the request and reads the complete answer. Sets `is_sent` before the first byte.
pub(super) async fn exchange(
    pool: &Pool,
    memory: &BodyMemory,
    address: SocketAddr,
    server: &str,
    request: &WorkRequest,
    remaining: Duration,
    progress: &Progress,
) -> Result<Answer, Failure> {
    // On a kept connection, nothing tells the answer to a request without an id from a late one.
    let has_id = !request.attempt.is_empty();
    let pooled = has_id.then(|| pool.take(crate::clock::now())).flatten();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => pool::connect(address).await.map_err(Failure::Unreachable)?,
    };
    let message = encode(request, server, remaining);
    let method = request.method.as_str();
    let mut written = 0;
    progress.is_sent.set(true);
    for _ in 0..=MAX_STALE_ANSWERS {
        let exchanged = connection.exchange_head(&message, written, method).await;
        let head;
        (head, written) = exchanged.map_err(Failure::Lost)?;
        if (100..200).contains(&head.status) {
            continue;
        }
        let response_headers = read_response_headers(head.pairs());
        progress
            .load
            .set(response_headers.load.or(progress.load.get()));
        let is_stale = response_headers
            .attempt
            .as_ref()
            .is_some_and(|it| *it != request.attempt);
        if !is_stale {
            check_refusal(&head, &response_headers, has_id)?;
            let is_sent = written == message.len();
            return finish(pool, memory, connection, head, &response_headers, is_sent).await;
        }
        if head.framing == Framing::UntilClose {
            return Err(Failure::InvalidAnswer("answer to another request"));
        }
        read_body(pool, memory, &mut connection, head.framing).await?;
    }
    Err(Failure::InvalidAnswer(
        "too many interim answers or answers to other requests",
    ))
}

async fn read_body(
    pool: &Pool,
    memory: &BodyMemory,
    connection: &mut Connection,
    framing: Framing,
) -> Result<Bytes, Failure> {
    let buffer_limit = pool.buffer_limit(MAX_ANSWER_BYTES, memory);
    let body = connection.read_body_within(framing, buffer_limit).await;
    body.map_err(Failure::Lost)
}

async fn finish(
    pool: &Pool,
    memory: &BodyMemory,
    mut connection: Connection,
    head: ResponseHead,
    response_headers: &ResponseHeaders,
    is_sent: bool,
) -> Result<Answer, Failure> {
    check_head(&head, response_headers)?;
    let body = read_body(pool, memory, &mut connection, head.framing).await?;
    let is_reusable = head.keep_alive && is_sent && !connection.has_leftover();
    if is_reusable {
        pool.put(crate::clock::now(), connection, &head);
    }
    Ok(Answer {
        status: u32::from(head.status),
        headers: end_to_end(head.headers),
        body,
    })
}

/// Fails if the server states that it did not run the request. A refusal without the request's id
/// may be that of an earlier request.
fn check_refusal(
    head: &ResponseHead,
    response_headers: &ResponseHeaders,
    has_id: bool,
) -> Result<(), Failure> {
    if !is_not_executed(head.status, response_headers) {
        Ok(())
    } else if has_id && response_headers.attempt.is_none() {
        Err(Failure::InvalidAnswer("refusal without an attempt id"))
    } else {
        Err(Failure::NotExecuted(head.status))
    }
}

/// Checks that the head can be of the server's answer to this request.
fn check_head(head: &ResponseHead, response_headers: &ResponseHeaders) -> Result<(), Failure> {
    let is_success = (200..300).contains(&head.status);
    if response_headers.attempt.is_none() {
        return Err(Failure::InvalidAnswer("answer without an attempt id"));
    }
    if promises_not_run(head.status) {
        return Err(Failure::InvalidAnswer(
            "status of a refusal without the statement that it did not run",
        ));
    }
    if is_success && !response_headers.is_signed {
        return Err(Failure::InvalidAnswer("success without a signature"));
    }
    if header(&head.headers, "content-encoding").is_some() {
        return Err(Failure::InvalidAnswer(
            "content encoding that was not requested",
        ));
    }
    Ok(())
}

fn end_to_end(headers: Vec<(String, String)>) -> Vec<Field> {
    let kept = forwardable(headers);
    kept.map(|(name, value)| Field { name, value }).collect()
}

fn encode(request: &WorkRequest, server: &str, remaining: Duration) -> OutgoingMessage {
    let mut out = Vec::with_capacity(1_024);
    let mut line = |parts: [&str; 4]| {
        for part in parts {
            out.extend_from_slice(part.as_bytes());
        }
        out.extend_from_slice(b"\r\n");
    };
    line([&request.method, " ", &request.target, " HTTP/1.1"]);
    for field in &request.headers {
        line([&field.name, ": ", &field.value, ""]);
    }
    for (name, value) in server_headers(server, remaining) {
        line([name, ": ", &value, ""]);
    }
    let has_body = !request.body.is_empty() || !matches!(&*request.method, "GET" | "HEAD");
    if has_body {
        line(["Content-Length: ", &request.body.len().to_string(), "", ""]);
    }
    line(["", "", "", ""]);
    OutgoingMessage::new(out, request.body.clone())
}
