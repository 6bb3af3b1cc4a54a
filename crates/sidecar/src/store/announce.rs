//! This node's own entry in the store, under its lease.

use std::rc::Rc;

use cassiashunt_adapter::{
    TxnOutcome, decode_lease, decode_txn, end_lease, new_lease, node_key, renew_lease, txn,
};
use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;
use tokio::time::timeout;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError};
use crate::node::Node;

/// The lease of the entry. Links detect at once which nodes are alive, so it only bounds how long a
/// node that did not stop gracefully is dialled.
const ENTRY_LEASE: Duration = Duration::from_secs(6);
/// The time between two renewals, short enough that two may fail. Their answers also show that this
/// node can reach the store, which must be checked more often than keys may go without proof.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// How long the first entry waits for the server's first heartbeat; servers send one every 1.5 s.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// The known state of this node's entry.
#[derive(Default)]
struct OwnEntry {
    lease: Option<u64>,
    /// The entry's revision; `None` before the first write and after a failed one.
    revision: Option<Revision>,
    written: Option<Announcement>,
}

/// Keeps the entry written and its lease renewed.
pub(crate) async fn announce(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut entry = OwnEntry::default();
    let mut failures = 0;
    loop {
        let result = keep_entry(&node, &store, &mut entry).await;
        let delay = match result {
            Ok(()) => {
                failures = 0;
                LEASE_RENEWAL_INTERVAL
            }
            Err(err) => {
                failures += 1;
                log::info!(reason:% = err, failures = failures; "announcement-failed");
                node.jittered(backoff(failures), 1.0)
            }
        };
        // The next step is the same whether notified or timed out.
        let _ = timeout(delay, node.announce.notified()).await;
    }
}

/// Waits for the server's first heartbeat, so that the entry need not be written twice.
async fn wait_for_first_heartbeat(node: &Node) {
    if node.owner.service().is_none() {
        // The next step is the same whether notified or timed out.
        let _ = timeout(FIRST_HEARTBEAT_TIMEOUT, node.announce.notified()).await;
    }
}

/// Removes the entry at a graceful stop by ending its lease.
pub(crate) async fn withdraw(store: &StoreClient, lease: u64) -> Result<(), CallError> {
    store
        .call(&end_lease(lease), CALL_TIMEOUT)
        .await
        .map(|_| ())
}

async fn keep_entry(
    node: &Rc<Node>,
    store: &StoreClient,
    entry: &mut OwnEntry,
) -> Result<(), CallError> {
    if node.is_stopping() {
        // Peers learn of the stop over their links; the entry is removed with its lease.
        return Ok(());
    }
    let lease = match entry.lease {
        Some(lease) if renew(store, lease).await? => lease,
        _ => {
            entry.written = None;
            wait_for_first_heartbeat(node).await;
            let call = new_lease(
                ENTRY_LEASE.max(Duration::from_millis(node.settings().store.min_lease_ms)),
            );
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
        // Warming up is not announced: the load reports of the owner reflect it.
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
    let (status, _) = store.call(&renew_lease(lease), CALL_TIMEOUT).await?;
    match status {
        200 => Ok(true),
        404 => Ok(false),
        other => Err(cassiashunt_adapter::StoreError::Status(other).into()),
    }
}

/// Writes the entry over the existing one. The condition on the revision rejects late writes of an
/// earlier start of this node.
async fn write(
    node: &Rc<Node>,
    store: &StoreClient,
    entry: &mut OwnEntry,
    lease: u64,
    announcement: Announcement,
) -> Result<(), CallError> {
    let key = node_key(&node.settings().name);
    // A conflict returns the current revision.
    let revision = entry.revision.take().unwrap_or_default();
    let value = serde_json::to_vec(&announcement).unwrap_or_default();
    let call = txn(&[(&key, revision)], &[(&key, &value, lease)]);
    node.own_entry.borrow_mut().1 = value;
    let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
    match decode_txn(status, &body)? {
        TxnOutcome::Committed(revision) => {
            entry.revision = Some(revision);
            node.own_entry.borrow_mut().0 = revision;
            entry.written = Some(announcement);
        }
        TxnOutcome::Conflict(items) => {
            let found = items.into_iter().find(|item| item.key == key);
            entry.revision = Some(found.map_or(Revision(0), |item| item.revision));
            node.announce.notify_one();
        }
        TxnOutcome::NoLease => entry.lease = None,
    }
    Ok(())
}
