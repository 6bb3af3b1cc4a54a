//! Serves one HTTP connection of a client or of the backend server.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::read_client_headers;
use cassiashunt_mesh::ClientLimits;
use cassiashunt_types::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};

use super::{
    counted::Counted,
    open_request::OpenRequest,
    reply::Reply,
    request::{Incoming, handle, refuse_incomplete},
};
use crate::{
    accept::accept,
    clock,
    http::{Connection, ReadError, RequestHead, has_token},
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
                connections.spawn_local(serve(Rc::clone(&node), stream));
            }
            Some(_) = connections.join_next() => {}
            () = node.stop_accepting.notified() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    node.clients_closed.notify_one();
}

async fn serve(node: Rc<Node>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::info!(reason:% = err; "client-gone");
        return;
    }
    let mut connection = Connection::new(stream);
    loop {
        let limits = node
            .table()
            .map_or_else(ClientLimits::default, |table| table.limits);
        match next_event(&node, &mut connection, limits.idle_timeout).await {
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
            read = read_request(&mut connection, limits) => read,
            () = node.giving_up.cancelled() => Err(Some(refuse_incomplete(&node))),
        };
        let (reply, is_head) = match read {
            Ok((head, body)) => {
                let is_head = head.method == "HEAD";
                let reply = answer(&node, &mut connection, &mut open, head, body).await;
                (reply, is_head)
            }
            Err(Some(reply)) => (reply, false),
            Err(None) => return,
        };
        // What was sent behind the request has been read and is answered, too.
        let closes = reply.closes || (node.is_stopping() && !connection.has_leftover());
        let bytes = reply.encode(is_head, closes);
        let written = timeout(ANSWER_WRITE_TIMEOUT, connection.write(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
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

/// What happens next on an idle connection.
enum Event {
    /// A request begins to arrive.
    Request,
    /// The client closed it.
    Closed,
    /// It was idle for too long, or a stop closes it.
    Idle,
}

/// Waits for the next request on an idle connection.
async fn next_event(node: &Node, connection: &mut Connection, idle_timeout: Duration) -> Event {
    tokio::select! {
        biased;
        waited = timeout(idle_timeout, connection.wait_for_message()) => match waited {
            Ok(Ok(())) => return Event::Request,
            Ok(Err(_)) => return Event::Closed,
            Err(_) => {}
        },
        () = node.closing_clients.cancelled() => {}
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

/// Reads one complete request. On failure, returns the error reply to send, or `None` if the client
/// has disconnected.
async fn read_request(
    connection: &mut Connection,
    limits: ClientLimits,
) -> Result<(RequestHead, Bytes), Option<Reply>> {
    let head = timeout(
        limits.header_timeout,
        connection.read_request_head(limits.header_bytes),
    );
    let head = head.await.map_err(|_| Some(Reply::closing(408)))?;
    let head = head.map_err(|err| reply_to(&err))?;
    if has_token(&head.headers, "expect", "100-continue") {
        let written = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| None)?;
    }
    let body = connection.read_body(head.framing, limits.body_bytes);
    let body = timeout(limits.idle_timeout, body).await;
    let body = body.map_err(|_| Some(Reply::closing(408)))?;
    let body = body.map_err(|err| reply_to(&err))?;
    Ok((head, body))
}

fn reply_to(err: &ReadError) -> Option<Reply> {
    match err {
        ReadError::Malformed(what) => {
            log::warn!(what:% = what; "request-malformed");
            Some(Reply::closing(400))
        }
        ReadError::HeadTooLong => Some(Reply::closing(431)),
        ReadError::BodyTooLong | ReadError::BufferLimitReached => Some(Reply::closing(413)),
        ReadError::Closed | ReadError::Truncated | ReadError::Io(_) => None,
    }
}
