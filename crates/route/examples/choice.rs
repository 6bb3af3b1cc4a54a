//! Measures ways to choose a server: five servers of 70 slots in three failure domains, chosen by
//! many nodes that each see only their own requests and the loads on their answers. Virtual time;
//! `cargo run -p cassiashunt-route --example choice`.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use cassiashunt_route::{Candidate, Chooser, Options, Outcome, Policy, ServerKey};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const SERVERS: usize = 5;
const SLOTS: u32 = 70;
const SERVICE_MS: f64 = 20.0;
const CROSSING: Duration = Duration::from_millis(1);
const RUN: Duration = Duration::from_secs(12);
const WARM: Duration = Duration::from_secs(2);
const DOMAINS: [&str; 3] = ["ikeja", "apapa", "lekki"];

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
    slowness: f64,
}

struct Way {
    name: &'static str,
    policy: Policy,
    crossing_cost: f64,
    report_half_life_ms: u64,
}

struct Scene {
    name: &'static str,
    nodes: usize,
    utilisation: f64,
    /// The factor by which the first server's work takes longer.
    slowness: f64,
    /// Whether half of the requests enter in the first domain.
    is_skewed: bool,
}

struct World<'a> {
    scene: &'a Scene,
    rng: Rng,
    now: Time,
    next: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    nodes: Vec<Chooser>,
    servers: Vec<Server>,
    latencies: Vec<Duration>,
    crossings: usize,
}

fn domain_of(at: usize) -> FailureDomain {
    DOMAINS[at % DOMAINS.len()].parse().expect("a valid label")
}

fn world<'a>(way: &Way, scene: &'a Scene, seed: u64) -> World<'a> {
    let chooser = |at| {
        let mut chooser = Chooser::new(Options {
            domain: Some(domain_of(at)),
            policy: way.policy,
            crossing_cost: way.crossing_cost,
            report_half_life: Duration::from_millis(way.report_half_life_ms),
            ..Options::default()
        });
        for server in 0..SERVERS {
            chooser.add(
                Time::ZERO,
                Candidate {
                    owner: NodeId(server as u64),
                    domain: domain_of(server),
                    slots: SLOTS,
                    is_cold: false,
                },
            );
        }
        chooser
    };
    let server = |at| Server {
        slowness: if at == 0 { scene.slowness } else { 1.0 },
        ..Server::default()
    };
    World {
        scene,
        rng: Rng::with_seed(seed),
        now: Time::ZERO,
        next: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        nodes: (0..scene.nodes).map(chooser).collect(),
        servers: (0..SERVERS).map(server).collect(),
        latencies: Vec::new(),
        crossings: 0,
    }
}

impl World<'_> {
    fn after(&mut self, span: Duration, event: Event) {
        self.next += 1;
        self.queue
            .push(Reverse((self.now + span, self.next, self.events.len())));
        self.events.push(Some(event));
    }

    fn exponential(&mut self, mean_ms: f64) -> Duration {
        Duration::from_secs_f64(-mean_ms * (1.0 - self.rng.f64()).ln() / 1e3)
    }

    fn run(&mut self) {
        for node in 0..self.nodes.len() {
            self.arrive_later(node);
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > Time::ZERO + RUN {
                return;
            }
            self.now = at;
            match self.events[event]
                .take()
                .expect("each event is queued once")
            {
                Event::Arrive(node) => self.arrive(node),
                Event::Reach(call) => self.reach(call),
                Event::Finish(call) => self.finish(call),
                Event::Answer(call, load) => self.answer(call, load),
            }
        }
    }

    fn arrive_later(&mut self, node: usize) {
        let total = SERVERS as f64 * f64::from(SLOTS) / SERVICE_MS * self.scene.utilisation;
        let share = match (self.scene.is_skewed, node % DOMAINS.len()) {
            (false, _) => 1.0,
            (true, 0) => 1.5,
            (true, _) => 0.75,
        };
        let wait = self.exponential(self.nodes.len() as f64 / total / share);
        self.after(wait, Event::Arrive(node));
    }

    fn arrive(&mut self, node: usize) {
        self.arrive_later(node);
        let key = self.nodes[node]
            .choose(self.now, &[], &mut self.rng)
            .expect("servers serve");
        let owner = self.nodes[node]
            .candidate(key)
            .expect("it was chosen")
            .owner;
        let call = Call {
            node,
            server: owner.0 as usize,
            key,
            sent: self.now,
        };
        let crossing = self.crossing(call);
        self.after(crossing, Event::Reach(call));
    }

    fn crossing(&self, call: Call) -> Duration {
        let is_near = domain_of(call.node) == domain_of(call.server);
        if is_near { Duration::ZERO } else { CROSSING }
    }

    fn reach(&mut self, call: Call) {
        if self.servers[call.server].running < SLOTS {
            self.start(call);
        } else {
            self.servers[call.server].queue.push_back(call);
        }
    }

    fn start(&mut self, call: Call) {
        self.servers[call.server].running += 1;
        let work = self.exponential(SERVICE_MS * self.servers[call.server].slowness);
        self.after(work, Event::Finish(call));
    }

    fn finish(&mut self, call: Call) {
        let server = &mut self.servers[call.server];
        server.running -= 1;
        let next = server.queue.pop_front();
        if let Some(next) = next {
            self.start(next);
        }
        let server = &self.servers[call.server];
        let load = (server.running as usize + server.queue.len()) * 128 / SLOTS as usize;
        let crossing = self.crossing(call);
        self.after(crossing, Event::Answer(call, load.min(255) as u8));
    }

    fn answer(&mut self, call: Call, load: u8) {
        let chooser = &mut self.nodes[call.node];
        chooser.done(self.now, call.key, Outcome::Served);
        chooser.on_load(self.now, call.key, load);
        if call.sent > Time::ZERO + WARM {
            self.latencies.push(self.now.since(call.sent));
            self.crossings += usize::from(domain_of(call.node) != domain_of(call.server));
        }
    }
}

fn measure(way: &Way, scene: &Scene) {
    let mut world = world(way, scene, 1);
    world.run();
    let latencies = &mut world.latencies;
    latencies.sort_unstable();
    let mean: Duration = latencies.iter().sum::<Duration>() / latencies.len() as u32;
    let p99 = latencies[latencies.len() * 99 / 100];
    let crossed = world.crossings as f64 / latencies.len() as f64;
    println!(
        "{:44}{:26}{:>8.2}{:>8.1}{:>7.0}%",
        scene.name,
        way.name,
        mean.as_secs_f64() * 1e3,
        p99.as_secs_f64() * 1e3,
        crossed * 100.0,
    );
}

fn main() {
    let way = |name, policy, crossing_cost, report_half_life_ms| Way {
        name,
        policy,
        crossing_cost,
        report_half_life_ms,
    };
    let ways = [
        way("random", Policy::Random, 0.0, 500),
        way("two choices", Policy::TwoChoices, 0.0, 500),
        way("two, cross 0.1", Policy::TwoChoices, 0.1, 500),
        way("two, cross 0.1, 2 s", Policy::TwoChoices, 0.1, 2_000),
        way("two, cross 0.1, 8 s", Policy::TwoChoices, 0.1, 8_000),
        way("two, cross 0.3", Policy::TwoChoices, 0.3, 500),
        way("least", Policy::Least, 0.0, 500),
        way("least, cross 0.1", Policy::Least, 0.1, 500),
        way("least, cross 0.1, 2 s", Policy::Least, 0.1, 2_000),
        way("least, cross 0.1, 8 s", Policy::Least, 0.1, 8_000),
        way("least, cross 0.3", Policy::Least, 0.3, 500),
    ];
    let scene = |name, nodes, utilisation, slowness, is_skewed| Scene {
        name,
        nodes,
        utilisation,
        slowness,
        is_skewed,
    };
    let scenes = [
        scene("17 nodes, 50% used", 17, 0.5, 1.0, false),
        scene("17 nodes, 90% used", 17, 0.9, 1.0, false),
        scene("17 nodes, 90% used, skewed", 17, 0.9, 1.0, true),
        scene(
            "17 nodes, 60% used, skewed, one 3x slow",
            17,
            0.6,
            3.0,
            true,
        ),
        scene("400 nodes, 90% used, skewed", 400, 0.9, 1.0, true),
        scene(
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
    for scene in &scenes {
        for way in &ways {
            measure(way, scene);
        }
    }
}
