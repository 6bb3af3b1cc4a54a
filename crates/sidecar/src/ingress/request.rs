//! Handles one request: finds its route and workspace, admits or refuses it, and forwards it.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::{ClientHeaders, RequestSource, forwarded_headers};
use cassiashunt_admit::jittered_retry_after;
use cassiashunt_mesh::{RouteRow, SiteTable, WorkspaceRow};
use cassiashunt_suspect::{Decision, Fingerprint};
use cassiashunt_types::prelude::*;

use super::{
    forward::{ForwardRequest, forward},
    reply::Reply,
    trace::Trace,
    turn::{Turn, arrival, is_for_want_of_room},
};
use crate::{
    budget::RetryKind,
    clock,
    http::{RequestHead, forwardable, header},
    link::{Field, Outcome, WorkRequest},
    memory::Part,
    metrics,
    node::Node,
    quota,
};

/// The timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The priority of the least urgent client request; more urgent ranks add to it.
const BASE_PRIORITY: u8 = 20;
/// Priority steps per workspace rank. Larger than the range of all route ranks, so that workspaces
/// are ordered first.
const WORKSPACE_RANK_STEP: u8 = 20;
/// Priority steps per route rank.
const ROUTE_RANK_STEP: u8 = 2;
/// The least urgent rank; greater ranks count as this one.
const MAX_RANK: u8 = 9;

/// How long after its owner was to tell, a request that a stop gives up is answered without its outcome.
const RECALL_SLACK: Duration = Duration::from_millis(10);

/// A request as read from the connection.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) head: RequestHead,
    /// The values that the adapter read from its headers.
    pub(crate) client_headers: ClientHeaders,
    pub(crate) body: Bytes,
    pub(crate) received: Time,
}

/// Handles one request and logs its end. It is cancelled when `closed` resolves.
pub(crate) async fn handle(
    node: &Rc<Node>,
    incoming: Incoming,
    closed: impl Future<Output = ()>,
) -> Reply {
    let received = incoming.received;
    let timeout = incoming.client_headers.timeout;
    let mut trace = Trace::default();
    let answered = tokio::select! {
        biased;
        outcome = answer(node, incoming, &mut trace) => Some(outcome),
        // Dropping the other future cancels the request wherever it is.
        () = closed => {
            let refusal = cancel(node, &trace, timeout, received);
            return Reply { closes: true, ..Reply::from_refusal(refusal) };
        }
        () = recalls_end(node) => None,
    };
    let outcome =
        answered.unwrap_or_else(|| Outcome::Refused(give_up(node, &trace, timeout, received)));
    trace.end(node, &outcome, clock::now().since(received));
    match outcome {
        Outcome::Answered(answer) => Reply::from_answer(answer),
        Outcome::Refused(refusal) => Reply::from_refusal(refusal),
    }
}

/// Resolves when a stop has given up what is pending and no longer waits for what owners tell of it.
async fn recalls_end(node: &Node) {
    node.giving_up.cancelled().await;
    tokio::time::sleep(node.recall_time() + RECALL_SLACK).await;
}

/// The reply to a request that is not complete when a stop gives up what is pending.
pub(super) fn refuse_incomplete(node: &Node) -> Reply {
    let now = clock::now();
    let since_stop = node.stopping.get().map(|it| now.since(it.began()));
    log::info!(since_stop_ms = clock::millis(since_stop.unwrap_or_default()); "request-incomplete");
    let refusal = refusal_with_retry_after(node, Reason::Draining, None, now);
    Reply {
        closes: true,
        ..Reply::from_refusal(refusal)
    }
}

/// The reply to a request that is not complete when the memory for bodies has no room for it.
pub(super) fn refuse_for_memory(node: &Node) -> Reply {
    log_closed_for_memory(node, Part::Request);
    let refusal = refusal_with_retry_after(node, Reason::Full, None, clock::now());
    Reply {
        closes: true,
        ..Reply::from_refusal(refusal)
    }
}

/// Records that a connection is closed to free the memory of its body.
pub(super) fn log_closed_for_memory(node: &Node, part: Part) {
    if let Some(suppressed) = node.admit_line("body-dropped") {
        log::warn!(part:% = part.name(), held = node.memory.held(), suppressed = suppressed;
            "body-dropped");
    }
}

/// Ends a request that a stop gives up.
fn give_up(node: &Node, trace: &Trace, timeout: Option<Duration>, received: Time) -> Refusal {
    let began = node.stopping.get().map_or(received, |it| it.began());
    log::warn!(request:% = trace.attempt, read_ms = clock::millis(received.since(began)),
        since_stop_ms = clock::millis(clock::now().since(began)), forwarded = trace.is_forwarded;
        "request-given-up");
    refusal_of_pending(node, trace, Reason::Draining, timeout, received)
}

/// Ends a request whose client has closed its sending side. It may still read the answer: the end of
/// one side looks like that of both.
fn cancel(node: &Node, trace: &Trace, timeout: Option<Duration>, received: Time) -> Refusal {
    log::info!(request:% = trace.attempt, forwarded = trace.is_forwarded; "request-cancelled");
    refusal_of_pending(node, trace, Reason::Lost, timeout, received)
}

/// The refusal of a request that is ended before its outcome is known. Only one that was not forwarded
/// is certain not to run.
fn refusal_of_pending(
    node: &Node,
    trace: &Trace,
    reason: Reason,
    timeout: Option<Duration>,
    received: Time,
) -> Refusal {
    if trace.is_forwarded {
        Refusal::may_have_run(reason)
    } else {
        refusal_with_retry_after(node, reason, timeout, received)
    }
}

async fn answer(node: &Rc<Node>, incoming: Incoming, trace: &mut Trace) -> Outcome {
    let Incoming {
        head,
        client_headers,
        body,
        received,
    } = incoming;
    trace.attempt = client_headers.attempt.clone().unwrap_or_default();
    let stated_timeout = client_headers.timeout;
    let refuse = |reason| {
        Outcome::Refused(refusal_with_retry_after(
            node,
            reason,
            stated_timeout,
            received,
        ))
    };
    let Some(table) = node.table() else {
        return refuse(Reason::NotInTouch);
    };
    let host = header(&head.headers, "host").unwrap_or_default();
    let path = head.target.split('?').next().unwrap_or_default();
    let Some(route) = table.route(host, path) else {
        // This table may be out of date, and a newer one may have the route.
        return if node.is_fresh() {
            Outcome::Refused(Refusal::not_run(Reason::UnknownRoute))
        } else {
            refuse(Reason::NotInTouch)
        };
    };
    trace.route = Some(route.name);
    let is_call = route.is_public && client_headers.key.is_none();
    let workspace = match workspace(node, &table, route, &client_headers, is_call) {
        Ok(workspace) => workspace,
        Err(Reason::NotInTouch) => return refuse(Reason::NotInTouch),
        Err(reason) => return Outcome::Refused(Refusal::not_run(reason)),
    };
    trace.workspace = workspace.map(|row| row.name);
    let fingerprint = fingerprint(host, &head.method, &head.target, &body, trace.workspace);
    trace.fingerprint = Some(fingerprint);
    let now = clock::now();
    if let Decision::Refuse(refusal) = node.suspicion.check(now, fingerprint) {
        trace.strikes = Some(node.suspicion.strike_count(now, fingerprint));
        return Outcome::Refused(refusal);
    }
    let mut priority = if !is_call && node.relies_on_peers() {
        out_of_touch_priority(route)
    } else {
        priority(&table, route, workspace)
    };
    let mut depth = 0;
    let mut is_chain_call = false;
    let mut is_repeat = false;
    if is_call {
        depth = 1;
        // A call inherits the priority of the request that makes it.
        if let Some(run) = node.owner.on_call(route.name, &trace.attempt) {
            priority = run.priority;
            depth = run.depth.saturating_add(1);
            is_chain_call = true;
            is_repeat = run.is_repeat;
        }
    }
    let timeout = stated_timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = deadline_in_stop(node, &trace.attempt, received + timeout, is_chain_call);
    let Some(deadline) = deadline else {
        return refuse(Reason::Draining);
    };
    if let Some(row) = workspace
        && !quota::admit(node, row.name).await
    {
        return refuse(Reason::OverLimit);
    }
    // Requests over a limit put no load on the services, so limits are checked before shedding.
    let turn = (!is_call).then(|| Turn {
        route,
        arrival: arrival(route, priority, trace.workspace, fingerprint.0),
        received,
        limit: received + stated_timeout.unwrap_or(DEFAULT_TIMEOUT),
    });
    let decision = turn.map(|it| it.ask(node));
    trace.is_return = decision.is_some_and(|it| it.is_return);
    if trace.is_return {
        metrics::returned(decision.is_some_and(|it| it.is_admitted));
    }
    if let Some(turn) = &turn
        && decision.is_some_and(|it| !it.is_admitted)
    {
        trace.bottleneck = node.shedding.bottleneck(route.name, priority);
        trace.cost = node.shedding.cost_text(route.name);
        if let Some(row) = workspace {
            node.quotas.refund(clock::now(), row.name);
        }
        let after = turn.retry_after(node, trace.is_return);
        trace.retry_after = Some(after);
        return Outcome::Refused(Refusal::not_run(Reason::Shed).retry_after(after.delay));
    }
    let settings = node.settings();
    let source = RequestSource {
        caller: &settings.service,
        workspace: workspace.map(|row| row.full_name.as_str()),
    };
    trace.caller = source.caller.into();
    log_replaced_caller(node, &client_headers, source.caller);
    let message = WorkRequest {
        id: 0,
        attempt: trace.attempt.clone(),
        method: head.method,
        target: head.target,
        headers: outgoing_headers(head.headers, source),
        body,
        remaining_us: 0,
        priority: u32::from(priority),
        depth: u32::from(depth),
        route: route.name.as_str().into(),
        workspace: trace
            .workspace
            .map_or_else(String::new, |it| it.as_str().into()),
        service: String::new(),
        start_within_us: 0,
        fingerprint: fingerprint.0,
        is_repeat,
    };
    let req = ForwardRequest {
        message,
        route,
        deadline,
        retry_kind: match (node.shedding.is_chain(route.name), is_call) {
            (true, _) => RetryKind::Chain,
            (false, true) => RetryKind::LeafCall,
            (false, false) => RetryKind::Leaf,
        },
        start_by: (!is_call).then(|| received + max_start_wait(route)),
    };
    trace.is_forwarded = true;
    let forwarded = forward(node, req).await;
    if let (Some(row), Outcome::Refused(refusal)) = (workspace, &forwarded.outcome)
        && refusal.verdict == Verdict::NotRun
    {
        node.quotas.refund(clock::now(), row.name);
    }
    let outcome = match (turn, &forwarded.outcome) {
        (Some(turn), Outcome::Refused(refusal))
            if refusal.verdict == Verdict::NotRun && is_for_want_of_room(refusal.reason) =>
        {
            let after = turn.retry_after(node, trace.is_return);
            trace.retry_after = Some(after);
            Outcome::Refused(refusal.retry_after(after.delay))
        }
        (_, outcome) => with_retry_after(node, outcome.clone(), stated_timeout, received),
    };
    trace.forwarded = Some(forwarded);
    outcome
}

/// The time limit of a request, which a stop may shorten; `None` if it came too late to be taken. A
/// call whose run is still at work is always taken, since a request that was taken before needs it.
fn deadline_in_stop(
    node: &Node,
    attempt: &str,
    deadline: Time,
    is_chain_call: bool,
) -> Option<Time> {
    let now = clock::now();
    let Some(stop) = node.stopping.get().filter(|it| !it.takes(now, deadline)) else {
        return Some(deadline);
    };
    if is_chain_call {
        return Some(stop.last_deadline());
    }
    log::info!(request:% = attempt, since_stop_ms = clock::millis(now.since(stop.began())),
        left_ms = clock::millis(deadline.since(now)); "request-too-late");
    None
}

/// The fingerprint that all attempts of one request share, whichever node receives them.
pub(crate) fn fingerprint(
    host: &str,
    method: &str,
    target: &str,
    body: &[u8],
    workspace: Option<Workspace>,
) -> Fingerprint {
    let workspace = workspace.as_ref().map_or("", Workspace::as_str);
    let texts = [workspace, host, method, target];
    Fingerprint::of_parts(texts.into_iter().map(str::as_bytes).chain([body]))
}

/// The workspace whose API key came with the request; `None` on public routes, for calls of the
/// backend server, and if the table has no workspaces.
fn workspace<'a>(
    node: &Node,
    table: &'a SiteTable,
    route: &RouteRow,
    client_headers: &ClientHeaders,
    is_call: bool,
) -> Result<Option<&'a WorkspaceRow>, Reason> {
    if !table.has_workspaces() || route.is_public || is_call {
        return Ok(None);
    }
    let key = client_headers.key.as_deref();
    let found = key.and_then(|key| table.workspace_of_key(key));
    if !node.is_fresh() {
        Err(Reason::NotInTouch)
    } else {
        found.map(Some).ok_or(Reason::BadKey)
    }
}

/// Fraction of a route's objective for which a client's request may wait to start. A longer wait
/// leaves too little time for the work and for a retry.
const START_WAIT_SHARE: f64 = 0.12;
/// The minimum of that wait: a busy server frees a slot within it.
const MIN_START_WAIT: Duration = Duration::from_millis(20);

/// How long a client's request may wait to start before it is refused with a retry-after delay.
/// Calls within a chain wait until their deadline, since work has been spent on their chain.
fn max_start_wait(route: &RouteRow) -> Duration {
    route
        .objective
        .mul_f64(START_WAIT_SHARE)
        .max(MIN_START_WAIT)
}

/// The priority by which requests are served and shed: by the workspace's rank, then the route's. A
/// call carries no workspace, and counts as one of the most urgent workspace.
pub(crate) fn priority(
    table: &SiteTable,
    route: &RouteRow,
    workspace: Option<&WorkspaceRow>,
) -> u8 {
    let urgency = |rank: u8| MAX_RANK - rank.min(MAX_RANK);
    let rank = workspace.map_or_else(|| table.most_urgent_rank(), |row| row.rank);
    let workspace_urgency = urgency(rank);
    BASE_PRIORITY + workspace_urgency * WORKSPACE_RANK_STEP + urgency(route.rank) * ROUTE_RANK_STEP
}

/// The priority of requests at a node that the store does not answer. It is below that of all
/// requests at nodes in touch, so that they use spare capacity only.
pub(crate) fn out_of_touch_priority(route: &RouteRow) -> u8 {
    1 + MAX_RANK - route.rank.min(MAX_RANK)
}

/// Records that a client named a caller itself: a server never gets it.
fn log_replaced_caller(node: &Node, client_headers: &ClientHeaders, caller: &str) {
    let Some(stated) = client_headers.caller.as_deref().filter(|it| *it != caller) else {
        return;
    };
    metrics::caller_replaced();
    if let Some(suppressed) = node.admit_line("caller-replaced") {
        log::info!(request:% = client_headers.attempt.as_deref().unwrap_or_default(), stated:% = stated, caller:% = caller,
            suppressed = suppressed; "caller-replaced");
    }
}

fn outgoing_headers(headers: Vec<(String, String)>, source: RequestSource<'_>) -> Vec<Field> {
    let prepared = forwarded_headers(forwardable(headers), source).into_iter();
    prepared
        .map(|(name, value)| Field { name, value })
        .collect()
}

/// A refusal of a request that did not run, with a retry-after delay that is randomized to avoid
/// synchronized retries.
fn refusal_with_retry_after(
    node: &Node,
    reason: Reason,
    timeout: Option<Duration>,
    received: Time,
) -> Refusal {
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    let remaining = timeout.saturating_sub(clock::now().since(received));
    let after = jittered_retry_after(remaining, &mut node.rng.borrow_mut());
    Refusal::not_run(reason).retry_after(after)
}

fn with_retry_after(
    node: &Node,
    outcome: Outcome,
    timeout: Option<Duration>,
    received: Time,
) -> Outcome {
    match outcome {
        // Strikes expire at a fixed time, independent of the load.
        Outcome::Refused(Refusal {
            reason: Reason::Suspect,
            retry_after: Some(_),
            ..
        }) => outcome,
        Outcome::Refused(refusal) if refusal.verdict == Verdict::NotRun => Outcome::Refused(
            refusal_with_retry_after(node, refusal.reason, timeout, received),
        ),
        other => other,
    }
}
