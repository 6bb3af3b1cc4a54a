//! Serves one HTTP connection of a client or of the backend server.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::read_client_headers;
use cassiashunt_mesh::ClientLimits;
use cassiashunt_types::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
    time::timeout,
};

use super::{
    counted::Counted,
    open_request::OpenRequest,
    reply::Reply,
    request::{Incoming, handle, log_closed_for_memory, refuse_for_memory, refuse_incomplete},
};
use crate::{
    accept::accept,
    clients::{Client, Phase},
    clock,
    http::{BufferLimit, Connection, Framing, ReadError, RequestHead, has_token},
    memory::{Lease, MIN_COUNTED_BYTES, Part},
    node::Node,
};

/// Timeout for writing an answer to a client.
const ANSWER_WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the node stops accepting, and returns when all are closed. Connections
/// that are already in the listen queue when it stops are still accepted.
pub(crate) async fn accept_clients(node: Rc<Node>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            stream = accept(&listener) => {
                let Some(client) = node.clients.admit() else {
                    if let Some(suppressed) = node.admit_line("client-refused") {
                        log::warn!(suppressed = suppressed; "client-refused");
                    }
                    continue;
                };
                connections.spawn_local(serve(Rc::clone(&node), stream, client));
                // Lets an idle connection close that made room for this one.
                tokio::task::yield_now().await;
            }
            Some(_) = connections.join_next() => {}
            () = node.stop_accepting.notified() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    node.clients_closed.notify_one();
}

async fn serve(node: Rc<Node>, stream: TcpStream, _client: Client) {
    if let Err(err) = stream.set_nodelay(true) {
        log::info!(reason:% = err; "client-gone");
        return;
    }
    let mut connection = Connection::from_client(stream);
    // Closes the connection to free a descriptor or memory.
    let close = Rc::<Notify>::default();
    // What may wait behind a long body; it stays counted, since the receive buffer does not shrink.
    let mut widened: Option<Lease> = None;
    loop {
        let limits = node
            .table()
            .map_or_else(ClientLimits::default, |table| table.limits);
        let held = widened.as_ref().map_or(0, Lease::bytes);
        match next_event(&node, &mut connection, limits.idle_timeout, held, &close).await {
            Event::Request => {}
            Event::Closed => return,
            Event::Idle => {
                let closed = usize::from(node.closing_clients.is_cancelled());
                node.closed_idle.set(node.closed_idle.get() + closed);
                let _closing = Counted::new(&node.closing_connections);
                connection.finish_idle().await;
                return;
            }
        }
        let mut open = OpenRequest::new(&node);
        let read = tokio::select! {
            biased;
            read = read_request(&node, &mut connection, limits, &close) => read,
            () = close.notified() => Err(Some(refuse_for_memory(&node))),
            () = node.giving_up.cancelled() => Err(Some(refuse_incomplete(&node))),
        };
        let (reply, is_head) = match read {
            Ok(read) => {
                let ReadRequest {
                    head,
                    body,
                    head_lease: _head_lease,
                } = read;
                let unread = connection.widened();
                widened = (unread > 0).then(|| node.memory.count(unread));
                let is_head = head.method == "HEAD";
                let reply = answer(&node, &mut connection, &mut open, head, body).await;
                (reply, is_head)
            }
            Err(Some(reply)) => (reply, false),
            Err(None) => return,
        };
        // What was sent behind the request has been read and is answered, too.
        let closes = reply.closes || (node.is_stopping() && !connection.has_leftover());
        if !write_reply(&node, &mut connection, reply, is_head, closes, &close).await {
            open.on_unwritten();
            return;
        }
        open.on_answered();
        drop(open);
        if closes {
            let _closing = Counted::new(&node.closing_connections);
            connection.finish().await;
            return;
        }
    }
}

/// Writes a reply; false if its client did not take it. A client that reads slowly loses it where the
/// memory for bodies has no room.
async fn write_reply(
    node: &Node,
    connection: &mut Connection,
    reply: Reply,
    is_head: bool,
    closes: bool,
    close: &Rc<Notify>,
) -> bool {
    let account = (reply.body.len() > MIN_COUNTED_BYTES).then(|| {
        let account = node.memory.account(Part::Answer, close);
        account.set_counted(reply.body.len());
        account
    });
    let _writing = node.clients.enter(Phase::Writing, close);
    let message = reply.encode(is_head, closes);
    drop(reply);
    let write = connection.write_message(&message, |written| {
        if let Some(account) = &account {
            account.on_moved(written);
        }
    });
    let written = tokio::select! {
        biased;
        written = timeout(ANSWER_WRITE_TIMEOUT, write) => matches!(written, Ok(Ok(()))),
        () = close.notified() => {
            log_closed_for_memory(node, Part::Answer);
            false
        }
    };
    // Before the account, which stands for its memory.
    drop(message);
    written
}

/// What happens next on an idle connection.
enum Event {
    /// A request begins to arrive.
    Request,
    /// The client closed it.
    Closed,
    /// It was idle for too long, or a stop closes it.
    Idle,
}

/// Waits for the next request on an idle connection, which loses its `held` bytes where there is no room.
async fn next_event(
    node: &Node,
    connection: &mut Connection,
    idle_timeout: Duration,
    held: usize,
    close: &Rc<Notify>,
) -> Event {
    let _idle = node.clients.enter(Phase::Idle, close);
    let _account = (held > 0).then(|| {
        let account = node.memory.account(Part::Idle, close);
        account.set_counted(held);
        account
    });
    tokio::select! {
        biased;
        waited = timeout(idle_timeout, connection.wait_for_message()) => match waited {
            Ok(Ok(())) => return Event::Request,
            Ok(Err(_)) => return Event::Closed,
            Err(_) => {}
        },
        () = node.closing_clients.cancelled() => {}
        () = close.notified() => {
            if connection.is_idle() {
                return Event::Closed;
            }
            return Event::Request;
        }
    }
    // Lets the event loop notice a request that has arrived.
    tokio::task::yield_now().await;
    if connection.is_idle() {
        Event::Idle
    } else {
        Event::Request
    }
}

/// Answers one complete request.
async fn answer(
    node: &Rc<Node>,
    connection: &mut Connection,
    open: &mut OpenRequest<'_>,
    head: RequestHead,
    body: Bytes,
) -> Reply {
    let keeps_alive = head.keep_alive;
    let client_headers = read_client_headers(head.pairs());
    let received = clock::now();
    open.on_read(
        client_headers.attempt.as_deref().unwrap_or_default(),
        received,
    );
    let incoming = Incoming {
        head,
        client_headers,
        body,
        received,
    };
    let reply = handle(node, incoming, connection.wait_closed()).await;
    let closes = reply.closes || !keeps_alive;
    Reply { closes, ..reply }
}

/// A complete request.
struct ReadRequest {
    head: RequestHead,
    body: Bytes,
    /// The memory of a long head, which stays counted until the request is answered.
    head_lease: Option<Lease>,
}

/// Reads one complete request. On failure, returns the error reply to send, or `None` if the client
/// has disconnected.
async fn read_request(
    node: &Node,
    connection: &mut Connection,
    limits: ClientLimits,
    close: &Rc<Notify>,
) -> Result<ReadRequest, Option<Reply>> {
    let _reading = node.clients.enter(Phase::Reading, close);
    let head = read_head(node, connection, limits.header_bytes, close);
    let head = timeout(limits.header_timeout, head).await;
    let head = head.map_err(|_| Some(Reply::closing(408)))?;
    let (head, head_lease) = head.map_err(|err| reply_to(node, &err))?;
    if matches!(head.framing, Framing::Length(length) if length > limits.body_bytes) {
        return Err(Some(Reply::closing(413)));
    }
    if has_token(&head.headers, "expect", "100-continue") {
        let written = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| None)?;
    }
    let body = read_body(node, connection, head.framing, limits.body_bytes, close);
    let body = timeout(limits.idle_timeout, body).await;
    let body = body.map_err(|_| Some(Reply::closing(408)))?;
    let body = body.map_err(|err| reply_to(node, &err))?;
    Ok(ReadRequest {
        head,
        body,
        head_lease,
    })
}

/// Reads a head. A long one counts until the request ends, and can be dropped until it is complete.
async fn read_head(
    node: &Node,
    connection: &mut Connection,
    max: usize,
    close: &Rc<Notify>,
) -> Result<(RequestHead, Option<Lease>), ReadError> {
    if let Some(head) = connection.read_small_request_head(max).await? {
        return Ok((head, None));
    }
    let mut account = node.memory.account(Part::Request, close);
    let (head, held) = connection.read_long_request_head(max, &mut account).await?;
    let lease = account.keep(held);
    let lease = lease.map_err(|_| ReadError::BufferLimitReached)?;
    Ok((head, Some(lease)))
}

/// Reads a body. A long one counts as long as it is used, and can be dropped until it is complete.
async fn read_body(
    node: &Node,
    connection: &mut Connection,
    framing: Framing,
    max: usize,
    close: &Rc<Notify>,
) -> Result<Bytes, ReadError> {
    if let Some(body) = connection.read_small_body(framing).await? {
        return Ok(body);
    }
    let mut account = node.memory.account(Part::Request, close);
    let body = {
        let mut limit = BufferLimit::in_account(max, &mut account);
        connection.read_long_body(framing, &mut limit).await?
    };
    if body.len() <= MIN_COUNTED_BYTES {
        return Ok(body);
    }
    let body = account.finish(body);
    body.map_err(|_| ReadError::BufferLimitReached)
}

fn reply_to(node: &Node, err: &ReadError) -> Option<Reply> {
    match err {
        ReadError::Malformed(what) => {
            log::warn!(what:% = what; "request-malformed");
            Some(Reply::closing(400))
        }
        ReadError::HeadTooLong => Some(Reply::closing(431)),
        ReadError::BodyTooLong => Some(Reply::closing(413)),
        ReadError::BufferLimitReached => Some(refuse_for_memory(node)),
        ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => None,
    }
}
