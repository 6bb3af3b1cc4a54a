//! This node's own entry in the store, under its lease.

use std::rc::Rc;

use cassiashunt_adapter::{
    Item, TxnOutcome, decode_lease, decode_txn, delete, new_lease, node_key, renew_lease, txn,
};
use cassiashunt_mesh::{StoreRevision, prelude::*};
use cassiashunt_types::prelude::*;
use tokio::time::timeout;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError};
use crate::{clock, node::Node};

/// The lease of the entry. Links detect at once which nodes are alive, so it only bounds how long a
/// node that did not stop gracefully is dialled.
const ENTRY_LEASE: Duration = Duration::from_secs(6);
/// The time between two renewals, short enough that two may fail. Their answers also show that this
/// node can reach the store, which must be checked more often than keys may go without proof.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// The shortest time between two writes of an entry that another writer keeps replacing, such as a second
/// node of this name.
const REWRITE_INTERVAL: Duration = Duration::from_secs(1);
/// A write that was on its way when the node was asked to stop makes the first try fail.
const MAX_WITHDRAWAL_TRIES: usize = 3;
/// How long the first entry waits for the server's first heartbeat; servers send one every 1.5 s.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// The known state of this node's entry, in one era of the store.
#[derive(Default)]
struct OwnEntry {
    era: u64,
    lease: Option<u64>,
    /// The entry's revision; `None` before the first write and after a failed one.
    revision: Option<Revision>,
    written: Option<Announcement>,
    /// When the entry was last found lost, and was to be written again.
    lost_at: Option<Time>,
}

impl OwnEntry {
    /// Forgets what was written in another era: a restore may have lost it. Returns whether the
    /// known state is of this era.
    fn enter_era(&mut self, era: u64) -> bool {
        let is_same = self.era == era;
        if !is_same {
            *self = Self {
                era,
                ..Self::default()
            };
        }
        is_same
    }
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
                if node.is_entry_lost.get() {
                    REWRITE_INTERVAL
                } else {
                    LEASE_RENEWAL_INTERVAL
                }
            }
            Err(err) => {
                failures += 1;
                log::info!(reason:% = err, failures = failures; "announcement-failed");
                node.jittered(backoff(failures), 1.0)
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = node.announce.notified() => {}
            () = store.restored() => {}
        }
    }
}

/// Waits for the server's first heartbeat, so that the entry need not be written twice.
async fn wait_for_first_heartbeat(node: &Node) {
    if !node.owner.has_server() {
        // The next step is the same whether notified or timed out.
        let _ = timeout(FIRST_HEARTBEAT_TIMEOUT, node.announce.notified()).await;
    }
}

/// Removes the entry at a graceful stop, if it is still that of this start. Its lease is left to
/// lapse: the store may have been restored and have granted the same id to another node.
pub(crate) async fn withdraw(node: &Node, store: &StoreClient) -> Result<(), CallError> {
    let key = node_key(&node.settings().name);
    let written = node.own_entry.borrow().0;
    // A conflict returns the current revision.
    let mut revision = if written.era == store.era() {
        written.revision
    } else {
        Revision(0)
    };
    for _ in 0..MAX_WITHDRAWAL_TRIES {
        let answer = store.call(&delete(&key, revision), CALL_TIMEOUT).await?;
        let TxnOutcome::Conflict(items) = decode_txn(answer.status, &answer.body)? else {
            return Ok(());
        };
        let own = items.into_iter().find(|it| it.key == key);
        let Some(own) = own.filter(|it| is_of_this_start(node, it)) else {
            return Ok(());
        };
        revision = own.revision;
    }
    Err(CallError::Conflict)
}

fn is_of_this_start(node: &Node, item: &Item) -> bool {
    let entry = serde_json::from_slice::<Announcement>(&item.value);
    entry.is_ok_and(|it| it.incarnation == node.incarnation)
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
    entry.enter_era(store.era());
    let renewed = match entry.lease {
        Some(lease) => renew(store, entry, lease).await?.then_some(lease),
        None => None,
    };
    let lease = match renewed {
        Some(lease) => lease,
        None => {
            entry.written = None;
            wait_for_first_heartbeat(node).await;
            let call = new_lease(
                ENTRY_LEASE.max(Duration::from_millis(node.settings().store.min_lease_ms)),
            );
            let answer = store.call(&call, CALL_TIMEOUT).await?;
            let (lease, _) = decode_lease(answer.status, &answer.body)?;
            entry.enter_era(answer.era);
            entry.lease = Some(lease);
            lease
        }
    };
    let now = clock::now();
    let is_due = entry
        .lost_at
        .is_none_or(|it| now.since(it) >= REWRITE_INTERVAL);
    if is_due && node.is_entry_lost.take() {
        entry.written = None;
        entry.lost_at = Some(now);
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

/// Renews the lease. Returns `false` if it has ended, or if the store has been restored since it was
/// granted.
async fn renew(store: &StoreClient, entry: &mut OwnEntry, lease: u64) -> Result<bool, CallError> {
    let answer = store.call(&renew_lease(lease), CALL_TIMEOUT).await?;
    match answer.status {
        200 => Ok(entry.enter_era(answer.era)),
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
    let answer = store.call(&call, CALL_TIMEOUT).await?;
    let outcome = decode_txn(answer.status, &answer.body)?;
    if !entry.enter_era(answer.era) {
        // The entry may now hang on a lease of another node.
        node.announce.notify_one();
        return Ok(());
    }
    match outcome {
        TxnOutcome::Committed(revision) => {
            entry.revision = Some(revision);
            node.own_entry.borrow_mut().0 = StoreRevision::new(entry.era, revision);
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
