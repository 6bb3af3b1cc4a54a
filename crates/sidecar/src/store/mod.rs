//! What this node keeps in the platform's store and learns from it.

mod announce;
mod client;
mod config;
mod directory;

pub(crate) use announce::{announce, withdraw};
pub(crate) use client::StoreClient;
pub(crate) use config::{follow_config, prove_config};
pub(crate) use directory::{drop_missing, follow_directory};

use std::time::Duration;

/// How long an answer of the store may take; it takes 4 ms, and 60 times that where it is slow.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The time before a failed call is made again, up to twice as long.
pub(crate) const RETRY: Duration = Duration::from_millis(250);
