//! The live nodes, by their entries in the store.

use std::{collections::HashSet, rc::Rc};

use cassiashunt_adapter::{Change, Item, decode_listing, node_prefix, range};
use cassiashunt_mesh::prelude::*;
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError, watch::watch};
use crate::{clock, node::Node};

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(15);
/// Entries lapse while the store is away; a server that lives has its entry back in this time.
const MISSING: Duration = Duration::from_millis(2_500);
/// After changes, how long the next watch is held back so that many changes come in one answer: so
/// long for each node, since each change wakes the watches of all. Links tell the state of peers
/// that are known.
const GATHER_A_NODE: Duration = Duration::from_millis(20);
/// The least such time.
const LEAST_GATHER: Duration = Duration::from_millis(250);
/// The longest such time: a server that joins gets work within a few seconds.
const MOST_GATHER: Duration = Duration::from_millis(1_500);

/// Follows the entries.
pub(crate) async fn follow_directory(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut failures = 0;
    loop {
        match read_all(&node, &store).await {
            Ok(mut at) => {
                failures = 0;
                while let Ok(next) = watch_once(&node, &store, at).await {
                    let has_changed = next > at;
                    at = next;
                    if has_changed {
                        tokio::time::sleep(gather(&node)).await;
                    }
                }
            }
            Err(err) => {
                failures += 1;
                log::warn!(reason:% = err, failures = failures; "directory-unread");
            }
        }
        tokio::time::sleep(node.jittered(backoff(failures), 1.0)).await;
    }
}

fn gather(node: &Node) -> Duration {
    let nodes = u32::try_from(node.fleet.borrow().size()).unwrap_or(u32::MAX);
    let span = GATHER_A_NODE.saturating_mul(nodes);
    span.clamp(LEAST_GATHER, MOST_GATHER)
}

/// Drops the peers whose entries have been missing for long.
pub(crate) fn drop_missing(node: &Node) {
    node.fleet.borrow_mut().drop_missing(clock::now(), MISSING);
    node.set_limits();
}

async fn read_all(node: &Rc<Node>, store: &StoreClient) -> Result<Revision, CallError> {
    let mut seen = HashSet::new();
    let mut after: Option<String> = None;
    let mut first_at = None;
    loop {
        let call = range(node_prefix(), after.as_deref());
        let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
        let page = decode_listing(status, &body)?;
        // Pages are no snapshot: what changes while they are read is seen by a watch from the
        // first page's revision on.
        first_at.get_or_insert(page.at);
        after = page.items.last().map(|item| item.key.clone());
        for item in &page.items {
            seen.extend(take_in(node, item));
        }
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let known = node.fleet.borrow().names();
    let now = clock::now();
    for name in known.iter().filter(|name| !seen.contains(*name)) {
        node.fleet.borrow_mut().on_missing(now, name);
    }
    node.set_limits();
    Ok(first_at.unwrap_or_default())
}

async fn watch_once(
    node: &Rc<Node>,
    store: &StoreClient,
    after: Revision,
) -> Result<Revision, CallError> {
    let (changes, at) = watch(node, store, node_prefix(), after, WATCH).await?;
    for change in &changes {
        match change {
            Change::Put(item) => {
                take_in(node, item);
            }
            Change::Gone(key, _) => {
                let name = key.strip_prefix(node_prefix()).unwrap_or(key);
                if name == node.settings().name {
                    node.is_entry_lost.set(true);
                    node.announce.notify_one();
                } else {
                    node.fleet.borrow_mut().on_missing(clock::now(), name);
                }
            }
        }
    }
    node.set_limits();
    Ok(at)
}

/// Takes an entry in, and returns its node's name. An entry that can't be read names nobody.
fn take_in(node: &Rc<Node>, item: &Item) -> Option<String> {
    let name = item.key.strip_prefix(node_prefix())?;
    if name == node.settings().name {
        return None;
    }
    let announcement: Announcement = match serde_json::from_slice(&item.value) {
        Ok(announcement) => announcement,
        Err(err) => {
            log::warn!(key:% = item.key, reason:% = err; "entry-unreadable");
            return None;
        }
    };
    let mut fleet = node.fleet.borrow_mut();
    fleet.on_announced(node, name, announcement);
    Some(name.to_owned())
}
