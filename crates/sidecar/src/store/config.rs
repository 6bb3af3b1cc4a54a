//! The operators' table. Watches deliver changes quickly; periodic proofs that the table is the
//! newest bound how long a withdrawn key is accepted.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::{
    CONFIG_PREFIX, Change, TxnOutcome, config_key, decode_listing, decode_table, decode_txn, range,
    txn,
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
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The fraction by which jitter may lengthen each wait in this module.
const JITTER_FRACTION: f64 = 0.3;
/// The shortest time between two proofs, however often peers announce a newer table.
const MIN_PROOF_INTERVAL: Duration = Duration::from_millis(150);
/// How long the first proof waits for the first read of the table.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The age of the last proof from which a watcher asks the store itself.
const WATCHER_PROOF_MAX_AGE: Duration = Duration::from_millis(2_200);
/// How long before the bound on withdrawn keys any other node asks the store itself. Asking earlier
/// would make the whole fleet query a store that is only slow, whose answers the watchers deliver.
const STORE_QUERY_RESERVE: Duration = Duration::from_millis(1_800);
/// The time between two checks by which a node detects that it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The number of nodes that ask the store for proofs on behalf of all others.
const PROVER_COUNT: usize = 2;
/// The number of peers that a node asks in each round while the store does not answer it. Where the
/// store answers two thirds of the nodes, all three lack a proof once in 27 rounds.
const PEERS_ASKED_PER_ROUND: usize = 3;

/// Reads the table at the start and follows its changes. A few nodes watch the store; the others
/// receive newer tables from them.
pub(crate) async fn follow_config(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut failures = 0;
    loop {
        let mut seen = match read_config(&node, &store).await {
            Ok(at) => at,
            Err(err) => {
                failures += 1;
                log::warn!(reason:% = err, failures = failures; "config-unread");
                sleep_jittered(&node, backoff(failures)).await;
                continue;
            }
        };
        failures = 0;
        loop {
            if !is_watcher(&node) {
                sleep_jittered(&node, ROLE_CHECK_INTERVAL).await;
                continue;
            }
            match watch_config(&node, &store, seen).await {
                Ok(at) => seen = at,
                Err(_) => break,
            }
        }
        sleep_jittered(&node, backoff(0)).await;
    }
}

/// Proves periodically that the table in force is the newest, and applies a newer one.
pub(crate) async fn prove_config(node: Rc<Node>, store: Rc<StoreClient>) {
    let mut failures = 0;
    // The first read of the table is a proof, too. The next step is the same whether notified or
    // timed out.
    let _ = tokio::time::timeout(FIRST_READ_TIMEOUT, node.table_read.notified()).await;
    loop {
        let pace = pace(&node);
        let may_wait = !node.is_outdated() && !node.is_store_lost.get();
        if may_wait && is_proven_by_peers(&node) {
            wait_for_newer_table(&node, pace.ask_interval).await;
            continue;
        }
        let result = prove_once(&node, &store).await;
        let was_lost = node.is_store_lost.replace(result.is_err());
        match &result {
            Ok(()) if was_lost => {
                log::info!("store-regained");
                node.store_regained.notify_waiters();
            }
            Err(err) if !was_lost => log::warn!(reason:% = err; "store-lost"),
            _ => {}
        }
        if result.is_ok() {
            failures = 0;
            tokio::time::sleep(MIN_PROOF_INTERVAL).await;
            wait_for_newer_table(
                &node,
                pace.prove_interval.saturating_sub(MIN_PROOF_INTERVAL),
            )
            .await;
        } else {
            failures += 1;
            sleep_jittered(&node, backoff(failures)).await;
        }
    }
}

/// Asks peers for their proofs while the store does not answer this node. Answers to its reports in
/// the tree carry proofs as well, but the node that sends them may lack one, too.
pub(crate) async fn ask_proofs(node: Rc<Node>) {
    loop {
        if node.is_store_lost.get() {
            let now = clock::now();
            for link in peers_to_ask(&node) {
                link.ask_proof(now);
            }
        }
        sleep_jittered(&node, pace(&node).ask_interval).await;
    }
}

fn pace(node: &Node) -> ProofPace {
    ProofPace::of(node.fleet.borrow().size(), PROVER_COUNT)
}

/// Waits for the next round, or until a peer announces a newer table.
async fn wait_for_newer_table(node: &Node, span: Duration) {
    // The next step is the same whether notified or timed out.
    let _ = tokio::time::timeout(
        node.jittered(span, JITTER_FRACTION),
        node.prove_now.notified(),
    )
    .await;
}

/// Whether peers' proofs are enough for now: the last proof is recent enough, and this node is not
/// one of those that ask the store on behalf of all others.
fn is_proven_by_peers(node: &Node) -> bool {
    let age = node.freshness.borrow().age(clock::now());
    let bound = Duration::from_millis(node.settings().bounds.key_withdrawal_ms);
    let max_age = if is_watcher(node) {
        WATCHER_PROOF_MAX_AGE
    } else {
        WATCHER_PROOF_MAX_AGE.max(bound.saturating_sub(STORE_QUERY_RESERVE))
    };
    age.is_some_and(|age| age < max_age) && !is_among_first_heads(node, PROVER_COUNT)
}

/// A few random live peers, since the store may not answer the nodes that normally ask it, either.
fn peers_to_ask(node: &Node) -> Vec<Rc<Link>> {
    let live = node.fleet.borrow().live_links().into_values();
    node.rng
        .borrow_mut()
        .choose_multiple(live, PEERS_ASKED_PER_ROUND)
}

/// Sends a transaction with a condition on the table's revision and no writes. It succeeds only
/// while the store has accepted no newer table; a conflict returns the newer one.
async fn prove_once(node: &Rc<Node>, store: &StoreClient) -> Result<(), CallError> {
    let asked = clock::now();
    let revision = node.table_revision.get();
    let call = txn(&[(config_key(), revision)], &[]);
    let (status, body) = store.call(&call, CALL_TIMEOUT).await?;
    match decode_txn(status, &body)? {
        TxnOutcome::Committed(_) => {}
        TxnOutcome::Conflict(items) => {
            let found = items.into_iter().find(|item| item.key == config_key());
            if let Some(item) = found {
                apply(node, item.revision, item.value.into());
            }
        }
        TxnOutcome::NoLease => return Ok(()),
    }
    if node.table_revision.get() >= revision {
        node.freshness.borrow_mut().prove(asked);
    }
    Ok(())
}

/// Reads the table and returns the store's revision at that time, to watch from. A watch from the
/// table's own revision would be refused once the store has discarded that part of its history.
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
        apply(node, item.revision, item.value.into());
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
    let (changes, at) = watch(node, store, CONFIG_PREFIX, after, WATCH_TIMEOUT).await?;
    for change in changes {
        if let Change::Put(item) = change
            && item.key == config_key()
        {
            apply(node, item.revision, item.value.into());
        }
    }
    Ok(at)
}

/// Applies a table received from a peer.
pub(crate) fn apply_table(node: &Node, table: Table) {
    apply(node, Revision(table.revision), table.value);
}

/// Puts a newer table in force. One that can't be decoded only updates the revision, so that it is
/// not fetched again.
fn apply(node: &Node, revision: Revision, value: Bytes) {
    let known = node.table_revision.get();
    if revision <= known {
        if revision < known {
            log::info!(era = node.store_era(), revision = revision.0, known_revision = known.0;
                "table-older");
        }
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
    let known_version = node.table().map_or(0, |table| table.version);
    if table.version <= known_version {
        log::warn!(era = node.store_era(), revision = revision.0, version = table.version,
            known = known_version; "table-older");
        return;
    }
    log::info!(era = node.store_era(), version = table.version, revision = revision.0,
        routes = table.routes().len(), workspaces = table.workspaces().len(); "table-in-force");
    *node.table.borrow_mut() = Some(Rc::new(table));
    node.set_limits();
    node.report_now.notify_one();
}

async fn sleep_jittered(node: &Node, span: Duration) {
    tokio::time::sleep(node.jittered(span, JITTER_FRACTION)).await;
}
