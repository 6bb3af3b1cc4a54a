//! Learns which calls the runs of one backend server make.
//!
//! Where calls can be told apart by the run that they belong to, they are counted. Otherwise the
//! calls of each route are explained by the runs of each route in the same stretch of time:
//! weighted non-negative least squares with a small ridge, solved by coordinate descent (Friedman,
//! Hastie and Tibshirani, 2010). Its error is large for a route that runs rarely beside one that
//! calls often.

use std::collections::HashMap;

use cassiashunt_types::prelude::*;

/// The stretch of time in which runs and calls are counted together. Runs of the users' services
/// last 0.1 to 0.7 s.
const BIN: Duration = Duration::from_millis(500);
/// What a bin's weight falls to with each later bin: 40 bins, or 20 s, count.
const DECAY: f64 = 0.975;
/// The ridge, in squared runs; it keeps a route that hardly runs from explaining anything.
const RIDGE: f64 = 2.0;
/// Sweeps of the coordinate descent; the matrices are at most a few routes wide.
const SWEEPS: usize = 30;
/// Routes that are told apart at the most.
const MAX_ROUTES: usize = 24;
/// Calls for each run below which a route counts as making none.
const LEAST_CALLS: f64 = 0.1;

/// The calls that runs of one route make.
#[derive(Debug, Clone, PartialEq)]
pub struct RunCalls {
    /// What runs.
    pub run: Route,
    /// What it calls, and how often in one run.
    pub calls: Vec<(Route, f64)>,
}

/// The share of calls whose run is known above which counting is used.
const KNOWN_SHARE: f64 = 0.8;

/// Counts runs and calls at one backend server.
#[derive(Debug, Default)]
pub struct FanOut {
    runs: Vec<Route>,
    calls: Vec<Route>,
    /// Weighted sums over bins of products of runs.
    gram: HashMap<(usize, usize), f64>,
    /// Weighted sums over bins of products of runs and calls.
    cross: HashMap<(usize, usize), f64>,
    run_counts: HashMap<usize, f64>,
    call_counts: HashMap<usize, f64>,
    began: Option<Time>,
    /// Weighted whole runs, their calls, all calls, and those whose run is known.
    whole_runs: HashMap<usize, f64>,
    whole_calls: HashMap<(usize, usize), f64>,
    call_sum: f64,
    known_sum: f64,
}

impl FanOut {
    /// Takes in the start or the end of a run; half a run is counted at each, since its calls fall
    /// between them.
    pub fn on_start_or_end(&mut self, now: Time, route: Route) {
        self.step(now);
        if let Some(at) = index(&mut self.runs, route) {
            *self.run_counts.entry(at).or_default() += 0.5;
        }
    }

    /// Takes in a call that the server makes, and whether its run is known.
    pub fn on_call(&mut self, now: Time, route: Route, is_known: bool) {
        self.step(now);
        let Some(call) = index(&mut self.calls, route) else {
            return;
        };
        *self.call_counts.entry(call).or_default() += 1.0;
        self.call_sum += 1.0;
        self.known_sum += f64::from(u8::from(is_known));
    }

    /// Takes in a run that did its whole work, and its calls. Runs that broke off made fewer calls
    /// than the next one will, and counting them would let in more than fits just when chains
    /// break.
    pub fn on_complete_run(&mut self, now: Time, run: Route, calls: &[(Route, u32)]) {
        self.step(now);
        let Some(run) = index(&mut self.runs, run) else {
            return;
        };
        *self.whole_runs.entry(run).or_default() += 1.0;
        for (route, count) in calls {
            if let Some(call) = index(&mut self.calls, *route) {
                *self.whole_calls.entry((run, call)).or_default() += f64::from(*count);
            }
        }
    }

    /// The calls that runs of each route make.
    #[must_use]
    pub fn estimates(&self) -> Vec<RunCalls> {
        let mut out: Vec<_> = self
            .runs
            .iter()
            .map(|run| RunCalls {
                run: *run,
                calls: Vec::new(),
            })
            .collect();
        for (call, route) in self.calls.iter().enumerate() {
            let solved = if self.is_known() {
                self.count(call)
            } else {
                self.solve(call)
            };
            for (run, per_run) in solved.into_iter().enumerate() {
                if per_run >= LEAST_CALLS {
                    out[run].calls.push((*route, per_run));
                }
            }
        }
        out
    }

    fn is_known(&self) -> bool {
        self.known_sum >= KNOWN_SHARE * self.call_sum
    }

    fn count(&self, call: usize) -> Vec<f64> {
        let per_run = |run: usize| {
            let runs = self.whole_runs.get(&run).copied().unwrap_or_default();
            let calls = self
                .whole_calls
                .get(&(run, call))
                .copied()
                .unwrap_or_default();
            calls / runs.max(1.0)
        };
        (0..self.runs.len()).map(per_run).collect()
    }

    fn solve(&self, call: usize) -> Vec<f64> {
        let width = self.runs.len();
        let mut solved = vec![0.0; width];
        for _ in 0..SWEEPS {
            for run in 0..width {
                let own = self.gram.get(&(run, run)).copied().unwrap_or_default();
                let others: f64 = (0..width)
                    .filter(|other| *other != run)
                    .map(|other| {
                        self.gram.get(&(run, other)).copied().unwrap_or_default() * solved[other]
                    })
                    .sum();
                let cross = self.cross.get(&(run, call)).copied().unwrap_or_default();
                solved[run] = ((cross - others) / (own + RIDGE)).max(0.0);
            }
        }
        solved
    }

    fn step(&mut self, now: Time) {
        let began = *self.began.get_or_insert(now);
        if now.since(began) < BIN {
            return;
        }
        self.began = Some(now);
        let runs = std::mem::take(&mut self.run_counts);
        let calls = std::mem::take(&mut self.call_counts);
        if runs.is_empty() && calls.is_empty() {
            return;
        }
        self.gram.values_mut().for_each(|sum| *sum *= DECAY);
        self.cross.values_mut().for_each(|sum| *sum *= DECAY);
        self.whole_runs.values_mut().for_each(|sum| *sum *= DECAY);
        self.whole_calls.values_mut().for_each(|sum| *sum *= DECAY);
        self.call_sum *= DECAY;
        self.known_sum *= DECAY;
        for (run, count) in &runs {
            for (other, other_count) in &runs {
                *self.gram.entry((*run, *other)).or_default() += count * other_count;
            }
            for (call, calls) in &calls {
                *self.cross.entry((*run, *call)).or_default() += count * calls;
            }
        }
    }
}

/// The index of a route, which is taken in while there is room.
fn index(routes: &mut Vec<Route>, route: Route) -> Option<usize> {
    if let Some(at) = routes.iter().position(|it| *it == route) {
        return Some(at);
    }
    (routes.len() < MAX_ROUTES).then(|| {
        routes.push(route);
        routes.len() - 1
    })
}
