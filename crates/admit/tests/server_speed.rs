//! How fast a server is, as its owner learns it from the runs there, in virtual time.

use std::collections::BTreeMap;

use cassiashunt_admit::ServerSpeed;
use cassiashunt_types::prelude::*;

const STEP: Duration = Duration::from_millis(10);
const USUAL: Duration = Duration::from_millis(200);

/// A server with `slots` busy slots; each run takes `USUAL` of work.
struct Scene {
    speed: ServerSpeed,
    now: Time,
    /// The work that is left of each run, in seconds.
    left: BTreeMap<u64, f64>,
    last: u64,
    /// How long the server takes for its work, and its machine.
    factors: (f64, f64),
    states: bool,
    /// The share of the slots from which on work takes 1.3 times as long.
    knee: f64,
}

const SLOTS: u32 = 100;

impl Scene {
    fn new(states: bool) -> Self {
        Self {
            speed: ServerSpeed::new(Time::ZERO, SLOTS),
            now: Time::ZERO,
            left: BTreeMap::new(),
            last: 0,
            factors: (1.0, 1.0),
            states,
            knee: f64::INFINITY,
        }
    }

    /// Keeps `slots` busy for a time. Work varies between half and one and a half of the usual.
    fn run(&mut self, slots: usize, span: Duration) {
        let end = self.now + span;
        let mut rng = fastrand::Rng::with_seed(self.last);
        while self.now < end {
            while self.left.len() < slots {
                self.last += 1;
                self.speed.on_start(self.now, RequestId(self.last), USUAL);
                let work_s = USUAL.as_secs_f64() * (0.5 + rng.f64());
                self.left.insert(self.last, work_s);
            }
            self.now = self.now + STEP;
            let used = self.left.len() as f64 / f64::from(SLOTS);
            let slowed = if used > self.knee { 1.3 } else { 1.0 };
            let done_s = STEP.as_secs_f64() / self.factors.0 / self.factors.1 / slowed;
            self.left.values_mut().for_each(|left| *left -= done_s);
            let ended: Vec<_> = self.left.extract_if(.., |_, left| *left <= 0.0).collect();
            for (id, _) in ended {
                if self.states {
                    let percent = (self.factors.1 * 100.0) as u32;
                    self.speed.on_stated(self.now, percent);
                }
                self.speed.on_end(self.now, RequestId(id), true);
            }
        }
    }

    /// Keeps all usable slots busy for a time, and returns how many there were on average.
    fn saturate(&mut self, span: Duration) -> f64 {
        let end = self.now + span;
        let (mut sum, mut steps) = (0.0, 0.0);
        while self.now < end {
            let usable = self.speed.usable_slots();
            self.run(usable as usize, STEP);
            (sum, steps) = (sum + f64::from(usable), steps + 1.0);
        }
        sum / steps
    }

    fn pace(&mut self) -> f64 {
        self.speed.pace(self.now)
    }
}

#[test]
fn a_slow_down_and_a_recovery_show_within_a_second() {
    for slots in [4, 50] {
        let mut scene = Scene::new(false);
        scene.run(slots, Duration::from_secs(3));
        assert!((0.9..1.1).contains(&scene.pace()), "{}", scene.pace());
        scene.factors.0 = 5.0;
        scene.run(slots, Duration::from_secs(1));
        assert!(scene.pace() > 2.0, "{}", scene.pace());
        scene.run(slots, Duration::from_secs(3));
        assert!((4.0..6.0).contains(&scene.pace()), "{}", scene.pace());
        scene.factors.0 = 1.0;
        scene.run(slots, Duration::from_secs(1));
        assert!(scene.pace() < 1.5, "{}", scene.pace());
    }
}

#[test]
fn a_server_that_completes_nothing_shows_as_slow_before_its_runs_end() {
    let mut scene = Scene::new(false);
    scene.run(50, Duration::from_secs(3));
    scene.factors.0 = 1e6;
    scene.run(50, Duration::from_secs(1));
    assert!(scene.pace() > 3.0, "{}", scene.pace());
}

#[test]
fn more_or_fewer_requests_change_no_speed() {
    let mut scene = Scene::new(false);
    for slots in [2, 60, 5, 100] {
        scene.run(slots, Duration::from_secs(2));
        for _ in 0..20 {
            scene.run(slots, 5 * STEP);
            assert!((0.75..1.3).contains(&scene.pace()), "{}", scene.pace());
        }
    }
}

#[test]
fn a_server_without_requests_is_forgotten_to_be_slow() {
    let mut scene = Scene::new(false);
    scene.factors.0 = 5.0;
    scene.run(20, Duration::from_secs(4));
    scene.left.clear();
    for id in 0..=scene.last {
        scene.speed.on_end(scene.now, RequestId(id), false);
    }
    scene.run(0, Duration::from_secs(4));
    assert!(scene.pace() < 1.2, "{}", scene.pace());
}

/// A machine that is shared is slow for some hundred milliseconds at a time.
#[test]
fn a_busy_machine_slows_the_moment_and_not_the_server() {
    let mut scene = Scene::new(true);
    scene.factors.0 = 1.5;
    scene.run(40, Duration::from_secs(4));
    scene.factors.1 = 2.5;
    scene.run(40, Duration::from_millis(600));
    let (pace, now) = (scene.pace(), scene.speed.pace_now(scene.now));
    assert!((1.3..1.8).contains(&pace), "{pace}");
    assert!((3.0..4.5).contains(&now), "{now}");
    scene.factors.1 = 1.0;
    scene.run(40, Duration::from_millis(100));
    let now = scene.speed.pace_now(scene.now);
    assert!((1.2..1.8).contains(&now), "{now}");
}

#[test]
fn a_knee_is_found_and_all_slots_are_used_without_one() {
    for knee in [0.95, f64::INFINITY] {
        let mut scene = Scene::new(true);
        scene.knee = knee;
        scene.saturate(Duration::from_secs(5));
        let used = scene.saturate(Duration::from_secs(60));
        if knee < 1.0 {
            assert!(used < 95.0, "{used}");
        } else {
            assert!(used > 98.0, "{used}");
        }
    }
}

/// A machine that is slow by turns is no knee.
#[test]
fn a_busy_machine_changes_no_usable_slots() {
    let mut scene = Scene::new(true);
    scene.saturate(Duration::from_secs(5));
    let mut rng = fastrand::Rng::with_seed(7);
    let mut used = 0.0;
    for _ in 0..100 {
        scene.factors.1 = if rng.f64() < 0.15 { 2.5 } else { 1.0 };
        used += scene.saturate(Duration::from_millis(600)) / 100.0;
    }
    assert!(used > 98.0, "{used}");
}

#[test]
fn a_rejection_gives_up_the_last_slots() {
    let mut scene = Scene::new(true);
    scene.saturate(Duration::from_secs(5));
    assert_eq!(scene.speed.usable_slots(), SLOTS);
    scene.speed.on_rejection(scene.now);
    assert_eq!(scene.speed.usable_slots(), 94);
}

#[test]
fn a_server_that_states_nothing_keeps_some_slots_free() {
    let mut scene = Scene::new(false);
    assert!(scene.saturate(Duration::from_secs(10)) <= 94.0);
}
