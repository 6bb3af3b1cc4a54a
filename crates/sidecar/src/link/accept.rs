//! The accepting side of links: serves peers' requests to this node's backend server.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc};

use cassiashunt_types::prelude::*;
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::timeout,
};

use super::{
    Frame, Kind, Outcome,
    socket::{self, Reader, Sender},
    state_sync,
};
use crate::{accept::accept, clock, node::Node, tree};

/// A dialler that sends nothing for this long counts as disconnected, and its requests are
/// cancelled. It sends something every second; a dialler that was only paused resumes within this
/// time.
const DIALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// The requests of one peer, by the ids that it gave them.
type Jobs = Rc<RefCell<HashMap<u64, RequestId>>>;

/// Accepts peers' connections until they are to be closed, and returns when all are.
pub(crate) async fn accept_peers(node: Rc<Node>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            stream = accept(&listener) => {
                connections.spawn_local(serve_peer(Rc::clone(&node), stream));
            }
            Some(_) = connections.join_next() => {}
            () = node.closing_links.cancelled() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    node.links_closed.notify_one();
}

/// Closes the connections of all peers once the outcomes of their requests are delivered, or leaves
/// them after `limit`. Requests that still run are cancelled; they may have run.
pub(crate) async fn close_accepted(node: &Node, limit: Duration) {
    node.closing_links.cancel();
    let closed = timeout(limit, node.links_closed.notified()).await;
    if closed.is_err() {
        log::warn!(limit_ms = clock::millis(limit); "links-not-closed");
    }
}

async fn serve_peer(node: Rc<Node>, stream: TcpStream) {
    if let Err(err) = socket::prepare(&stream) {
        log::warn!(reason:% = err; "peer-socket");
        return;
    }
    let (mut reader, tx) = socket::split(stream, &node.memory);
    let jobs = Jobs::default();
    let mut outcomes = JoinSet::new();
    node.load_recipients.borrow_mut().push(tx.clone());
    // The peer knows this node by an entry, which another writer may have made up.
    let _ = tx.try_send(Kind::Hello(node.hello()).into());
    // The first load report goes out at once, so that the peer can route here without a wait.
    let _ = tx.try_send(Kind::Load(node.load()).into());
    let end = tokio::select! {
        end = read_frames(&node, &mut reader, &tx, &jobs, &mut outcomes) => end,
        () = node.closing_links.cancelled() => {
            close(&node, reader, tx, &jobs, outcomes).await;
            return;
        }
    };
    if let Err(err) = end {
        log::info!(reason:% = err; "peer-lost");
    }
    // The peer can no longer receive outcomes.
    cancel_all(&node, jobs.borrow_mut().drain().map(|(_, job)| job));
}

/// Sends the outcomes of all requests that were read, and closes the connection. Nothing is read
/// from the peer meanwhile, so each request either has its outcome before `GoAway` or never ran.
async fn close(
    node: &Rc<Node>,
    reader: Reader,
    tx: Sender,
    jobs: &Jobs,
    mut outcomes: JoinSet<()>,
) {
    // They remain in `jobs`, so that the peer is told of their end.
    let unfinished: Vec<_> = jobs.borrow().values().copied().collect();
    cancel_all(node, unfinished);
    while outcomes.join_next().await.is_some() {}
    // Fails once the connection is closed.
    let _ = tx.send(Kind::GoAway(true).into()).await;
    reader.finish().await;
}

fn cancel_all(node: &Rc<Node>, jobs: impl IntoIterator<Item = RequestId>) {
    for job in jobs {
        node.owner.cancel(node, job);
    }
}

async fn read_frames(
    node: &Rc<Node>,
    reader: &mut Reader,
    tx: &Sender,
    jobs: &Jobs,
    outcomes: &mut JoinSet<()>,
) -> io::Result<()> {
    let mut name = String::new();
    loop {
        let Some(Frame { kind }) = reader.next(DIALLER_TIMEOUT).await? else {
            return Ok(());
        };
        match kind {
            Some(Kind::Hello(hello)) => name = hello.name,
            Some(Kind::Ping(false)) => {}
            Some(Kind::Up(up)) => tree::on_up(node, &name, tx, &up),
            Some(Kind::Ping(true)) => {
                // Dropped when the queue is full: the peer is not reading.
                let _ = tx.try_send(Kind::Load(node.load()).into());
            }
            Some(Kind::Request(request)) => {
                let id = request.id;
                let (job, outcome) = node.owner.submit(node, request);
                jobs.borrow_mut().insert(id, job);
                let (node, tx, jobs) = (Rc::clone(node), tx.clone(), Rc::clone(jobs));
                while outcomes.try_join_next().is_some() {}
                outcomes.spawn_local(async move {
                    let lost = Outcome::Refused(Refusal::may_have_run(Reason::Lost));
                    let outcome = outcome.await.unwrap_or(lost);
                    let is_wanted = jobs.borrow_mut().remove(&id).is_some();
                    if is_wanted {
                        let ended = outcome.into_ended(id, node.owner.report_state().to_bits());
                        // Fails once the connection is closed. A peer that does not read is
                        // detected by the timeout on its messages.
                        let _ = tx.send(Kind::Ended(ended).into()).await;
                    }
                });
            }
            Some(Kind::Cancel(id)) => {
                // It remains in `jobs`, so that the peer is told whether it ran.
                let job = jobs.borrow().get(&id).copied();
                if let Some(job) = job {
                    node.owner.cancel(node, job);
                }
            }
            Some(Kind::Delegate(delegate)) => {
                let own = node.settings().name.clone();
                node.quotas.on_delegated(clock::now(), &own, &delegate);
            }
            Some(Kind::AskProof(asked_us)) => {
                if let Some(proof) = node.proof(clock::now(), asked_us) {
                    // A peer that gets no proof asks the store itself.
                    let _ = tx.try_send(Kind::Proof(proof).into());
                }
            }
            Some(Kind::AskTokens(ask)) => {
                let given = node.quotas.give(clock::now(), &ask);
                // A full queue loses the tokens, so the limit is never exceeded.
                let _ = tx.try_send(Kind::GiveTokens(given).into());
            }
            Some(other) => state_sync::on_frame(node, &name, other, |kind| {
                // A peer that gets no answer because its queue is full asks again.
                tx.try_send(kind.into()).is_ok()
            }),
            None => log::warn!(peer:% = name; "empty-frame"),
        }
    }
}
