//! Forwards a request to an owner, and retries it at another one if the first did not run it.

use std::rc::Rc;

use cassiashunt_mesh::{Repeat, RouteRow};
use cassiashunt_route::{Outcome as TryOutcome, OwnerReport, ServerKey};
use cassiashunt_suspect::Decision;
use cassiashunt_types::prelude::*;
use tokio::{
    sync::oneshot::{self, error::RecvError},
    time::{error::Elapsed, timeout},
};

use crate::{
    budget::RetryKind,
    clock,
    fleet::{ChosenServer, ServerPath},
    link::{Link, Outcome, WorkRequest},
    metrics,
    node::Node,
};

/// How long after the deadline to wait for the owner's outcome: only the owner knows whether a
/// queued request ran.
const OUTCOME_GRACE: Duration = Duration::from_millis(60);
/// Maximum number of tries that end otherwise than with a server's rejection.
const MAX_TRIES: usize = 3;
/// Maximum number of a request's tries in all.
const MAX_TRIES_WITH_REJECTIONS: usize = 12;
/// The longest wait before the first try at a server that has rejected the request; it doubles with
/// each further one, up to 16 times.
const MAX_RESEND_WAIT: Duration = Duration::from_millis(2);

/// A request to forward, with its route and time bounds.
#[derive(Debug)]
pub(crate) struct ForwardRequest<'a> {
    pub(crate) message: WorkRequest,
    pub(crate) route: &'a RouteRow,
    pub(crate) deadline: Time,
    /// The time by which it must start, or is refused, if that is before its deadline.
    pub(crate) start_by: Option<Time>,
    /// The retry budget that it draws on.
    pub(crate) retry_kind: RetryKind,
}

/// The outcome of a forwarded request, and where it was sent.
#[derive(Debug)]
pub(crate) struct Forwarded {
    pub(crate) outcome: Outcome,
    pub(crate) service: Option<Service>,
    /// The name of the node that it was sent to last; empty if none.
    pub(crate) owner: String,
    pub(crate) tries: usize,
}

/// Forwards a request until it is answered, must not be retried, or no further owner can take it.
pub(crate) async fn forward(node: &Rc<Node>, mut req: ForwardRequest<'_>) -> Forwarded {
    let service = node.splits.next(req.route, &mut node.rng.borrow_mut());
    let Some(service) = service else {
        return Forwarded {
            outcome: Outcome::Refused(Refusal::not_run(Reason::NoServer)),
            service: None,
            owner: String::new(),
            tries: 0,
        };
    };
    req.message.service = service.as_str().into();
    let now = clock::now();
    if !req.message.is_repeat {
        node.budgets.on_first_try(now, service, req.retry_kind);
    } else if !node.budgets.take_repeated_call(now, service) {
        return Forwarded {
            outcome: Outcome::Refused(Refusal::not_run(Reason::Shed)),
            service: Some(service),
            owner: String::new(),
            tries: 0,
        };
    }
    let mut tries = Tries::default();
    let mut owner = String::new();
    let mut may_have_run = false;
    let mut last = Refusal::not_run(Reason::NoServer);
    let outcome = loop {
        let now = clock::now();
        let remaining = req.deadline.since(now);
        let is_late = req.start_by.is_some_and(|by| now >= by) && tries.count > 0;
        if remaining.is_zero() || is_late || node.giving_up.is_cancelled() {
            break Outcome::Refused(last);
        }
        if tries.is_resend(&req) {
            let doubled = MAX_RESEND_WAIT * 2_u32.pow(tries.rejected.min(4) as u32);
            let wait = doubled.mul_f64(node.rng.borrow_mut().f64());
            tokio::time::sleep(wait.min(remaining / 8)).await;
        }
        let chosen = match choose(node, &req, service, &tries) {
            Ok(Some(chosen)) => chosen,
            Ok(None) => break Outcome::Refused(last),
            Err(refusal) => break Outcome::Refused(refusal),
        };
        owner.clone_from(&chosen.owner);
        let remaining = req.deadline.since(clock::now());
        let outcome = try_once(node, &req, &chosen, remaining).await;
        tries.on_end(node, &chosen, &outcome);
        let refusal = match outcome {
            Outcome::Answered(_) => break outcome,
            Outcome::Refused(refusal) => refusal,
        };
        may_have_run |= refusal.verdict == Verdict::MayHaveRun;
        last = refusal;
        if node.giving_up.is_cancelled() {
            break Outcome::Refused(Refusal {
                reason: Reason::Draining,
                ..refusal
            });
        }
        if !may_retry(node, &req, service, &refusal, &tries) {
            break Outcome::Refused(refusal);
        }
        // Calls of a run that is a repeat count as repeats at the services that they reach.
        req.message.is_repeat |= has_reached_server(&refusal);
        log::info!(request:% = req.message.attempt, service:% = service, owner:% = owner,
            reason:% = refusal.reason, verdict:? = refusal.verdict, tries = tries.count,
            sent_to_servers = tries.reached.len(), kind:% = req.retry_kind.name(),
            left_ms = clock::millis(req.deadline.since(clock::now())); "request-retried");
    };
    Forwarded {
        outcome: if may_have_run {
            as_may_have_run(outcome)
        } else {
            outcome
        },
        service: Some(service),
        owner,
        tries: tries.count,
    }
}

/// The tries of one request.
#[derive(Debug, Default)]
struct Tries {
    count: usize,
    /// Those that a server rejected without running the request.
    rejected: usize,
    /// All servers that were chosen.
    chosen: Vec<ServerKey>,
    /// The servers that the request may have been sent to.
    reached: Vec<ServerKey>,
}

impl Tries {
    fn on_end(&mut self, node: &Node, chosen: &ChosenServer, outcome: &Outcome) {
        self.count += 1;
        if !self.chosen.contains(&chosen.key) {
            self.chosen.push(chosen.key);
        }
        let refusal = match outcome {
            Outcome::Answered(_) => return node.shedding.on_try(chosen.service, true),
            Outcome::Refused(refusal) => refusal,
        };
        if !has_reached_server(refusal) {
            return;
        }
        if !self.reached.contains(&chosen.key) {
            self.reached.push(chosen.key);
        }
        self.rejected += usize::from(is_rejection(refusal));
        // A missed deadline depends more on the load than on the server.
        if refusal.reason != Reason::Deadline {
            node.shedding.on_try(chosen.service, false);
        }
    }

    /// Whether the next try goes to a server that was tried already, because the request may be sent
    /// to no further one.
    fn is_resend(&self, req: &ForwardRequest<'_>) -> bool {
        self.rejected > 0 && self.reached.len() >= max_attempts(req)
    }
}

fn max_attempts(req: &ForwardRequest<'_>) -> usize {
    usize::try_from(req.route.max_attempts).unwrap_or(usize::MAX)
}

/// Whether the server stated that it did not run the request.
fn is_rejection(refusal: &Refusal) -> bool {
    refusal.verdict == Verdict::NotRun && refusal.reason == Reason::ServerRefused
}

/// Chooses a server that has not been tried, or among those tried if the request may be sent to no
/// other. A suspect request is only ever sent to one designated
/// server, so that it never runs at two servers at once.
fn choose(
    node: &Node,
    req: &ForwardRequest<'_>,
    service: Service,
    tries: &Tries,
) -> Result<Option<ChosenServer>, Refusal> {
    let now = clock::now();
    let mut rng = node.rng.borrow_mut();
    let mut fleet = node.fleet.borrow_mut();
    let fingerprint = req.message.fingerprint();
    let decision = fingerprint.map_or(Decision::Run, |it| node.suspicion.check(now, it));
    match (decision, fingerprint) {
        (Decision::Refuse(refusal), _) => Err(refusal),
        (Decision::RunAlone, Some(fingerprint)) if tries.count == 0 => Ok(
            fleet.choose_for_suspect(now, service, fingerprint, &node.settings().name, &mut rng)
        ),
        (Decision::RunAlone, _) => Ok(None),
        (Decision::Run, _) if tries.is_resend(req) => {
            Ok(fleet.choose_among(now, service, &tries.reached, &mut rng))
        }
        (Decision::Run, _) => Ok(fleet.choose(now, service, &tries.chosen, &mut rng)),
    }
}

/// Marks a refusal as `MayHaveRun` because an earlier try may have run: the last owner's `NotRun`
/// covers only that owner.
fn as_may_have_run(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refused(refusal) => Outcome::Refused(Refusal::may_have_run(refusal.reason)),
        answered @ Outcome::Answered(_) => answered,
    }
}

/// Whether a backend server may have received a request that ended with this refusal.
fn has_reached_server(refusal: &Refusal) -> bool {
    refusal.verdict == Verdict::MayHaveRun || refusal.reason == Reason::ServerRefused
}

fn may_retry(
    node: &Node,
    req: &ForwardRequest<'_>,
    service: Service,
    refusal: &Refusal,
    tries: &Tries,
) -> bool {
    let is_repeatable =
        refusal.verdict == Verdict::NotRun || req.route.repeat == Repeat::Idempotent;
    let other_tries = tries.count - tries.rejected;
    if !is_repeatable || other_tries >= MAX_TRIES || tries.count >= MAX_TRIES_WITH_REJECTIONS {
        return false;
    }
    if !has_reached_server(refusal) {
        return true;
    }
    let max_attempts = max_attempts(req);
    let may_reach_server =
        tries.reached.len() < max_attempts || (max_attempts > 1 && is_rejection(refusal));
    let priority = u8::try_from(req.message.priority).unwrap_or(u8::MAX);
    // What clients' own requests do not use is of no use to the calls of other nodes.
    let is_preferred = req.message.depth == 0 || node.shedding.may_repeat(priority, service);
    let nodes = node.fleet.borrow().size();
    let is_allowed = may_reach_server
        && is_preferred
        && node
            .budgets
            .take_retry(clock::now(), service, req.retry_kind, nodes);
    if is_allowed {
        metrics::retried(req.retry_kind.name());
    }
    is_allowed
}

/// One try of a request; cancels it when dropped before it has ended.
struct TryGuard<'a> {
    node: &'a Rc<Node>,
    chosen: &'a ChosenServer,
    cancel_handle: Option<CancelHandle>,
}

enum CancelHandle {
    Local(RequestId),
    Link(Rc<Link>, u64),
}

impl TryGuard<'_> {
    /// Cancels the try at its owner, whose outcome is still awaited.
    fn recall(&self) {
        match &self.cancel_handle {
            Some(CancelHandle::Local(id)) => self.node.owner.cancel(self.node, *id),
            Some(CancelHandle::Link(link, id)) => link.recall(*id),
            None => {}
        }
    }

    fn finish(&mut self, outcome: TryOutcome, report: Option<OwnerReport>) {
        self.cancel_handle = None;
        let now = clock::now();
        self.node
            .fleet
            .borrow_mut()
            .done(now, self.chosen, outcome, report);
    }
}

impl Drop for TryGuard<'_> {
    fn drop(&mut self) {
        let Some(cancel_handle) = self.cancel_handle.take() else {
            return;
        };
        match cancel_handle {
            CancelHandle::Local(id) => self.node.owner.cancel(self.node, id),
            CancelHandle::Link(link, id) => link.cancel(id),
        }
        let now = clock::now();
        let mut fleet = self.node.fleet.borrow_mut();
        fleet.done(now, self.chosen, TryOutcome::Cancelled, None);
    }
}

async fn try_once(
    node: &Rc<Node>,
    req: &ForwardRequest<'_>,
    chosen: &ChosenServer,
    remaining: Duration,
) -> Outcome {
    let mut message = req.message.clone();
    message.remaining_us = clock::micros(remaining);
    let now = clock::now();
    message.start_within_us = req
        .start_by
        .map_or(0, |by| clock::micros(by.since(now)).max(1));
    let mut guard = TryGuard {
        node,
        chosen,
        cancel_handle: None,
    };
    let limit = remaining + OUTCOME_GRACE;
    let ended = match &chosen.path {
        ServerPath::Local => {
            let (id, outcome) = node.owner.submit(node, message);
            guard.cancel_handle = Some(CancelHandle::Local(id));
            let outcome = await_outcome(&guard, outcome, limit).await;
            outcome.map(|it| {
                it.ok()
                    .map(|outcome| (outcome, Some(node.owner.report_state())))
            })
        }
        ServerPath::Link(_, link) => {
            let keeps_waiting = req.route.repeat != Repeat::Idempotent;
            let Some((id, outcome)) = link.request(message, keeps_waiting) else {
                guard.finish(TryOutcome::Refused, None);
                return Outcome::Refused(Refusal::not_run(Reason::NoServer));
            };
            guard.cancel_handle = Some(CancelHandle::Link(Rc::clone(link), id));
            let outcome = await_outcome(&guard, outcome, limit).await;
            outcome.map(Result::ok)
        }
    };
    let Ok(ended) = ended else {
        // No outcome from the owner: dropping the guard cancels the request there.
        return Outcome::Refused(Refusal::may_have_run(Reason::Deadline));
    };
    let lost = || (Outcome::Refused(Refusal::may_have_run(Reason::Lost)), None);
    let (outcome, report) = ended.unwrap_or_else(lost);
    guard.finish(try_outcome(&outcome), report);
    outcome
}

/// Waits for the outcome of a try. Where a stop gives it up, only the owner knows whether it ran.
async fn await_outcome<T>(
    guard: &TryGuard<'_>,
    outcome: oneshot::Receiver<T>,
    limit: Duration,
) -> Result<Result<T, RecvError>, Elapsed> {
    let node = guard.node;
    let outcome = timeout(limit, outcome);
    tokio::pin!(outcome);
    tokio::select! {
        biased;
        ended = &mut outcome => return ended,
        () = node.giving_up.cancelled() => {}
    }
    guard.recall();
    timeout(node.recall_time(), outcome).await?
}

/// How an outcome counts for the health of the server.
fn try_outcome(outcome: &Outcome) -> TryOutcome {
    match outcome {
        Outcome::Answered(_) => TryOutcome::Served,
        Outcome::Refused(refusal) => match (refusal.verdict, refusal.reason) {
            (Verdict::MayHaveRun, Reason::Lost) => TryOutcome::Failed,
            (Verdict::NotRun, Reason::ServerRefused | Reason::NoServer) => TryOutcome::Failed,
            _ => TryOutcome::Refused,
        },
    }
}
