//! The costs of chains, kept in the store over a restart of all nodes: without them the first
//! seconds let in far more chains than their last service bears.

use std::{collections::BTreeMap, rc::Rc};

use cassiashunt_adapter::{costs_key, decode_item, decode_txn, get_stale, txn};
use cassiashunt_admit::chain::RouteUse;
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, backoff};
use crate::{clock, node::Node, tree::is_among_first_heads};

/// The time between two writings, all by one node. Costs change with releases, over hours.
const WRITE_EVERY: Duration = Duration::from_secs(10);
/// Readings that may fail before a node goes on without; costs are then learned within seconds.
const READINGS: u32 = 3;

type Summary = BTreeMap<Service, Vec<RouteUse>>;

/// Reads the costs once, and keeps them written where this node is the one to do so.
pub(crate) async fn remember_costs(node: Rc<Node>, store: Rc<StoreClient>) {
    read(&node, &store).await;
    loop {
        tokio::time::sleep(WRITE_EVERY).await;
        let summary = node.shedding.summary();
        if is_among_first_heads(&node, 1) && !summary.is_empty() {
            write(&store, &summary).await;
        }
    }
}

async fn read(node: &Node, store: &StoreClient) {
    for failures in 1..=READINGS {
        let answer = store.call(&get_stale(costs_key()), CALL_TIMEOUT).await;
        let read = answer.and_then(|(status, body)| Ok(decode_item(status, &body)?));
        match read {
            Ok(None) => return,
            Ok(Some(item)) => {
                match serde_json::from_slice::<Summary>(&item.value) {
                    Ok(summary) => {
                        log::info!(services = summary.len(); "costs-remembered");
                        node.shedding.remember(clock::now(), summary);
                    }
                    Err(err) => log::warn!(reason:% = err; "costs-unreadable"),
                }
                return;
            }
            Err(err) => log::warn!(reason:% = err, failures = failures; "costs-unread"),
        }
        tokio::time::sleep(backoff(failures)).await;
    }
}

async fn write(store: &StoreClient, summary: &Summary) {
    let value = match serde_json::to_vec(summary) {
        Ok(value) => value,
        Err(err) => {
            log::warn!(reason:% = err; "costs-unwritten");
            return;
        }
    };
    // The last writer wins: any of these summaries will do.
    let call = txn(&[], &[(costs_key(), &value, 0)]);
    let answer = store.call(&call, CALL_TIMEOUT).await;
    let written = answer.and_then(|(status, body)| Ok(decode_txn(status, &body)?));
    if let Err(err) = written {
        log::info!(reason:% = err; "costs-unwritten");
    }
}
