//! Clients, a node and a service in virtual time.

use std::collections::{BTreeMap, BinaryHeap};

use cassiashunt_admit::{
    Priority, TimeLeft,
    chain_admission::{self, Capacity, ChainAdmission},
    fair_admission::{Arrival, Decision, FairAdmission, Options},
    jittered_retry_after,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const STEP: Duration = Duration::from_millis(10);
const WORK: Duration = Duration::from_millis(220);
pub const LIMIT: Duration = Duration::from_secs(5);
const OBJECTIVE: Duration = Duration::from_millis(1_500);

/// Who decides, and when refused clients are told to come back.
#[derive(Debug, Clone, Copy)]
pub enum Way {
    /// The same fraction of all, and a random delay.
    Before,
    /// The distribution with these settings.
    Fair(Options),
}

/// A stream of requests: a workspace and priority, and its rate by time.
pub struct Stream {
    pub workspace: &'static str,
    pub priority: u8,
    pub rate: fn(Duration) -> f64,
}

/// What became of the requests of a stream.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused_twice: u32,
    pub delays: Vec<(Duration, Duration)>,
    pub returned: Vec<Duration>,
}

impl Tally {
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent.max(1))
    }

    pub fn twice(&self) -> f64 {
        f64::from(self.refused_twice) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    stream: usize,
    fingerprint: u64,
    first_sent: Time,
    is_return: bool,
}

impl Outcome {
    /// The highest load from a time on.
    pub fn max_load(&self, from: Duration) -> f64 {
        let first = from.as_micros() / STEP.as_micros();
        let first = usize::try_from(first).expect("a short replay");
        self.loads[first..].iter().copied().fold(0.0, f64::max)
    }
}

pub struct Outcome {
    pub tallies: Vec<Tally>,
    /// Running requests divided by slots, each step.
    pub loads: Vec<f64>,
}

/// Plays the streams against `slots` slots; `seed` decides arrivals and all chance.
pub fn play(way: Way, slots: f64, streams: &[Stream], length: Duration, seed: u64) -> Outcome {
    let service = Service::of_name("read");
    let route = Route::of_name("read");
    let cost = [(service, WORK.as_secs_f64())];
    let mut rng = Rng::with_seed(seed);
    let mut chain = ChainAdmission::new(chain_admission::Options::default());
    let mut fair = match way {
        Way::Before => None,
        Way::Fair(opts) => Some(FairAdmission::new(opts, Rng::with_seed(seed + 1))),
    };
    let mut returns: BinaryHeap<std::cmp::Reverse<(Time, Attempt)>> = BinaryHeap::new();
    let mut ends: Vec<Time> = Vec::new();
    let mut tallies = vec![Tally::default(); streams.len()];
    let mut loads = Vec::new();
    let mut fingerprint = 0;
    let steps = u32::try_from(length.as_micros() / STEP.as_micros()).expect("a short replay");
    for step in 0..steps {
        let at = STEP * step;
        let now = Time::ZERO + at;
        ends.retain(|end| *end > now);
        loads.push(ends.len() as f64 / slots);
        if step % 10 == 0 {
            let capacity = Capacity {
                slots,
                busy: ends.len() as f64,
            };
            chain.step(now, &BTreeMap::from([(service, capacity)]));
        }
        let mut attempts = Vec::new();
        while returns.peek().is_some_and(|it| it.0.0 <= now) {
            attempts.extend(returns.pop().map(|it| it.0.1));
        }
        for (stream, Stream { rate, .. }) in streams.iter().enumerate() {
            // Poisson arrivals.
            let none = (-rate(at) * STEP.as_secs_f64()).exp();
            let mut product = rng.f64();
            while product > none {
                product *= rng.f64();
                fingerprint += 1;
                attempts.push(Attempt {
                    stream,
                    fingerprint,
                    first_sent: now,
                    is_return: false,
                });
                tallies[stream].sent += 1;
            }
        }
        rng.shuffle(&mut attempts);
        for attempt in attempts {
            let stream = &streams[attempt.stream];
            let tally = &mut tallies[attempt.stream];
            let priority = Priority(stream.priority);
            let arrival = Arrival {
                route,
                priority,
                workspace: Some(Workspace::of_name(stream.workspace)),
                fingerprint: attempt.fingerprint,
            };
            if attempt.is_return {
                tally.returned.push(at);
            }
            let fraction = chain.bottleneck(priority, &cost).map(|(_, it)| it);
            let is_counted = chain.admit(route, priority, &cost);
            let decision = match &mut fair {
                None => Decision {
                    is_admitted: is_counted,
                    is_return: attempt.is_return,
                },
                Some(fair) => fair.on_request(now, &arrival, fraction),
            };
            let spent = now.since(attempt.first_sent);
            if decision.is_admitted {
                ends.push(now + WORK);
                if spent + WORK <= OBJECTIVE {
                    tally.in_time += 1;
                } else {
                    tally.late += 1;
                }
                continue;
            }
            if attempt.is_return {
                tally.refused_twice += 1;
                continue;
            }
            let left = TimeLeft {
                limit: LIMIT,
                objective: OBJECTIVE,
                work: WORK,
            };
            let urgency = f64::from(stream.priority) / 100.0;
            let delay = match &mut fair {
                None => jittered_retry_after(LIMIT, &mut rng),
                Some(fair) => fair.on_refusal(now, &arrival, false, left, urgency).delay,
            };
            tally.delays.push((at, delay));
            let back = Attempt {
                is_return: true,
                ..attempt
            };
            returns.push(std::cmp::Reverse((now + delay.min(LIMIT / 3), back)));
        }
    }
    Outcome { tallies, loads }
}
