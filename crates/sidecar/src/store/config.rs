//! The operators' table: followed for speed, proven to be the newest for withdrawn keys.

use std::{cell::Cell, rc::Rc};

use cassiashunt_adapter::{
    CONFIG_PREFIX, Change, Item, Txn, config_key, decode_item, decode_table, decode_txn,
    decode_watch, get, txn, watch,
};
use cassiashunt_mesh::homes;
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, backoff, client::CallError};
use crate::{clock, node::Node};

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(20);
/// The time between two proofs; several have to fail in a row before keys are not taken any more.
const PROOF_EVERY: Duration = Duration::from_millis(850);
/// The least time between two proofs, however often a newer table is heard of.
const LEAST_BETWEEN: Duration = Duration::from_millis(150);
/// The age of the last proof above which a node that is no prover asks the store itself.
const OLD_PROOF: Duration = Duration::from_millis(2_200);
/// Nodes that ask the store for all others.
const PROVERS: usize = 2;

/// Follows the table from its first reading on.
pub(crate) async fn follow_config(
    node: Rc<Node>,
    store: Rc<StoreClient>,
    seen: Rc<Cell<Revision>>,
) {
    let mut failures = 0;
    loop {
        if let Err(err) = read_config(&node, &store, &seen).await {
            failures += 1;
            log::warn!(reason:% = err, failures = failures; "config-unread");
            pause(&node, backoff(failures)).await;
            continue;
        }
        failures = 0;
        while let Ok(at) = watch_config(&node, &store, seen.get()).await {
            seen.set(at.max(seen.get()));
        }
        pause(&node, backoff(0)).await;
    }
}

/// Proves again and again that the table in force is the newest, and takes in a newer one.
pub(crate) async fn prove_config(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut was_proven = true;
    let mut failures = 0;
    loop {
        if !node.is_outdated() && asks_peers(&node) {
            wait_for_news(&node, PROOF_EVERY).await;
            continue;
        }
        let proven = prove_once(&node, &store).await;
        match &proven {
            Ok(()) if !was_proven => {
                log::info!("store-regained");
                node.store_regained.notify_waiters();
            }
            Err(err) if was_proven => log::warn!(reason:% = err; "store-lost"),
            _ => {}
        }
        was_proven = proven.is_ok();
        failures = if was_proven { 0 } else { failures + 1 };
        if was_proven {
            tokio::time::sleep(LEAST_BETWEEN).await;
            wait_for_news(&node, PROOF_EVERY.saturating_sub(LEAST_BETWEEN)).await;
        } else {
            pause(&node, backoff(failures)).await;
        }
    }
}

/// Waits for the next turn, or until a peer is heard to have a newer table.
async fn wait_for_news(node: &Node, span: Duration) {
    // Both ends of the wait lead to the same next step.
    let _ = tokio::time::timeout(jittered(node, span), node.prove_now.notified()).await;
}

/// Asks a prover for its proof, so that the store is asked by a few nodes only. Whether that is
/// enough for now: the last proof is young, and this node is no prover.
fn asks_peers(node: &Node) -> bool {
    let now = clock::now();
    let own = node.settings().name.clone();
    let live = node.fleet.borrow().live_links();
    let mut provers = homes(live.keys().cloned().chain([own.clone()]));
    provers.truncate(PROVERS);
    if provers.contains(&own) {
        return false;
    }
    let at = node.rng.borrow_mut().usize(..provers.len().max(1));
    if let Some(link) = provers.get(at).and_then(|name| live.get(name)) {
        link.ask_proof(now);
    }
    let age = node.freshness.borrow().age(now);
    age.is_some_and(|age| age < OLD_PROOF)
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
                take_in(node, &item);
            }
        }
        Txn::NoLease => return Ok(()),
    }
    if node.table_revision.get() >= revision {
        node.freshness.borrow_mut().prove(asked);
    }
    Ok(())
}

async fn read_config(
    node: &Rc<Node>,
    store: &StoreClient,
    seen: &Cell<Revision>,
) -> Result<(), CallError> {
    let asked = clock::now();
    let (status, body) = store.call(&get(config_key()), CALL_TIMEOUT).await?;
    if let Some(item) = decode_item(status, &body)? {
        take_in(node, &item);
        seen.set(seen.get().max(item.revision));
        node.freshness.borrow_mut().prove(asked);
    }
    Ok(())
}

async fn watch_config(
    node: &Rc<Node>,
    store: &StoreClient,
    after: Revision,
) -> Result<Revision, CallError> {
    let call = watch(CONFIG_PREFIX, after, WATCH);
    let (status, body) = tokio::select! {
        answer = store.call(&call, WATCH + CALL_TIMEOUT) => answer?,
        () = node.store_regained.notified() => return Err(CallError::Silent),
    };
    let (changes, at) = decode_watch(status, &body)?;
    for change in changes {
        if let Change::Put(item) = change
            && item.key == config_key()
        {
            take_in(node, &item);
        }
    }
    Ok(at)
}

/// Puts a newer table in force. One that can't be used changes nothing but the revision, so that
/// it is not fetched again.
fn take_in(node: &Rc<Node>, item: &Item) {
    if item.revision <= node.table_revision.get() {
        return;
    }
    node.table_revision.set(item.revision);
    let table = match decode_table(&item.value) {
        Ok(table) => table,
        Err(err) => {
            log::error!(revision = item.revision.0, reason:% = err; "table-refused");
            return;
        }
    };
    let known = node.table().map_or(0, |table| table.version);
    if table.version <= known {
        log::warn!(version = table.version, known = known; "table-older");
        return;
    }
    log::info!(version = table.version, revision = item.revision.0,
        routes = table.routes().len(), workspaces = table.workspaces().len(); "table-in-force");
    *node.table.borrow_mut() = Some(Rc::new(table));
    node.set_limits();
}

async fn pause(node: &Node, span: Duration) {
    tokio::time::sleep(jittered(node, span)).await;
}

fn jittered(node: &Node, span: Duration) -> Duration {
    span.mul_f64(1.0 + 0.3 * node.rng.borrow_mut().f64())
}
