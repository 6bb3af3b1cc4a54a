//! The operators' table: followed for speed, proven to be the newest for withdrawn keys.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::{
    CONFIG_PREFIX, Change, Txn, config_key, decode_listing, decode_table, decode_txn, range, txn,
};
use cassiashunt_mesh::ProofPace;
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError, watch::watch};
use crate::{
    clock,
    link::{Link, Table},
    node::Node,
    tree::{is_among_first_heads, is_watcher},
};

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(20);
/// The part of itself by which each wait here may be longer.
const JITTER: f64 = 0.3;
/// The least time between two proofs, however often a newer table is heard of.
const LEAST_BETWEEN: Duration = Duration::from_millis(150);
/// How long the first reading of the table is waited for.
const FIRST_READING: Duration = Duration::from_secs(1);
/// The age of the last proof above which a node asks the store itself that watches it for others.
const OLD_PROOF: Duration = Duration::from_millis(2_200);
/// What is left of the bound on withdrawn keys when any other node does so: the whole fleet would
/// ask a store that is only slow otherwise, and those that watch it bring its answers.
const LEFT_TO_ASK: Duration = Duration::from_millis(1_800);
/// How often a node that watches nothing looks whether it is to.
const ROLE_CHECK: Duration = Duration::from_millis(500);
/// Nodes that ask the store for all others.
const PROVERS: usize = 2;
/// Peers that a node asks which the store does not answer: where it answers two thirds of them, all
/// of these are without proof once in 27 turns.
const ASKED_WITHOUT_STORE: usize = 3;

/// Follows the table from its first reading on. A few nodes watch the store; the others hear of a
/// newer table from them.
pub(crate) async fn follow_config(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut failures = 0;
    loop {
        let mut seen = match read_config(&node, &store).await {
            Ok(at) => at,
            Err(err) => {
                failures += 1;
                log::warn!(reason:% = err, failures = failures; "config-unread");
                pause(&node, backoff(failures)).await;
                continue;
            }
        };
        failures = 0;
        loop {
            if !is_watcher(&node) {
                pause(&node, ROLE_CHECK).await;
                continue;
            }
            match watch_config(&node, &store, seen).await {
                Ok(at) => seen = at,
                Err(_) => break,
            }
        }
        pause(&node, backoff(0)).await;
    }
}

/// Proves again and again that the table in force is the newest, and takes in a newer one.
pub(crate) async fn prove_config(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut failures = 0;
    // The first reading of the table proves it, too; both ends of the wait lead to the same next step.
    let _ = tokio::time::timeout(FIRST_READING, node.table_read.notified()).await;
    loop {
        let pace = pace(&node);
        let may_wait = !node.is_outdated() && !node.is_store_lost.get();
        if may_wait && is_proven_by_peers(&node) {
            wait_for_news(&node, pace.ask_interval).await;
            continue;
        }
        let proven = prove_once(&node, &store).await;
        let was_lost = node.is_store_lost.replace(proven.is_err());
        match &proven {
            Ok(()) if was_lost => {
                log::info!("store-regained");
                node.store_regained.notify_waiters();
            }
            Err(err) if !was_lost => log::warn!(reason:% = err; "store-lost"),
            _ => {}
        }
        if proven.is_ok() {
            failures = 0;
            tokio::time::sleep(LEAST_BETWEEN).await;
            wait_for_news(&node, pace.prove_interval.saturating_sub(LEAST_BETWEEN)).await;
        } else {
            failures += 1;
            pause(&node, backoff(failures)).await;
        }
    }
}

/// Asks peers for their proofs while the store does not answer this node, beside the one that it
/// tells its sums: that one may be without proof too.
pub(crate) async fn ask_proofs(node: Rc<Node>) {
    loop {
        if node.is_store_lost.get() {
            let now = clock::now();
            for link in whom_to_ask(&node) {
                link.ask_proof(now);
            }
        }
        pause(&node, pace(&node).ask_interval).await;
    }
}

fn pace(node: &Node) -> ProofPace {
    ProofPace::of(node.fleet.borrow().size(), PROVERS)
}

/// Waits for the next turn, or until a peer is heard to have a newer table.
async fn wait_for_news(node: &Node, span: Duration) {
    // Both ends of the wait lead to the same next step.
    let _ = tokio::time::timeout(node.jittered(span, JITTER), node.prove_now.notified()).await;
}

/// Whether a peer's proof is enough for now: the last one is young, and this node is none of those
/// that ask the store for all others.
fn is_proven_by_peers(node: &Node) -> bool {
    let age = node.freshness.borrow().age(clock::now());
    let bound = Duration::from_millis(node.settings().bounds.key_withdrawal_ms);
    let old = if is_watcher(node) {
        OLD_PROOF
    } else {
        OLD_PROOF.max(bound.saturating_sub(LEFT_TO_ASK))
    };
    age.is_some_and(|age| age < old) && !is_among_first_heads(node, PROVERS)
}

/// Any few peers: the store may not answer those either whose duty it is to ask it.
fn whom_to_ask(node: &Node) -> Vec<Rc<Link>> {
    let live = node.fleet.borrow().live_links().into_values();
    node.rng
        .borrow_mut()
        .choose_multiple(live, ASKED_WITHOUT_STORE)
}

/// A condition on the table's revision, with nothing to change: it holds only while no newer table
/// was accepted, and otherwise brings the newer one.
async fn prove_once(node: &Rc<Node>, store: &StoreClient) -> Result<(), CallError> {
    let asked = clock::now();
    let revision = node.table_revision.get();
    let call = txn(&[(config_key(), revision)], &[]);
    let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
    match decode_txn(status, &body)? {
        Txn::Done(_) => {}
        Txn::Conflict(items) => {
            let found = items.into_iter().find(|item| item.key == config_key());
            if let Some(item) = found {
                take_in(node, item.revision, item.value.into());
            }
        }
        Txn::NoLease => return Ok(()),
    }
    if node.table_revision.get() >= revision {
        node.freshness.borrow_mut().prove(asked);
    }
    Ok(())
}

/// Reads the table, and returns the store's revision at that time. A watch from the table's own
/// revision would be refused once the store has dropped that part of its history.
async fn read_config(node: &Rc<Node>, store: &StoreClient) -> Result<Revision, CallError> {
    let asked = clock::now();
    let call = range(config_key(), None);
    let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
    let listing = decode_listing(status, &body)?;
    let found = listing
        .items
        .into_iter()
        .find(|item| item.key == config_key());
    if let Some(item) = found {
        take_in(node, item.revision, item.value.into());
        node.freshness.borrow_mut().prove(asked);
    }
    node.table_read.notify_one();
    Ok(listing.at)
}

async fn watch_config(
    node: &Rc<Node>,
    store: &StoreClient,
    after: Revision,
) -> Result<Revision, CallError> {
    let (changes, at) = watch(node, store, CONFIG_PREFIX, after, WATCH).await?;
    for change in changes {
        if let Change::Put(item) = change
            && item.key == config_key()
        {
            take_in(node, item.revision, item.value.into());
        }
    }
    Ok(at)
}

/// Takes in a table that a peer has read.
pub(crate) fn take_in_table(node: &Node, table: Table) {
    take_in(node, Revision(table.revision), table.value);
}

/// Puts a newer table in force. One that can't be used changes nothing but the revision, so that
/// it is not fetched again.
fn take_in(node: &Node, revision: Revision, value: Bytes) {
    if revision <= node.table_revision.get() {
        return;
    }
    node.table_revision.set(revision);
    let decoded = decode_table(&value);
    *node.table_value.borrow_mut() = Some(Table {
        revision: revision.0,
        value,
    });
    let table = match decoded {
        Ok(table) => table,
        Err(err) => {
            log::error!(revision = revision.0, reason:% = err; "table-refused");
            return;
        }
    };
    let known = node.table().map_or(0, |table| table.version);
    if table.version <= known {
        log::warn!(version = table.version, known = known; "table-older");
        return;
    }
    log::info!(version = table.version, revision = revision.0,
        routes = table.routes().len(), workspaces = table.workspaces().len(); "table-in-force");
    *node.table.borrow_mut() = Some(Rc::new(table));
    node.set_limits();
    node.tell_now.notify_one();
}

async fn pause(node: &Node, span: Duration) {
    tokio::time::sleep(node.jittered(span, JITTER)).await;
}
