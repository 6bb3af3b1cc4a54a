//! What callers saw, and checks of it.

use std::time::Duration;

use cassiashunt_limit::Limit;
use cassiashunt_types::{Reason, Time};

/// A limit and when it came into force.
#[derive(Debug, Clone, Copy)]
pub struct Edit {
    pub at: Time,
    pub limit: Limit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Unanswered,
    Admitted(Time),
    Refused(Reason),
}

#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub arrived: Time,
    pub fate: Fate,
}

/// A run's requests and edits, in true time.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub requests: Vec<Request>,
    pub edits: Vec<Edit>,
    pub messages: u64,
}

impl History {
    pub fn arrive(&mut self, arrived: Time) -> usize {
        self.requests.push(Request {
            arrived,
            fate: Fate::Unanswered,
        });
        self.requests.len() - 1
    }

    pub fn admit(&mut self, request: usize, at: Time) {
        self.requests[request].fate = Fate::Admitted(at);
    }

    pub fn refuse(&mut self, request: usize, reason: Reason) {
        self.requests[request].fate = Fate::Refused(reason);
    }

    pub fn admitted(&self) -> Vec<Time> {
        let admitted = self
            .requests
            .iter()
            .filter_map(|request| match request.fate {
                Fate::Admitted(at) => Some(at),
                Fate::Unanswered | Fate::Refused(_) => None,
            });
        let mut times: Vec<Time> = admitted.collect();
        times.sort_unstable();
        times
    }

    /// Requests that a single bucket for all holders would have admitted, but were refused.
    pub fn refused_inside_the_rate(&self, per_sec: u64, burst: u64) -> usize {
        let mut level = burst as f64;
        let mut last = Time::ZERO;
        let mut wrong = 0;
        for request in &self.requests {
            level += per_sec as f64 * request.arrived.since(last).as_secs_f64();
            level = level.min(burst as f64);
            last = request.arrived;
            let is_inside = level >= 1.0;
            level -= f64::from(u8::from(is_inside));
            let is_refused = matches!(request.fate, Fate::Refused(_));
            wrong += usize::from(is_inside && is_refused);
        }
        wrong
    }
}

/// A window that admitted too much.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    pub until: Time,
    pub over: f64,
}

/// The worst window over all windows, if it admitted more than the largest burst in force plus
/// the integral of the rate over it.
///
/// With R the integral of the rate, the window from the i-th to the j-th admission must have
/// j - i + 1 <= burst + R(j) - R(i), so it is enough to follow the smallest i - R(i) so far.
pub fn check_rate(admitted: &[Time], edits: &[Edit]) -> Result<(), Excess> {
    let burst = edits
        .iter()
        .map(|edit| burst(edit.limit))
        .max()
        .unwrap_or(0) as f64;
    let mut least = f64::MAX;
    let mut worst: Option<Excess> = None;
    for (count, at) in admitted.iter().enumerate() {
        let earned = earned(*at, edits);
        least = least.min(count as f64 - earned);
        let over = (count + 1) as f64 - earned - least - burst;
        if over > 1e-6 && worst.is_none_or(|worst| over > worst.over) {
            worst = Some(Excess { until: *at, over });
        }
    }
    worst.map_or(Ok(()), Err)
}

/// The worst minute, if it admitted more than the cap; minutes end at `ends` and each minute after.
pub fn check_minutes(admitted: &[Time], cap: u64, ends: Time) -> Result<(), Excess> {
    const MINUTE: u64 = 60_000_000;
    let mut counts: Vec<u64> = Vec::new();
    for at in admitted {
        let since_first = (at.as_micros() + MINUTE).saturating_sub(ends.as_micros());
        let window = (since_first / MINUTE) as usize;
        counts.resize(counts.len().max(window + 1), 0);
        counts[window] += 1;
    }
    match counts.iter().enumerate().find(|(_, count)| **count > cap) {
        Some((window, count)) => Err(Excess {
            until: ends + Duration::from_micros(MINUTE) * window as u32,
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
