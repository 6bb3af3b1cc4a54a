//! Collects what explains the end of a request, for its one log line and its metrics.

use cassiashunt_admit::RetryAfter;
use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;

use super::{forward::Forwarded, reply::status_of};
use crate::{clock, link::Outcome, metrics, node::Node};

/// What is known of one request when it ends.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    pub(crate) attempt: String,
    pub(crate) route: Option<Route>,
    pub(crate) workspace: Option<Workspace>,
    /// The service that servers are told the request came from; empty before it is known.
    pub(crate) caller: String,
    /// Shared by all attempts of one request.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// Whether its forwarding has begun.
    pub(crate) is_forwarded: bool,
    pub(crate) forwarded: Option<Forwarded>,
    /// Strikes (server crashes that it may have caused) for which it was refused.
    pub(crate) strikes: Option<usize>,
    /// If it was shed: the bottleneck service, and the fraction of its priority admitted there.
    pub(crate) bottleneck: Option<(Service, f64)>,
    /// If it was shed: its expected cost at each service, as text.
    pub(crate) cost: String,
    /// Whether it was refused before, and came back when told.
    pub(crate) is_return: bool,
    /// If it was refused for want of room: when its client may come back, and why then.
    pub(crate) retry_after: Option<RetryAfter>,
}

impl Trace {
    /// Logs and counts the end of the request. The line of a refusal before forwarding has what the
    /// decision was based on: the strikes, the bottleneck service, or the age of the table's proof.
    pub(crate) fn end(&self, node: &Node, outcome: &Outcome, elapsed: Duration) {
        let (status, reason) = match outcome {
            Outcome::Answered(answer) => (answer.status, "answered"),
            Outcome::Refused(refusal) => (u32::from(status_of(*refusal)), refusal.reason.code()),
        };
        metrics::request_ended(status, reason, elapsed);
        let request = &self.attempt;
        let route = self.route.as_ref().map_or("", Route::as_str);
        let workspace = self.workspace.as_ref().map_or("", Workspace::as_str);
        let table_version = node.table().map_or(0, |table| table.version);
        let spent_ms = clock::millis(elapsed);
        let fingerprint = self.fingerprint.unwrap_or(Fingerprint(0));
        let retry_after_ms = self.retry_after.map_or(0, |it| clock::millis(it.delay));
        let retry_why = self.retry_after.map_or("", |it| it.why.name());
        let returned = self.is_return;
        if let Some(forwarded) = &self.forwarded {
            let service = forwarded.service.as_ref().map_or("", Service::as_str);
            log::info!(request:% = request, status = status, reason:% = reason, route:% = route,
                workspace:% = workspace, fingerprint:% = fingerprint, caller:% = self.caller, service:% = service,
                owner:% = forwarded.owner, tries = forwarded.tries, returned = returned,
                retry_after_ms = retry_after_ms, retry_why:% = retry_why, spent_ms = spent_ms, table_version = table_version;
                "request-ended");
            return;
        }
        if let Some(strikes) = self.strikes {
            log::info!(request:% = request, status = status, reason:% = reason, route:% = route,
                workspace:% = workspace, fingerprint:% = fingerprint, strikes = strikes,
                spent_ms = spent_ms, table_version = table_version; "request-ended");
            return;
        }
        if let Some((service, admitted_fraction)) = self.bottleneck {
            log::info!(request:% = request, status = status, reason:% = reason, route:% = route,
                workspace:% = workspace, scarcest:% = service, part = admitted_fraction, cost:% = self.cost,
                fingerprint:% = fingerprint, returned = returned, retry_after_ms = retry_after_ms, retry_why:% = retry_why,
                spent_ms = spent_ms, table_version = table_version; "request-ended");
            return;
        }
        let age = node.freshness.borrow().age(clock::now());
        let proof_age_ms = age.map_or(u64::MAX, clock::millis);
        log::info!(request:% = request, status = status, reason:% = reason, route:% = route,
            workspace:% = workspace, proof_age_ms = proof_age_ms, spent_ms = spent_ms,
            table_version = table_version; "request-ended");
    }
}
