//! State that is persisted in the store across a restart of all nodes: the costs of chains, without
//! which far more chains are admitted in the first seconds than their last service can handle, the
//! strikes against requests, and the number of nodes, without which each node takes too large a share
//! of the limits while the others' entries are missing.

use std::{collections::BTreeMap, rc::Rc};

use cassiashunt_adapter::{decode_item, decode_txn, get_stale, saved_state_key, txn};
use cassiashunt_admit::chain::RouteUse;
use cassiashunt_suspect::message::{StrikeRecord, StrikeUpdate};
use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{CALL_TIMEOUT, StoreClient, backoff};
use crate::{clock, node::Node, tree::is_among_first_heads};

/// The longest time between two writes, all made by one node. Costs change with releases, over
/// hours.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);
/// The time between two checks for strikes and nodes that are not persisted yet.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The number of failed reads after which the persisted costs and strikes are of no use: the node has
/// learned the costs meanwhile.
const MAX_READ_ATTEMPTS: u32 = 3;

type Costs = BTreeMap<Service, Vec<RouteUse>>;

/// The persisted state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Persisted {
    costs: Costs,
    /// Strikes against suspects, with their ages at the time of the write.
    strikes: Vec<StrikeRecord>,
    /// The number of nodes; zero if it was not known.
    nodes: usize,
}

/// Reads the persisted state once, then writes it periodically while this node is the first head.
pub(crate) async fn keep_persisted(node: Rc<Node>, store: Rc<StoreClient>) {
    read(&node, &store).await;
    let (mut written_at, mut written_strikes) = (clock::now(), Vec::new());
    let mut written_nodes = 0;
    let mut written_era = store.era();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        let strikes = node.suspicion.suspected(now);
        let strike_keys: Vec<_> = strikes.iter().map(strike_key).collect();
        if store.era() != written_era {
            // What was written may be lost.
            (written_era, written_strikes, written_nodes) = (store.era(), Vec::new(), 0);
        }
        // Unknown only before the first read of the entries.
        let nodes = node.limit_nodes().unwrap_or_default();
        let is_due = strike_keys != written_strikes
            || nodes > written_nodes
            || now.since(written_at) >= WRITE_INTERVAL;
        if !is_due || !is_among_first_heads(&node, 1) {
            continue;
        }
        let costs = node.shedding.summary();
        let is_known = strike_keys == written_strikes && nodes == written_nodes;
        if costs.is_empty() && is_known {
            continue;
        }
        let persisted = Persisted {
            costs,
            strikes,
            nodes,
        };
        match write(&store, &persisted).await {
            Ok(era) => {
                (written_at, written_era) = (now, era);
                (written_strikes, written_nodes) = (strike_keys, nodes);
            }
            Err(err) => log::info!(reason:% = err; "memory-unwritten"),
        }
    }
}

/// The fields of a strike that do not change as it ages.
fn strike_key(strike: &StrikeRecord) -> (u64, u64, u32, bool) {
    let StrikeRecord {
        fingerprint,
        owner,
        number,
        is_cleared,
        ..
    } = *strike;
    (fingerprint, owner, number, is_cleared)
}

async fn read(node: &Node, store: &StoreClient) {
    let mut failures = 0;
    let item = loop {
        let answer = store
            .call(&get_stale(saved_state_key()), CALL_TIMEOUT)
            .await;
        match answer.and_then(|answer| Ok(decode_item(answer.status, &answer.body)?)) {
            Ok(item) => break item,
            Err(err) => {
                failures += 1;
                log::warn!(reason:% = err, failures = failures; "memory-unread");
            }
        }
        // The next step is the same whether the store is known to answer again or not.
        let _ = timeout(backoff(failures), node.store_regained.notified()).await;
    };
    let persisted = item.map_or_else(Persisted::default, |item| decode(&item.value));
    node.update_fleet_count(|count| count.on_remembered(clock::now(), persisted.nodes));
    if failures < MAX_READ_ATTEMPTS {
        restore(node, persisted);
    }
}

fn decode(value: &[u8]) -> Persisted {
    serde_json::from_slice(value).unwrap_or_else(|err| {
        log::warn!(reason:% = err; "memory-unreadable");
        Persisted::default()
    })
}

fn restore(node: &Node, persisted: Persisted) {
    let now = clock::now();
    let Persisted { costs, strikes, .. } = persisted;
    if !costs.is_empty() {
        log::info!(services = costs.len(); "costs-remembered");
        node.shedding.restore(now, costs);
    }
    if !strikes.is_empty() {
        log::info!(strikes = strikes.len(); "strikes-remembered");
        node.suspicion.merge(now, &StrikeUpdate { strikes });
    }
}

/// Writes the state and returns the store's era in which it holds.
async fn write(store: &StoreClient, persisted: &Persisted) -> eyre::Result<u64> {
    let value = serde_json::to_vec(persisted)?;
    // The last writer wins; any node's summary is good enough.
    let call = txn(&[], &[(saved_state_key(), &value, 0)]);
    let answer = store.call(&call, CALL_TIMEOUT).await?;
    decode_txn(answer.status, &answer.body)?;
    Ok(answer.era)
}
