//! State that is persisted in the store across a restart of all nodes: the costs of chains, without
//! which far more chains are admitted in the first seconds than their last service can handle, and
//! the strikes against requests.

use std::{collections::BTreeMap, rc::Rc};

use cassiashunt_adapter::{decode_item, decode_txn, get_stale, saved_state_key, txn};
use cassiashunt_admit::chain::RouteUse;
use cassiashunt_suspect::message::{StrikeRecord, StrikeUpdate};
use cassiashunt_types::prelude::*;

use serde::{Deserialize, Serialize};

use super::{CALL_TIMEOUT, StoreClient, backoff};
use crate::{clock, node::Node, tree::is_among_first_heads};

/// The longest time between two writes, all made by one node. Costs change with releases, over
/// hours.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);
/// The time between two checks for strikes that are not persisted yet.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The number of failed reads after which a node continues without the persisted state; it then
/// learns the costs within seconds.
const MAX_READ_ATTEMPTS: u32 = 3;

type Costs = BTreeMap<Service, Vec<RouteUse>>;

/// The persisted state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Persisted {
    costs: Costs,
    /// Strikes against suspects, with their ages at the time of the write.
    strikes: Vec<StrikeRecord>,
}

/// Reads the persisted state once, then writes it periodically while this node is the first head.
pub(crate) async fn keep_persisted(node: Rc<Node>, store: Rc<StoreClient>) {
    read(&node, &store).await;
    let (mut written_at, mut written_strikes) = (clock::now(), Vec::new());
    let mut written_era = store.era();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        let strikes = node.suspicion.suspected(now);
        let strike_keys: Vec<_> = strikes.iter().map(strike_key).collect();
        if store.era() != written_era {
            // What was written may be lost.
            (written_era, written_strikes) = (store.era(), Vec::new());
        }
        let is_due = strike_keys != written_strikes || now.since(written_at) >= WRITE_INTERVAL;
        if !is_due || !is_among_first_heads(&node, 1) {
            continue;
        }
        let costs = node.shedding.summary();
        if costs.is_empty() && strike_keys == written_strikes {
            continue;
        }
        match write(&store, &Persisted { costs, strikes }).await {
            Ok(era) => (written_at, written_strikes, written_era) = (now, strike_keys, era),
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
    for failures in 1..=MAX_READ_ATTEMPTS {
        let answer = store
            .call(&get_stale(saved_state_key()), CALL_TIMEOUT)
            .await;
        let read = answer.and_then(|answer| Ok(decode_item(answer.status, &answer.body)?));
        match read {
            Ok(None) => return,
            Ok(Some(item)) => return restore(node, &item.value),
            Err(err) => log::warn!(reason:% = err, failures = failures; "memory-unread"),
        }
        tokio::time::sleep(backoff(failures)).await;
    }
}

fn restore(node: &Node, value: &[u8]) {
    match serde_json::from_slice::<Persisted>(value) {
        Ok(Persisted { costs, strikes }) => {
            let now = clock::now();
            if !costs.is_empty() {
                log::info!(services = costs.len(); "costs-remembered");
                node.shedding.restore(now, costs);
            }
            if !strikes.is_empty() {
                log::info!(strikes = strikes.len(); "strikes-remembered");
                node.suspicion.merge(now, &StrikeUpdate { strikes });
            }
        }
        Err(err) => log::warn!(reason:% = err; "memory-unreadable"),
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
