//! The way of a request to an owner, and to another where the first did not run it.

use std::rc::Rc;

use cassiashunt_mesh::{Repeat, RouteRow};
use cassiashunt_route::{Outcome as Seen, OwnerReport, ServerKey};
use cassiashunt_suspect::Decision;
use cassiashunt_types::prelude::*;
use tokio::time::timeout;

use crate::{
    budget::Kind,
    clock,
    fleet::{Chosen, Way},
    link::{Link, Outcome, WorkRequest},
    metrics,
    node::Node,
};

/// How long after the deadline the owner's word is waited for: it alone knows whether a waiting
/// request ran.
const LAST_WORD: Duration = Duration::from_millis(60);
/// Owners that may refuse a request before it is refused to the client.
const MAX_REFUSALS: usize = 3;

/// A request and what bounds it.
#[derive(Debug)]
pub(crate) struct Work<'a> {
    pub(crate) request: WorkRequest,
    pub(crate) route: &'a RouteRow,
    pub(crate) deadline: Time,
    /// By when it starts or is refused, where that is before its deadline.
    pub(crate) start_by: Option<Time>,
    /// What a retry would repeat.
    pub(crate) kind: Kind,
}

/// How a request ended, and on which way.
#[derive(Debug)]
pub(crate) struct Forwarded {
    pub(crate) outcome: Outcome,
    pub(crate) service: Option<Service>,
    /// The node that had it last.
    pub(crate) owner: String,
    pub(crate) tries: usize,
}

/// Forwards a request until it has run, or may have, or nobody takes it.
pub(crate) async fn forward(node: &Rc<Node>, mut work: Work<'_>) -> Forwarded {
    let service = node.splits.next(work.route, &mut node.rng.borrow_mut());
    let Some(service) = service else {
        return Forwarded {
            outcome: Outcome::Refused(Refusal::not_run(Reason::NoServer)),
            service: None,
            owner: String::new(),
            tries: 0,
        };
    };
    work.request.service = service.as_str().into();
    node.budgets.on_first_try(clock::now(), service, work.kind);
    let mut tried: Vec<ServerKey> = Vec::new();
    let mut owner = String::new();
    let mut sent_to_servers = 0;
    let mut may_have_run = false;
    let mut last = Refusal::not_run(Reason::NoServer);
    let outcome = loop {
        let now = clock::now();
        let left = work.deadline.since(now);
        let is_late = work.start_by.is_some_and(|by| now >= by) && !tried.is_empty();
        if left.is_zero() || is_late {
            break Outcome::Refused(last);
        }
        let chosen = match choose(node, &work, service, &tried) {
            Ok(Some(chosen)) => chosen,
            Ok(None) => break Outcome::Refused(last),
            Err(refusal) => break Outcome::Refused(refusal),
        };
        tried.push(chosen.key);
        owner.clone_from(&chosen.owner);
        let outcome = try_once(node, &work, &chosen, left).await;
        let refusal = match outcome {
            Outcome::Answered(_) => break outcome,
            Outcome::Refused(refusal) => refusal,
        };
        may_have_run |= refusal.verdict == Verdict::MayHaveRun;
        sent_to_servers += usize::from(has_reached_server(&refusal));
        last = refusal;
        if !may_go_on(node, &work, service, &refusal, tried.len(), sent_to_servers) {
            break Outcome::Refused(refusal);
        }
        log::info!(request:% = work.request.attempt, service:% = service, owner:% = owner,
            reason:% = refusal.reason, verdict:? = refusal.verdict, tries = tried.len(),
            sent_to_servers = sent_to_servers, kind:% = work.kind.name(),
            left_ms = clock::millis(work.deadline.since(clock::now())); "request-retried");
    };
    Forwarded {
        outcome: if may_have_run {
            without_promise(outcome)
        } else {
            outcome
        },
        service: Some(service),
        owner,
        tries: tried.len(),
    }
}

/// Chooses a server that has not been tried. A suspect has only one place to run, so that it never
/// runs at two servers at once.
fn choose(
    node: &Node,
    work: &Work<'_>,
    service: Service,
    tried: &[ServerKey],
) -> Result<Option<Chosen>, Refusal> {
    let now = clock::now();
    let mut rng = node.rng.borrow_mut();
    let mut fleet = node.fleet.borrow_mut();
    let fingerprint = work.request.fingerprint();
    let decision = fingerprint.map_or(Decision::Run, |it| node.suspicion.check(now, it));
    match (decision, fingerprint) {
        (Decision::Refuse(refusal), _) => Err(refusal),
        (Decision::RunAlone, Some(fingerprint)) if tried.is_empty() => {
            Ok(fleet.choose_one_place(now, service, fingerprint, &node.settings().name, &mut rng))
        }
        (Decision::RunAlone, _) => Ok(None),
        (Decision::Run, _) => Ok(fleet.choose(now, service, tried, &mut rng)),
    }
}

/// The outcome of a request that may have run at an earlier try: the last owner's word that it did
/// not run holds for that owner only.
fn without_promise(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refused(refusal) => Outcome::Refused(Refusal::may_have_run(refusal.reason)),
        answered @ Outcome::Answered(_) => answered,
    }
}

/// Whether a backend server has seen a request that was refused or failed so.
fn has_reached_server(refusal: &Refusal) -> bool {
    refusal.verdict == Verdict::MayHaveRun || refusal.reason == Reason::ServerRefused
}

fn may_go_on(
    node: &Node,
    work: &Work<'_>,
    service: Service,
    refusal: &Refusal,
    tries: usize,
    sent_to_servers: usize,
) -> bool {
    let may_repeat = refusal.verdict == Verdict::NotRun || work.route.repeat == Repeat::Idempotent;
    if !may_repeat || tries >= MAX_REFUSALS {
        return false;
    }
    if !has_reached_server(refusal) {
        return true;
    }
    let most = usize::try_from(work.route.max_attempts).unwrap_or(usize::MAX);
    let goes_on =
        sent_to_servers < most && node.budgets.take_retry(clock::now(), service, work.kind);
    if goes_on {
        metrics::retried(work.kind.name());
    }
    goes_on
}

/// A request on its way; given up where it is dropped before its end.
struct InFlight<'a> {
    node: &'a Rc<Node>,
    chosen: &'a Chosen,
    ticket: Option<Ticket>,
}

enum Ticket {
    Local(RequestId),
    Link(Rc<Link>, u64),
}

impl InFlight<'_> {
    fn end(&mut self, seen: Seen, report: Option<OwnerReport>) {
        self.ticket = None;
        let now = clock::now();
        self.node
            .fleet
            .borrow_mut()
            .done(now, self.chosen, seen, report);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        match ticket {
            Ticket::Local(id) => self.node.owner.cancel(self.node, id),
            Ticket::Link(link, id) => link.cancel(id),
        }
        let now = clock::now();
        let mut fleet = self.node.fleet.borrow_mut();
        fleet.done(now, self.chosen, Seen::Cancelled, None);
    }
}

async fn try_once(node: &Rc<Node>, work: &Work<'_>, chosen: &Chosen, left: Duration) -> Outcome {
    let mut request = work.request.clone();
    request.left_us = clock::micros(left);
    let now = clock::now();
    request.start_left_us = work
        .start_by
        .map_or(0, |by| clock::micros(by.since(now)).max(1));
    let mut in_flight = InFlight {
        node,
        chosen,
        ticket: None,
    };
    let limit = left + LAST_WORD;
    let ended = match &chosen.way {
        Way::Local => {
            let (id, outcome) = node.owner.submit(node, request);
            in_flight.ticket = Some(Ticket::Local(id));
            let outcome = timeout(limit, outcome).await;
            outcome.map(|it| {
                it.ok()
                    .map(|outcome| (outcome, Some(node.owner.report_state())))
            })
        }
        Way::Link(_, link) => {
            let is_patient = work.route.repeat != Repeat::Idempotent;
            let Some((id, outcome)) = link.request(request, is_patient) else {
                in_flight.end(Seen::Refused, None);
                return Outcome::Refused(Refusal::not_run(Reason::NoServer));
            };
            in_flight.ticket = Some(Ticket::Link(Rc::clone(link), id));
            timeout(limit, outcome).await.map(Result::ok)
        }
    };
    let Ok(ended) = ended else {
        // The owner has not said a word: dropping the guard gives the request up there.
        return Outcome::Refused(Refusal::may_have_run(Reason::Deadline));
    };
    let lost = || (Outcome::Refused(Refusal::may_have_run(Reason::Lost)), None);
    let (outcome, report) = ended.unwrap_or_else(lost);
    in_flight.end(seen(&outcome), report);
    outcome
}

/// What an outcome says of the server's soundness.
fn seen(outcome: &Outcome) -> Seen {
    match outcome {
        Outcome::Answered(_) => Seen::Served,
        Outcome::Refused(refusal) => match (refusal.verdict, refusal.reason) {
            (Verdict::MayHaveRun, Reason::Lost) => Seen::Failed,
            (Verdict::NotRun, Reason::ServerRefused | Reason::NoServer) => Seen::Failed,
            _ => Seen::Refused,
        },
    }
}
