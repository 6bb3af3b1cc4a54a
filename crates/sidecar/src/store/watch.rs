//! Watching the store for changes.

use cassiashunt_adapter::{Change, decode_watch};
use cassiashunt_mesh::StoreRevision;
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, client::CallError};
use crate::node::Node;

/// Waits up to `max_wait` for changes under a prefix after a revision. Returns them, and the
/// revision to continue from. Abandoned when the store is reachable again after an outage, because
/// a watch from before it may hang. Fails once the store was restored from a copy: its changes since
/// `after` are then unknown, even if it has that revision again.
pub(super) async fn watch(
    node: &Node,
    store: &StoreClient,
    prefix: &str,
    after: StoreRevision,
    max_wait: Duration,
) -> Result<(Vec<Change>, StoreRevision), CallError> {
    let watched = watch_in_era(node, store, prefix, after, max_wait).await;
    if let Err(err) = &watched {
        log::info!(prefix = prefix, era = after.era, after = after.revision.0, reason:% = err;
            "watch-ended");
    }
    watched
}

async fn watch_in_era(
    node: &Node,
    store: &StoreClient,
    prefix: &str,
    after: StoreRevision,
    max_wait: Duration,
) -> Result<(Vec<Change>, StoreRevision), CallError> {
    if after.era < store.era() {
        return Err(CallError::Restored);
    }
    let call = cassiashunt_adapter::watch(prefix, after.revision, max_wait);
    let answer = tokio::select! {
        answer = store.call(&call, max_wait + CALL_TIMEOUT) => answer?,
        () = node.store_regained.notified() => return Err(CallError::Abandoned),
        () = store.restored() => return Err(CallError::Restored),
    };
    if answer.era != after.era {
        return Err(CallError::Restored);
    }
    let (changes, at) = decode_watch(answer.status, &answer.body)?;
    Ok((changes, StoreRevision::new(after.era, at)))
}
