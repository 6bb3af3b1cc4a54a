//! The dialling side: requests to a peer's backend server.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use cassiashunt_types::prelude::*;
use tokio::{sync::oneshot, time::timeout};

use super::{
    AskTokens, Delegate, Frame, Hello, Kind, WorkRequest,
    connected::{Connected, Ending, Pending},
    news,
    socket::{self, Reader},
};
use crate::{clock, node::Node, tree};

/// The time between two tries to connect, up to twice as long.
const REDIAL: Duration = Duration::from_millis(150);
/// How often a link is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long a silent peer is waited for at the most: longer than the deadlines of requests that may
/// not run again.
const WAIT_ON: Duration = Duration::from_secs(15);
/// The time between two signs of life to a silent peer.
const SIGN_EVERY: Duration = Duration::from_secs(1);

/// The way to one peer, and the requests on it.
#[derive(Debug, Default)]
pub(crate) struct Link {
    current: RefCell<Option<Rc<Connected>>>,
    /// Connections on which the peer fell silent while requests wait that may not run again.
    silent: RefCell<Vec<Rc<Connected>>>,
    last: Cell<u64>,
}

impl Link {
    /// Whether the peer can be asked.
    pub(crate) fn is_up(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Whether nothing waits for the peer.
    pub(crate) fn is_idle(&self) -> bool {
        self.current.borrow().as_ref().is_none_or(|it| it.is_idle())
    }

    /// Sends a request; nothing where the connection is down or its queue is full, and then the
    /// peer never sees it. `is_patient` for one that may not run again.
    pub(crate) fn request(
        &self,
        mut request: WorkRequest,
        is_patient: bool,
    ) -> Option<(u64, oneshot::Receiver<Ending>)> {
        let current = self.current.borrow().clone()?;
        let id = self.last.get() + 1;
        self.last.set(id);
        request.id = id;
        let (tx, rx) = oneshot::channel();
        let pending = Pending { tx, is_patient };
        current.pending.borrow_mut().insert(id, pending);
        if current.send(Kind::Request(request)) {
            return Some((id, rx));
        }
        current.pending.borrow_mut().remove(&id);
        None
    }

    /// Tells the peer that a request is of no use any more.
    pub(crate) fn cancel(&self, id: u64) {
        let silent = self.silent.borrow();
        for connected in self.current.borrow().iter().chain(silent.iter()) {
            if connected.pending.borrow_mut().remove(&id).is_some() {
                connected.send(Kind::Cancel(id));
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
        // A link that is down is not asked; the next turn asks others.
        self.send(Kind::AskProof(now.as_micros()));
    }

    /// Tells the peer this node's words for the tree; the next ones follow soon where the queue is
    /// full or the connection down.
    pub(crate) fn tell(&self, kind: Kind) {
        self.send(kind);
    }

    fn send(&self, kind: Kind) -> bool {
        let current = self.current.borrow();
        current.as_ref().is_some_and(|it| it.send(kind))
    }

    /// Requests on a lost connection may have run.
    pub(crate) fn lose_all(&self) {
        if let Some(current) = self.current.take() {
            current.lose(|_| true);
        }
    }
}

/// Keeps a connection to a peer until it is dropped.
pub(crate) async fn keep_link(node: Rc<Node>, name: String, address: SocketAddr, link: Rc<Link>) {
    let mut was_up = false;
    loop {
        match socket::connect(address).await {
            Ok(stream) => {
                let (reader, tx) = socket::split(stream);
                let hello = Kind::Hello(Hello {
                    incarnation: node.incarnation.0,
                    name: node.settings().name.clone(),
                });
                // The queue is new and has room.
                let _ = tx.try_send(hello.into());
                let connected = Rc::new(Connected::new(tx));
                *link.current.borrow_mut() = Some(Rc::clone(&connected));
                was_up = true;
                log::info!(peer:% = name; "link-up");
                let end = read_frames(&node, &name, reader, &link, &connected).await;
                log::warn!(peer:% = name, reason:? = end.reason, silent = end.silent.is_some();
                    "link-lost");
                if let Some(reader) = end.silent {
                    wait_on(&link, connected, reader);
                }
            }
            Err(err) if was_up => {
                was_up = false;
                log::warn!(peer:% = name, reason:% = err; "link-refused");
            }
            Err(_) => {}
        }
        link.lose_all();
        node.fleet.borrow_mut().on_link_lost(&name);
        tokio::time::sleep(node.jittered(REDIAL, 1.0)).await;
    }
}

/// How a connection ended.
struct End {
    reason: Option<io::Error>,
    /// The peer says nothing, and the connection may come back to life.
    silent: Option<Reader>,
}

async fn read_frames(
    node: &Rc<Node>,
    name: &str,
    mut reader: Reader,
    link: &Rc<Link>,
    connected: &Connected,
) -> End {
    let mut looks = tokio::time::interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Reading keeps what came in so far where it is interrupted.
        let frame = tokio::select! {
            biased;
            frame = reader.read_frame() => frame,
            _ = looks.tick() => {
                if connected.look(clock::now()) {
                    return End { reason: None, silent: Some(reader) };
                }
                continue;
            }
        };
        let kind = match frame {
            Ok(Some(Frame { kind })) => kind,
            ended => {
                return End {
                    reason: ended.err(),
                    silent: None,
                };
            }
        };
        let now = clock::now();
        connected.on_heard(now);
        match kind {
            Some(Kind::Ended(ended)) => connected.end(ended),
            kind => on_frame(node, name, link, now, kind),
        }
    }
}

/// Waits on for a peer that fell silent, with the requests that may not run again: it may only have
/// been paused, and their answers count until their deadlines. The others are tried elsewhere.
fn wait_on(link: &Rc<Link>, connected: Rc<Connected>, reader: Reader) {
    *link.current.borrow_mut() = None;
    connected.lose(|pending| !pending.is_patient);
    if connected.is_idle() {
        return;
    }
    link.silent.borrow_mut().push(Rc::clone(&connected));
    let link = Rc::clone(link);
    tokio::task::spawn_local(async move {
        // A request that is given up at its deadline leaves the connection, or this wait ends.
        let ended = timeout(WAIT_ON, read_endings(&connected, reader)).await;
        log::info!(ended = ended.is_ok(), left = connected.pending.borrow().len(); "silent-link-over");
        connected.lose(|_| true);
        link.silent
            .borrow_mut()
            .retain(|it| !Rc::ptr_eq(it, &connected));
    });
}

async fn read_endings(connected: &Connected, mut reader: Reader) {
    let mut signs = tokio::time::interval(SIGN_EVERY);
    while !connected.is_idle() {
        let frame = tokio::select! {
            biased;
            frame = reader.read_frame() => frame,
            _ = signs.tick() => {
                connected.send(Kind::Ping(false));
                continue;
            }
        };
        match frame {
            Ok(Some(Frame {
                kind: Some(Kind::Ended(ended)),
            })) => connected.end(ended),
            Ok(Some(_)) => {}
            Ok(None) | Err(_) => return,
        }
    }
}

fn on_frame(node: &Rc<Node>, name: &str, link: &Rc<Link>, now: Time, kind: Option<Kind>) {
    match kind {
        Some(Kind::Load(load)) => {
            if node.on_peer_revision(now, Revision(load.table_revision)) {
                link.send(Kind::AskTable(true));
            }
            node.fleet.borrow_mut().on_load(now, name, &load);
        }
        Some(Kind::Proof(proof)) => node.on_proof(now, &proof),
        Some(Kind::Down(down)) => tree::on_down(node, now, name, &down, |kind| link.send(kind)),
        Some(Kind::GiveTokens(given)) => node.quotas.receive(now, &given),
        Some(other) => news::on_frame(node, name, other, |kind| link.send(kind)),
        None => log::warn!(peer:% = name; "empty-frame"),
    }
}
