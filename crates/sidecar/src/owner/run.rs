//! One request at the backend server, from its start to its end.

use std::rc::Rc;

use cassiashunt_adapter::is_misdirected;
use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;
use tokio::{
    sync::oneshot,
    time::{error::Elapsed, timeout},
};

use super::{
    exchange::{Failure, exchange},
    pool::is_refused,
};
use crate::{
    clock,
    link::{Answer, Outcome, WorkRequest},
    metrics,
    node::Node,
};

/// Where the outcome of a request goes.
pub(super) type Reply = oneshot::Sender<Outcome>;

/// How a running request ended.
pub(super) struct End {
    pub(super) attempt: String,
    pub(super) spent: Duration,
    /// The server did the whole work.
    pub(super) is_ok: bool,
    /// The server failed it; nothing where that is not known.
    pub(super) has_failed: Option<bool>,
    pub(super) fate: Fate,
}

/// What became of a request at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// The server answered.
    Answered,
    /// The server said something, but no answer of a run.
    Alive,
    /// Another start of the server has its address.
    Replaced,
    /// It ended without an answer.
    Unanswered,
    /// It never reached the server; whether the server's port is closed.
    NotSent {
        /// The connection was refused.
        is_refused: bool,
    },
}

impl Fate {
    fn of(ended: &Result<Result<Answer, Failure>, Elapsed>) -> Self {
        match ended {
            Ok(Ok(_)) => Self::Answered,
            Ok(Err(Failure::NotExecuted(status))) if is_misdirected(*status) => Self::Replaced,
            Ok(Err(Failure::NotExecuted(_) | Failure::Spoiled(_))) => Self::Alive,
            Ok(Err(Failure::Lost(_))) | Err(_) => Self::Unanswered,
            Ok(Err(Failure::Unreachable(err))) => Self::NotSent {
                is_refused: is_refused(err),
            },
        }
    }
}

/// Runs one request at the server, to its deadline.
pub(super) async fn run(
    node: Rc<Node>,
    id: RequestId,
    request: WorkRequest,
    deadline: Time,
    reply: Reply,
) {
    let owner = &node.owner;
    let began = clock::now();
    let left = deadline.since(began);
    let address = node.settings().addresses.server;
    let server = owner.server_id().unwrap_or_default();
    let ended = timeout(
        left,
        exchange(&owner.pool, address, &server, &request, left),
    )
    .await;
    let spent = clock::now().since(began);
    let fate = Fate::of(&ended);
    let outcome = match ended {
        Ok(Ok(answer)) => Outcome::Answered(answer),
        Ok(Err(failure)) => {
            log::warn!(request:% = request.attempt, failure:% = failure, server:% = server,
                fingerprint:% = Fingerprint(request.fingerprint), spent_ms = clock::millis(spent); "server-failed");
            Outcome::Refused(failure.refusal())
        }
        Err(_) => Outcome::Refused(Refusal::may_have_run(Reason::Deadline)),
    };
    let is_ok = matches!(&outcome, Outcome::Answered(answer) if answer.status < 300);
    let has_failed = has_failed(&outcome);
    metrics::run_ended(end_of(&outcome), spent);
    // Nobody waits where the request was given up at this moment.
    let _ = reply.send(outcome);
    let end = End {
        attempt: request.attempt,
        spent,
        is_ok,
        has_failed,
        fate,
    };
    owner.finish(&node, id, &end);
}

/// Whether the server failed a run. An answer lost on the way counts too: the next may be lost like
/// it. Deadlines say more of the load than of the server.
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

/// The end of a run, for its counter.
fn end_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(answer) if answer.status < 300 => "success",
        Outcome::Answered(_) => "failure",
        Outcome::Refused(refusal) => refusal.reason.code(),
    }
}
