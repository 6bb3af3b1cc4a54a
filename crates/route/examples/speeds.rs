//! Measures ways to choose among servers that differ in speed: 16 servers of 59 slots in four failure
//! domains, speeds from 0.5 to 1.6 of the mean, each on a machine that is slow for 15% of the time.
//! Virtual time; `cargo run --release -p cassiashunt-route --example speeds`.

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use cassiashunt_route::{
    Candidate, Chooser, Options, Outcome, OwnerReport, Pace, Policy, ServerKey,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const SEEDS: u64 = 3;
const SERVER_COUNT: usize = 16;
const NODE_COUNT: usize = 67;
const SLOTS: usize = 59;
const MEAN_SERVICE_MS: f64 = 220.0;
const CROSS_DOMAIN_DELAY: Duration = Duration::from_micros(900);
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// How long a machine stays as it is, how often it is slow then, and by how much.
const MACHINE_PHASE: Duration = Duration::from_millis(600);
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
const MEAN_FACTOR: f64 = 1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0);
/// The work that a machine does, relative to one that is never slow.
const MEAN_CAPACITY: f64 = 1.0 - SLOW_SHARE * (1.0 - 1.0 / SLOW_FACTOR);
const RUN_END: Time = Time::from_micros(14_000_000);
const MEASURED_FROM: Time = Time::from_micros(4_000_000);
const DOMAIN_NAMES: [&str; 4] = ["mid-a", "mid-b", "mid-c", "mid-d"];

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
    /// The work that is left of a run, in milliseconds at the mean speed.
    Run(Call, f64),
    Answer(Call, OwnerReport),
    Phase,
    Broadcast(usize),
}

struct Server {
    running: usize,
    queue: VecDeque<Call>,
    /// How long it takes for its work, as a multiple of the mean.
    pace: f64,
    machine: f64,
}

struct Way {
    name: &'static str,
    options: Options,
    states: bool,
}

struct Scene {
    name: &'static str,
    utilisation: f64,
    /// The share of the requests that enter in the first domain.
    first_domain: f64,
    /// Whether the third server takes five times as long from 6 s to 10 s.
    is_slowing: bool,
}

struct Simulation<'a> {
    scene: &'a Scene,
    way: &'a Way,
    rng: Rng,
    now: Time,
    next_event: u64,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    nodes: Vec<(Chooser, Vec<ServerKey>)>,
    servers: Vec<Server>,
    latencies: Vec<Duration>,
    crossed: usize,
}

fn domain_of(at: usize) -> FailureDomain {
    let name = DOMAIN_NAMES[at % DOMAIN_NAMES.len()];
    name.parse().expect("invalid label")
}

impl Simulation<'_> {
    fn schedule(&mut self, span: Duration, event: Event) {
        self.next_event += 1;
        let at = self.now + span;
        self.queue
            .push(Reverse((at, self.next_event, self.events.len())));
        self.events.push(Some(event));
    }

    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::Phase);
        for node in 0..NODE_COUNT {
            self.schedule_arrival(node);
        }
        for server in 0..SERVER_COUNT {
            let offset = REPORT_INTERVAL.mul_f64(server as f64 / SERVER_COUNT as f64);
            self.schedule(offset, Event::Broadcast(server));
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > RUN_END {
                return;
            }
            self.now = at;
            match self.events[event].take().expect("queued event is missing") {
                Event::Arrive(node) => self.arrive(node),
                Event::Reach(call) if self.servers[call.server].running < SLOTS => self.start(call),
                Event::Reach(call) => self.servers[call.server].queue.push_back(call),
                Event::Run(call, left) => self.advance(call, left),
                Event::Answer(call, report) => self.answer(call, report),
                Event::Phase => self.change_machines(),
                Event::Broadcast(server) => self.broadcast(server),
            }
        }
    }

    fn schedule_arrival(&mut self, node: usize) {
        let capacity: f64 = self.servers.iter().map(|it| 1.0 / it.pace).sum();
        let rate_per_ms =
            capacity * MEAN_CAPACITY * SLOTS as f64 / MEAN_SERVICE_MS * self.scene.utilisation;
        let share = match node % DOMAIN_NAMES.len() {
            0 => self.scene.first_domain * 4.0,
            _ => (1.0 - self.scene.first_domain) * 4.0 / 3.0,
        };
        let mean_ms = NODE_COUNT as f64 / rate_per_ms / share;
        let delay = Duration::from_secs_f64(-mean_ms * (1.0 - self.rng.f64()).ln() / 1e3);
        self.schedule(delay, Event::Arrive(node));
    }

    fn arrive(&mut self, node: usize) {
        self.schedule_arrival(node);
        let (chooser, _) = &mut self.nodes[node];
        let key = chooser
            .choose(self.now, &[], &mut self.rng)
            .expect("no eligible server");
        let candidate = chooser
            .candidate(key)
            .expect("chosen server is not a candidate");
        let call = Call {
            node,
            server: candidate.owner.0 as usize,
            key,
            sent: self.now,
        };
        self.schedule(network_delay(call), Event::Reach(call));
    }

    fn start(&mut self, call: Call) {
        self.servers[call.server].running += 1;
        let work_ms = MEAN_SERVICE_MS * (0.5 + self.rng.f64());
        self.advance(call, work_ms);
    }

    /// Goes on with a run in steps of 10 ms, since its machine changes under it.
    fn advance(&mut self, call: Call, left: f64) {
        if left <= 0.0 {
            return self.finish(call);
        }
        let factor = self.factor(call.server);
        let done = (10.0 / factor).min(left);
        let step = Duration::from_secs_f64(done * factor / 1e3);
        self.schedule(step, Event::Run(call, left - done));
    }

    fn pace(&self, server: usize) -> f64 {
        let slowed =
            (Time::from_micros(6_000_000)..Time::from_micros(10_000_000)).contains(&self.now);
        let is_slowed = self.scene.is_slowing && server == 2 && slowed;
        self.servers[server].pace * if is_slowed { 5.0 } else { 1.0 }
    }

    fn factor(&self, server: usize) -> f64 {
        self.pace(server) * self.servers[server].machine
    }

    fn finish(&mut self, call: Call) {
        let server = &mut self.servers[call.server];
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            self.start(next);
        }
        let report = self.report(call.server);
        self.schedule(network_delay(call), Event::Answer(call, report));
    }

    fn report(&self, server: usize) -> OwnerReport {
        let state = &self.servers[server];
        let load = (state.running + state.queue.len()) * 128 / SLOTS;
        let report = OwnerReport {
            load: load.min(255) as u8,
            ..OwnerReport::default()
        };
        if !self.way.states {
            return report;
        }
        OwnerReport {
            pace: Pace::new(self.pace(server) * MEAN_FACTOR),
            pace_now: Pace::new(self.factor(server)),
            ..report
        }
    }

    fn answer(&mut self, call: Call, report: OwnerReport) {
        let (chooser, _) = &mut self.nodes[call.node];
        chooser.done(self.now, call.key, Outcome::Served);
        chooser.on_report(self.now, call.key, report);
        if call.sent > MEASURED_FROM {
            self.latencies.push(self.now.since(call.sent));
            self.crossed += usize::from(domain_of(call.node) != domain_of(call.server));
        }
    }

    fn change_machines(&mut self) {
        for server in &mut self.servers {
            let is_slow = self.rng.f64() < SLOW_SHARE;
            server.machine = if is_slow { SLOW_FACTOR } else { 1.0 };
        }
        self.schedule(MACHINE_PHASE, Event::Phase);
    }

    fn broadcast(&mut self, server: usize) {
        let report = self.report(server);
        let pace = self.pace(server);
        for (chooser, keys) in &mut self.nodes {
            chooser.on_report(self.now, keys[server], report);
            chooser.set_pace(keys[server], pace);
        }
        self.schedule(REPORT_INTERVAL, Event::Broadcast(server));
    }
}

fn network_delay(call: Call) -> Duration {
    if domain_of(call.node) == domain_of(call.server) {
        Duration::ZERO
    } else {
        CROSS_DOMAIN_DELAY
    }
}

fn simulation<'a>(way: &'a Way, scene: &'a Scene, seed: u64) -> Simulation<'a> {
    let node = |at| {
        let mut chooser = Chooser::new(Options {
            domain: Some(domain_of(at)),
            ..way.options.clone()
        });
        let add = |server| {
            let candidate = Candidate {
                owner: NodeId(server as u64),
                domain: domain_of(server),
                slots: SLOTS as u32,
                is_cold: false,
            };
            chooser.add(Time::ZERO, candidate)
        };
        let keys = (0..SERVER_COUNT).map(add).collect();
        (chooser, keys)
    };
    // Speeds from 0.5 to 1.6 of the mean, mixed over the domains.
    let server = |at: usize| Server {
        running: 0,
        queue: VecDeque::new(),
        pace: 1.0 / (0.5 + 1.1 * ((at * 7) % SERVER_COUNT) as f64 / (SERVER_COUNT - 1) as f64),
        machine: 1.0,
    };
    Simulation {
        scene,
        way,
        rng: Rng::with_seed(seed),
        now: Time::ZERO,
        next_event: 0,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        nodes: (0..NODE_COUNT).map(node).collect(),
        servers: (0..SERVER_COUNT).map(server).collect(),
        latencies: Vec::new(),
        crossed: 0,
    }
}

fn measure(way: &Way, scene: &Scene) {
    let (mut latencies, mut crossed) = (Vec::new(), 0);
    for seed in 0..SEEDS {
        let mut simulation = simulation(way, scene, seed);
        simulation.run();
        latencies.append(&mut simulation.latencies);
        crossed += simulation.crossed;
    }
    latencies.sort_unstable();
    let mean: Duration = latencies.iter().sum::<Duration>() / latencies.len() as u32;
    let p99 = latencies[latencies.len() * 99 / 100];
    let crossed = crossed as f64 / latencies.len() as f64;
    println!(
        "{:32}{:36}{:>8.0}{:>8.0}{:>7.0}%",
        scene.name,
        way.name,
        mean.as_secs_f64() * 1e3,
        p99.as_secs_f64() * 1e3,
        crossed * 100.0,
    );
}

fn main() {
    let today = Options {
        policy: Policy::Least,
        pace_weight: 0.5,
        ..Options::default()
    };
    let way = |name, states, options| Way {
        name,
        options,
        states,
    };
    let room = |local_room| Options {
        local_room,
        ..today.clone()
    };
    let fixed = Options {
        pace_weight: 0.0,
        ..today.clone()
    };
    let two_choices = Options {
        policy: Policy::TwoChoices,
        ..today.clone()
    };
    let ways = [
        way("fixed weights", false, fixed),
        way("slow mean, least", false, today.clone()),
        way("slow mean, two choices", false, two_choices),
        way("expected time", true, room(0.0)),
        way("expected time, room 0.5", true, room(0.5)),
        way("expected time, room 0.8", true, room(0.8)),
        way("expected time, room 0.9", true, room(0.9)),
    ];
    let scene = |name, utilisation, first_domain, is_slowing| Scene {
        name,
        utilisation,
        first_domain,
        is_slowing,
    };
    let scenes = [
        scene("30% used", 0.3, 0.25, false),
        scene("70% used", 0.7, 0.25, false),
        scene("70% used, half in one domain", 0.7, 0.5, false),
        scene("95% used", 0.95, 0.25, false),
        scene("90% used, half in one domain", 0.9, 0.5, false),
        scene("105% used", 1.05, 0.25, false),
        scene("60% used, one slows down", 0.6, 0.25, true),
    ];
    println!(
        "{:32}{:36}{:>8}{:>8}{:>8}",
        "scene", "way", "mean ms", "p99 ms", "crossed"
    );
    for scene in &scenes {
        for way in &ways {
            measure(way, scene);
        }
    }
}
