//! Requests for the backend server beside this node: which start, and how they end.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use cassiashunt_adapter::parent_attempt;
use cassiashunt_admit::{Action, Admission, Job, Options, Priority, Usage, chain::RouteUse};
use cassiashunt_mesh::prelude::*;
use cassiashunt_route::{FailureRate, OwnerReport};
use cassiashunt_suspect::{Decision, InFlight};
use cassiashunt_types::prelude::*;
use tokio::{sync::oneshot, task::AbortHandle};

use super::{
    pool::Pool,
    run::{End, Fate, Reply, run},
    server::{Change, Server},
};
use crate::{
    clock,
    link::{Outcome, WorkRequest},
    node::Node,
};

/// The longest queue, as a share of the slots. Calls within chains go first in it and wait rather
/// than break their chain off; what waits too long for its deadline leaves it.
const QUEUE_SHARE: f64 = 2.0;

/// The part of a server's slots that is used. Servers with a knee have it at 0.95 of their slots.
const USED_SLOTS: f64 = 0.945;

enum Work {
    Waiting(Box<WorkRequest>, Time, Reply),
    /// The task, and the client's id of the attempt.
    Running(AbortHandle, String),
}

/// The way to the backend server.
pub(crate) struct Owner {
    pub(super) inner: RefCell<Inner>,
    /// Whether the server is being looked at after a loss.
    pub(super) is_looking: Cell<bool>,
    pub(super) pool: Pool,
}

pub(super) struct Inner {
    server: Option<Server>,
    /// The server that left last, which may have done so before this node knew it.
    left: Option<String>,
    /// The server's connections are refused; until the next heartbeat.
    pub(super) is_down: bool,
    admission: Admission,
    work: HashMap<RequestId, Work>,
    last: RequestId,
    usage: Usage,
    failures: FailureRate,
    pub(super) in_flight: InFlight<RequestId>,
    /// The suspect that waits or runs, or did so last.
    suspect: Option<RequestId>,
    /// What runs at the server, by the client's id of the attempt, and what it has called.
    running: HashMap<String, (Run, Vec<(Route, u32)>)>,
}

/// A request that runs at the server, as the parent of its calls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Run {
    pub(crate) route: Route,
    pub(crate) priority: u8,
    pub(crate) depth: u8,
}

impl Owner {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            inner: RefCell::new(Inner {
                server: None,
                left: None,
                is_down: false,
                admission: Admission::new(now, options(0, Duration::ZERO)),
                work: HashMap::new(),
                last: RequestId(0),
                usage: Usage::default(),
                failures: FailureRate::default(),
                in_flight: InFlight::default(),
                suspect: None,
                running: HashMap::new(),
            }),
            is_looking: Cell::new(false),
            pool: Pool::default(),
        }
    }

    pub(crate) fn service(&self) -> Option<Service> {
        self.inner
            .borrow()
            .server
            .as_ref()
            .map(|server| server.service)
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
        self.state() == ServerState::Ready
    }

    pub(crate) fn is_cold(&self, now: Time) -> bool {
        let inner = self.inner.borrow();
        inner
            .server
            .as_ref()
            .is_some_and(|server| server.warm_at > now)
    }

    /// What peers are told of the server with every answer.
    pub(crate) fn report_state(&self) -> OwnerReport {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        OwnerReport {
            load: inner.admission.signal(now).load,
            failure_rate: inner.failures.share(now),
        }
    }

    /// Requests that wait or run.
    pub(crate) fn busy(&self) -> usize {
        self.inner.borrow().work.len()
    }

    /// Requests that wait or run at the present server.
    pub(crate) fn busy_slots(&self) -> u32 {
        let inner = self.inner.borrow();
        inner.admission.in_flight() + inner.admission.queued()
    }

    /// Requests that may run at once now.
    pub(crate) fn limit(&self) -> u32 {
        self.inner.borrow().admission.limit(clock::now())
    }

    /// Takes in a call that the server makes, and returns the run that it belongs to, where its id
    /// tells.
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

    /// What the server's runs take and call.
    pub(crate) fn report(&self, now: Time) -> Vec<RouteUse> {
        self.inner.borrow_mut().usage.report(now)
    }

    /// Takes in a request; its outcome comes through the receiver.
    pub(crate) fn submit(
        &self,
        node: &Rc<Node>,
        request: WorkRequest,
    ) -> (RequestId, oneshot::Receiver<Outcome>) {
        let now = clock::now();
        let (tx, rx) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        let id = inner.last.next();
        inner.last = id;
        if let Some(reason) = inner.refuses(node, &request) {
            // The receiver is in our hands.
            let _ = tx.send(Outcome::Refused(Refusal::not_run(reason)));
            return (id, rx);
        }
        let Some(job) = job(id, now, &request) else {
            // The receiver is in our hands.
            let _ = tx.send(Outcome::Refused(Refusal::not_run(Reason::BadRequest)));
            return (id, rx);
        };
        if let Some(refusal) = inner.suspicion(node, id, &request) {
            // The receiver is in our hands.
            let _ = tx.send(Outcome::Refused(refusal));
            return (id, rx);
        }
        let starts_in = Duration::from_micros(request.start_left_us);
        inner
            .work
            .insert(id, Work::Waiting(Box::new(request), job.deadline, tx));
        let actions = if starts_in.is_zero() {
            inner.admission.offer(now, job)
        } else {
            inner.admission.offer_to_start_by(now, job, now + starts_in)
        };
        drop(inner);
        self.apply(node, actions);
        (id, rx)
    }

    /// Gives a request up: a waiting one never runs, and the connection of a running one is closed.
    pub(crate) fn cancel(&self, node: &Rc<Node>, id: RequestId) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let actions = match inner.work.remove(&id) {
            Some(Work::Waiting(..)) => inner.admission.cancel(now, id),
            Some(Work::Running(task, attempt)) => {
                task.abort();
                inner.running.remove(&attempt);
                inner.in_flight.on_unanswered(now, &id);
                inner.admission.done(now, id, Duration::ZERO, false)
            }
            None => return,
        };
        drop(inner);
        self.apply(node, actions);
    }

    /// Refuses waiting requests that can't finish in time any more.
    pub(crate) fn tick(&self, node: &Rc<Node>) {
        let now = clock::now();
        self.pool.expire(now);
        let actions = self.inner.borrow_mut().admission.tick(now);
        self.apply(node, actions);
    }

    /// Takes in a server's answer to a probe, unless a heartbeat has come meanwhile.
    pub(crate) fn on_probed(&self, node: &Rc<Node>, id: String, slots: Option<u32>) {
        let now = clock::now();
        if self.inner.borrow().server.is_some() {
            return;
        }
        let service = node.settings().service;
        self.replace(node, Server::probed(id, service, slots, now));
    }

    /// Takes in a heartbeat.
    pub(crate) fn on_heartbeat(&self, node: &Rc<Node>, beat: &Heartbeat) {
        let now = clock::now();
        let change = {
            let inner = self.inner.borrow();
            let known = inner.server.as_ref();
            known.map_or(Change::Restart, |server| server.compare(beat))
        };
        match change {
            Change::Stale => log::info!(server:% = beat.server, sequence = beat.sequence;
                "heartbeat-stale"),
            Change::Restart => self.replace(node, Server::announced(beat, now)),
            Change::None | Change::State => self.refresh(node, beat, change),
        }
    }

    /// Takes in that the server with this id leaves.
    pub(crate) fn on_leave(&self, node: &Rc<Node>, id: &str) {
        let is_ours = {
            let mut inner = self.inner.borrow_mut();
            inner.left = Some(id.to_owned());
            let server = inner.server.as_mut().filter(|server| server.id == id);
            server
                .map(|server| server.state = ServerState::Draining)
                .is_some()
        };
        if is_ours {
            self.drain(node);
        }
    }

    /// Refuses everything that waits and all new work.
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

    fn refresh(&self, node: &Rc<Node>, beat: &Heartbeat, change: Change) {
        let now = clock::now();
        let (was_down, is_draining, actions) = {
            let mut inner = self.inner.borrow_mut();
            let was_down = std::mem::take(&mut inner.is_down);
            let Some(server) = inner.server.as_mut() else {
                return;
            };
            server.take_in(beat, now);
            let (slots, state) = (server.slots, server.state);
            let actions = inner.admission.set_slots(now, usable(slots));
            (was_down, state == ServerState::Draining, actions)
        };
        self.apply(node, actions);
        if change == Change::State && is_draining {
            self.drain(node);
        } else if was_down || change == Change::State {
            node.on_server_changed();
        }
    }

    /// Another start of the server takes the place of the known one.
    fn replace(&self, node: &Rc<Node>, mut server: Server) {
        let now = clock::now();
        if self.inner.borrow().left.as_ref() == Some(&server.id) {
            server.state = ServerState::Draining;
        }
        log::info!(server:% = server.id, service:% = server.service, slots = server.slots,
            state:? = server.state; "server-seen");
        self.pool.clear();
        self.on_died(node);
        let old = self.inner.borrow_mut().admission.drain();
        self.apply(node, old);
        {
            let mut inner = self.inner.borrow_mut();
            let warm_up = server.warm_at.since(now);
            inner.admission = Admission::new(now, options(server.slots, warm_up));
            inner.failures = FailureRate::default();
            inner.is_down = false;
            if server.state == ServerState::Draining {
                inner.admission.drain();
            }
            inner.server = Some(server);
        }
        node.on_server_changed();
    }

    /// Carries out what the admission decided.
    fn apply(&self, node: &Rc<Node>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(node, id),
                Action::Refuse(id, refusal) => {
                    let work = self.inner.borrow_mut().work.remove(&id);
                    if let Some(Work::Waiting(_, _, reply)) = work {
                        // Nobody waits where the request was given up at this moment.
                        let _ = reply.send(Outcome::Refused(refusal));
                    }
                }
            }
        }
    }

    fn start(&self, node: &Rc<Node>, id: RequestId) {
        let mut inner = self.inner.borrow_mut();
        let Some(Work::Waiting(request, deadline, reply)) = inner.work.remove(&id) else {
            return;
        };
        let now = clock::now();
        // Servers may have ended under it while it waited.
        if let Some(refusal) = inner.suspicion(node, id, &request) {
            // Nobody waits where the request was given up at this moment.
            let _ = reply.send(Outcome::Refused(refusal));
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
            let run = Run {
                route,
                priority: u8::try_from(request.priority).unwrap_or(u8::MAX),
                depth: u8::try_from(request.depth).unwrap_or(u8::MAX),
            };
            inner
                .running
                .insert(request.attempt.clone(), (run, Vec::new()));
        }
        let attempt = request.attempt.clone();
        let run = run(Rc::clone(node), id, *request, deadline, reply);
        let task = tokio::task::spawn_local(run).abort_handle();
        inner.work.insert(id, Work::Running(task, attempt));
    }

    /// Takes in how a running request ended.
    pub(super) fn finish(&self, node: &Rc<Node>, id: RequestId, end: &End) {
        let now = clock::now();
        let actions = {
            let mut inner = self.inner.borrow_mut();
            if inner.work.remove(&id).is_none() {
                return;
            }
            let ran = inner.running.remove(&end.attempt);
            if let Some((run, calls)) = ran {
                inner
                    .usage
                    .on_end(now, run.route, end.spent, end.is_ok, &calls);
            }
            inner.take_in_fate(node, id, end.fate);
            if let Some(has_failed) = end.has_failed {
                inner.failures.record(now, has_failed);
            }
            inner.admission.done(now, id, end.spent, end.is_ok)
        };
        self.apply(node, actions);
        match end.fate {
            Fate::NotSent { is_refused } => self.on_down(node, is_refused),
            Fate::Unanswered => self.look_after(node),
            Fate::Replaced => self.on_died(node),
            Fate::Answered | Fate::Alive => {}
        }
    }
}

impl Inner {
    /// Why a request is not to run now, by the servers that ended under it. A suspect runs where no
    /// other does, so that a death tells which of them it is.
    fn suspicion(&mut self, node: &Node, id: RequestId, request: &WorkRequest) -> Option<Refusal> {
        let decision = node.suspicion.check(clock::now(), request.fingerprint()?);
        match decision {
            Decision::Run => None,
            Decision::Refuse(refusal) => Some(refusal),
            Decision::RunAlone => {
                let other = self.suspect.filter(|it| *it != id);
                if other.is_some_and(|it| self.work.contains_key(&it)) {
                    return Some(Refusal::not_run(Reason::Suspect));
                }
                self.suspect = Some(id);
                None
            }
        }
    }

    /// Whether the server has said that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        let server = self.server.as_ref();
        server.is_some_and(|it| it.state == ServerState::Draining)
    }

    /// Why a request is refused before admission looks at it.
    fn refuses(&self, node: &Node, request: &WorkRequest) -> Option<Reason> {
        let server = self.server.as_ref()?;
        if node.is_stopping() {
            Some(Reason::Draining)
        } else if self.is_down || server.service.as_str() != request.service {
            Some(Reason::NoServer)
        } else {
            None
        }
    }
}

fn options(slots: u32, warm_up: Duration) -> Options {
    Options {
        slots: usable(slots),
        warm_up,
        queue_share: QUEUE_SHARE,
        ..Options::default()
    }
}

/// The slots that are used: some servers turn slower when they are nearly full.
fn usable(slots: u32) -> u32 {
    let used = f64::from(slots) * USED_SLOTS;
    (used as u32).max(slots.min(1))
}

/// The request as admission sees it; nothing where a name is none.
fn job(id: RequestId, now: Time, request: &WorkRequest) -> Option<Job> {
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
        deadline: now + Duration::from_micros(request.left_us),
        route: request.route.parse().ok()?,
    })
}
