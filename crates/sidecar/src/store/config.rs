//! The operators' table: followed for speed, proven to be the newest for withdrawn keys.

use std::{cell::Cell, rc::Rc};

use cassiashunt_adapter::{
    CONFIG_PREFIX, Change, Item, Txn, config_key, decode_item, decode_table, decode_txn,
    decode_watch, get, txn, watch,
};
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, RETRY, StoreClient, client::CallError};
use crate::{clock, node::Node};

/// How long a watch waits for a change.
const WATCH: Duration = Duration::from_secs(10);
/// The time between two proofs; several have to fail in a row before keys are not taken any more.
const PROOF_EVERY: Duration = Duration::from_millis(1_500);
/// The time between tries of a proof that failed.
const PROOF_RETRY: Duration = Duration::from_millis(300);

/// Follows the table from its first reading on.
pub(crate) async fn follow_config(
    node: Rc<Node>,
    store: Rc<StoreClient>,
    seen: Rc<Cell<Revision>>,
) {
    loop {
        if let Err(err) = read_config(&node, &store, &seen).await {
            log::warn!(reason:% = err; "config-unread");
            pause(&node, RETRY).await;
            continue;
        }
        while let Ok(at) = watch_config(&node, &store, seen.get()).await {
            seen.set(at.max(seen.get()));
        }
        pause(&node, RETRY / 4).await;
    }
}

/// Proves again and again that the table in force is the newest, and takes in a newer one.
pub(crate) async fn prove_config(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut was_proven = true;
    loop {
        let proven = prove_once(&node, &store).await;
        match &proven {
            Ok(()) if !was_proven => log::info!("store-regained"),
            Err(err) if was_proven => log::warn!(reason:% = err; "store-lost"),
            _ => {}
        }
        was_proven = proven.is_ok();
        let span = if was_proven { PROOF_EVERY } else { PROOF_RETRY };
        pause(&node, span).await;
    }
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
    let (status, body) = store.call(&call, WATCH + CALL_TIMEOUT).await?;
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
    let jitter = node.rng.borrow_mut().f64();
    tokio::time::sleep(span.mul_f64(1.0 + 0.3 * jitter)).await;
}
