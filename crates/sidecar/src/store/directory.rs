//! The live nodes, by their entries in the store.

use std::rc::Rc;

use cassiashunt_adapter::{Change, Item, decode_listing, node_prefix, range};
use cassiashunt_mesh::{DirectoryUpdate, EntryChange, prelude::*};
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError, watch::watch};
use crate::{
    clock,
    node::Node,
    tree::{self, is_watcher},
    wiring,
};

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(15);
/// Entries lapse while the store is away; a server that lives has its entry back in this time.
const MISSING: Duration = Duration::from_millis(2_500);
/// After changes, how long the next watch is held back so that many changes come in one answer: so
/// long for each node, since a rolling restart changes entries all the time.
const GATHER_A_NODE: Duration = Duration::from_millis(10);
/// The least such time.
const LEAST_GATHER: Duration = Duration::from_millis(250);
/// The longest such time: a server that joins gets work within a few seconds.
const MOST_GATHER: Duration = Duration::from_millis(1_500);
/// How often a node that does not watch looks whether it is to.
const ROLE_CHECK: Duration = Duration::from_millis(500);

/// Reads the entries at the start, and follows them where this node does so for others. The others
/// hear of changes from those.
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
        tokio::time::sleep(node.jittered(backoff(failures), 1.0)).await;
    }
}

/// Follows the entries until a watch fails.
async fn follow_changes(node: &Rc<Node>, store: &StoreClient) {
    loop {
        if !is_watcher(node) {
            tokio::time::sleep(ROLE_CHECK).await;
            continue;
        }
        match watch_once(node, store).await {
            Ok(true) => tokio::time::sleep(gather(node)).await,
            Ok(false) => {}
            Err(_) => return,
        }
    }
}

fn gather(node: &Node) -> Duration {
    let nodes = u32::try_from(node.fleet.borrow().size()).unwrap_or(u32::MAX);
    let span = GATHER_A_NODE.saturating_mul(nodes);
    span.clamp(LEAST_GATHER, MOST_GATHER)
}

/// Drops the peers whose entries have been missing for long.
pub(crate) fn drop_missing(node: &Node) {
    let has_dropped = node.fleet.borrow_mut().drop_missing(clock::now(), MISSING);
    if has_dropped {
        tree::set_nodes(node);
        node.set_limits();
    }
}

async fn read_all(node: &Rc<Node>, store: &StoreClient) -> Result<(), CallError> {
    let mut changes = Vec::new();
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
        changes.extend(page.items.into_iter().filter_map(put));
        if !page.has_more || after.is_none() {
            break;
        }
    }
    let news = DirectoryUpdate {
        revision: first_at.unwrap_or_default(),
        is_full: true,
        changes,
    };
    take_in_news(node, news);
    Ok(())
}

/// Whether anything changed.
async fn watch_once(node: &Rc<Node>, store: &StoreClient) -> Result<bool, CallError> {
    let after = node.directory.borrow().revision();
    let (changes, at) = watch(node, store, node_prefix(), after, WATCH).await?;
    let changes = changes.into_iter().filter_map(|change| match change {
        Change::Put(item) => put(item),
        Change::Gone(key, revision) => {
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
    let news = DirectoryUpdate {
        revision: at,
        is_full: false,
        changes,
    };
    take_in_news(node, news);
    Ok(has_changed)
}

fn put(item: Item) -> Option<EntryChange> {
    let name = item.key.strip_prefix(node_prefix())?;
    Some(EntryChange {
        name: name.to_owned(),
        revision: item.revision,
        value: Some(item.value),
    })
}

/// Takes in entries that were read in the store, by this node or another.
pub(crate) fn take_in_news(node: &Rc<Node>, news: DirectoryUpdate) {
    let before = node.directory.borrow().revision();
    let changes = node.directory.borrow_mut().on_update(news);
    for change in &changes {
        match &change.value {
            Some(value) => on_put(node, &change.name, value),
            None => on_gone(node, &change.name),
        }
    }
    if !changes.is_empty() {
        tree::set_nodes(node);
        node.set_limits();
        wiring::rewire(node);
    }
    if node.directory.borrow().revision() > before {
        node.tell_now.notify_one();
    }
}

/// Takes in that an entry is gone. Its node may live: entries lapse while the store is away.
fn on_gone(node: &Rc<Node>, name: &str) {
    if name == node.settings().name {
        node.is_entry_lost.set(true);
        node.announce.notify_one();
    } else {
        node.fleet.borrow_mut().on_missing(clock::now(), name);
    }
}

/// Takes an entry in. One that can't be read names nobody.
fn on_put(node: &Rc<Node>, name: &str, value: &[u8]) {
    if name == node.settings().name {
        return;
    }
    match serde_json::from_slice::<Announcement>(value) {
        Ok(announcement) => {
            let mut fleet = node.fleet.borrow_mut();
            fleet.on_announced(name, announcement);
        }
        Err(err) => log::warn!(name:% = name, reason:% = err; "entry-unreadable"),
    }
}
