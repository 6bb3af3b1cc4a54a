//! How long a backend server takes for its work, as learned by its owner from the runs there.

use std::collections::HashMap;

use cassiashunt_types::prelude::*;

use crate::slot_share::{LOW_SHARE, SlotShare};

/// The age at which a run has half its weight: a change of speed shows within a second.
const RUN_HALF_LIFE: Duration = Duration::from_millis(400);
/// The slot time that counts as spent at the usual speed, so that few runs say little.
const USUAL_SLOT_TIME_S: f64 = 0.1;
/// The age at which the machine's stated figure no longer holds.
const MAX_STATED_AGE: Duration = Duration::from_millis(600);
/// The age at which a stated figure has half its weight in the machine's mean.
const STATED_HALF_LIFE: Duration = Duration::from_secs(10);
/// The bounds of the factors: a server that stands still, and figures that are made up.
const FACTOR_BOUNDS: (f64, f64) = (0.1, 8.0);

/// Measures how long work takes at one server, relative to the other servers of its service.
///
/// The time that runs hold slots is divided by the work that was done in it, in slot time that the
/// service's servers take for it on average. A run in progress counts as far as it should have come,
/// so that a server that stops completing runs shows as slow before they end, and one that gets more
/// of them does not.
#[derive(Debug)]
pub struct ServerSpeed {
    running: HashMap<RequestId, Run>,
    slot_time_s: f64,
    work_s: f64,
    stepped: Time,
    stated: Option<Stated>,
    slots: u32,
    slot_share: SlotShare,
}

#[derive(Debug)]
struct Run {
    /// The slot time that the service's servers take for it on average.
    usual_s: f64,
    /// The part of it that counts as done.
    done_s: f64,
    /// The time that it has held its slot, less what its machine was slow.
    spent_s: f64,
    /// How many runs there were with it when it started.
    at_start: usize,
}

/// How long work takes on the server's machine, as it states with its answers.
#[derive(Debug, Clone, Copy)]
struct Stated {
    factor: f64,
    mean: f64,
    received: Time,
}

impl Stated {
    fn factor(self, now: Time) -> f64 {
        if now.since(self.received) > MAX_STATED_AGE {
            self.mean
        } else {
            self.factor
        }
    }
}

impl ServerSpeed {
    /// The speed of a server with `slots` that starts at `now`, of which nothing else is known.
    #[must_use]
    pub fn new(now: Time, slots: u32) -> Self {
        Self {
            running: HashMap::new(),
            slot_time_s: 0.0,
            work_s: 0.0,
            stepped: now,
            stated: None,
            slots,
            slot_share: SlotShare::default(),
        }
    }

    /// Sets the number of slots that the server announces.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// How many of its slots are used; at least one if the server has any. All, where it gets more
    /// done with them and states how long work takes on its machine; otherwise fewer.
    #[must_use]
    pub fn usable_slots(&self) -> u32 {
        let share = if self.is_stated() {
            self.slot_share.get()
        } else {
            LOW_SHARE
        };
        ((f64::from(self.slots) * share) as u32).max(self.slots.min(1))
    }

    /// Records that the server rejected a run that its owner had started.
    pub fn on_rejection(&mut self, now: Time) {
        self.slot_share.on_rejection(now);
    }

    /// Records the start of a run that holds a slot for `usual` on the service's average server.
    pub fn on_start(&mut self, now: Time, id: RequestId, usual: Duration) {
        self.step(now);
        let run = Run {
            usual_s: usual.as_secs_f64(),
            done_s: 0.0,
            spent_s: 0.0,
            at_start: self.running.len() + 1,
        };
        self.running.insert(id, run);
    }

    /// Records the end of a run; `is_complete` if its work was done.
    pub fn on_end(&mut self, now: Time, id: RequestId, is_complete: bool) {
        self.step(now);
        let at_end = self.running.len();
        if let Some(run) = self.running.remove(&id)
            && is_complete
        {
            self.work_s += run.usual_s - run.done_s;
            let share = |runs: usize| runs as f64 / f64::from(self.slots.max(1));
            let used = (
                share(run.at_start.min(at_end)),
                share(run.at_start.max(at_end)),
            );
            self.slot_share.on_run(now, used, run.spent_s, run.usual_s);
        }
    }

    /// Records how long work takes on the server's machine now, in percent of the usual time.
    pub fn on_stated(&mut self, now: Time, percent: u32) {
        self.step(now);
        let (min, max) = FACTOR_BOUNDS;
        let factor = (f64::from(percent) / 100.0).clamp(min, max);
        let mean = self.stated.map_or(1.0, |last| {
            let held = now.since(last.received).min(MAX_STATED_AGE);
            last.factor + (last.mean - last.factor) * decay(held, STATED_HALF_LIFE)
        });
        self.stated = Some(Stated {
            factor,
            mean,
            received: now,
        });
    }

    /// Whether the server states how long work takes on its machine.
    #[must_use]
    pub fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// How long work takes at the server, as a multiple of its service's mean, whatever happens on
    /// its machine at the moment.
    pub fn pace(&mut self, now: Time) -> f64 {
        self.step(now);
        self.own_pace() * self.stated.map_or(1.0, |it| it.mean)
    }

    /// How long work takes at the server at this moment, as a multiple of its service's mean.
    pub fn pace_now(&mut self, now: Time) -> f64 {
        self.step(now);
        self.own_pace() * self.machine_factor(now)
    }

    fn machine_factor(&self, now: Time) -> f64 {
        self.stated.map_or(1.0, |it| it.factor(now))
    }

    fn own_pace(&self) -> f64 {
        let usual = USUAL_SLOT_TIME_S / self.stated.map_or(1.0, |it| it.mean);
        let pace = (self.slot_time_s + usual) / (self.work_s + USUAL_SLOT_TIME_S);
        pace.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Accounts for the time since the last step.
    fn step(&mut self, now: Time) {
        let elapsed = now.since(self.stepped);
        if elapsed.is_zero() {
            return;
        }
        self.stepped = now;
        let (pace, factor) = (self.own_pace(), self.machine_factor(now));
        let kept = decay(elapsed, RUN_HALF_LIFE);
        self.slot_time_s *= kept;
        self.work_s *= kept;
        let spent_s = elapsed.as_secs_f64() / factor;
        for run in self.running.values_mut() {
            let done_s = (run.done_s + spent_s / pace).min(run.usual_s);
            self.work_s += done_s - run.done_s;
            self.slot_time_s += spent_s;
            run.spent_s += spent_s;
            run.done_s = done_s;
        }
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
