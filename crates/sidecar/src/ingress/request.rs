//! One request: whose it is, whether it is allowed, and what is answered.

use std::rc::Rc;

use bytes::Bytes;
use cassiashunt_adapter::{Facts, Prepared, prepare};
use cassiashunt_admit::jittered_retry_after;
use cassiashunt_mesh::{RouteRow, SiteTable, WorkspaceRow};
use cassiashunt_suspect::{Decision, Fingerprint};
use cassiashunt_types::prelude::*;

use super::{
    forward::{Work, forward},
    reply::Reply,
    trace::Trace,
};
use crate::{
    budget::Kind,
    clock,
    http::{RequestHead, header, is_per_connection},
    link::{Field, Outcome, WorkRequest},
    node::Node,
    quota,
};

/// How long a client waits where it does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The priority of the least urgent request of a client; each rank adds to it.
const BASE_PRIORITY: u8 = 20;
/// What a rank of a workspace weighs against the ranks of routes.
const WORKSPACE_STEP: u8 = 20;
/// What a rank of a route weighs.
const ROUTE_STEP: u8 = 2;
/// The least urgent rank that is told apart.
const MAX_RANK: u8 = 9;

/// A request as it was read.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) head: RequestHead,
    /// What its headers say.
    pub(crate) facts: Facts,
    pub(crate) body: Bytes,
    pub(crate) received: Time,
}

/// Answers one request.
pub(crate) async fn handle(node: &Rc<Node>, incoming: Incoming) -> Reply {
    let received = incoming.received;
    let mut trace = Trace::default();
    let outcome = answer(node, incoming, &mut trace).await;
    trace.end(node, &outcome, clock::now().since(received));
    match outcome {
        Outcome::Answered(answer) => Reply::of_answer(answer),
        Outcome::Refused(refusal) => Reply::of_refusal(refusal),
    }
}

async fn answer(node: &Rc<Node>, incoming: Incoming, trace: &mut Trace) -> Outcome {
    let Incoming {
        head,
        facts,
        body,
        received,
    } = incoming;
    trace.attempt = facts.attempt.clone().unwrap_or_default();
    let Some(table) = node.table() else {
        return Outcome::Refused(come_back(node, Reason::NotInTouch, &facts, received));
    };
    let host = header(&head.headers, "host").unwrap_or_default();
    let path = head.target.split('?').next().unwrap_or_default();
    let Some(route) = table.route(host, path) else {
        // A newer table may have the route where this one may be out of date.
        let refusal = if node.is_fresh() {
            Refusal::not_run(Reason::UnknownRoute)
        } else {
            come_back(node, Reason::NotInTouch, &facts, received)
        };
        return Outcome::Refused(refusal);
    };
    trace.route = Some(route.name);
    let is_call = route.is_public && facts.key.is_none();
    let workspace = match workspace(node, &table, route, &facts, is_call) {
        Ok(workspace) => workspace,
        Err(Reason::NotInTouch) => {
            return Outcome::Refused(come_back(node, Reason::NotInTouch, &facts, received));
        }
        Err(reason) => return Outcome::Refused(Refusal::not_run(reason)),
    };
    trace.workspace = workspace.map(|row| row.name);
    let fingerprint = fingerprint(host, &head, &body, trace.workspace);
    trace.fingerprint = Some(fingerprint);
    let now = clock::now();
    if let Decision::Refuse(refusal) = node.suspicion.check(now, fingerprint) {
        trace.strikes = Some(node.suspicion.strikes(now, fingerprint));
        return Outcome::Refused(refusal);
    }
    let mut priority = if !is_call && node.is_on_peers_word() {
        spare_priority(route)
    } else {
        priority(&table, route, workspace)
    };
    let mut depth = 0;
    if is_call {
        depth = 1;
        // A call is as urgent as what it is part of.
        if let Some(run) = node.owner.on_call(route.name, &trace.attempt) {
            priority = run.priority;
            depth = run.depth.saturating_add(1);
        }
    }
    if let Some(row) = workspace
        && !quota::admit(node, row.name).await
    {
        return Outcome::Refused(come_back(node, Reason::OverLimit, &facts, received));
    }
    // What is beyond a limit is not asked of the services, so the limits come first.
    if !is_call && !node.shedding.admit(route.name, priority) {
        trace.scarcest = node.shedding.scarcest(route.name, priority);
        trace.cost = node.shedding.cost(route.name);
        if let Some(row) = workspace {
            node.quotas.refund(clock::now(), row.name);
        }
        return Outcome::Refused(come_back(node, Reason::Shed, &facts, received));
    }
    let waits = facts.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let request = WorkRequest {
        id: 0,
        attempt: trace.attempt.clone(),
        method: head.method,
        target: head.target,
        headers: passed_headers(node, head.headers, trace.workspace),
        body,
        left_us: 0,
        priority: u32::from(priority),
        depth: u32::from(depth),
        route: route.name.as_str().into(),
        workspace: trace
            .workspace
            .map_or_else(String::new, |it| it.as_str().into()),
        service: String::new(),
        start_left_us: 0,
        fingerprint: fingerprint.0,
    };
    let work = Work {
        request,
        route,
        deadline: received + waits,
        kind: match (node.shedding.is_chain(route.name), is_call) {
            (true, _) => Kind::Chain,
            (false, true) => Kind::LeafCall,
            (false, false) => Kind::Leaf,
        },
        start_by: (!is_call).then(|| received + longest_wait(route)),
    };
    let forwarded = forward(node, work).await;
    if let (Some(row), Outcome::Refused(refusal)) = (workspace, &forwarded.outcome)
        && refusal.verdict == Verdict::NotRun
    {
        node.quotas.refund(clock::now(), row.name);
    }
    let outcome = with_time_to_come_back(node, forwarded.outcome.clone(), &facts, received);
    trace.forwarded = Some(forwarded);
    outcome
}

/// What a request has in common with its other attempts, at whichever node they come in.
fn fingerprint(
    host: &str,
    head: &RequestHead,
    body: &Bytes,
    workspace: Option<Workspace>,
) -> Fingerprint {
    let workspace = workspace.as_ref().map_or("", Workspace::as_str);
    let texts = [workspace, host, &head.method, &head.target];
    Fingerprint::of_parts(texts.into_iter().map(str::as_bytes).chain([&body[..]]))
}

/// The workspace whose key came with the request; none on a route that is open to all, and for
/// calls of the backend server.
fn workspace<'a>(
    node: &Node,
    table: &'a SiteTable,
    route: &RouteRow,
    facts: &Facts,
    is_call: bool,
) -> Result<Option<&'a WorkspaceRow>, Reason> {
    if !table.has_workspaces() || route.is_public || is_call {
        return Ok(None);
    }
    let key = facts.key.as_deref();
    let found = key.and_then(|key| table.workspace_of_key(key));
    if !node.is_fresh() {
        Err(Reason::NotInTouch)
    } else {
        found.map(Some).ok_or(Reason::BadKey)
    }
}

/// The part of a route's objective for which a client's request may wait to start. Waiting longer
/// leaves too little for the work and for coming back.
const WAIT_SHARE: f64 = 0.12;
/// The least such wait: a slot of a busy server comes free within it.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// How long a client's request may wait to start; then it is told when to come back. Calls within a
/// chain wait as long as their deadline allows, since work was spent on their chain.
fn longest_wait(route: &RouteRow) -> Duration {
    route.objective.mul_f64(WAIT_SHARE).max(MIN_WAIT)
}

/// The order in which requests are served and shed: by the workspace's rank, then the route's. A
/// call does not say whose it is, and counts as of the most urgent workspace.
fn priority(table: &SiteTable, route: &RouteRow, workspace: Option<&WorkspaceRow>) -> u8 {
    let urgency = |rank: u8| MAX_RANK - rank.min(MAX_RANK);
    let rank = workspace.map_or_else(|| table.most_urgent_rank(), |row| row.rank);
    let of_workspace = urgency(rank);
    BASE_PRIORITY + of_workspace * WORKSPACE_STEP + urgency(route.rank) * ROUTE_STEP
}

/// The order among requests at a node that the store does not answer. All of them come after those
/// at nodes in touch, so that they take only what is spare.
fn spare_priority(route: &RouteRow) -> u8 {
    1 + MAX_RANK - route.rank.min(MAX_RANK)
}

fn passed_headers(
    node: &Node,
    headers: Vec<(String, String)>,
    workspace: Option<Workspace>,
) -> Vec<Field> {
    let named: Vec<String> = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"))
        .flat_map(|(_, value)| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &str| {
        !is_per_connection(name) && !named.iter().any(|it| name.eq_ignore_ascii_case(it))
    };
    let kept = headers.into_iter().filter(|(name, _)| is_kept(name));
    let service = node.service();
    let from = Prepared {
        caller: service.as_str(),
        workspace,
    };
    let passed = prepare(kept, from).into_iter();
    passed.map(|(name, value)| Field { name, value }).collect()
}

/// A refusal of a request that did not run, with a time to come back that is spread so that
/// clients do not come together.
fn come_back(node: &Node, reason: Reason, facts: &Facts, received: Time) -> Refusal {
    let waits = facts.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let left = waits.saturating_sub(clock::now().since(received));
    let after = jittered_retry_after(left, &mut node.rng.borrow_mut());
    Refusal::not_run(reason).retry_after(after)
}

fn with_time_to_come_back(node: &Node, outcome: Outcome, facts: &Facts, received: Time) -> Outcome {
    match outcome {
        // Strikes lapse at their own time, whatever the load.
        Outcome::Refused(Refusal {
            reason: Reason::Suspect,
            retry_after: Some(_),
            ..
        }) => outcome,
        Outcome::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
            Outcome::Refused(come_back(node, refusal.reason, facts, received))
        }
        other => other,
    }
}
