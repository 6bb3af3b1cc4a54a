//! What is kept in the store over a restart of all nodes: the costs of chains, without which the
//! first seconds let in far more chains than their last service bears, and the requests under which
//! servers ended.

use std::{collections::BTreeMap, rc::Rc};

use cassiashunt_adapter::{decode_item, decode_txn, get_stale, memory_key, txn};
use cassiashunt_admit::chain::RouteUse;
use cassiashunt_suspect::message::{News, StrikeNews};
use cassiashunt_types::prelude::*;

use serde::{Deserialize, Serialize};

use super::{CALL_TIMEOUT, StoreClient, backoff};
use crate::{clock, node::Node, tree::is_among_first_heads};

/// The time between two writings, all by one node. Costs change with releases, over hours.
const WRITE_EVERY: Duration = Duration::from_secs(10);
/// The time between two looks for strikes that are not kept yet.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Readings that may fail before a node goes on without; costs are then learned within seconds.
const READINGS: u32 = 3;

type Costs = BTreeMap<Service, Vec<RouteUse>>;

/// What is kept.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Memory {
    costs: Costs,
    /// Strikes against suspects, with their ages at the writing.
    strikes: Vec<StrikeNews>,
}

/// Reads what is kept once, and keeps it written where this node is the one to do so.
pub(crate) async fn remember(node: Rc<Node>, store: Rc<StoreClient>) {
    read(&node, &store).await;
    let (mut written, mut known) = (clock::now(), Vec::new());
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = clock::now();
        let strikes = node.suspicion.summary(now);
        let deaths: Vec<_> = strikes.iter().map(death).collect();
        let is_due = deaths != known || now.since(written) >= WRITE_EVERY;
        if !is_due || !is_among_first_heads(&node, 1) {
            continue;
        }
        let costs = node.shedding.summary();
        if costs.is_empty() && deaths == known {
            continue;
        }
        match write(&store, &Memory { costs, strikes }).await {
            Ok(()) => (written, known) = (now, deaths),
            Err(err) => log::info!(reason:% = err; "memory-unwritten"),
        }
    }
}

/// What does not change of a strike while it grows old.
fn death(strike: &StrikeNews) -> (u64, u64, u32, bool) {
    let StrikeNews {
        fingerprint,
        owner,
        number,
        is_cleared,
        ..
    } = *strike;
    (fingerprint, owner, number, is_cleared)
}

async fn read(node: &Node, store: &StoreClient) {
    for failures in 1..=READINGS {
        let answer = store.call(&get_stale(memory_key()), CALL_TIMEOUT).await;
        let read = answer.and_then(|(status, body)| Ok(decode_item(status, &body)?));
        match read {
            Ok(None) => return,
            Ok(Some(item)) => return take_in(node, &item.value),
            Err(err) => log::warn!(reason:% = err, failures = failures; "memory-unread"),
        }
        tokio::time::sleep(backoff(failures)).await;
    }
}

fn take_in(node: &Node, value: &[u8]) {
    match serde_json::from_slice::<Memory>(value) {
        Ok(Memory { costs, strikes }) => {
            let now = clock::now();
            if !costs.is_empty() {
                log::info!(services = costs.len(); "costs-remembered");
                node.shedding.remember(now, costs);
            }
            if !strikes.is_empty() {
                log::info!(strikes = strikes.len(); "strikes-remembered");
                node.suspicion.merge(now, &News { strikes });
            }
        }
        Err(err) => log::warn!(reason:% = err; "memory-unreadable"),
    }
}

async fn write(store: &StoreClient, memory: &Memory) -> eyre::Result<()> {
    let value = serde_json::to_vec(memory)?;
    // The last writer wins: any of these summaries will do.
    let call = txn(&[], &[(memory_key(), &value, 0)]);
    let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
    decode_txn(status, &body)?;
    Ok(())
}
