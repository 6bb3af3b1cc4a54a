//! The dialling side of links: sends requests to a peer's backend server.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use cassiashunt_types::prelude::*;
use tokio::{sync::oneshot, time::timeout};

use super::{
    AskTokens, Delegate, Frame, Kind, WorkRequest,
    connection::{PeerConnection, Pending, RequestEnd},
    socket::{self, Reader},
    state_sync,
};
use crate::{clock, node::Node, tree};

/// The shortest time between two attempts to connect; jitter makes it up to twice as long.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(150);
/// The time between two checks of a link.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long requests that must not run twice stay pending at a peer that sends nothing; longer than
/// their deadlines.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(15);
/// The time between two keepalives to a peer that sends nothing.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The link to one peer, over its successive connections.
#[derive(Debug, Default)]
pub(crate) struct Link {
    current: RefCell<Option<Rc<PeerConnection>>>,
    /// Connections whose peer stopped sending while requests are pending that must not run twice.
    unresponsive: RefCell<Vec<Rc<PeerConnection>>>,
    last_id: Cell<u64>,
}

impl Link {
    /// Whether there is a connection to the peer.
    pub(crate) fn is_up(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Whether no request is pending on the current connection.
    pub(crate) fn is_idle(&self) -> bool {
        self.current.borrow().as_ref().is_none_or(|it| it.is_idle())
    }

    /// Sends a request. Returns `None`, and the peer never sees it, where the connection is down or
    /// its queue is full. `keeps_waiting` is set for a request that must not run twice.
    pub(crate) fn request(
        &self,
        mut request: WorkRequest,
        keeps_waiting: bool,
    ) -> Option<(u64, oneshot::Receiver<RequestEnd>)> {
        let current = self.current.borrow().clone()?;
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        request.id = id;
        let (tx, rx) = oneshot::channel();
        let pending = Pending {
            tx,
            keeps_waiting,
            is_recalled: false,
        };
        current.pending.borrow_mut().insert(id, pending);
        if current.send(Kind::Request(request)) {
            return Some((id, rx));
        }
        current.pending.borrow_mut().remove(&id);
        None
    }

    /// Cancels a request at the peer.
    pub(crate) fn cancel(&self, id: u64) {
        let unresponsive = self.unresponsive.borrow();
        for connection in self.current.borrow().iter().chain(unresponsive.iter()) {
            if connection.pending.borrow_mut().remove(&id).is_some() {
                connection.send(Kind::Cancel(id));
            }
        }
    }

    /// Cancels a request at the peer, whose outcome is still awaited.
    pub(crate) fn recall(&self, id: u64) {
        let unresponsive = self.unresponsive.borrow();
        for connection in self.current.borrow().iter().chain(unresponsive.iter()) {
            if let Some(pending) = connection.pending.borrow_mut().get_mut(&id) {
                pending.is_recalled = true;
                connection.send(Kind::Cancel(id));
            }
        }
    }

    /// Asks the peer for tokens.
    pub(crate) fn ask_tokens(&self, ask: AskTokens) -> bool {
        self.send(Kind::AskTokens(ask))
    }

    /// Delegates shares of limits to the peer.
    pub(crate) fn delegate(&self, delegate: Delegate) -> bool {
        self.send(Kind::Delegate(delegate))
    }

    /// Asks for the peer's proof that its table is the newest.
    pub(crate) fn ask_proof(&self, now: Time) {
        // Not sent where the link is down; the next round asks other peers.
        self.send(Kind::AskProof(now.as_micros()));
    }

    /// Sends a message of the aggregation tree. It is dropped where the queue is full or the
    /// connection is down; the next one follows soon.
    pub(crate) fn send_report(&self, kind: Kind) {
        self.send(kind);
    }

    fn send(&self, kind: Kind) -> bool {
        let current = self.current.borrow();
        current.as_ref().is_some_and(|it| it.send(kind))
    }

    /// Drops the current connection and fails its requests, which may have run.
    pub(crate) fn disconnect(&self) {
        if let Some(current) = self.current.take() {
            current.fail_pending(|_| true);
        }
    }
}

/// Keeps a connection to a peer open, and reconnects when it ends, until the task is aborted.
pub(crate) async fn keep_link(node: Rc<Node>, name: String, address: SocketAddr, link: Rc<Link>) {
    let mut was_up = false;
    loop {
        match socket::connect(address).await {
            Ok(stream) => {
                let (reader, tx) = socket::split(stream, &node.memory);
                // The queue is new and therefore not full.
                let _ = tx.try_send(Kind::Hello(node.hello()).into());
                let connection = Rc::new(PeerConnection::new(tx));
                *link.current.borrow_mut() = Some(Rc::clone(&connection));
                was_up = true;
                log::info!(peer:% = name; "link-up");
                let end = read_frames(&node, &name, reader, &link, &connection).await;
                log::warn!(peer:% = name, reason:? = end.reason, silent = end.unresponsive.is_some();
                    "link-lost");
                if let Some(reader) = end.unresponsive {
                    await_unresponsive(&link, connection, reader);
                }
            }
            Err(err) => {
                let is_refused = err.kind() == io::ErrorKind::ConnectionRefused;
                let now = clock::now();
                node.fleet.borrow_mut().on_unreached(now, &name, is_refused);
                if std::mem::take(&mut was_up) {
                    log::warn!(peer:% = name, reason:% = err; "link-refused");
                }
            }
        }
        link.disconnect();
        node.fleet.borrow_mut().on_link_lost(&name);
        node.quotas.on_link_lost(&node, &link);
        tokio::time::sleep(node.jittered(MIN_REDIAL_DELAY, 1.0)).await;
    }
}

/// How a connection ended.
struct ConnectionEnd {
    reason: Option<io::Error>,
    /// The reader of a connection that is still open but whose peer sends nothing; it may recover.
    unresponsive: Option<Reader>,
}

async fn read_frames(
    node: &Rc<Node>,
    name: &str,
    mut reader: Reader,
    link: &Rc<Link>,
    connection: &PeerConnection,
) -> ConnectionEnd {
    let mut checks = tokio::time::interval(LINK_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // `read_frame` is cancel-safe: an incomplete frame stays buffered.
        let frame = tokio::select! {
            biased;
            frame = reader.read_frame() => frame,
            _ = checks.tick() => {
                if connection.check(clock::now()) {
                    return ConnectionEnd { reason: None, unresponsive: Some(reader) };
                }
                continue;
            }
        };
        let kind = match frame {
            Ok(Some(Frame { kind })) => kind,
            ended => {
                return ConnectionEnd {
                    reason: ended.err(),
                    unresponsive: None,
                };
            }
        };
        let now = clock::now();
        connection.on_received(now);
        match kind {
            Some(Kind::Ended(ended)) => connection.complete(ended),
            Some(Kind::GoAway(_)) => {
                connection.on_go_away();
                return ConnectionEnd {
                    reason: None,
                    unresponsive: None,
                };
            }
            kind => on_frame(node, name, link, now, kind),
        }
    }
}

/// Keeps the connection of a peer that stopped sending for the requests that must not run twice:
/// the peer may only have been paused, and answers are valid until their deadlines. Other requests
/// fail here and are retried at another owner.
fn await_unresponsive(link: &Rc<Link>, connection: Rc<PeerConnection>, reader: Reader) {
    *link.current.borrow_mut() = None;
    connection.fail_pending(|pending| !pending.keeps_waiting);
    if connection.is_idle() {
        return;
    }
    link.unresponsive.borrow_mut().push(Rc::clone(&connection));
    let link = Rc::clone(link);
    tokio::task::spawn_local(async move {
        // Requests are removed at their deadlines, so the connection becomes idle or this wait
        // times out.
        let ended = timeout(UNRESPONSIVE_TIMEOUT, read_outcomes(&connection, reader)).await;
        log::info!(ended = ended.is_ok(), left = connection.pending.borrow().len(); "silent-link-over");
        connection.fail_pending(|_| true);
        link.unresponsive
            .borrow_mut()
            .retain(|it| !Rc::ptr_eq(it, &connection));
    });
}

async fn read_outcomes(connection: &PeerConnection, mut reader: Reader) {
    let mut keepalives = tokio::time::interval(KEEPALIVE_INTERVAL);
    while !connection.is_idle() {
        let frame = tokio::select! {
            biased;
            frame = reader.read_frame() => frame,
            _ = keepalives.tick() => {
                connection.send(Kind::Ping(false));
                continue;
            }
        };
        match frame {
            Ok(Some(Frame {
                kind: Some(Kind::Ended(ended)),
            })) => connection.complete(ended),
            Ok(Some(Frame {
                kind: Some(Kind::GoAway(_)),
            })) => connection.on_go_away(),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return,
        }
    }
}

fn on_frame(node: &Rc<Node>, name: &str, link: &Rc<Link>, now: Time, kind: Option<Kind>) {
    match kind {
        Some(Kind::Load(load)) => {
            if node.on_peer_table(now, load.known_table()) {
                link.send(Kind::AskTable(true));
            }
            node.fleet.borrow_mut().on_load(now, name, &load);
        }
        Some(Kind::Hello(hello)) => {
            let is_peer = node.fleet.borrow_mut().on_named(name, &hello.name);
            if !is_peer && let Some(suppressed) = node.admit_line("peer-is-another") {
                log::warn!(peer:% = name, stated:% = hello.name, suppressed = suppressed;
                    "peer-is-another");
            }
        }
        Some(Kind::Proof(proof)) => node.on_proof(now, &proof),
        Some(Kind::Down(down)) => tree::on_down(node, now, name, &down, |kind| link.send(kind)),
        Some(Kind::GiveTokens(given)) => node.quotas.receive(now, &given),
        Some(other) => state_sync::on_frame(node, name, other, |kind| link.send(kind)),
        None => log::warn!(peer:% = name; "empty-frame"),
    }
}
