//! Compares overload control strategies by simulation in virtual time: goodput and recovery of a
//! chain of three services under a surge, while the deepest service is slow.
//!
//! Run with `cargo run -p cassiashunt-admit --example surge`.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use cassiashunt_admit::{
    Action, Admission, Job, Options, Priority, Signal,
    ingress::{self, Ingress},
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

/// The start and the end of the cause of the overload.
const OVERLOAD_START: Duration = Duration::from_secs(10);
const OVERLOAD_END: Duration = Duration::from_secs(30);
const RUN_TIME: Duration = Duration::from_secs(60);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of attempts of a caller for one request, the first included.
const MAX_ATTEMPTS: u32 = 4;
const INGRESS_COUNT: usize = 5;
/// Requests per second without a surge.
const BASE_DEMAND_PER_S: f64 = 4_400.0;
/// Retries at each hop under strategies that do not bound them.
const MAX_HOP_RETRIES: u32 = 2;

#[derive(Clone, Copy)]
struct ServiceSpec {
    name: &'static str,
    servers: usize,
    slots: u32,
    connections: usize,
    work_ms: f64,
}

const SERVICES: [ServiceSpec; 3] = [
    ServiceSpec {
        name: "rota",
        servers: 5,
        slots: 70,
        connections: 500,
        work_ms: 10.0,
    },
    ServiceSpec {
        name: "ledger",
        servers: 3,
        slots: 90,
        connections: 600,
        work_ms: 20.0,
    },
    ServiceSpec {
        name: "stores",
        servers: 3,
        slots: 30,
        connections: 300,
        work_ms: 30.0,
    },
];
const DEEPEST_SERVICE: usize = 2;

#[derive(Clone, Copy)]
struct RouteSpec {
    name: &'static str,
    hops: usize,
    priority: Priority,
    /// Its share of the demand.
    share: f64,
}

const ROUTES: [RouteSpec; 4] = [
    RouteSpec {
        name: "sign-off",
        hops: 2,
        priority: Priority::PROTECTED,
        share: 0.1,
    },
    RouteSpec {
        name: "reserve",
        hops: 3,
        priority: Priority::PROTECTED,
        share: 0.05,
    },
    RouteSpec {
        name: "schedule",
        hops: 2,
        priority: Priority(100),
        share: 0.4,
    },
    RouteSpec {
        name: "stock",
        hops: 3,
        priority: Priority(50),
        share: 0.45,
    },
];

/// The share of each workspace in the demand; the first one sends all additional requests of the
/// surge.
const WORKSPACES: [f64; 8] = [0.3, 0.25, 0.2, 0.1, 0.05, 0.04, 0.03, 0.03];

#[derive(Clone, Copy, PartialEq)]
enum Control {
    Off,
    Static,
    Local,
    Ingress,
}

/// How a concurrency limit follows measured latencies.
#[derive(Clone, Copy)]
enum Algorithm {
    /// The announced slots.
    Fixed,
    /// Additive increase by one without congestion, multiplicative decrease by a tenth with it.
    Aimd,
    /// Follows the ratio of the long-term mean latency to the current latency.
    Gradient,
}

/// An adaptive concurrency limit of one server.
struct Adaptive {
    slots: f64,
    limit: f64,
    /// The long-term mean latency of each route, in seconds, and its number of samples.
    mean_latencies: [(f64, f64); ROUTES.len()],
    latency_ratio_sum: f64,
    samples: f64,
}

impl Adaptive {
    fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            limit: f64::from(slots),
            mean_latencies: [(0.0, 0.0); ROUTES.len()],
            latency_ratio_sum: 0.0,
            samples: 0.0,
        }
    }

    /// Records a latency and returns the new limit.
    fn on_sample(
        &mut self,
        algorithm: Algorithm,
        route: usize,
        latency: Duration,
        running: u32,
    ) -> u32 {
        let (mean_latency, samples) = &mut self.mean_latencies[route];
        let secs = latency.as_secs_f64();
        *samples += 1.0;
        *mean_latency += (secs - *mean_latency) * (1.0 / *samples).max(0.001);
        self.latency_ratio_sum += secs / *mean_latency;
        self.samples += 1.0;
        if self.samples >= 20.0 {
            self.step(algorithm, f64::from(running));
        }
        self.limit as u32
    }

    fn step(&mut self, algorithm: Algorithm, running: f64) {
        let latency_ratio = self.latency_ratio_sum / self.samples;
        let is_busy = running * 2.0 >= self.limit;
        self.limit = match algorithm {
            Algorithm::Aimd if latency_ratio > 2.0 => self.limit * 0.9,
            Algorithm::Aimd if is_busy => self.limit + 1.0,
            Algorithm::Gradient if is_busy => {
                let target = self.limit * (1.5 / latency_ratio).clamp(0.5, 1.0) + self.limit.sqrt();
                self.limit + 0.2 * (target - self.limit)
            }
            _ => self.limit,
        };
        self.limit = self.limit.clamp(1.0, self.slots);
        self.latency_ratio_sum = 0.0;
        self.samples = 0.0;
    }
}

#[derive(Clone, Copy)]
struct Strategy {
    name: &'static str,
    control: Control,
    algorithm: Algorithm,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The demand, as a multiple of the normal one.
    surge: f64,
    /// The factor on the service times of the deepest service.
    slowness: f64,
    /// The announced slots of the deepest service, as a multiple of the requests that it can run
    /// without getting slower. Above that number, service times grow with the power 1.5 of the
    /// excess.
    overstated: f64,
}

struct Request {
    route: usize,
    workspace: usize,
    ingress: usize,
    attempt: u32,
    deadline: Time,
    is_answered: bool,
    is_served: bool,
    /// The time that servers worked on it in the measured period.
    work: Duration,
}

struct Call {
    request: usize,
    hop: usize,
    server: usize,
    parent: Option<usize>,
    retries: u32,
    began: Time,
}

enum ServerQueue {
    Uncontrolled {
        running: u32,
        queue: VecDeque<usize>,
    },
    Controlled(Box<Admission>),
}

struct Server {
    service: usize,
    queue_model: ServerQueue,
    adaptive: Adaptive,
}

enum Event {
    Demand,
    Send(usize),
    Arrive(usize),
    WorkDone(usize),
    Returned(usize, Option<Refusal>),
    Timeout(usize),
    Gossip,
    Tick,
}

struct Simulation {
    strategy: Strategy,
    scenario: Scenario,
    rng: Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, usize)>>,
    events: Vec<Option<Event>>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    servers: Vec<Server>,
    ingresses: Vec<Ingress>,
    tally: Tally,
}

/// Requests that were served in time, by second, route and workspace.
#[derive(Default)]
struct Tally {
    by_second: Vec<u32>,
    by_route: [u32; ROUTES.len()],
    by_workspace: [u32; WORKSPACES.len()],
    asked_by_route: [u32; ROUTES.len()],
}

fn label<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("a valid label")
}

fn weight(workspace: usize) -> u32 {
    (WORKSPACES[workspace] * 100.0) as u32
}

fn queue_model(strategy: Strategy, spec: ServiceSpec) -> ServerQueue {
    let opts = Options {
        slots: spec.slots,
        ..Options::default()
    };
    let opts = match strategy.control {
        Control::Off => {
            return ServerQueue::Uncontrolled {
                running: 0,
                queue: VecDeque::new(),
            };
        }
        Control::Static => Options {
            queue_share: 0.0,
            min_queue: 0,
            ..opts
        },
        Control::Local | Control::Ingress => opts,
    };
    ServerQueue::Controlled(Box::new(Admission::new(Time::ZERO, opts)))
}

fn simulation(strategy: Strategy, scenario: Scenario, seed: u64) -> Simulation {
    let servers = SERVICES.iter().enumerate().flat_map(|(service, spec)| {
        (0..spec.servers).map(move |_| Server {
            service,
            queue_model: queue_model(strategy, *spec),
            adaptive: Adaptive::new(spec.slots),
        })
    });
    Simulation {
        strategy,
        scenario,
        rng: Rng::with_seed(seed),
        now: Time::ZERO,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        requests: Vec::new(),
        calls: Vec::new(),
        servers: servers.collect(),
        ingresses: (0..INGRESS_COUNT)
            .map(|_| Ingress::new(ingress::Options::default()))
            .collect(),
        tally: Tally {
            by_second: vec![0; RUN_TIME.as_secs() as usize + 1],
            ..Tally::default()
        },
    }
}

impl Simulation {
    fn schedule(&mut self, span: Duration, event: Event) {
        self.queue
            .push(Reverse((self.now + span, self.events.len())));
        self.events.push(Some(event));
    }

    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::Demand);
        self.schedule(GOSSIP_INTERVAL, Event::Gossip);
        self.schedule(TICK_INTERVAL, Event::Tick);
        while let Some(Reverse((at, event))) = self.queue.pop() {
            if at > Time::ZERO + RUN_TIME {
                return;
            }
            self.now = at;
            match self.events[event]
                .take()
                .expect("each event is queued once")
            {
                Event::Demand => self.on_demand(),
                Event::Send(request) => self.on_send(request),
                Event::Arrive(call) => self.on_arrive(call),
                Event::WorkDone(call) => self.on_work_done(call),
                Event::Returned(call, refusal) => self.on_returned(call, refusal),
                Event::Timeout(request) => self.on_timeout(request),
                Event::Gossip => self.on_gossip(),
                Event::Tick => self.on_tick(),
            }
        }
    }

    fn is_overloaded(&self) -> bool {
        let since = self.now.since(Time::ZERO);
        (OVERLOAD_START..OVERLOAD_END).contains(&since)
    }

    fn is_measured(&self) -> bool {
        let since = self.now.since(Time::ZERO);
        (OVERLOAD_START + Duration::from_secs(2)..OVERLOAD_END).contains(&since)
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        Duration::from_secs_f64(-mean_ms * (1.0 - self.rng.f64()).ln() / 1e3)
    }

    fn draw(&mut self, shares: impl Iterator<Item = f64>) -> usize {
        let mut at = self.rng.f64();
        let mut last = 0;
        for (n, share) in shares.enumerate() {
            at -= share;
            last = n;
            if at < 0.0 {
                break;
            }
        }
        last
    }

    fn on_demand(&mut self) {
        let extra = if self.is_overloaded() {
            self.scenario.surge - 1.0
        } else {
            0.0
        };
        let wait = self.exponential(1e3 / BASE_DEMAND_PER_S / (1.0 + extra));
        self.schedule(wait, Event::Demand);
        let is_extra = self.rng.f64() < extra / (1.0 + extra);
        let workspace = if is_extra {
            0
        } else {
            self.draw(WORKSPACES.into_iter())
        };
        let route = self.draw(ROUTES.iter().map(|it| it.share));
        if self.is_measured() {
            self.tally.asked_by_route[route] += 1;
        }
        self.send(route, workspace, 1, Duration::ZERO);
    }

    fn send(&mut self, route: usize, workspace: usize, attempt: u32, after: Duration) {
        self.requests.push(Request {
            route,
            workspace,
            ingress: self.rng.usize(..INGRESS_COUNT),
            attempt,
            deadline: self.now + after + REQUEST_TIMEOUT,
            is_answered: false,
            is_served: false,
            work: Duration::ZERO,
        });
        let request = self.requests.len() - 1;
        self.schedule(after, Event::Send(request));
        self.schedule(after + REQUEST_TIMEOUT, Event::Timeout(request));
    }

    fn on_send(&mut self, request: usize) {
        let it = &self.requests[request];
        let spec = ROUTES[it.route];
        if self.strategy.control == Control::Ingress {
            let req = ingress::Request {
                route: label(spec.name),
                priority: spec.priority,
                workspace: label(&format!("w{}", it.workspace)),
                weight: weight(it.workspace),
            };
            let ingress = &mut self.ingresses[it.ingress];
            if let Err(refusal) = ingress.admit(self.now, req, &mut self.rng) {
                return self.answer(request, Some(refusal));
            }
        }
        self.call(request, 0, None, 0);
    }

    fn call(&mut self, request: usize, hop: usize, parent: Option<usize>, retries: u32) {
        let of_service = |at: &usize| self.servers[*at].service == hop;
        let mut servers: Vec<_> = (0..self.servers.len()).filter(of_service).collect();
        self.rng.shuffle(&mut servers);
        servers.truncate(2);
        let server = servers
            .into_iter()
            .min_by_key(|at| self.busy(*at))
            .expect("each service has a server");
        self.calls.push(Call {
            request,
            hop,
            server,
            parent,
            retries,
            began: self.now,
        });
        let call = self.calls.len() - 1;
        self.schedule(NETWORK_DELAY, Event::Arrive(call));
    }

    fn busy(&self, server: usize) -> u32 {
        match &self.servers[server].queue_model {
            ServerQueue::Uncontrolled { running, queue } => running + queue.len() as u32,
            ServerQueue::Controlled(admission) => admission.in_flight() + admission.queued(),
        }
    }

    fn on_arrive(&mut self, call: usize) {
        let it = &self.calls[call];
        let request = &self.requests[it.request];
        let route = ROUTES[request.route];
        let server = &mut self.servers[it.server];
        let spec = SERVICES[server.service];
        let actions = match &mut server.queue_model {
            ServerQueue::Controlled(admission) => admission.offer(
                self.now,
                Job {
                    key: RequestId(call as u64),
                    workspace: label(&format!("w{}", request.workspace)),
                    weight: weight(request.workspace),
                    priority: route.priority,
                    depth: it.hop as u8,
                    deadline: request.deadline,
                    route: label(route.name),
                },
            ),
            ServerQueue::Uncontrolled { running, queue } => {
                if *running < spec.slots {
                    *running += 1;
                    vec![Action::Start(RequestId(call as u64))]
                } else if queue.len() + (spec.slots as usize) < spec.connections {
                    queue.push_back(call);
                    Vec::new()
                } else {
                    let refusal = Refusal::not_run(Reason::Full);
                    vec![Action::Refuse(RequestId(call as u64), refusal)]
                }
            }
        };
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(id.0 as usize),
                Action::Refuse(id, refusal) => {
                    self.schedule(NETWORK_DELAY, Event::Returned(id.0 as usize, Some(refusal)));
                }
            }
        }
    }

    fn start(&mut self, call: usize) {
        let service = self.calls[call].hop;
        let slowness = self.slowness(call);
        let work = self.exponential(SERVICES[service].work_ms * slowness);
        self.calls[call].began = self.now;
        if self.is_measured() {
            self.requests[self.calls[call].request].work += work;
        }
        self.schedule(work, Event::WorkDone(call));
    }

    fn slowness(&self, call: usize) -> f64 {
        if self.calls[call].hop != DEEPEST_SERVICE || !self.is_overloaded() {
            return 1.0;
        }
        let running = match &self.servers[self.calls[call].server].queue_model {
            ServerQueue::Uncontrolled { running, .. } => *running,
            ServerQueue::Controlled(admission) => admission.in_flight(),
        };
        let uncongested = f64::from(SERVICES[DEEPEST_SERVICE].slots) / self.scenario.overstated;
        let excess = (f64::from(running) / uncongested).max(1.0);
        self.scenario.slowness * excess.powf(1.5)
    }

    fn on_work_done(&mut self, call: usize) {
        let it = &self.calls[call];
        let (request, hop) = (it.request, it.hop);
        if hop + 1 < ROUTES[self.requests[request].route].hops {
            self.call(request, hop + 1, Some(call), 0);
        } else {
            self.finish(call, None);
        }
    }

    /// Frees the server's slot and sends the answer.
    fn finish(&mut self, call: usize, refusal: Option<Refusal>) {
        let it = &self.calls[call];
        let latency = self.now.since(it.began);
        let route = self.requests[it.request].route;
        let server = &mut self.servers[it.server];
        let actions = match &mut server.queue_model {
            ServerQueue::Controlled(admission) => {
                let id = RequestId(call as u64);
                let running = admission.in_flight();
                let mut actions = admission.done(self.now, id, latency, refusal.is_none());
                let algorithm = self.strategy.algorithm;
                if refusal.is_none() && !matches!(algorithm, Algorithm::Fixed) {
                    let limit = server
                        .adaptive
                        .on_sample(algorithm, route, latency, running);
                    actions.extend(admission.set_slots(self.now, limit));
                }
                actions
            }
            ServerQueue::Uncontrolled { running, queue } => match queue.pop_front() {
                Some(next) => vec![Action::Start(RequestId(next as u64))],
                None => {
                    *running -= 1;
                    Vec::new()
                }
            },
        };
        self.apply(actions);
        self.schedule(NETWORK_DELAY, Event::Returned(call, refusal));
    }

    fn on_returned(&mut self, call: usize, refusal: Option<Refusal>) {
        self.notify_ingress(call);
        let it = &self.calls[call];
        let (request, hop, parent, retries) = (it.request, it.hop, it.parent, it.retries);
        let is_bounded = matches!(self.strategy.control, Control::Local | Control::Ingress);
        if refusal.is_some() && !is_bounded && retries < MAX_HOP_RETRIES {
            return self.call(request, hop, parent, retries + 1);
        }
        match parent {
            Some(parent) => self.finish(parent, refusal),
            None => self.answer(request, refusal),
        }
    }

    /// Records the owner's signal, which is part of its answer.
    fn notify_ingress(&mut self, call: usize) {
        let it = &self.calls[call];
        let request = &self.requests[it.request];
        let service = label(SERVICES[it.hop].name);
        let ingress = &mut self.ingresses[request.ingress];
        ingress.on_visit(self.now, label(ROUTES[request.route].name), service);
        if let ServerQueue::Controlled(admission) = &self.servers[it.server].queue_model {
            let signal = admission.signal(self.now);
            ingress.on_signal(self.now, service, NodeId(it.server as u64), signal);
        }
    }

    fn answer(&mut self, request: usize, refusal: Option<Refusal>) {
        let now = self.now;
        let is_measured = self.is_measured();
        let it = &mut self.requests[request];
        if it.is_answered {
            return;
        }
        it.is_answered = true;
        let (route, workspace, attempt) = (it.route, it.workspace, it.attempt);
        it.is_served = refusal.is_none();
        let Some(refusal) = refusal else {
            self.tally.by_second[now.since(Time::ZERO).as_secs() as usize] += 1;
            if is_measured {
                self.tally.by_route[route] += 1;
                self.tally.by_workspace[workspace] += 1;
            }
            return;
        };
        // Every other caller ignores the retry-after delay.
        let asked = refusal.retry_after.filter(|_| request.is_multiple_of(2));
        let wait = asked.unwrap_or_else(|| Duration::from_millis(self.rng.u64(50..150)));
        self.retry(route, workspace, attempt, wait);
    }

    fn on_timeout(&mut self, request: usize) {
        let it = &mut self.requests[request];
        if !it.is_answered {
            it.is_answered = true;
            let (route, workspace, attempt) = (it.route, it.workspace, it.attempt);
            self.retry(route, workspace, attempt, Duration::ZERO);
        }
    }

    fn retry(&mut self, route: usize, workspace: usize, attempt: u32, wait: Duration) {
        if attempt < MAX_ATTEMPTS {
            self.send(route, workspace, attempt + 1, wait);
        }
    }

    fn on_gossip(&mut self) {
        self.schedule(GOSSIP_INTERVAL, Event::Gossip);
        for (owner, server) in self.servers.iter().enumerate() {
            let ServerQueue::Controlled(admission) = &server.queue_model else {
                continue;
            };
            let signal: Signal = admission.signal(self.now);
            let service = label(SERVICES[server.service].name);
            for ingress in &mut self.ingresses {
                ingress.on_signal(self.now, service, NodeId(owner as u64), signal);
            }
        }
    }

    fn on_tick(&mut self) {
        self.schedule(TICK_INTERVAL, Event::Tick);
        for server in 0..self.servers.len() {
            if let ServerQueue::Controlled(admission) = &mut self.servers[server].queue_model {
                let actions = admission.tick(self.now);
                self.apply(actions);
            }
        }
    }
}

/// The seconds from the end of the cause until goodput is at least 95% of the earlier one for three
/// consecutive seconds.
fn recovery(by_second: &[u32]) -> Option<usize> {
    let (begin, end) = (
        OVERLOAD_START.as_secs() as usize,
        OVERLOAD_END.as_secs() as usize,
    );
    let earlier: u32 = by_second[begin - 6..begin].iter().sum();
    let min_goodput = f64::from(earlier) / 6.0 * 0.95;
    let is_recovered = |at: &usize| {
        by_second[*at..*at + 3]
            .iter()
            .all(|n| f64::from(*n) >= min_goodput)
    };
    (end..by_second.len() - 4)
        .find(is_recovered)
        .map(|at| at - end)
}

/// The share of the servers' work for requests that were not served in time.
fn wasted(requests: &[Request]) -> f64 {
    let all: Duration = requests.iter().map(|it| it.work).sum();
    let failed: Duration = requests
        .iter()
        .filter(|it| !it.is_served)
        .map(|it| it.work)
        .sum();
    failed.as_secs_f64() / all.as_secs_f64()
}

fn measure(strategy: Strategy, scenario: Scenario, seed: u64) {
    let mut simulation = simulation(strategy, scenario, seed);
    simulation.run();
    let tally = &simulation.tally;
    let secs = (OVERLOAD_END - OVERLOAD_START).as_secs_f64() - 2.0;
    let goodput: u32 = tally.by_route.iter().sum();
    let protected = |counts: &[u32]| f64::from(counts[0] + counts[1]);
    let served = protected(&tally.by_route) / protected(&tally.asked_by_route);
    let demanded = WORKSPACES
        .iter()
        .map(|share| BASE_DEMAND_PER_S * share * secs);
    let worst = tally
        .by_workspace
        .iter()
        .zip(demanded)
        .map(|(n, all)| f64::from(*n) / all);
    println!(
        "{:24}{:18}{:>10.0}{:>10.1}%{:>10.1}%{:>9.1}%{:>10}",
        strategy.name,
        scenario.name,
        f64::from(goodput) / secs,
        served * 100.0,
        worst.fold(f64::INFINITY, f64::min) * 100.0,
        wasted(&simulation.requests) * 100.0,
        recovery(&tally.by_second).map_or("never".into(), |secs| format!("{secs} s")),
    );
}

fn main() {
    let strategy = |name, control, algorithm| Strategy {
        name,
        control,
        algorithm,
    };
    let strategies = [
        strategy("no control", Control::Off, Algorithm::Fixed),
        strategy("static limit, no queue", Control::Static, Algorithm::Fixed),
        strategy("local, fixed", Control::Local, Algorithm::Fixed),
        strategy("local, AIMD", Control::Local, Algorithm::Aimd),
        strategy("local, gradient", Control::Local, Algorithm::Gradient),
        strategy("ingress, fixed", Control::Ingress, Algorithm::Fixed),
        strategy("ingress, AIMD", Control::Ingress, Algorithm::Aimd),
        strategy("ingress, gradient", Control::Ingress, Algorithm::Gradient),
    ];
    println!(
        "{:24}{:18}{:>10}{:>11}{:>11}{:>10}{:>10}",
        "way", "scene", "goodput/s", "protected", "worst ws", "wasted", "recovery"
    );
    let scenario = |name, surge, slowness, overstated| Scenario {
        name,
        surge,
        slowness,
        overstated,
    };
    let scenarios = [
        scenario("1x, deep 3x slow", 1.0, 3.0, 1.0),
        scenario("2x, deep 3x slow", 2.0, 3.0, 1.0),
        scenario("3x, deep 3x slow", 3.0, 3.0, 1.0),
        scenario("2x, slots 2x over", 2.0, 1.0, 2.0),
    ];
    // Arguments, both optional: a part of the names of the strategies to run, and a seed.
    let name_filter = std::env::args().nth(1).unwrap_or_default();
    let seed = std::env::args()
        .nth(2)
        .and_then(|it| it.parse().ok())
        .unwrap_or(1);
    for scenario in scenarios {
        for strategy in strategies
            .iter()
            .filter(|strategy| strategy.name.contains(&name_filter))
        {
            measure(*strategy, scenario, seed);
        }
    }
}
