//! This node's own entry in the store, under its lease.

use std::rc::Rc;

use cassiashunt_adapter::{
    Txn, decode_lease, decode_txn, end_lease, keep_lease, new_lease, node_key, txn,
};
use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;
use tokio::time::timeout;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError};
use crate::node::Node;

/// The lease of the entry: links tell at once who lives, so this bounds only how long a node that
/// never stopped properly is dialled.
const TTL: Duration = Duration::from_secs(6);
/// The time between two renewals: two of them may fail. Their answers also show that the store answers
/// this node, which has to be known more often than keys are out of touch.
const RENEW_EVERY: Duration = Duration::from_secs(2);
/// How long the first entry waits for the server's first word: the users' servers tell every 1.5 s.
const FIRST_WORD: Duration = Duration::from_secs(3);

/// What is known of the own entry.
#[derive(Default)]
struct Entry {
    lease: Option<u64>,
    /// The entry's revision; not known before the first writing, or after a failed one.
    revision: Option<Revision>,
    written: Option<Announcement>,
}

/// Keeps the entry written and its lease renewed.
pub(crate) async fn announce(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut entry = Entry::default();
    let mut failures = 0;
    loop {
        let kept = keep(&node, &store, &mut entry).await;
        let span = match kept {
            Ok(()) => {
                failures = 0;
                RENEW_EVERY
            }
            Err(err) => {
                failures += 1;
                log::info!(reason:% = err, failures = failures; "announcement-failed");
                node.jittered(backoff(failures), 1.0)
            }
        };
        // Both ends of the wait lead to the same next step.
        let _ = timeout(span, node.announce.notified()).await;
    }
}

/// Waits for the server's first word, so that the entry need not be written again.
async fn wait_for_first_word(node: &Node) {
    if node.owner.service().is_none() {
        // Both ends of the wait lead to the same next step.
        let _ = timeout(FIRST_WORD, node.announce.notified()).await;
    }
}

/// Takes the entry back at a planned stop.
pub(crate) async fn withdraw(store: &StoreClient, lease: u64) -> Result<(), CallError> {
    store
        .call(&end_lease(lease), CALL_TIMEOUT)
        .await
        .map(|_| ())
}

async fn keep(node: &Rc<Node>, store: &StoreClient, entry: &mut Entry) -> Result<(), CallError> {
    if node.is_stopping() {
        // Links tell at once; the entry goes with its lease.
        return Ok(());
    }
    let lease = match entry.lease {
        Some(lease) if renew(store, lease).await? => lease,
        _ => {
            entry.written = None;
            wait_for_first_word(node).await;
            let call =
                new_lease(TTL.max(Duration::from_millis(node.settings().store.min_lease_ms)));
            let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
            let (lease, _) = decode_lease(status, &body)?;
            entry.lease = Some(lease);
            node.lease.set(Some(lease));
            lease
        }
    };
    if node.is_entry_lost.take() {
        entry.written = None;
    }
    let announcement = node.announcement();
    let is_written = |written: &Announcement| {
        // A server that has become warm is no news: its owner tells how loaded it is.
        let is_cold = written.is_cold;
        *written
            == Announcement {
                is_cold,
                ..announcement.clone()
            }
    };
    if !entry.written.as_ref().is_some_and(is_written) {
        write(node, store, entry, lease, announcement).await?;
    }
    Ok(())
}

async fn renew(store: &StoreClient, lease: u64) -> Result<bool, CallError> {
    let (status, _) = store.call(&keep_lease(lease), CALL_TIMEOUT).await?;
    match status {
        200 => Ok(true),
        404 => Ok(false),
        other => Err(cassiashunt_adapter::StoreError::Status(other).into()),
    }
}

/// Writes the entry over the one that is there. The condition keeps a late write of an earlier
/// start of this node from coming after it.
async fn write(
    node: &Rc<Node>,
    store: &StoreClient,
    entry: &mut Entry,
    lease: u64,
    announcement: Announcement,
) -> Result<(), CallError> {
    let key = node_key(&node.settings().name);
    // A wrong revision brings the right one.
    let revision = entry.revision.take().unwrap_or_default();
    let value = serde_json::to_vec(&announcement).unwrap_or_default();
    let call = txn(&[(&key, revision)], &[(&key, &value, lease)]);
    let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
    match decode_txn(status, &body)? {
        Txn::Done(revision) => {
            entry.revision = Some(revision);
            entry.written = Some(announcement);
        }
        Txn::Conflict(items) => {
            let found = items.into_iter().find(|item| item.key == key);
            entry.revision = Some(found.map_or(Revision(0), |item| item.revision));
            node.announce.notify_one();
        }
        Txn::NoLease => entry.lease = None,
    }
    Ok(())
}
