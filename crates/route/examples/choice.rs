//! Measures strategies to choose a server: five servers of 70 slots in three failure domains,
//! chosen by many nodes of which each sees only its own requests and the loads reported in their
//! answers. Virtual time; `cargo run -p cassiashunt-route --example choice`.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use cassiashunt_route::{Candidate, Chooser, Options, Outcome, Policy, ServerKey};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const SERVER_COUNT: usize = 5;
const SLOTS_PER_SERVER: u32 = 70;
const MEAN_SERVICE_MS: f64 = 20.0;
const CROSS_DOMAIN_DELAY: Duration = Duration::from_millis(1);
const RUN_DURATION: Duration = Duration::from_secs(12);
const WARM_UP_DURATION: Duration = Duration::from_secs(2);
const DOMAIN_NAMES: [&str; 3] = ["ikeja", "apapa", "lekki"];

#[derive(Clone, Copy)]
struct Call {
    node: usize,
    server: usize,
    key: ServerKey,
    sent: Time,
}

enum Event {
    Arrive(usize),
    Reach(Call),
    Finish(Call),
    Answer(Call, u8),
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<Call>,
    service_time_factor: f64,
}

struct Strategy {
    name: &'static str,
    policy: Policy,
    crossing_cost: f64,
    report_half_life_ms: u64,
}

struct Scenario {
    name: &'static str,
    nodes: usize,
    utilisation: f64,
    /// The factor by which the first server's service times are longer.
    service_time_factor: f64,
    /// Whether half of the requests arrive in the first failure domain.
    is_skewed: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Rng,
    now: Time,
    next_event: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    nodes: Vec<Chooser>,
    servers: Vec<Server>,
    latencies: Vec<Duration>,
    crossed: usize,
}

fn domain_of(at: usize) -> FailureDomain {
    DOMAIN_NAMES[at % DOMAIN_NAMES.len()]
        .parse()
        .expect("invalid label")
}

fn simulation<'a>(strategy: &Strategy, scenario: &'a Scenario, seed: u64) -> Simulation<'a> {
    let chooser = |at| {
        let mut chooser = Chooser::new(Options {
            domain: Some(domain_of(at)),
            policy: strategy.policy,
            crossing_cost: strategy.crossing_cost,
            report_half_life: Duration::from_millis(strategy.report_half_life_ms),
            ..Options::default()
        });
        for server in 0..SERVER_COUNT {
            chooser.add(
                Time::ZERO,
                Candidate {
                    owner: NodeId(server as u64),
                    domain: domain_of(server),
                    slots: SLOTS_PER_SERVER,
                    is_cold: false,
                },
            );
        }
        chooser
    };
    let server = |at| Server {
        service_time_factor: if at == 0 {
            scenario.service_time_factor
        } else {
            1.0
        },
        ..Server::default()
    };
    Simulation {
        scenario,
        rng: Rng::with_seed(seed),
        now: Time::ZERO,
        next_event: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        nodes: (0..scenario.nodes).map(chooser).collect(),
        servers: (0..SERVER_COUNT).map(server).collect(),
        latencies: Vec::new(),
        crossed: 0,
    }
}

impl Simulation<'_> {
    fn schedule(&mut self, span: Duration, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((
            self.now + span,
            self.next_event,
            self.events.len(),
        )));
        self.events.push(Some(event));
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        Duration::from_secs_f64(-mean_ms * (1.0 - self.rng.f64()).ln() / 1e3)
    }

    fn run(&mut self) {
        for node in 0..self.nodes.len() {
            self.schedule_arrival(node);
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > Time::ZERO + RUN_DURATION {
                return;
            }
            self.now = at;
            match self.events[event].take().expect("queued event is missing") {
                Event::Arrive(node) => self.arrive(node),
                Event::Reach(call) => self.reach(call),
                Event::Finish(call) => self.finish(call),
                Event::Answer(call, load) => self.answer(call, load),
            }
        }
    }

    fn schedule_arrival(&mut self, node: usize) {
        let total = SERVER_COUNT as f64 * f64::from(SLOTS_PER_SERVER) / MEAN_SERVICE_MS
            * self.scenario.utilisation;
        let share = match (self.scenario.is_skewed, node % DOMAIN_NAMES.len()) {
            (false, _) => 1.0,
            (true, 0) => 1.5,
            (true, _) => 0.75,
        };
        let delay = self.exponential(self.nodes.len() as f64 / total / share);
        self.schedule(delay, Event::Arrive(node));
    }

    fn arrive(&mut self, node: usize) {
        self.schedule_arrival(node);
        let key = self.nodes[node]
            .choose(self.now, &[], &mut self.rng)
            .expect("no eligible server");
        let owner = self.nodes[node]
            .candidate(key)
            .expect("chosen server is not a candidate")
            .owner;
        let call = Call {
            node,
            server: owner.0 as usize,
            key,
            sent: self.now,
        };
        let delay = self.network_delay(call);
        self.schedule(delay, Event::Reach(call));
    }

    fn network_delay(&self, call: Call) -> Duration {
        let is_local = domain_of(call.node) == domain_of(call.server);
        if is_local {
            Duration::ZERO
        } else {
            CROSS_DOMAIN_DELAY
        }
    }

    fn reach(&mut self, call: Call) {
        if self.servers[call.server].running < SLOTS_PER_SERVER {
            self.start(call);
        } else {
            self.servers[call.server].queue.push_back(call);
        }
    }

    fn start(&mut self, call: Call) {
        self.servers[call.server].running += 1;
        let service_time =
            self.exponential(MEAN_SERVICE_MS * self.servers[call.server].service_time_factor);
        self.schedule(service_time, Event::Finish(call));
    }

    fn finish(&mut self, call: Call) {
        let server = &mut self.servers[call.server];
        server.running -= 1;
        let next = server.queue.pop_front();
        if let Some(next) = next {
            self.start(next);
        }
        let server = &self.servers[call.server];
        let load = (server.running as usize + server.queue.len()) * 128 / SLOTS_PER_SERVER as usize;
        let delay = self.network_delay(call);
        self.schedule(delay, Event::Answer(call, load.min(255) as u8));
    }

    fn answer(&mut self, call: Call, load: u8) {
        let chooser = &mut self.nodes[call.node];
        chooser.done(self.now, call.key, Outcome::Served);
        chooser.on_load(self.now, call.key, load);
        if call.sent > Time::ZERO + WARM_UP_DURATION {
            self.latencies.push(self.now.since(call.sent));
            self.crossed += usize::from(domain_of(call.node) != domain_of(call.server));
        }
    }
}

fn measure(strategy: &Strategy, scenario: &Scenario) {
    let mut simulation = simulation(strategy, scenario, 1);
    simulation.run();
    let latencies = &mut simulation.latencies;
    latencies.sort_unstable();
    let mean: Duration = latencies.iter().sum::<Duration>() / latencies.len() as u32;
    let p99 = latencies[latencies.len() * 99 / 100];
    let crossed_fraction = simulation.crossed as f64 / latencies.len() as f64;
    println!(
        "{:44}{:26}{:>8.2}{:>8.1}{:>7.0}%",
        scenario.name,
        strategy.name,
        mean.as_secs_f64() * 1e3,
        p99.as_secs_f64() * 1e3,
        crossed_fraction * 100.0,
    );
}

fn main() {
    let strategy = |name, policy, crossing_cost, report_half_life_ms| Strategy {
        name,
        policy,
        crossing_cost,
        report_half_life_ms,
    };
    let strategies = [
        strategy("random", Policy::Random, 0.0, 500),
        strategy("two choices", Policy::TwoChoices, 0.0, 500),
        strategy("two, cross 0.1", Policy::TwoChoices, 0.1, 500),
        strategy("two, cross 0.1, 2 s", Policy::TwoChoices, 0.1, 2_000),
        strategy("two, cross 0.1, 8 s", Policy::TwoChoices, 0.1, 8_000),
        strategy("two, cross 0.3", Policy::TwoChoices, 0.3, 500),
        strategy("least", Policy::Least, 0.0, 500),
        strategy("least, cross 0.1", Policy::Least, 0.1, 500),
        strategy("least, cross 0.1, 2 s", Policy::Least, 0.1, 2_000),
        strategy("least, cross 0.1, 8 s", Policy::Least, 0.1, 8_000),
        strategy("least, cross 0.3", Policy::Least, 0.3, 500),
    ];
    let scenario = |name, nodes, utilisation, service_time_factor, is_skewed| Scenario {
        name,
        nodes,
        utilisation,
        service_time_factor,
        is_skewed,
    };
    let scenarios = [
        scenario("17 nodes, 50% used", 17, 0.5, 1.0, false),
        scenario("17 nodes, 90% used", 17, 0.9, 1.0, false),
        scenario("17 nodes, 90% used, skewed", 17, 0.9, 1.0, true),
        scenario(
            "17 nodes, 60% used, skewed, one 3x slow",
            17,
            0.6,
            3.0,
            true,
        ),
        scenario("400 nodes, 90% used, skewed", 400, 0.9, 1.0, true),
        scenario(
            "400 nodes, 60% used, skewed, one 3x slow",
            400,
            0.6,
            3.0,
            true,
        ),
    ];
    println!(
        "{:44}{:26}{:>8}{:>8}{:>8}",
        "scene", "way", "mean ms", "p99 ms", "crossed"
    );
    for scenario in &scenarios {
        for strategy in &strategies {
            measure(strategy, scenario);
        }
    }
}
