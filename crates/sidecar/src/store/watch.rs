//! Waiting for changes in the store.

use cassiashunt_adapter::{Change, decode_watch};
use cassiashunt_types::prelude::*;

use super::{CALL_TIMEOUT, StoreClient, client::CallError};
use crate::node::Node;

/// Waits up to `span` for changes under a prefix after a revision. Returns them, and the revision to
/// go on from. Given up once the store is back after an outage: a watch from before it may hang.
pub(super) async fn watch(
    node: &Node,
    store: &StoreClient,
    prefix: &str,
    after: Revision,
    span: Duration,
) -> Result<(Vec<Change>, Revision), CallError> {
    let call = cassiashunt_adapter::watch(prefix, after, span);
    let answer = tokio::select! {
        answer = store.call(&call, span + CALL_TIMEOUT) => answer,
        () = node.store_regained.notified() => Err(CallError::GivenUp),
    };
    let watched = answer.and_then(|(status, body)| Ok(decode_watch(status, &body)?));
    if let Err(err) = &watched {
        log::info!(prefix = prefix, reason:% = err; "watch-ended");
    }
    watched
}
