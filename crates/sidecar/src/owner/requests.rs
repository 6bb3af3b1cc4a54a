//! Requests for the backend server beside this node: queueing, admission, start and end.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use cassiashunt_adapter::{ServerLoad, parent_attempt};
use cassiashunt_admit::{
    Action, Admission, Job, Options, Priority, ServerSpeed, StartLimit, Usage, chain::RouteUse,
};
use cassiashunt_mesh::{ProbeOutcome, ReportOutcome, ServerStarts, Warmth, prelude::*};
use cassiashunt_route::{FailureRate, OwnerReport, Pace};
use cassiashunt_suspect::{Decision, InFlight};
use cassiashunt_types::prelude::*;
use tokio::{sync::oneshot, task::AbortHandle};

use super::{
    identify::ProbeAnswer,
    pool::Pool,
    run::{Delivery, OutcomeSender, RunEnd, run},
    server::Server,
};
use crate::{
    clock,
    link::{Outcome, WorkRequest},
    metrics,
    node::Node,
};

/// Maximum queue length, as a multiple of the slots. Calls within chains are queued first, and wait
/// rather than make their chain fail; requests that can't meet their deadline any more are removed.
const QUEUE_LENGTH_SHARE: f64 = 2.0;

/// The factor by which a server's pace changes before that is logged again.
const LOGGED_PACE_CHANGE: f64 = 1.25;

enum RequestState {
    Waiting(Box<WorkRequest>, Time, OutcomeSender),
    Running(RunHandle),
}

struct RunHandle {
    task: AbortHandle,
    /// The attempt id set by the client.
    attempt: String,
    /// Whether the server may have received a part of the request.
    is_sent: Rc<Cell<bool>>,
    reply: OutcomeSender,
}

impl RunHandle {
    /// Ends the run without an answer. Returns whether the request may have run.
    fn abort(self) -> bool {
        self.task.abort();
        let is_sent = self.is_sent.get();
        let refusal = if is_sent {
            Refusal::may_have_run(Reason::Lost)
        } else {
            Refusal::not_run(Reason::Cancelled)
        };
        reply_to(self.reply, Outcome::Refused(refusal));
        is_sent
    }
}

fn reply_to(reply: OutcomeSender, outcome: Outcome) {
    // The receiver is dropped if nobody waits for the outcome any more.
    let _ = reply.send(outcome);
}

/// Queues requests for the backend server, runs them there, and tracks its state.
pub(crate) struct Owner {
    pub(super) inner: RefCell<Inner>,
    /// Whether a check of the server is pending after a lost answer.
    pub(super) is_checking: Cell<bool>,
    /// Whether the server is being asked for its id.
    pub(super) is_identifying: Cell<bool>,
    pub(super) pool: Pool,
}

pub(super) struct Inner {
    pub(super) server: Option<Server>,
    pub(super) starts: ServerStarts,
    /// The server refuses connections; reset by the next heartbeat.
    pub(super) is_down: bool,
    pub(super) admission: Admission,
    /// The limit on starts while the server is cold; `None` where the operators state none.
    pub(super) start_limit: Option<StartLimit>,
    pub(super) warmth: Warmth,
    /// The operators have evacuated the server's failure domain.
    pub(super) is_evacuated: bool,
    /// When the node started. What an earlier process sent before is not known.
    began: Time,
    requests: HashMap<RequestId, RequestState>,
    last_id: RequestId,
    usage: Usage,
    speed: ServerSpeed,
    /// Whether the server reports its load.
    states_load: bool,
    /// The pace and the usable slots that were logged last.
    logged_speed: (f64, u32),
    failures: FailureRate,
    pub(super) in_flight: InFlight<RequestId>,
    /// The suspect request that waits or runs, or the last one that did.
    suspect: Option<RequestId>,
    /// Requests that run at the server and counts of their calls by route, by the client's attempt
    /// id.
    running: HashMap<String, (Run, Vec<(Route, u32)>)>,
}

/// A request that runs at the server: its calls inherit from it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) route: Route,
    pub(crate) priority: u8,
    pub(crate) depth: u8,
    /// It is a repeat, or a call of one.
    pub(crate) is_repeat: bool,
}

impl Owner {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            inner: RefCell::new(Inner {
                server: None,
                starts: ServerStarts::default(),
                is_down: false,
                admission: Admission::new(now, options(0, Duration::ZERO, None)),
                start_limit: None,
                warmth: Warmth::default(),
                is_evacuated: false,
                began: now,
                requests: HashMap::new(),
                last_id: RequestId(0),
                usage: Usage::default(),
                speed: ServerSpeed::new(now, 0),
                states_load: false,
                logged_speed: (1.0, 0),
                failures: FailureRate::default(),
                in_flight: InFlight::default(),
                suspect: None,
                running: HashMap::new(),
            }),
            is_checking: Cell::new(false),
            is_identifying: Cell::new(false),
            pool: Pool::default(),
        }
    }

    /// Whether a start of the backend server is known.
    pub(crate) fn has_server(&self) -> bool {
        self.inner.borrow().server.is_some()
    }

    pub(crate) fn slots(&self) -> u32 {
        let inner = self.inner.borrow();
        inner.server.as_ref().map_or(0, |server| server.slots)
    }

    pub(crate) fn state(&self) -> ServerState {
        let inner = self.inner.borrow();
        match &inner.server {
            Some(server) if !inner.is_down => server.state,
            _ => ServerState::Absent,
        }
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state() == ServerState::Ready && !self.inner.borrow().is_evacuated
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        let inner = self.inner.borrow();
        inner
            .server
            .as_ref()
            .is_some_and(|server| server.warm_at > now)
    }

    /// The report on the server that is sent to peers with each outcome.
    pub(crate) fn report_state(&self) -> OwnerReport {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        OwnerReport {
            load: inner.admission.signal(now).load,
            failure_rate: inner.failures.share(now),
            pace: inner.stated(ServerSpeed::pace, now),
            pace_now: inner.stated(ServerSpeed::pace_now, now),
        }
    }

    /// Logs how fast the server is, where that has changed. To be called about once a second.
    pub(crate) fn log_speed(&self, now: Time) {
        let mut inner = self.inner.borrow_mut();
        let (pace, slots) = (inner.speed.pace(now), inner.speed.usable_slots());
        metrics::set_server_speed(pace, slots);
        let (logged, logged_slots) = inner.logged_speed;
        let change = (pace / logged).max(logged / pace);
        if inner.server.is_none() || (change < LOGGED_PACE_CHANGE && slots == logged_slots) {
            return;
        }
        let now_pace = inner.speed.pace_now(now);
        inner.logged_speed = (pace, slots);
        log::info!(pace = pace, pace_now = now_pace, slots = slots; "server-speed");
    }

    /// Handles the load that the server reports with a response.
    pub(super) fn on_server_load(&self, load: ServerLoad) {
        let mut inner = self.inner.borrow_mut();
        inner.states_load = true;
        if let Some(percent) = load.work_time_percent {
            inner.speed.on_stated(clock::now(), percent);
        }
    }

    /// Requests that wait or run, at this start of the server or an earlier one.
    pub(crate) fn pending_requests(&self) -> usize {
        self.inner.borrow().requests.len()
    }

    /// Requests that wait or run at the current start of the server.
    pub(crate) fn busy_slots(&self) -> u32 {
        let inner = self.inner.borrow();
        inner.admission.in_flight() + inner.admission.queued()
    }

    /// The requests that the server can run concurrently now.
    pub(crate) fn capacity(&self) -> u32 {
        self.inner.borrow().admission.capacity(clock::now())
    }

    /// Records a call that the server makes. Returns the run that makes it, if the attempt id names
    /// one.
    pub(crate) fn on_call(&self, route: Route, attempt: &str) -> Option<Run> {
        let mut inner = self.inner.borrow_mut();
        let parent = parent_attempt(attempt);
        let known = parent.and_then(|parent| inner.running.get_mut(parent));
        let run = known.map(|(run, calls)| {
            match calls.iter_mut().find(|(called, _)| *called == route) {
                Some((_, count)) => *count += 1,
                None => calls.push((route, 1)),
            }
            *run
        });
        inner.usage.on_call(clock::now(), route, run.is_some());
        run
    }

    /// The cost and calls of the server's runs by route.
    pub(crate) fn usage_report(&self, now: Time) -> Vec<RouteUse> {
        self.inner.borrow_mut().usage.report(now)
    }

    /// Submits a request; the receiver gets its outcome.
    pub(crate) fn submit(
        &self,
        node: &Rc<Node>,
        request: WorkRequest,
    ) -> (RequestId, oneshot::Receiver<Outcome>) {
        let now = clock::now();
        let (tx, rx) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        let id = inner.last_id.next();
        inner.last_id = id;
        if let Some(reason) = inner.refusal_reason(node, &request) {
            // Can't fail: the receiver is returned below.
            let _ = tx.send(Outcome::Refused(Refusal::not_run(reason)));
            return (id, rx);
        }
        let Some(job) = to_job(id, now, &request) else {
            // Can't fail: the receiver is returned below.
            let _ = tx.send(Outcome::Refused(Refusal::not_run(Reason::BadRequest)));
            return (id, rx);
        };
        if let Some(refusal) = inner.check_suspicion(node, id, &request) {
            // Can't fail: the receiver is returned below.
            let _ = tx.send(Outcome::Refused(refusal));
            return (id, rx);
        }
        let starts_in = Duration::from_micros(request.start_within_us);
        inner.requests.insert(
            id,
            RequestState::Waiting(Box::new(request), job.deadline, tx),
        );
        let actions = if starts_in.is_zero() {
            inner.admission.offer(now, job)
        } else {
            inner.admission.offer_to_start_by(now, job, now + starts_in)
        };
        drop(inner);
        self.apply(node, actions);
        (id, rx)
    }

    /// Cancels a request: a waiting one is refused and never runs, and the connection of a running
    /// one is closed.
    pub(crate) fn cancel(&self, node: &Rc<Node>, id: RequestId) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let actions = match inner.requests.remove(&id) {
            Some(RequestState::Waiting(_, _, reply)) => {
                let refusal = Refusal::not_run(Reason::Cancelled);
                reply_to(reply, Outcome::Refused(refusal));
                inner.admission.cancel(now, id)
            }
            Some(RequestState::Running(run)) => {
                inner.running.remove(&run.attempt);
                if run.abort() {
                    inner.in_flight.on_unanswered(now, &id);
                } else {
                    inner.in_flight.on_not_sent(&id);
                }
                inner.speed.on_end(now, id, false);
                inner.admission.done(now, id, Duration::ZERO, false)
            }
            None => return,
        };
        drop(inner);
        self.apply(node, actions);
    }

    /// Expires idle connections, and refuses waiting requests that can't finish in time any more.
    pub(crate) fn tick(&self, node: &Rc<Node>) {
        let now = clock::now();
        self.pool.expire(now);
        let actions = self.inner.borrow_mut().admission.tick(now);
        self.apply(node, actions);
        self.check_warmth(node);
    }

    /// Handles the id with which the server answered a probe.
    pub(super) fn on_probed(&self, node: &Rc<Node>, answer: ProbeAnswer) {
        let now = clock::now();
        let outcome = {
            let mut inner = self.inner.borrow_mut();
            inner.starts.on_probed(answer.number, &answer.id)
        };
        match outcome {
            ProbeOutcome::Current => {
                let mut inner = self.inner.borrow_mut();
                inner.warmth.on_probe(now, answer.sent, answer.warm_up);
                inner.apply_warmth(now);
            }
            ProbeOutcome::Started(Some(heartbeat)) => {
                let mut server = Server::from_heartbeat(&heartbeat, now);
                server.warm_at = server.warm_at.max(now + answer.warm_up);
                self.replace(node, server);
            }
            ProbeOutcome::Started(None) => self.replace(node, Server::from_probe(answer, now)),
            ProbeOutcome::Replaced => self.on_down(node, false),
        }
    }

    /// Handles a heartbeat of the server. Returns whether it may be acknowledged.
    pub(crate) fn on_heartbeat(
        &self,
        node: &Rc<Node>,
        from: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> bool {
        let outcome = self.inner.borrow_mut().starts.on_report(heartbeat);
        let (server, born) = (&heartbeat.server, heartbeat.started_ms);
        match outcome {
            ReportOutcome::Current => {
                metrics::reported("current");
                self.refresh(node, heartbeat);
            }
            ReportOutcome::Started => {
                metrics::reported("started");
                self.replace(node, Server::from_heartbeat(heartbeat, clock::now()));
            }
            ReportOutcome::Stale | ReportOutcome::StaleDrain => {
                metrics::reported("stale");
                if let Some(suppressed) = node.admit_line("heartbeat-stale") {
                    log::info!(server:% = server, born = born, sequence = heartbeat.sequence,
                        state:? = heartbeat.state, from:% = from, known:? = self.server_id(),
                        suppressed = suppressed; "heartbeat-stale");
                }
            }
            ReportOutcome::Unconfirmed => {
                metrics::reported("unconfirmed");
                if let Some(suppressed) = node.admit_line("heartbeat-unconfirmed") {
                    log::info!(server:% = server, address:% = heartbeat.address, born = born,
                        sequence = heartbeat.sequence, from:% = from, known:? = self.server_id(),
                        suppressed = suppressed; "heartbeat-unconfirmed");
                }
            }
        }
        if self.needs_probe() {
            self.identify(node);
        }
        outcome != ReportOutcome::StaleDrain
    }

    /// Handles the announcement that the server with this id leaves.
    pub(crate) fn on_leave(&self, node: &Rc<Node>, from: SocketAddr, id: &str) {
        let known = self.server_id();
        let is_ours = {
            let mut inner = self.inner.borrow_mut();
            let is_ours = inner.starts.on_leave(id, clock::unix_ms());
            if let Some(server) = inner.server.as_mut().filter(|_| is_ours) {
                server.state = ServerState::Draining;
            }
            is_ours
        };
        metrics::reported(if is_ours { "left" } else { "left-unknown" });
        if let Some(suppressed) = node.admit_line("server-leaves") {
            log::info!(server:% = id, from:% = from, known:? = known, is_known = is_ours,
                suppressed = suppressed; "server-leaves");
        }
        if is_ours {
            self.drain(node);
        }
    }

    /// Refuses all waiting and new requests.
    pub(crate) fn drain(&self, node: &Rc<Node>) {
        let actions = self.inner.borrow_mut().admission.drain();
        log::info!(server:? = self.server_id(); "server-draining");
        self.apply(node, actions);
        node.on_server_changed();
    }

    pub(super) fn server_id(&self) -> Option<String> {
        let inner = self.inner.borrow();
        inner.server.as_ref().map(|server| server.id.clone())
    }

    fn refresh(&self, node: &Rc<Node>, heartbeat: &Heartbeat) {
        let now = clock::now();
        let (was_down, is_changed, is_draining, actions) = {
            let mut inner = self.inner.borrow_mut();
            let was_down = std::mem::take(&mut inner.is_down);
            let Some(server) = inner.server.as_mut() else {
                return;
            };
            let is_changed = server.is_changed_by(heartbeat);
            server.apply(heartbeat, now);
            let (slots, state) = (server.slots, server.state);
            if was_down {
                inner.warmth.on_doubt(now);
            }
            inner.warmth.on_report(now, heartbeat.warm_up);
            inner.apply_warmth(now);
            inner.admission.end_warm_up(now, heartbeat.warm_up);
            inner.speed.set_slots(slots);
            let usable = inner.speed.usable_slots();
            let actions = inner.admission.set_slots(now, usable);
            let is_draining = state == ServerState::Draining;
            (was_down, is_changed, is_draining, actions)
        };
        self.apply(node, actions);
        if is_changed && is_draining {
            self.drain(node);
        } else if was_down || is_changed {
            node.on_server_changed();
        }
    }

    /// Replaces the known server by another start of it.
    fn replace(&self, node: &Rc<Node>, mut server: Server) {
        let now = clock::now();
        if self.inner.borrow().starts.is_leaving() {
            server.state = ServerState::Draining;
        }
        log::info!(server:% = server.id, slots = server.slots, state:? = server.state; "server-seen");
        self.pool.clear();
        self.on_server_crash(node);
        let refusals = self.inner.borrow_mut().admission.drain();
        self.apply(node, refusals);
        {
            let mut inner = self.inner.borrow_mut();
            let warm_up = server.warm_at.since(now);
            inner.speed = ServerSpeed::new(now, server.slots);
            inner.states_load = false;
            let usable = inner.speed.usable_slots();
            let is_first = inner.server.is_none();
            inner.admission = Admission::new(now, options(usable, warm_up, inner.start_limit));
            if is_first {
                let began = inner.began;
                inner.admission.spend_starts(began);
            }
            inner.warmth = Warmth::new(now, warm_up);
            inner.failures = FailureRate::default();
            inner.is_down = false;
            if server.state == ServerState::Draining || inner.is_evacuated {
                inner.admission.drain();
            }
            inner.server = Some(server);
            inner.apply_warmth(now);
        }
        node.on_server_changed();
    }

    /// Carries out the admission's decisions.
    pub(super) fn apply(&self, node: &Rc<Node>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(node, id),
                Action::Refuse(id, refusal) => {
                    let removed = self.inner.borrow_mut().requests.remove(&id);
                    if let Some(RequestState::Waiting(_, _, reply)) = removed {
                        reply_to(reply, Outcome::Refused(refusal));
                    }
                }
            }
        }
    }

    fn start(&self, node: &Rc<Node>, id: RequestId) {
        let mut inner = self.inner.borrow_mut();
        let Some(RequestState::Waiting(request, deadline, reply)) = inner.requests.remove(&id)
        else {
            return;
        };
        let now = clock::now();
        inner.warmth.on_contact(now);
        inner.apply_warmth(now);
        // It may have become suspect while it waited.
        if let Some(refusal) = inner.check_suspicion(node, id, &request) {
            reply_to(reply, Outcome::Refused(refusal));
            let actions = inner.admission.done(now, id, Duration::ZERO, false);
            drop(inner);
            self.apply(node, actions);
            return;
        }
        if let Some(fingerprint) = request.fingerprint() {
            inner.in_flight.on_sent(now, id, fingerprint);
        }
        if let Ok(route) = request.route.parse() {
            inner.usage.on_start(now, route);
            if let Some(usual) = node.shedding.slot_time(node.service(), route) {
                inner.speed.on_start(now, id, usual);
            }
            let run = Run {
                route,
                priority: u8::try_from(request.priority).unwrap_or(u8::MAX),
                depth: u8::try_from(request.depth).unwrap_or(u8::MAX),
                is_repeat: request.is_repeat,
            };
            inner
                .running
                .insert(request.attempt.clone(), (run, Vec::new()));
        }
        let attempt = request.attempt.clone();
        let is_sent = Rc::<Cell<bool>>::default();
        let run = run(Rc::clone(node), id, *request, deadline, Rc::clone(&is_sent));
        let handle = RunHandle {
            task: tokio::task::spawn_local(run).abort_handle(),
            attempt,
            is_sent,
            reply,
        };
        inner.requests.insert(id, RequestState::Running(handle));
    }

    /// Handles the end of a running request and replies with its outcome.
    pub(super) fn finish(&self, node: &Rc<Node>, id: RequestId, end: &RunEnd, outcome: Outcome) {
        let now = clock::now();
        let actions = {
            let mut inner = self.inner.borrow_mut();
            let Some(RequestState::Running(run)) = inner.requests.remove(&id) else {
                return;
            };
            reply_to(run.reply, outcome);
            let ended = inner.running.remove(&end.attempt);
            if let Some((run, calls)) = ended {
                inner
                    .usage
                    .on_end(now, run.route, end.elapsed, end.is_ok, &calls);
            }
            inner.speed.on_end(now, id, end.is_ok);
            if end.delivery == Delivery::Responded {
                inner.speed.on_rejection(now);
            }
            inner.record_delivery(node, id, end.delivery);
            if matches!(end.delivery, Delivery::Answered | Delivery::Responded) {
                inner.warmth.on_contact(now);
                inner.apply_warmth(now);
            }
            if let Some(has_failed) = end.has_failed {
                inner.failures.record(now, has_failed);
            }
            let usable = inner.speed.usable_slots();
            let mut actions = inner.admission.done(now, id, end.elapsed, end.is_ok);
            actions.append(&mut inner.admission.set_slots(now, usable));
            actions
        };
        self.apply(node, actions);
        match end.delivery {
            Delivery::NotSent { is_refused } => self.on_down(node, is_refused),
            Delivery::Unanswered => self.check_server(node),
            Delivery::Replaced => {
                self.inner.borrow_mut().starts.on_misdirected();
                self.on_server_crash(node);
                self.identify(node);
            }
            Delivery::Answered | Delivery::Responded => {}
        }
    }
}

impl Inner {
    /// Refuses a request that must not run now because servers crashed while running it. At most
    /// one suspect is queued or running at a time, so that a crash identifies it.
    fn check_suspicion(
        &mut self,
        node: &Node,
        id: RequestId,
        request: &WorkRequest,
    ) -> Option<Refusal> {
        let decision = node.suspicion.check(clock::now(), request.fingerprint()?);
        match decision {
            Decision::Run => None,
            Decision::Refuse(refusal) => Some(refusal),
            Decision::RunAlone => {
                let other = self.suspect.filter(|it| *it != id);
                if other.is_some_and(|it| self.requests.contains_key(&it)) {
                    return Some(Refusal::not_run(Reason::Suspect));
                }
                self.suspect = Some(id);
                None
            }
        }
    }

    /// A pace to state to other nodes, where the server reports its load.
    fn stated(&mut self, pace: fn(&mut ServerSpeed, Time) -> f64, now: Time) -> Pace {
        if self.states_load {
            Pace::new(pace(&mut self.speed, now))
        } else {
            Pace::UNKNOWN
        }
    }

    /// The id of the server, for logs.
    pub(super) fn server_name(&self) -> &str {
        self.server.as_ref().map_or("", |it| &it.id)
    }

    /// Whether the server has announced that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        let server = self.server.as_ref();
        server.is_some_and(|it| it.state == ServerState::Draining)
    }

    /// The reason to refuse a request before admission; `None` to go on.
    fn refusal_reason(&self, node: &Node, request: &WorkRequest) -> Option<Reason> {
        self.server.as_ref()?;
        // Without a table the rate that a cold server tolerates is not known.
        let is_unlimited = node.table().is_none() && self.is_cold(clock::now());
        if node.is_stopping() || self.is_evacuated || is_unlimited {
            Some(Reason::Draining)
        } else if self.is_down || node.service().as_str() != request.service {
            Some(Reason::NoServer)
        } else {
            None
        }
    }
}

fn options(slots: u32, warm_up: Duration, start_limit: Option<StartLimit>) -> Options {
    Options {
        slots,
        warm_up,
        start_limit,
        queue_share: QUEUE_LENGTH_SHARE,
        ..Options::default()
    }
}

/// The job that admission decides on; `None` if the workspace or route is not a valid name.
fn to_job(id: RequestId, now: Time, request: &WorkRequest) -> Option<Job> {
    let workspace = if request.workspace.is_empty() {
        "-"
    } else {
        &request.workspace
    };
    Some(Job {
        key: id,
        workspace: workspace.parse().ok()?,
        weight: 1,
        priority: Priority(u8::try_from(request.priority).unwrap_or(u8::MAX)),
        depth: u8::try_from(request.depth).unwrap_or(u8::MAX),
        deadline: now + Duration::from_micros(request.remaining_us),
        route: request.route.parse().ok()?,
    })
}
