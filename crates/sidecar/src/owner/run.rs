//! Runs one request at the backend server, from its start to its end.

use std::{cell::Cell, rc::Rc};

use cassiashunt_adapter::is_misdirected;
use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;
use tokio::{
    sync::oneshot,
    time::{error::Elapsed, timeout},
};

use super::{
    exchange::{Failure, Progress, exchange},
    pool::is_refused,
};
use crate::{
    clock,
    link::{Answer, Outcome, WorkRequest},
    metrics,
    node::Node,
};

/// Sends the outcome of a request to whoever submitted it.
pub(super) type OutcomeSender = oneshot::Sender<Outcome>;

/// How a running request ended.
pub(super) struct RunEnd {
    pub(super) attempt: String,
    pub(super) elapsed: Duration,
    /// The server did the complete work: it answered with a status below 300.
    pub(super) is_ok: bool,
    /// Whether the server failed it; `None` if that is not known.
    pub(super) has_failed: Option<bool>,
    pub(super) delivery: Delivery,
}

/// How far a request got at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The server answered.
    Answered,
    /// The server responded, but not with the answer of a run.
    Responded,
    /// Another start of the server now has its address.
    Replaced,
    /// It ended without an answer.
    Unanswered,
    /// It never reached the server.
    NotSent {
        /// The server's port is closed: it refused the connection.
        is_refused: bool,
    },
}

impl Delivery {
    fn of(ended: &Result<Result<Answer, Failure>, Elapsed>) -> Self {
        match ended {
            Ok(Ok(_)) => Self::Answered,
            Ok(Err(Failure::NotExecuted(status))) if is_misdirected(*status) => Self::Replaced,
            Ok(Err(Failure::NotExecuted(_) | Failure::InvalidAnswer(_))) => Self::Responded,
            Ok(Err(Failure::Lost(_))) | Err(_) => Self::Unanswered,
            Ok(Err(Failure::Unreachable(err))) => Self::NotSent {
                is_refused: is_refused(err),
            },
        }
    }
}

/// Runs one request at the server, until its deadline at the latest; `is_sent` is set before its
/// first byte is.
pub(super) async fn run(
    node: Rc<Node>,
    id: RequestId,
    request: WorkRequest,
    deadline: Time,
    is_sent: Rc<Cell<bool>>,
) {
    let owner = &node.owner;
    let began = clock::now();
    let remaining = deadline.since(began);
    let address = node.settings().addresses.server;
    let server = owner.server_id().unwrap_or_default();
    let progress = Progress {
        is_sent,
        ..Progress::default()
    };
    let ended = timeout(
        remaining,
        exchange(
            &owner.pool,
            &node.memory,
            address,
            &server,
            &request,
            remaining,
            &progress,
        ),
    )
    .await;
    let elapsed = clock::now().since(began);
    if let Some(load) = progress.load.get() {
        owner.on_server_load(load);
    }
    let delivery = Delivery::of(&ended);
    let outcome = match ended {
        Ok(Ok(answer)) => Outcome::Answered(answer),
        Ok(Err(failure)) => {
            log::warn!(request:% = request.attempt, failure:% = failure, server:% = server,
                fingerprint:% = Fingerprint(request.fingerprint), spent_ms = clock::millis(elapsed); "server-failed");
            Outcome::Refused(failure.refusal())
        }
        Err(_) => Outcome::Refused(Refusal::may_have_run(Reason::Deadline)),
    };
    let is_ok = matches!(&outcome, Outcome::Answered(answer) if answer.status < 300);
    let has_failed = has_failed(&outcome);
    metrics::run_ended(end_label(&outcome), elapsed);
    let end = RunEnd {
        attempt: request.attempt,
        elapsed,
        is_ok,
        has_failed,
        delivery,
    };
    owner.finish(&node, id, &end, outcome);
}

/// Whether the server failed a run. A lost answer counts as a failure, since the next one may be
/// lost too. A missed deadline doesn't: it depends more on the load than on the server.
fn has_failed(outcome: &Outcome) -> Option<bool> {
    match outcome {
        Outcome::Answered(answer) => match answer.status {
            503 | 504 => None,
            status => Some(status >= 500),
        },
        Outcome::Refused(refusal) if refusal.verdict == Verdict::MayHaveRun => {
            (refusal.reason != Reason::Deadline).then_some(true)
        }
        Outcome::Refused(_) => None,
    }
}

/// The label of a run's end in the metrics.
fn end_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(answer) if answer.status < 300 => "success",
        Outcome::Answered(_) => "failure",
        Outcome::Refused(refusal) => refusal.reason.code(),
    }
}
