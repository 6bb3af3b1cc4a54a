//! Measures ways to find how many of its 100 slots a server should use, when more requests wait than it
//! can run: servers that slow down when nearly full, and machines that are slow by turns. Virtual time;
//! `cargo run -p cassiashunt-admit --example server_limit`.

use std::collections::BTreeMap;

use cassiashunt_admit::ServerSpeed;
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const SLOTS: u32 = 100;
const STEP: Duration = Duration::from_millis(5);
const USUAL: Duration = Duration::from_millis(200);
const RUN_TIME: Duration = Duration::from_secs(60);
/// How long a machine stays as it is, how often it is slow then, and by how much.
const MACHINE_PHASE_STEPS: u64 = 120;
const SLOW_SHARE: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;

struct Scene {
    name: &'static str,
    /// The share of the slots from which on work takes 1.3 times as long.
    knee: f64,
    is_shared: bool,
    /// Whether the server takes five times as long from 20 s to 30 s.
    is_slowing: bool,
}

/// A way to set the limit.
enum Way {
    Fixed(f64),
    /// The longest time of runs that is known to be good over that of now, plus room to grow.
    Gradient(Gradient),
    /// Fewer slots by what the machine states.
    Stated,
    Learned,
}

#[derive(Clone, Copy)]
struct Gradient {
    limit: f64,
    usual_s: f64,
    window: (f64, u32),
}

impl Gradient {
    fn on_run(&mut self, spent_s: f64) {
        let (sum, count) = self.window;
        self.window = (sum + spent_s, count + 1);
        if self.window.1 < 50 {
            return;
        }
        let now_s = self.window.0 / f64::from(self.window.1);
        self.window = (0.0, 0);
        self.usual_s += 0.02 * (now_s - self.usual_s);
        let gradient = (1.1 * self.usual_s / now_s).clamp(0.5, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        self.limit = (0.8 * self.limit + 0.2 * target).clamp(10.0, f64::from(SLOTS));
    }
}

/// Completed runs per second and the mean of the slots that were used.
fn measure(scene: &Scene, way: &mut Way, seed: u64) -> (f64, f64) {
    let mut rng = Rng::with_seed(seed);
    let mut speed = ServerSpeed::new(Time::ZERO, SLOTS);
    let mut running: BTreeMap<u64, (f64, Time)> = BTreeMap::new();
    let (mut now, mut last, mut ended, mut machine, mut used) = (Time::ZERO, 0, 0, 1.0, 0.0);
    let steps = (RUN_TIME.as_micros() / STEP.as_micros()) as u64;
    for step in 0..steps {
        if scene.is_shared && step % MACHINE_PHASE_STEPS == 0 {
            machine = if rng.f64() < SLOW_SHARE {
                SLOW_FACTOR
            } else {
                1.0
            };
        }
        let limit = match way {
            Way::Fixed(share) => f64::from(SLOTS) * *share,
            Way::Gradient(gradient) => gradient.limit,
            Way::Stated => f64::from(SLOTS) * 0.945 / machine,
            Way::Learned => f64::from(speed.usable_slots()),
        };
        while running.len() < limit as usize {
            last += 1;
            speed.on_start(now, RequestId(last), USUAL);
            running.insert(last, (USUAL.as_secs_f64() * (0.5 + rng.f64()), now));
        }
        used += running.len() as f64 / steps as f64;
        let share = running.len() as f64 / f64::from(SLOTS);
        let slowed = if share > scene.knee { 1.3 } else { 1.0 };
        let is_slowed = scene.is_slowing && (20..30).contains(&(now.as_micros() / 1_000_000));
        let factor = machine * slowed * if is_slowed { 5.0 } else { 1.0 };
        now = now + STEP;
        let done_s = STEP.as_secs_f64() / factor;
        running.values_mut().for_each(|(left, _)| *left -= done_s);
        for (id, (_, started)) in running.extract_if(.., |_, (left, _)| *left <= 0.0) {
            ended += 1;
            speed.on_stated(now, (machine * 100.0) as u32);
            speed.on_end(now, RequestId(id), true);
            if let Way::Gradient(gradient) = way {
                gradient.on_run(now.since(started).as_secs_f64());
            }
        }
    }
    (f64::from(ended) / RUN_TIME.as_secs_f64(), used)
}

fn main() {
    let scene = |name, knee, is_shared, is_slowing| Scene {
        name,
        knee,
        is_shared,
        is_slowing,
    };
    let never = f64::INFINITY;
    let scenes = [
        scene("plain", never, false, false),
        scene("knee", 0.95, false, false),
        scene("shared machine", never, true, false),
        scene("shared machine, knee", 0.95, true, false),
        scene("slow for 10 s", never, false, true),
    ];
    println!("{:24}{:20}{:>10}{:>8}", "scene", "way", "runs a s", "slots");
    for scene in &scenes {
        let gradient = Gradient {
            limit: 50.0,
            usual_s: USUAL.as_secs_f64(),
            window: (0.0, 0),
        };
        let ways = [
            ("0.945 of the slots", Way::Fixed(0.945)),
            ("all slots", Way::Fixed(1.0)),
            ("gradient", Way::Gradient(gradient)),
            ("stated alone", Way::Stated),
            ("learned", Way::Learned),
        ];
        for (name, mut way) in ways {
            let (mut rate, mut used) = (0.0, 0.0);
            for seed in 0..5 {
                let measured = measure(scene, &mut way, seed);
                (rate, used) = (rate + measured.0 / 5.0, used + measured.1 / 5.0);
            }
            println!("{:24}{name:20}{rate:>10.0}{used:>8.1}", scene.name);
        }
    }
}
