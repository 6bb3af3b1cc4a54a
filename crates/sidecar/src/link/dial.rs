//! The dialling side: requests to a peer's backend server.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
};

use cassiashunt_mesh::{LinkWatch, Watched};
use cassiashunt_route::OwnerReport;
use cassiashunt_types::prelude::*;
use tokio::sync::oneshot;

use super::{
    AskTokens, Delegate, Frame, Hello, Kind, Outcome, WorkRequest, news,
    socket::{self, Reader, Sender},
};
use crate::{node::Node, tree};

/// The time between two tries to connect, up to twice as long.
const REDIAL: Duration = Duration::from_millis(150);
/// How often a link is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How a request ended, and the owner's report where it came with it.
type Ending = (Outcome, Option<OwnerReport>);

/// A connection to one peer, and the requests on it.
#[derive(Debug, Default)]
pub(crate) struct Link {
    tx: RefCell<Option<Sender>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Ending>>>,
    last: Cell<u64>,
    watch: Cell<LinkWatch>,
}

impl Link {
    /// Whether the peer can be asked.
    pub(crate) fn is_up(&self) -> bool {
        self.tx.borrow().is_some()
    }

    /// Whether nothing waits for the peer.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Sends a request; nothing where the connection is down or its queue is full, and then the
    /// peer never sees it.
    pub(crate) fn request(
        &self,
        mut request: WorkRequest,
    ) -> Option<(u64, oneshot::Receiver<Ending>)> {
        let id = self.last.get() + 1;
        self.last.set(id);
        request.id = id;
        let (tx, rx) = oneshot::channel();
        self.pending.borrow_mut().insert(id, tx);
        if self.send(Kind::Request(request)) {
            return Some((id, rx));
        }
        self.pending.borrow_mut().remove(&id);
        None
    }

    /// Tells the peer that a request is of no use any more.
    pub(crate) fn cancel(&self, id: u64) {
        if self.pending.borrow_mut().remove(&id).is_some() {
            self.send(Kind::Cancel(id));
        }
    }

    /// Looks at the connection: asks for a word where the peer says nothing. Whether it is lost.
    fn look(&self, now: Time) -> bool {
        let mut watch = self.watch.get();
        let step = watch.look(now, !self.is_idle());
        self.watch.set(watch);
        match step {
            Watched::Quiet => false,
            Watched::Ping { wants_word } => {
                self.send(Kind::Ping(wants_word));
                false
            }
            Watched::Lost => true,
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
        let tx = self.tx.borrow();
        tx.as_ref()
            .is_some_and(|tx| tx.try_send(Frame::from(kind)).is_ok())
    }

    fn end(&self, id: u64, outcome: Outcome, report: OwnerReport) {
        if let Some(tx) = self.pending.borrow_mut().remove(&id) {
            // Nobody waits where the request was given up at this moment.
            let _ = tx.send((outcome, Some(report)));
        }
    }

    /// Requests on a lost connection may have run.
    pub(crate) fn lose_all(&self) {
        *self.tx.borrow_mut() = None;
        let lost = std::mem::take(&mut *self.pending.borrow_mut());
        for (_, tx) in lost {
            // Nobody waits where the request was given up at this moment.
            let _ = tx.send((Outcome::Refused(Refusal::may_have_run(Reason::Lost)), None));
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
                *link.tx.borrow_mut() = Some(tx);
                was_up = true;
                log::info!(peer:% = name; "link-up");
                let err = read_frames(&node, &name, reader, &link).await.err();
                log::warn!(peer:% = name, reason:? = err; "link-lost");
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

async fn read_frames(
    node: &Rc<Node>,
    name: &str,
    mut reader: Reader,
    link: &Rc<Link>,
) -> io::Result<()> {
    link.watch.set(LinkWatch::new(crate::clock::now()));
    let mut looks = tokio::time::interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        // Reading keeps what came in so far where it is interrupted.
        let frame = tokio::select! {
            biased;
            frame = reader.read_frame() => frame?,
            _ = looks.tick() => {
                if link.look(crate::clock::now()) {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                continue;
            }
        };
        let Some(Frame { kind }) = frame else {
            return Ok(());
        };
        let now = crate::clock::now();
        let mut watch = link.watch.get();
        watch.on_heard(now);
        link.watch.set(watch);
        on_frame(node, name, link, now, kind);
    }
}

fn on_frame(node: &Rc<Node>, name: &str, link: &Rc<Link>, now: Time, kind: Option<Kind>) {
    match kind {
        Some(Kind::Ended(ended)) => {
            let report = OwnerReport::from_bits(ended.report);
            link.end(ended.id, Outcome::from_ended(ended), report);
        }
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
