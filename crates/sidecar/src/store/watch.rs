//! Watching the store for changes.

use cassiashunt_adapter::{Change, decode_watch};
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, client::CallError};
use crate::node::Node;

/// Waits up to `max_wait` for changes under a prefix after a revision. Returns them, and the
/// revision to continue from. Abandoned when the store is reachable again after an outage, because
/// a watch from before it may hang.
pub(super) async fn watch(
    node: &Node,
    store: &StoreClient,
    prefix: &str,
    after: Revision,
    max_wait: Duration,
) -> Result<(Vec<Change>, Revision), CallError> {
    let call = cassiashunt_adapter::watch(prefix, after, max_wait);
    let answer = tokio::select! {
        answer = store.call(&call, max_wait + CALL_TIMEOUT) => answer,
        () = node.store_regained.notified() => Err(CallError::Abandoned),
    };
    let watched = answer.and_then(|(status, body)| Ok(decode_watch(status, &body)?));
    if let Err(err) = &watched {
        log::info!(prefix = prefix, era = store.era(), after = after.0, reason:% = err; "watch-ended");
    }
    watched
}
