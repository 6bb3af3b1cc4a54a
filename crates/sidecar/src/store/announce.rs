//! This node's own entry in the store, under its lease.

use std::rc::Rc;

use cassiashunt_adapter::{
    Txn, decode_item, decode_lease, decode_txn, end_lease, get, keep_lease, new_lease, node_key,
    txn,
};
use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;
use tokio::time::timeout;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError};
use crate::node::Node;

/// The lease of the entry: links tell at once who lives, so this bounds only how long a node that
/// never stopped properly is dialled.
const TTL: Duration = Duration::from_secs(6);
/// The time between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(2);

/// What is known of the own entry.
#[derive(Default)]
struct Entry {
    lease: Option<u64>,
    /// The entry's revision; not known before the first reading.
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

/// Takes the entry back at a planned stop.
pub(crate) async fn withdraw(store: &StoreClient, lease: u64) -> Result<(), CallError> {
    store
        .call(&end_lease(lease), CALL_TIMEOUT)
        .await
        .map(|_| ())
}

async fn keep(node: &Rc<Node>, store: &StoreClient, entry: &mut Entry) -> Result<(), CallError> {
    if node.is_stopping() && node.lease.get().is_none() {
        return Ok(());
    }
    let lease = match entry.lease {
        Some(lease) if renew(store, lease).await? => lease,
        _ => {
            entry.written = None;
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
    if entry.written.as_ref() != Some(&announcement) {
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
    let revision = match entry.revision {
        Some(revision) => revision,
        None => {
            let (status, body) = store.call(&get(&key), CALL_TIMEOUT).await?;
            let item = decode_item(status, &body)?;
            item.map_or(Revision(0), |item| item.revision)
        }
    };
    entry.revision = None;
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
