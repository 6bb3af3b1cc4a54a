//! Requests suspected of crashing backend servers.

use cassiashunt_types::prelude::*;

/// This node's knowledge of suspected requests.
#[derive(Debug, Default)]
pub(crate) struct Suspects {}

impl Suspects {
    /// Whether a request with this fingerprint may run.
    pub(crate) fn check(&self, _fingerprint: u64) -> Result<(), Refusal> {
        Ok(())
    }
}
