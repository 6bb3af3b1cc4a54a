//! What this node keeps in the platform's store and learns from it.

mod announce;
mod client;
mod config;
mod directory;
mod memory;
mod watch;

pub(crate) use announce::{announce, withdraw};
pub(crate) use client::StoreClient;
pub(crate) use config::{ask_proofs, follow_config, prove_config, take_in_table};
pub(crate) use directory::{drop_missing, follow_directory, take_in_news};
pub(crate) use memory::remember;

use std::time::Duration;

/// How long an answer of the store may take; it takes 4 ms, and 60 times that where it is slow.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The time before a call that failed once is made again.
const RETRY: Duration = Duration::from_millis(250);
/// The longest such time; the store's return is noticed within it.
const MAX_RETRY: Duration = Duration::from_millis(1_200);

/// The time before a call is made again that has failed so many times in a row.
pub(crate) fn backoff(failures: u32) -> Duration {
    (RETRY / 2 * 2_u32.pow(failures.min(5))).min(MAX_RETRY)
}
