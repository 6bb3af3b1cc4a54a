//! History of the requests of a run, and checks of it.

use std::time::Duration;

use cassiashunt_limit::Limit;
use cassiashunt_types::{Reason, Time};

/// A limit and when it took effect.
#[derive(Debug, Clone, Copy)]
pub struct Edit {
    pub at: Time,
    pub limit: Limit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Unanswered,
    Admitted(Time),
    Refused(Reason),
}

#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub arrived: Time,
    pub outcome: Outcome,
}

/// The requests and edits of a run, in true time.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub requests: Vec<Request>,
    pub edits: Vec<Edit>,
    pub messages: u64,
}

impl History {
    pub fn record_arrival(&mut self, arrived: Time) -> usize {
        self.requests.push(Request {
            arrived,
            outcome: Outcome::Unanswered,
        });
        self.requests.len() - 1
    }

    pub fn record_admission(&mut self, request: usize, at: Time) {
        self.requests[request].outcome = Outcome::Admitted(at);
    }

    pub fn record_refusal(&mut self, request: usize, reason: Reason) {
        self.requests[request].outcome = Outcome::Refused(reason);
    }

    pub fn admitted(&self) -> Vec<Time> {
        let admitted = self
            .requests
            .iter()
            .filter_map(|request| match request.outcome {
                Outcome::Admitted(at) => Some(at),
                Outcome::Unanswered | Outcome::Refused(_) => None,
            });
        let mut times: Vec<Time> = admitted.collect();
        times.sort_unstable();
        times
    }

    /// Number of refused requests that a single token bucket for all holders would have admitted.
    pub fn refused_within_rate(&self, per_sec: u64, burst: u64) -> usize {
        let mut level = burst as f64;
        let mut last = Time::ZERO;
        let mut wrong = 0;
        for request in &self.requests {
            level += per_sec as f64 * request.arrived.since(last).as_secs_f64();
            level = level.min(burst as f64);
            last = request.arrived;
            let is_within_rate = level >= 1.0;
            level -= f64::from(u8::from(is_within_rate));
            let is_refused = matches!(request.outcome, Outcome::Refused(_));
            wrong += usize::from(is_within_rate && is_refused);
        }
        wrong
    }
}

/// A window that admitted more requests than allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    pub until: Time,
    pub over: f64,
}

/// Fails with the worst window if any window admitted more than the largest burst of all edits plus
/// the integral of the rate over the window.
///
/// With R the integral of the rate, the window from the i-th to the j-th admission must satisfy
/// j - i + 1 <= burst + R(j) - R(i), so it suffices to keep the smallest i - R(i) so far.
pub fn check_rate(admitted: &[Time], edits: &[Edit]) -> Result<(), Excess> {
    let burst = edits
        .iter()
        .map(|edit| burst(edit.limit))
        .max()
        .unwrap_or(0) as f64;
    let mut min_offset = f64::MAX;
    let mut worst: Option<Excess> = None;
    for (count, at) in admitted.iter().enumerate() {
        let earned = earned(*at, edits);
        min_offset = min_offset.min(count as f64 - earned);
        let over = (count + 1) as f64 - earned - min_offset - burst;
        if over > 1e-6 && worst.is_none_or(|worst| over > worst.over) {
            worst = Some(Excess { until: *at, over });
        }
    }
    worst.map_or(Ok(()), Err)
}

/// Fails with the first minute that admitted more than the cap. Minutes end at `minute_ends` and every
/// 60 s after it.
pub fn check_minutes(admitted: &[Time], cap: u64, minute_ends: Time) -> Result<(), Excess> {
    const MINUTE_MICROS: u64 = 60_000_000;
    let mut counts: Vec<u64> = Vec::new();
    for at in admitted {
        let since_first = (at.as_micros() + MINUTE_MICROS).saturating_sub(minute_ends.as_micros());
        let window = (since_first / MINUTE_MICROS) as usize;
        counts.resize(counts.len().max(window + 1), 0);
        counts[window] += 1;
    }
    match counts.iter().enumerate().find(|(_, count)| **count > cap) {
        Some((window, count)) => Err(Excess {
            until: minute_ends + Duration::from_micros(MINUTE_MICROS) * window as u32,
            over: (count - cap) as f64,
        }),
        None => Ok(()),
    }
}

fn burst(limit: Limit) -> u64 {
    match limit {
        Limit::Rate { burst, .. } => burst,
        Limit::Minute { .. } => 0,
    }
}

fn earned(at: Time, edits: &[Edit]) -> f64 {
    let mut total = 0.0;
    for (index, edit) in edits.iter().enumerate() {
        let end = edits.get(index + 1).map_or(at, |next| next.at.min(at));
        if let Limit::Rate { per_sec, .. } = edit.limit {
            total += per_sec as f64 * end.since(edit.at).as_secs_f64();
        }
    }
    total
}
