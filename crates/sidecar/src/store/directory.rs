//! Follows the nodes' entries in the store.

use std::rc::Rc;

use cassiashunt_adapter::{Change, Item, decode_listing, node_prefix, range};
use cassiashunt_mesh::{DirectoryUpdate, EntryChange, StoreRevision, prelude::*};
use cassiashunt_types::prelude::*;
use tokio::time::timeout;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError, watch::watch};
use crate::{
    clock,
    node::Node,
    peer_links,
    tree::{self, is_watcher},
};

/// How long a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a node without an entry is kept. Entries expire during an outage of the store; a live
/// node has written its entry again within this time.
const MISSING_ENTRY_GRACE: Duration = Duration::from_millis(2_500);
/// The delay of the next watch after changes, for each node, so that one answer holds many changes:
/// during a rolling restart entries change all the time.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_millis(10);
/// The shortest delay of the next watch after changes.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(250);
/// The longest delay of the next watch after changes, so that a server that joins gets requests
/// within a few seconds.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(1_500);
/// The time between two checks by which a node detects that it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the entries at the start, and then watches them while this node is a watcher. Other nodes
/// receive changes from the watchers.
pub(crate) async fn follow_directory(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut failures = 0;
    loop {
        match read_all(&node, &store).await {
            Ok(()) => {
                failures = 0;
                follow_changes(&node, &store).await;
            }
            Err(err) => {
                failures += 1;
                log::warn!(reason:% = err, failures = failures; "directory-unread");
            }
        }
        let delay = node.jittered(backoff(failures), 1.0);
        // The next step is the same whether the store is known to answer again or not.
        let _ = timeout(delay, node.store_regained.notified()).await;
    }
}

/// Watches the entries until a watch fails.
async fn follow_changes(node: &Rc<Node>, store: &StoreClient) {
    loop {
        if !is_watcher(node) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match watch_once(node, store).await {
            Ok(true) => tokio::time::sleep(batch_delay(node)).await,
            Ok(false) => {}
            Err(_) => return,
        }
    }
}

fn batch_delay(node: &Node) -> Duration {
    let nodes = u32::try_from(node.fleet.borrow().size()).unwrap_or(u32::MAX);
    let span = BATCH_DELAY_PER_NODE.saturating_mul(nodes);
    span.clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
}

/// Drops the peers whose entries have been missing for `MISSING_ENTRY_GRACE`.
pub(crate) fn drop_missing(node: &Rc<Node>) {
    let dropped = node
        .fleet
        .borrow_mut()
        .drop_missing(clock::now(), MISSING_ENTRY_GRACE);
    if dropped.is_empty() {
        return;
    }
    for name in dropped {
        // An entry that could not be the peer's while that answered may be that of its successor.
        let value = node.directory.borrow().entry(&name).map(<[u8]>::to_vec);
        if let Some(value) = value {
            on_put(node, &name, &value);
        }
    }
    tree::set_nodes(node);
    node.set_limits();
    peer_links::update_links(node);
}

/// Counts the peers anew, of which some may not be nodes.
pub(crate) fn count_peers(node: &Node) {
    let changes = node.fleet.borrow_mut().update_counted(clock::now());
    for change in &changes {
        if let Some(suppressed) = node.admit_line("peer-counted") {
            log::info!(peer:% = change.name, address:% = change.address,
                counted = change.is_counted, suppressed = suppressed; "peer-counted");
        }
    }
    if !changes.is_empty() {
        tree::set_nodes(node);
    }
}

async fn read_all(node: &Rc<Node>, store: &StoreClient) -> Result<(), CallError> {
    let mut changes = Vec::new();
    let mut after: Option<String> = None;
    let mut first_at = None;
    loop {
        let call = range(node_prefix(), after.as_deref());
        let answer = store.call(&call, CALL_TIMEOUT).await?;
        let page = decode_listing(answer.status, &answer.body)?;
        // Pages are not a consistent snapshot; a watch from the first page's revision delivers the
        // changes made while they are read.
        let at = *first_at.get_or_insert(StoreRevision::new(answer.era, page.at));
        if at.era != answer.era {
            return Err(CallError::Restored);
        }
        changes.extend(page.items.into_iter().filter_map(put_change));
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    let update = DirectoryUpdate {
        revision: first_at.unwrap_or_default(),
        is_full: true,
        changes,
    };
    apply_entries(node, update);
    node.update_fleet_count(|count| count.on_entries(clock::now()));
    Ok(())
}

/// Waits once for changes and applies them. Returns whether there were any.
async fn watch_once(node: &Rc<Node>, store: &StoreClient) -> Result<bool, CallError> {
    let after = node.directory.borrow().revision();
    let (changes, at) = watch(node, store, node_prefix(), after, WATCH_TIMEOUT).await?;
    let changes = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => put_change(item),
        Change::Deleted(key, revision) => {
            let name = key.strip_prefix(node_prefix()).unwrap_or(&key);
            Some(EntryChange {
                name: name.to_owned(),
                revision,
                value: None,
            })
        }
    });
    let changes: Vec<_> = changes.collect();
    let has_changed = !changes.is_empty();
    let update = DirectoryUpdate {
        revision: at,
        is_full: false,
        changes,
    };
    apply_entries(node, update);
    Ok(has_changed)
}

fn put_change(item: Item) -> Option<EntryChange> {
    let name = item.key.strip_prefix(node_prefix())?;
    Some(EntryChange {
        name: name.to_owned(),
        revision: item.revision,
        value: Some(item.value),
    })
}

/// Applies entries that a peer knows.
pub(crate) fn apply_peer_entries(node: &Rc<Node>, update: DirectoryUpdate) {
    let is_full = update.is_full;
    apply_entries(node, update);
    if is_full {
        node.update_fleet_count(|count| count.on_entries_of_peer(clock::now()));
    }
}

/// Applies entries that this node or another read from the store.
fn apply_entries(node: &Rc<Node>, update: DirectoryUpdate) {
    node.on_peer_era(update.revision.era);
    let era = update.revision.era;
    let before = node.directory.borrow().revision();
    let changes = node.directory.borrow_mut().on_update(update);
    for change in &changes {
        match &change.value {
            Some(value) if change.name == node.settings().name => {
                on_own_put(node, StoreRevision::new(era, change.revision), value);
            }
            Some(value) => on_put(node, &change.name, value),
            None => on_removed(node, &change.name),
        }
    }
    if !changes.is_empty() {
        tree::set_nodes(node);
        node.set_limits();
        peer_links::update_links(node);
    }
    if node.directory.borrow().revision() > before {
        node.report_now.notify_one();
    }
}

/// Handles the removal of an entry. Its node may still be alive, because entries expire during an
/// outage of the store.
fn on_removed(node: &Rc<Node>, name: &str) {
    if name == node.settings().name {
        node.is_entry_lost.set(true);
        node.announce.notify_one();
    } else {
        node.fleet.borrow_mut().on_missing(clock::now(), name);
    }
}

/// Handles a write of this node's own entry, which is written again if it was not this node's.
fn on_own_put(node: &Rc<Node>, at: StoreRevision, value: &[u8]) {
    let is_replaced = {
        let own_entry = node.own_entry.borrow();
        let (own_at, own_value) = &*own_entry;
        // The entry of an earlier start is known before the first write.
        !own_value.is_empty() && at > *own_at && value != own_value
    };
    if is_replaced {
        if let Some(suppressed) = node.admit_line("entry-replaced") {
            log::warn!(era = at.era, revision = at.revision.0, suppressed = suppressed;
                "entry-replaced");
        }
        node.is_entry_lost.set(true);
        node.announce.notify_one();
    }
}

/// Handles a written entry. One that names no peer counts as missing: another writer has replaced
/// the peer's entry, and the peer may still be alive.
fn on_put(node: &Rc<Node>, name: &str, value: &[u8]) {
    let mut fleet = node.fleet.borrow_mut();
    let announcement = match serde_json::from_slice::<Announcement>(value) {
        Ok(announcement) => announcement,
        Err(err) => {
            if let Some(suppressed) = node.admit_line("entry-unreadable") {
                log::warn!(name:% = name, suppressed = suppressed, reason:% = err;
                    "entry-unreadable");
            }
            return fleet.on_missing(clock::now(), name);
        }
    };
    let own_address = node.settings().addresses.peers;
    match announcement.peer_address() {
        Some(address)
            if address != own_address
                && !fleet.contradicts(name, &announcement)
                && !fleet.is_elsewhere(name, &announcement) =>
        {
            fleet.on_announced(name, announcement, address);
        }
        _ => {
            if let Some(suppressed) = node.admit_line("odd-announcement") {
                log::warn!(peer:% = name, address:% = announcement.address,
                    service:% = announcement.service, suppressed = suppressed; "odd-announcement");
            }
            fleet.on_missing(clock::now(), name);
        }
    }
}
