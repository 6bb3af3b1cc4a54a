//! What this node writes to the platform's store and reads from it.

mod announce;
mod client;
mod config;
mod directory;
mod persisted;
mod watch;

pub(crate) use announce::{announce, withdraw};
pub(crate) use client::StoreClient;
pub(crate) use config::{apply_table, ask_proofs, follow_config, prove_config};
pub(crate) use directory::{apply_peer_entries, count_peers, drop_missing, follow_directory};
pub(crate) use persisted::keep_persisted;

use std::time::Duration;

/// How long a call to the store may take. It usually takes 4 ms, and 60 times that while the store
/// is slow.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The delay after the first failure of a call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The longest delay between retries, and so the longest time until a recovered store is noticed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// The delay before the retry of a call that has failed this many times in a row.
pub(crate) fn backoff(failures: u32) -> Duration {
    (MIN_RETRY_DELAY / 2 * 2_u32.pow(failures.min(5))).min(MAX_RETRY_DELAY)
}
