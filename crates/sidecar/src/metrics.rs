//! Counters and latency histograms, as Prometheus text.
//!
//! Label values come from small fixed sets, so that the number of series does not grow with the
//! load.

use std::time::Duration;

use metrics::{
    Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the histogram buckets, in seconds: from the latency that a node adds up to the
/// longest time that the platform's clients wait.
const BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 2.5, 6.0,
];

const REQUESTS: &str = "cassiashunt_requests_total";
const REQUEST_SECONDS: &str = "cassiashunt_request_seconds";
const SERVER_RUNS: &str = "cassiashunt_server_runs_total";
const SERVER_SECONDS: &str = "cassiashunt_server_seconds";
const RETRIES: &str = "cassiashunt_retries_total";
const STORE_CALLS: &str = "cassiashunt_store_calls_total";
const STORE_SECONDS: &str = "cassiashunt_store_seconds";
const REPORTS: &str = "cassiashunt_reports_total";
const SERVER_COLD: &str = "cassiashunt_server_cold_total";
const EVACUATED: &str = "cassiashunt_evacuated_domains";
const CALLERS_REPLACED: &str = "cassiashunt_callers_replaced_total";
const BODIES_CLOSED: &str = "cassiashunt_bodies_closed_total";
const CLIENTS_CLOSED: &str = "cassiashunt_client_connections_closed_total";
const BODY_BYTES: &str = "cassiashunt_body_bytes";
const RETURNS: &str = "cassiashunt_returns_total";
const RETRY_AFTERS: &str = "cassiashunt_retry_after_total";
const LINES_DROPPED: &str = "cassiashunt_log_lines_dropped_total";
const PEERS_UP: &str = "cassiashunt_peers_up";
const PROOF_AGE: &str = "cassiashunt_proof_age_seconds";
const TABLE_VERSION: &str = "cassiashunt_table_version";
const SERVER_PACE: &str = "cassiashunt_server_pace";
const SERVER_SLOTS: &str = "cassiashunt_server_usable_slots";

/// Installs the Prometheus recorder and describes the metrics.
///
/// # Errors
///
/// Fails if a recorder is already installed in the process.
pub(crate) fn install() -> eyre::Result<PrometheusHandle> {
    let suffix = Matcher::Suffix("_seconds".into());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, &BUCKETS_S)?;
    let handle = builder.install_recorder()?;
    describe_counter!(
        REQUESTS,
        "Requests of clients and of the backend server, by end"
    );
    describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "From the head's last byte to the answer"
    );
    describe_counter!(SERVER_RUNS, "Requests handed to the backend server, by end");
    describe_histogram!(
        SERVER_SECONDS,
        Unit::Seconds,
        "Time that a request held a slot"
    );
    describe_counter!(RETRIES, "Requests sent to a second backend server, by kind");
    describe_counter!(STORE_CALLS, "Calls to the platform's store, by end");
    describe_histogram!(
        STORE_SECONDS,
        Unit::Seconds,
        "Time of a call to the store, watches left out"
    );
    describe_counter!(
        REPORTS,
        "Status reports and leaves of backend servers and other writers, by what became of them"
    );
    describe_counter!(
        SERVER_COLD,
        "Times that starts at the backend server were limited because it is or may be cold"
    );
    describe_gauge!(
        EVACUATED,
        "Failure domains that the operators have evacuated"
    );
    describe_counter!(
        CALLERS_REPLACED,
        "Requests whose client named a caller itself, which was replaced"
    );
    describe_counter!(
        BODIES_CLOSED,
        "Connections of clients that were closed to free the memory of their bodies, by part"
    );
    describe_counter!(
        CLIENTS_CLOSED,
        "Connections of clients that were closed because there were too many, by state"
    );
    describe_gauge!(
        BODY_BYTES,
        Unit::Bytes,
        "Bytes held for bodies of requests and answers"
    );
    describe_counter!(
        RETURNS,
        "Requests that came back when told, by whether they were admitted before their chain or refused twice"
    );
    describe_counter!(
        RETRY_AFTERS,
        "Retry-after delays given for want of room, by what they rest on"
    );
    describe_counter!(
        LINES_DROPPED,
        "Log lines that were dropped to bound their volume"
    );
    describe_gauge!(PEERS_UP, "Peers that can be asked");
    describe_gauge!(
        PROOF_AGE,
        Unit::Seconds,
        "Age of the proof that the table is the newest"
    );
    describe_gauge!(TABLE_VERSION, "Version of the table in force");
    describe_gauge!(
        SERVER_PACE,
        "How long work takes at the backend server, as a multiple of its service's mean"
    );
    describe_gauge!(SERVER_SLOTS, "Slots of the backend server that are used");
    Ok(handle)
}

/// Counts an answered request.
pub(crate) fn request_ended(status: u32, reason: &'static str, spent: Duration) {
    let class = match status {
        200..=299 => "2xx",
        400..=499 => "4xx",
        500..=599 => "5xx",
        _ => "other",
    };
    counter!(REQUESTS, "status" => class, "reason" => reason).increment(1);
    histogram!(REQUEST_SECONDS).record(spent.as_secs_f64());
}

/// Counts a finished run of a request at the backend server.
pub(crate) fn run_ended(end: &'static str, spent: Duration) {
    counter!(SERVER_RUNS, "end" => end).increment(1);
    histogram!(SERVER_SECONDS).record(spent.as_secs_f64());
}

/// Counts a client's connection that was closed to free its body.
pub(crate) fn body_closed(part: &'static str) {
    counter!(BODIES_CLOSED, "part" => part).increment(1);
}

/// Counts a client's connection that was closed because there were too many.
pub(crate) fn client_closed(state: &'static str) {
    counter!(CLIENTS_CLOSED, "state" => state).increment(1);
}

/// Counts a retry.
pub(crate) fn retried(kind: &'static str) {
    counter!(RETRIES, "kind" => kind).increment(1);
}

/// Counts a call to the store. `spent` is `None` for watches, whose duration is no latency.
pub(crate) fn store_called(end: &'static str, spent: Option<Duration>) {
    counter!(STORE_CALLS, "end" => end).increment(1);
    if let Some(spent) = spent {
        histogram!(STORE_SECONDS).record(spent.as_secs_f64());
    }
}

/// Counts a status report or a leave.
pub(crate) fn reported(outcome: &'static str) {
    counter!(REPORTS, "outcome" => outcome).increment(1);
}

/// Counts a request whose client named a caller itself.
pub(crate) fn caller_replaced() {
    counter!(CALLERS_REPLACED).increment(1);
}

/// Counts a time that starts at the backend server are limited.
pub(crate) fn server_cold() {
    counter!(SERVER_COLD).increment(1);
}

/// Sets the number of evacuated failure domains.
pub(crate) fn set_evacuated(domains: usize) {
    gauge!(EVACUATED).set(domains as f64);
}

/// Counts a request that came back.
pub(crate) fn returned(is_admitted: bool) {
    let end = if is_admitted {
        "admitted"
    } else {
        "refused-twice"
    };
    counter!(RETURNS, "end" => end).increment(1);
}

/// Counts a retry-after delay given for want of room.
pub(crate) fn retry_after_given(why: &'static str) {
    counter!(RETRY_AFTERS, "why" => why).increment(1);
}

/// Counts dropped log lines.
pub(crate) fn lines_dropped(lines: u64) {
    counter!(LINES_DROPPED).increment(lines);
}

/// Sets the gauges. A missing proof is shown as an infinite age.
pub(crate) fn set_gauges(
    peers_up: usize,
    proof_age: Option<Duration>,
    table_version: u64,
    body_bytes: usize,
) {
    gauge!(BODY_BYTES).set(body_bytes as f64);
    gauge!(PEERS_UP).set(peers_up as f64);
    gauge!(PROOF_AGE).set(proof_age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    gauge!(TABLE_VERSION).set(table_version as f64);
}

/// Sets the gauges of the backend server's speed.
pub(crate) fn set_server_speed(pace: f64, usable_slots: u32) {
    gauge!(SERVER_PACE).set(pace);
    gauge!(SERVER_SLOTS).set(f64::from(usable_slots));
}
