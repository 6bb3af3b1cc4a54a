//! The accepting side of links: serves peers' requests to this node's backend server.

use std::{cell::RefCell, collections::HashMap, io, rc::Rc};

use cassiashunt_types::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use super::{
    Frame, Kind, Outcome,
    socket::{self, Reader, Sender},
    state_sync,
};
use crate::{accept::accept, node::Node, tree};

/// A dialler that sends nothing for this long counts as disconnected, and its requests are
/// cancelled. It sends something every second; a dialler that was only paused resumes within this
/// time.
const DIALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// The requests of one peer, by the ids that it gave them.
type Jobs = Rc<RefCell<HashMap<u64, RequestId>>>;

/// Accepts peers' connections.
pub(crate) async fn accept_peers(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        tokio::task::spawn_local(serve_peer(Rc::clone(&node), stream));
    }
}

async fn serve_peer(node: Rc<Node>, stream: TcpStream) {
    if let Err(err) = socket::prepare(&stream) {
        log::warn!(reason:% = err; "peer-socket");
        return;
    }
    let (reader, tx) = socket::split(stream);
    let jobs = Jobs::default();
    node.load_recipients.borrow_mut().push(tx.clone());
    // The first load report goes out at once, so that the peer can route here without a wait.
    let _ = tx.try_send(Kind::Load(node.load()).into());
    let end = read_frames(&node, reader, &tx, &jobs).await;
    if let Err(err) = end {
        log::info!(reason:% = err; "peer-lost");
    }
    // The peer can no longer receive outcomes.
    let orphaned: Vec<_> = jobs.borrow_mut().drain().map(|(_, job)| job).collect();
    for job in orphaned {
        node.owner.cancel(&node, job);
    }
}

async fn read_frames(
    node: &Rc<Node>,
    mut reader: Reader,
    tx: &Sender,
    jobs: &Jobs,
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
                tokio::task::spawn_local(async move {
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
                let job = jobs.borrow_mut().remove(&id);
                if let Some(job) = job {
                    node.owner.cancel(node, job);
                }
            }
            Some(Kind::Delegate(delegate)) => {
                let own = node.settings().name.clone();
                node.quotas
                    .on_delegated(crate::clock::now(), &own, &delegate);
            }
            Some(Kind::AskProof(asked_us)) => {
                if let Some(proof) = node.proof(crate::clock::now(), asked_us) {
                    // A peer that gets no proof asks the store itself.
                    let _ = tx.try_send(Kind::Proof(proof).into());
                }
            }
            Some(Kind::AskTokens(ask)) => {
                let given = node.quotas.give(crate::clock::now(), &ask);
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
