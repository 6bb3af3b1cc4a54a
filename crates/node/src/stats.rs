//! Counters of the request path.

use cassiashunt_table::Binding;
use cassiashunt_types::prelude::*;
use metrics::counter;

/// Counts requests by their ends.
#[derive(Debug, Default)]
pub(crate) struct Stats {}

impl Stats {
    /// A request was answered by a server.
    pub(crate) fn served(&self, binding: &Binding) {
        let service = binding.service.as_str().to_owned();
        counter!("cassiashunt_requests_served_total", "service" => service).increment(1);
    }

    /// A request was refused or failed.
    pub(crate) fn refused(&self, refusal: Refusal) {
        let reason = refusal.reason.code();
        let verdict = refusal.verdict.as_str();
        counter!("cassiashunt_requests_refused_total", "reason" => reason, "verdict" => verdict)
            .increment(1);
    }

    /// An attempt failed and was tried again, or not.
    pub(crate) fn retried(&self, again: bool) {
        let again = if again { "yes" } else { "no" };
        counter!("cassiashunt_attempts_failed_total", "tried_again" => again).increment(1);
    }
}
