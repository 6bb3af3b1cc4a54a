//! The operators' table. Watches deliver changes quickly; periodic proofs that the table is the
//! newest bound how long a withdrawn key is accepted.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::{
    CONFIG_PREFIX, Change, DecodeError, Item, TxnOutcome, config_key, decode_listing, decode_table,
    decode_txn, evacuated_domain, range, txn,
};
use cassiashunt_mesh::{EvacuationChange, KnownTable, ProofPace, StoreRevision};
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
        if std::mem::take(&mut failures) > 0 {
            node.store_regained.notify_waiters();
        }
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
        if may_wait && (is_proven_by_peers(&node) || is_unprovable(&node)) {
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
    let bound = node.settings().bounds.key_withdrawal();
    let max_age = if is_watcher(node) {
        WATCHER_PROOF_MAX_AGE
    } else {
        WATCHER_PROOF_MAX_AGE.max(bound.saturating_sub(STORE_QUERY_RESERVE))
    };
    age.is_some_and(|age| age < max_age) && !is_among_first_heads(node, PROVER_COUNT)
}

/// Whether the store can prove nothing to this node: its newest item was refused here. The watchers
/// and the nodes that ask on behalf of all others learn of the next item.
fn is_unprovable(node: &Node) -> bool {
    node.known_table.get().is_refused && !is_among_first_heads(node, PROVER_COUNT)
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
    let known = node.known_table.get().at;
    if known.era < store.era() {
        return read_config(node, store).await.map(|_| ());
    }
    let call = txn(&[(config_key(), known.revision)], &[]);
    let answer = store.call(&call, CALL_TIMEOUT).await?;
    match decode_txn(answer.status, &answer.body)? {
        TxnOutcome::Committed(_) if answer.era == known.era => {}
        // The revision may have been given out again for another table.
        TxnOutcome::Committed(_) => return read_config(node, store).await.map(|_| ()),
        TxnOutcome::Conflict(items) => on_items(node, answer.era, items),
        TxnOutcome::NoLease => return Ok(()),
    }
    prove(node, asked);
    Ok(())
}

/// Records that the newest item known to this node was the store's newest at `asked`. That proves the
/// table in force unless the item was refused.
fn prove(node: &Node, asked: Time) {
    if node.known_table.get().is_comparable() {
        node.freshness.borrow_mut().prove(asked);
    }
}

/// Reads the table and returns the store's revision at that time, to watch from. A watch from the
/// table's own revision would be refused once the store has discarded that part of its history.
async fn read_config(node: &Rc<Node>, store: &StoreClient) -> Result<StoreRevision, CallError> {
    let asked = clock::now();
    let (mut items, mut first, mut after) = (Vec::new(), None, None);
    loop {
        let call = range(CONFIG_PREFIX, after.as_deref());
        let answer = store.call(&call, CALL_TIMEOUT).await?;
        let listing = decode_listing(answer.status, &answer.body)?;
        // Pages are no snapshot: what changed after the first one is read again by the watch.
        let at = *first.get_or_insert(StoreRevision::new(answer.era, listing.at));
        if at.era != answer.era {
            return Err(CallError::Restored);
        }
        items.extend(listing.items);
        after = listing.next_after;
        if after.is_none() {
            on_listed_evacuations(node, at, &items);
            on_items(node, at.era, items);
            prove(node, asked);
            node.table_read.notify_one();
            return Ok(at);
        }
    }
}

/// Applies the evacuations among all of the operators' items.
fn on_listed_evacuations(node: &Rc<Node>, at: StoreRevision, items: &[Item]) {
    let listed = items.iter().filter_map(|item| {
        let domain = evacuated_domain(&item.key)?;
        Some((FailureDomain::of_name(domain), item.revision))
    });
    let listed: Vec<_> = listed.collect();
    let changed = node.evacuations.borrow_mut().on_listing(at, &listed);
    node.apply_evacuations(&changed);
}

/// The change of an evacuation that a change of the store makes.
fn evacuation_change(era: u64, change: &Change) -> Option<EvacuationChange> {
    let (key, revision, is_evacuated) = match change {
        Change::Put(item) => (&item.key, item.revision, true),
        Change::Deleted(key, revision) => (key, *revision, false),
    };
    Some(EvacuationChange {
        domain: FailureDomain::of_name(evacuated_domain(key)?),
        at: StoreRevision::new(era, revision),
        is_evacuated,
    })
}

/// Applies the table among the store's current items. A copy from which the store was restored may
/// have none; the table in force then stays.
fn on_items(node: &Node, era: u64, items: Vec<Item>) {
    match items.into_iter().find(|item| item.key == config_key()) {
        Some(item) => apply_item(node, era, item),
        None => {
            let at = StoreRevision::new(era, Revision(0));
            if record_item(node, at) {
                confirm_in_force(node);
            }
        }
    }
}

async fn watch_config(
    node: &Rc<Node>,
    store: &StoreClient,
    after: StoreRevision,
) -> Result<StoreRevision, CallError> {
    let (changes, at) = watch(node, store, CONFIG_PREFIX, after, WATCH_TIMEOUT).await?;
    node.on_evacuation_changes(
        changes
            .iter()
            .filter_map(|it| evacuation_change(at.era, it)),
    );
    for change in changes {
        if let Change::Put(item) = change
            && item.key == config_key()
        {
            apply_item(node, at.era, item);
        }
    }
    Ok(at)
}

fn apply_item(node: &Node, era: u64, item: Item) {
    let at = StoreRevision::new(era, item.revision);
    let known = node.known_table.get().at;
    if record_item(node, at) {
        apply(node, at, item.value.into());
    } else if at < known {
        log_older(at, 0, node.known_table.get());
    }
}

/// Applies a table received from a peer. It may be in force there without being the store's newest,
/// if the store has lost it.
pub(crate) fn apply_table(node: &Node, table: Table) {
    let at = table.at();
    node.on_peer_era(at.era);
    let is_newest = record_item(node, at);
    let known = node.known_table.get();
    if is_newest || table.version > known.version {
        apply(node, at, table.value);
        if node.known_table.get().version < table.version {
            node.refused_version.set(table.version);
        }
    } else if at < known.at {
        log_older(at, table.version, known);
    }
}

/// Records the position of an item. Returns whether it is the newest so far.
fn record_item(node: &Node, at: StoreRevision) -> bool {
    let mut known = node.known_table.get();
    let is_newest = known.on_item(at);
    if is_newest {
        node.known_table.set(known);
        node.table_requested_at.set(None);
        *node.refused_table.borrow_mut() = None;
        node.report_now.notify_one();
    }
    is_newest
}

/// Puts a table in force unless the one in force is as new by the operators' version.
fn apply(node: &Node, at: StoreRevision, value: Bytes) {
    let mut known = node.known_table.get();
    let table = match decode_table(&value) {
        Ok(table) => table,
        Err(err) => {
            if !matches!(err, DecodeError::NoManifest(_)) {
                known.on_refused(at);
                node.known_table.set(known);
            }
            log::error!(era = at.era, revision = at.revision.0, reason:% = err; "table-refused");
            let mut refused = Table {
                value,
                ..Table::default()
            };
            refused.set_at(at);
            *node.refused_table.borrow_mut() = Some(refused);
            return;
        }
    };
    if !known.on_table(table.version) {
        log_older(at, table.version, known);
        confirm_in_force(node);
        return;
    }
    node.known_table.set(known);
    node.table_requested_at.set(None);
    log::info!(version = table.version, era = at.era, revision = at.revision.0,
        routes = table.routes().len(), workspaces = table.workspaces().len(); "table-in-force");
    let mut in_force = Table {
        version: table.version,
        value,
        ..Table::default()
    };
    in_force.set_at(at);
    *node.table_value.borrow_mut() = Some(in_force);
    *node.table.borrow_mut() = Some(Rc::new(table));
    node.first_comparison.borrow_mut().on_table(clock::now());
    node.owner.on_table(node);
    if !known.is_refused {
        confirm_in_force(node);
    }
    node.set_limits();
    node.report_now.notify_one();
}

/// Records that the table in force was compared with the newest item of the store, so that peers
/// which receive it need not read that item.
fn confirm_in_force(node: &Node) {
    if let Some(table) = node.table_value.borrow_mut().as_mut() {
        table.set_at(node.known_table.get().at);
    }
}

fn log_older(at: StoreRevision, version: u64, known: KnownTable) {
    log::info!(era = at.era, revision = at.revision.0, version = version,
        known_era = known.at.era, known_revision = known.at.revision.0, known = known.version;
        "table-older");
}

async fn sleep_jittered(node: &Node, span: Duration) {
    tokio::time::sleep(node.jittered(span, JITTER_FRACTION)).await;
}
