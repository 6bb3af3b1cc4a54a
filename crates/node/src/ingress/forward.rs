//! The way of a request to a server and back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cassiashunt_admit::{Priority, Signal, ingress};
use cassiashunt_http::{Answer, Request};
use cassiashunt_ring::Ring;
use cassiashunt_route::{
    Outcome, ServerKey,
    retry::{self, Allowance, Lending},
};
use cassiashunt_suspect::Decision;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Begin;

use super::{
    collect::{self, Failure, Patience, Source, Whole},
    plan::{self, Plan},
};
use crate::{
    fleet::{Chosen, Pool},
    headers,
    link::ANSWER_PIECES,
    owner::{Reply, nobody},
    shared::Shared,
    ticket::Parent,
};

/// How much earlier the owner's deadline is, so that its honest refusal arrives in time.
const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Serves one request of a caller or of a backend server.
///
/// # Errors
///
/// The final refusal, as soon as it is known.
pub(super) fn request(
    shared: &Shared,
    req: Request,
    is_gone: &dyn Fn() -> bool,
) -> Result<Answer, Refusal> {
    let plan = plan::read(shared, req)?;
    let now = shared.clock.now();
    shared.check_touch(now, plan.key)?;
    if plan.parent.is_none() {
        shared.check_drain(now, plan.deadline)?;
        admit(shared, &plan)?;
    }
    let parent = plan.parent.as_deref();
    let is_unwanted = || is_gone() || parent.is_some_and(Parent::is_cancelled);
    let ended = Exchange::new(shared, &plan, &is_unwanted).run();
    let whole = ended
        .map_err(with_time_to_come_back)
        .inspect_err(|refusal| {
            log::debug!(
                event = "request-refused",
                node:% = shared.id,
                chain:% = plan.chain,
                depth = plan.depth,
                reason = refusal.reason.code(),
                verdict = refusal.verdict.as_str();
                ""
            );
        })?;
    shared.suspects.on_served(plan.fingerprint);
    shared.stats.served(&plan.binding);
    Ok(answer(whole))
}

/// Decides whether a chain may start.
fn admit(shared: &Shared, plan: &Plan) -> Result<(), Refusal> {
    let now = shared.clock.now();
    if let Decision::Refuse(refusal) = shared.suspects.check(now, plan.fingerprint) {
        return Err(refusal);
    }
    let req = ingress::Request {
        route: plan.binding.route,
        workspace: plan.workspace.unwrap_or_else(nobody),
        weight: plan.cell.weight,
        priority: Priority(plan.cell.priority),
    };
    if shared.settings.policy.ingress_shedding {
        shared.shed().admit(now, req, &mut fastrand::Rng::new())?;
    }
    let route = plan.binding.route;
    shared.limits.take(
        shared,
        plan.workspace,
        &plan.cell,
        route,
        plan.class,
        plan.deadline,
    )
}

/// One request with the state of its attempts.
struct Exchange<'a> {
    shared: &'a Shared,
    plan: &'a Plan,
    is_unwanted: &'a dyn Fn() -> bool,
    own: Mutex<Allowance>,
}

impl<'a> Exchange<'a> {
    fn new(shared: &'a Shared, plan: &'a Plan, is_unwanted: &'a dyn Fn() -> bool) -> Self {
        let own = Mutex::new(Allowance::new(plan.cell.retries));
        Self {
            shared,
            plan,
            is_unwanted,
            own,
        }
    }

    /// Tries servers until one answers or no retry is left.
    fn run(&self) -> Result<Whole, Refusal> {
        let service = self.plan.binding.service;
        let no_server = Refusal::not_run(Reason::NoServer).retry_after(Duration::from_secs(1));
        let pool = self.shared.fleet.pool(service).ok_or(no_server)?;
        let mut tried = Vec::new();
        let mut failed: Option<Refusal> = None;
        loop {
            let now = self.shared.clock.now();
            let Some(chosen) = pool.choose(now, &tried) else {
                return Err(failed.unwrap_or(no_server));
            };
            tried.push(chosen.key);
            let refusal = match self.attempt(&pool, chosen) {
                Ok(whole) => return Ok(whole),
                Err(refusal) => worse(failed, refusal),
            };
            failed = Some(refusal);
            let Some(wait) = self.retry(&pool, refusal, &tried) else {
                return Err(refusal);
            };
            std::thread::sleep(wait);
        }
    }

    /// One attempt at one server, with its share of the chain's allowance.
    fn attempt(&self, pool: &Pool, chosen: Chosen) -> Result<Whole, Refusal> {
        let loan = self.allowance().lend(Lending::Half);
        let mut source = self.send(chosen, loan.tokens);
        let ended = source.as_mut().map_err(|refusal| Failure {
            unused_retries: Some(loan.tokens),
            ..Failure::lost(*refusal)
        });
        let ended = ended.and_then(|source| collect::whole(source, &self.patience()));
        match &ended {
            Ok(whole) => self.allowance().settle(loan.key, whole.end.unused_retries),
            Err(failure) if failure.is_unread() => {
                self.allowance().settle(loan.key, loan.tokens);
            }
            Err(failure) => match failure.unused_retries {
                Some(unused) => self.allowance().settle(loan.key, unused),
                None => self.allowance().write_off(loan.key),
            },
        }
        if let (Err(_), Ok(Source::Local { reply, .. })) = (&ended, &source) {
            self.shared.cancel_local(reply);
        }
        self.strike(chosen, &ended);
        self.learn(pool, chosen, &ended);
        ended.map_err(|failure| {
            self.log_failure(chosen, &failure);
            failure.refusal
        })
    }

    fn send(&self, chosen: Chosen, retries: u32) -> Result<Source, Refusal> {
        let begin = self.begin(retries);
        if chosen.peer.node != self.shared.id {
            let link = self.shared.links.get(chosen.peer)?;
            return link.call(begin, &self.plan.body).map(Source::Link);
        }
        let owner = self
            .shared
            .owner
            .get()
            .ok_or(Refusal::not_run(Reason::NoServer))?;
        let ring = Ring::new(ANSWER_PIECES);
        let reply = Arc::new(Reply::local(ring.clone()));
        owner.start(begin, self.plan.body.clone(), &reply);
        Ok(Source::Local { ring, reply })
    }

    fn begin(&self, retries: u32) -> Begin {
        let plan = self.plan;
        let remaining = plan.deadline.since(self.shared.clock.now());
        let remaining = remaining.saturating_sub(HOP_MARGIN.min(remaining / 10));
        Begin {
            chain: plan.chain.0,
            depth: plan.depth,
            workspace: plan
                .workspace
                .map(|name| name.as_str().to_owned())
                .unwrap_or_default(),
            route: plan.binding.route.as_str().to_owned(),
            class: plan.class.as_str().to_owned(),
            remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            retries,
            method: plan.method.clone(),
            target: plan.target.clone(),
            headers: plan.headers.clone(),
            key: plan.key.0,
            revision: plan.revision.0,
            idempotency_key: plan.idempotency_key.clone(),
            runs_once: !plan.is_idempotent && !plan.idempotency_key.is_empty(),
            fingerprint: plan.fingerprint,
            is_suspect: self.is_suspect(),
            priority: plan.priority.into(),
        }
    }

    fn log_failure(&self, chosen: Chosen, failure: &Failure) {
        log::debug!(
            event = "attempt-failed",
            node:% = self.shared.id,
            chain:% = self.plan.chain,
            depth = self.plan.depth,
            peer:% = chosen.peer.node,
            reason = failure.refusal.reason.code(),
            verdict = failure.refusal.verdict.as_str(),
            link_lost = failure.is_link_lost;
            ""
        );
    }

    fn is_suspect(&self) -> bool {
        let now = self.shared.clock.now();
        let decision = self.shared.suspects.check(now, self.plan.fingerprint);
        decision != Decision::Run
    }

    fn patience(&self) -> Patience<'_> {
        Patience {
            clock: self.shared.clock,
            deadline: self.plan.deadline,
            is_unwanted: self.is_unwanted,
            held: &self.shared.held,
            most: self.shared.settings.bounds.answer_bytes,
        }
    }

    /// Takes in that a server, or a whole node, was lost with the request in flight.
    fn strike(&self, chosen: Chosen, ended: &Result<Whole, Failure>) {
        let Err(failure) = ended else { return };
        let now = self.shared.clock.now();
        let suspects = &self.shared.suspects;
        if !failure.strike.is_empty() {
            suspects.merge(now, &failure.strike);
        } else if failure.is_link_lost && failure.refusal.verdict == Verdict::MayHaveRun {
            suspects.on_node_lost(now, chosen.peer.node, self.plan.fingerprint);
        }
    }

    /// Takes in what an attempt told about the server and the chain.
    fn learn(&self, pool: &Pool, chosen: Chosen, ended: &Result<Whole, Failure>) {
        let now = self.shared.clock.now();
        let signal = match ended {
            Ok(whole) => Some(whole.end.signal),
            Err(failure) => failure.signal,
        };
        let signal = signal.map(Signal::from_bits);
        let outcome = ended.as_ref().map_or_else(
            |failure| outcome(failure.refusal),
            |whole| {
                if whole.head.status >= 500 {
                    Outcome::Failed
                } else {
                    Outcome::Served
                }
            },
        );
        pool.done(now, chosen.key, outcome, signal.map(|signal| signal.load));
        if ended.as_ref().is_err_and(Failure::is_draining) {
            pool.on_draining(chosen.key);
        }
        let service = self.plan.binding.service;
        let deeper = ended
            .as_ref()
            .map(|whole| services(&whole.end.visited))
            .unwrap_or_default();
        let visited = deeper.into_iter().chain([service]);
        match &self.plan.parent {
            Some(parent) => parent.visit(visited),
            None => self.shared.on_visits(now, self.plan.binding.route, visited),
        }
        if let Some(signal) = signal {
            self.shared
                .shed()
                .on_signal(now, service, chosen.peer.node, signal);
        }
    }

    fn retry(&self, pool: &Pool, refusal: Refusal, tried: &[ServerKey]) -> Option<Duration> {
        let now = self.shared.clock.now();
        let allowance = &mut *self.allowance();
        let retry = pool.with_budget(now, tried, |parts| {
            let failure = retry::FailedAttempt {
                refusal,
                is_idempotent: self.plan.is_idempotent,
                retries: u32::try_from(tried.len() - 1).unwrap_or(u32::MAX),
                remaining: self.plan.deadline.since(now),
                expected_duration: Duration::ZERO,
                has_other_server: parts.has_other_server,
            };
            retry::may_retry(
                now,
                &failure,
                allowance,
                parts.budget,
                &mut fastrand::Rng::new(),
            )
        });
        self.shared.stats.retried(retry.is_some());
        retry.map(|retry| retry.wait)
    }

    /// The allowance of the chain, at ingress, or of the parent that runs at this node.
    fn allowance(&self) -> MutexGuard<'_, Allowance> {
        let allowance = match &self.plan.parent {
            Some(parent) => &parent.allowance,
            None => &self.own,
        };
        allowance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Every refusal for want of a server says when to come back.
fn with_time_to_come_back(refusal: Refusal) -> Refusal {
    match (refusal.reason, refusal.retry_after) {
        (Reason::NoServer, None) => refusal.retry_after(Duration::from_secs(1)),
        _ => refusal,
    }
}

/// Once an attempt may have run, no later refusal makes the request not-run.
fn worse(before: Option<Refusal>, refusal: Refusal) -> Refusal {
    match before {
        Some(before) if before.verdict == Verdict::MayHaveRun => Refusal {
            verdict: Verdict::MayHaveRun,
            ..refusal
        },
        _ => refusal,
    }
}

const fn outcome(refusal: Refusal) -> Outcome {
    match refusal.reason {
        Reason::Lost | Reason::NoServer => Outcome::Failed,
        Reason::Cancelled | Reason::Deadline => Outcome::Cancelled,
        _ => Outcome::Refused,
    }
}

fn services(names: &[String]) -> Vec<Service> {
    names.iter().filter_map(|name| name.parse().ok()).collect()
}

/// The server's answer as the caller gets it.
fn answer(whole: Whole) -> Answer {
    let mut answer = Answer::new(u16::try_from(whole.head.status).unwrap_or(502));
    for line in whole.head.headers {
        if !headers::is_internal(&line.name) {
            answer.headers.push(line.name, line.value);
        }
    }
    answer.body = whole.body;
    answer
}
