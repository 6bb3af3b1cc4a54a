//! HTTP endpoints beside the request path: readiness checks of the platform, heartbeats of the
//! backend server, and metrics.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use cassiashunt_adapter::{Command, HEARTBEAT_ANSWER, READY_PATH, decode_command};
use cassiashunt_mesh::Heartbeat;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::timeout,
};

use crate::{
    accept::accept,
    clients::{Clients, Phase},
    explain::{self, Query},
    http::{Connection, ReadError, RequestHead, reason_phrase},
    metrics,
    node::Node,
};

/// The longest head and the longest body of a call; a heartbeat has a few hundred bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// How long a connection may be idle or a call incomplete.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The most connections of one listener; the platform and the backend server need few.
const MAX_CONNECTIONS: usize = 64;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Ready,
    Heartbeats,
}

/// Accepts connections and serves one endpoint on them.
pub(crate) async fn serve_endpoint(node: Rc<Node>, listener: TcpListener, endpoint: Endpoint) {
    let clients = Rc::new(Clients::with_max(MAX_CONNECTIONS));
    loop {
        let stream = accept(&listener).await;
        let Some(client) = clients.admit() else {
            continue;
        };
        let (node, close) = (Rc::clone(&node), Rc::<Notify>::default());
        // The one that has been open longest makes room.
        let open = clients.enter(Phase::Idle, &close);
        tokio::task::spawn_local(async move {
            let _place = (client, open);
            tokio::select! {
                () = serve(node, stream, endpoint) => {}
                () = close.notified() => {}
            }
        });
        // Lets a connection close that made room for this one.
        tokio::task::yield_now().await;
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, endpoint: Endpoint) {
    // Fails where the caller has disconnected already.
    let Ok(from) = stream.peer_addr() else {
        return;
    };
    let mut connection = Connection::new(stream);
    loop {
        let Ok(Ok((head, body))) = timeout(IDLE_TIMEOUT, read(&mut connection)).await else {
            return;
        };
        let (status, answer) = match endpoint {
            Endpoint::Ready => (ready(&node, &head), String::new()),
            Endpoint::Heartbeats => heartbeat(&node, from, &head, &body),
        };
        let text = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            reason_phrase(status),
            answer.len()
        );
        if connection.write(text.as_bytes()).await.is_err() || !head.keep_alive {
            return;
        }
    }
}

async fn read(connection: &mut Connection) -> Result<(RequestHead, bytes::Bytes), ReadError> {
    connection.wait_for_message().await?;
    let head = connection.read_request_head(MAX_MESSAGE_BYTES).await?;
    let body = connection
        .read_body(head.framing, MAX_MESSAGE_BYTES)
        .await?;
    Ok((head, body))
}

fn ready(node: &Node, head: &RequestHead) -> u16 {
    let path = head.target.split('?').next().unwrap_or_default();
    if path != READY_PATH {
        404
    } else if node.is_stopping() || node.table.borrow().is_none() || !node.is_compared() {
        503
    } else {
        200
    }
}

/// Handles a call of the backend server, or of another writer, that came from the address `from`.
fn heartbeat(node: &Rc<Node>, from: SocketAddr, head: &RequestHead, body: &[u8]) -> (u16, String) {
    match decode_command(&head.method, &head.target, body) {
        Some(Command::Heartbeat(beat)) => on_heartbeat(node, from, &beat),
        Some(Command::Leave(server)) => {
            node.owner.on_leave(node, from, &server);
            (200, HEARTBEAT_ANSWER.into())
        }
        Some(Command::Unreadable(server, reason)) => {
            metrics::reported("unreadable");
            if let Some(suppressed) = node.admit_line("heartbeat-unreadable") {
                log::warn!(server:% = server, from:% = from, suppressed = suppressed,
                    reason:% = reason; "heartbeat-unreadable");
            }
            (400, String::new())
        }
        None => (404, String::new()),
    }
}

/// Handles a heartbeat. One of a server of another service is not acknowledged, nor a leave that is not
/// in force.
fn on_heartbeat(node: &Rc<Node>, from: SocketAddr, beat: &Heartbeat) -> (u16, String) {
    if beat.service != node.service() {
        metrics::reported("refused");
        if let Some(suppressed) = node.admit_line("heartbeat-refused") {
            log::warn!(server:% = beat.server, service:% = beat.service, address:% = beat.address,
                born = beat.started_ms, sequence = beat.sequence, from:% = from,
                suppressed = suppressed, reason = "another service"; "heartbeat-refused");
        }
        return (400, String::new());
    }
    if node.owner.on_heartbeat(node, from, beat) {
        (200, HEARTBEAT_ANSWER.into())
    } else {
        (503, String::new())
    }
}

/// Serves the metrics as text, and the page that explains a request, one answer per connection.
pub(crate) async fn serve_metrics(
    node: Rc<Node>,
    listener: TcpListener,
    metrics_handle: PrometheusHandle,
) {
    loop {
        let mut connection = Connection::new(accept(&listener).await);
        let Ok(Ok((head, _))) = timeout(IDLE_TIMEOUT, read(&mut connection)).await else {
            continue;
        };
        let (status, text) = match head.target.split('?').next() {
            Some(explain::PATH) => explained(&node, &head),
            _ => (200, metrics_text(&node, &metrics_handle)),
        };
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            reason_phrase(status),
            text.len()
        );
        // A scraper that has disconnected tries again.
        let _ = timeout(IDLE_TIMEOUT, connection.write((head + &text).as_bytes())).await;
        connection.finish().await;
    }
}

fn metrics_text(node: &Node, metrics_handle: &PrometheusHandle) -> String {
    let peers_up = node.fleet.borrow().links_up();
    let age = node.freshness.borrow().age(crate::clock::now());
    let version = node.table().map_or(0, |table| table.version);
    metrics::set_gauges(peers_up, age, version, node.memory.held());
    metrics_handle.render()
}

/// What would become of a request; nothing is sent, and no state changes.
fn explained(node: &Node, head: &RequestHead) -> (u16, String) {
    match Query::from_head(head) {
        Ok(query) => (200, explain::explain(node, &query).to_string()),
        Err(what) => (400, format!("{what}\n")),
    }
}
