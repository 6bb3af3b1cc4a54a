//! Estimates how many calls to each route the runs at one backend server make.
//!
//! If the run that a call belongs to is known, calls are counted by run. Otherwise the calls to
//! each route are fitted to the runs of all routes in the same time bin: weighted non-negative
//! least squares with a small ridge, solved by coordinate descent (Friedman, Hastie and Tibshirani,
//! 2010). The error of the fit is large for a route that rarely runs at a server with another route
//! that makes many calls.

use std::collections::HashMap;

use cassiashunt_types::prelude::*;

/// The width of the time bins in which runs and calls are counted. Runs of the platform's services
/// take 0.1 to 0.7 s.
const BIN_WIDTH: Duration = Duration::from_millis(500);
/// The factor by which a bin's weight decays with each later bin; about 40 bins, or 20 s, count.
const BIN_DECAY: f64 = 0.975;
/// The ridge, in squared runs. It keeps calls from being attributed to a route that hardly runs.
const RIDGE_PENALTY: f64 = 2.0;
/// Sweeps of the coordinate descent; the matrices have few rows.
const DESCENT_SWEEPS: usize = 30;
/// The maximum number of routes that are tracked, separately for runs and for calls.
const MAX_ROUTES: usize = 24;
/// The minimum number of calls per run; smaller estimates count as no calls.
const MIN_CALLS_PER_RUN: f64 = 0.1;

/// The mean number of calls that a run of one route makes.
#[derive(Debug, Clone, PartialEq)]
pub struct RunCalls {
    /// The route that runs.
    pub run: Route,
    /// The routes that it calls, and the number of calls to each per run.
    pub calls: Vec<(Route, f64)>,
}

/// The minimum share of calls with a known run at which calls are counted instead of fitted.
const MIN_KNOWN_SHARE: f64 = 0.8;

/// Counts the runs and calls of one backend server.
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
    bin_started: Option<Time>,
    /// Weighted numbers of complete runs, their calls, all calls, and calls whose run is known.
    complete_runs: HashMap<usize, f64>,
    complete_run_calls: HashMap<(usize, usize), f64>,
    calls_total: f64,
    known_calls_total: f64,
}

impl FanOut {
    /// Counts half a run at its start and half at its end, because its calls are made in between.
    pub fn on_start_or_end(&mut self, now: Time, route: Route) {
        self.advance_bin(now);
        if let Some(at) = index(&mut self.runs, route) {
            *self.run_counts.entry(at).or_default() += 0.5;
        }
    }

    /// Counts a call that the server makes; `is_known` states whether its run is known.
    pub fn on_call(&mut self, now: Time, route: Route, is_known: bool) {
        self.advance_bin(now);
        let Some(call) = index(&mut self.calls, route) else {
            return;
        };
        *self.call_counts.entry(call).or_default() += 1.0;
        self.calls_total += 1.0;
        self.known_calls_total += f64::from(u8::from(is_known));
    }

    /// Counts a complete run and its calls. Aborted runs are not counted: they made fewer calls than
    /// a complete run, and the lower estimate would admit too many requests at the very time when
    /// chains fail.
    pub fn on_complete_run(&mut self, now: Time, run: Route, calls: &[(Route, u32)]) {
        self.advance_bin(now);
        let Some(run) = index(&mut self.runs, run) else {
            return;
        };
        *self.complete_runs.entry(run).or_default() += 1.0;
        for (route, count) in calls {
            if let Some(call) = index(&mut self.calls, *route) {
                *self.complete_run_calls.entry((run, call)).or_default() += f64::from(*count);
            }
        }
    }

    /// The estimated calls per run, by route.
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
            let calls_per_run = if self.are_runs_known() {
                self.counted_calls(call)
            } else {
                self.fitted_calls(call)
            };
            for (run, per_run) in calls_per_run.into_iter().enumerate() {
                if per_run >= MIN_CALLS_PER_RUN {
                    out[run].calls.push((*route, per_run));
                }
            }
        }
        out
    }

    fn are_runs_known(&self) -> bool {
        self.known_calls_total >= MIN_KNOWN_SHARE * self.calls_total
    }

    fn counted_calls(&self, call: usize) -> Vec<f64> {
        let per_run = |run: usize| {
            let runs = self.complete_runs.get(&run).copied().unwrap_or_default();
            let calls = self
                .complete_run_calls
                .get(&(run, call))
                .copied()
                .unwrap_or_default();
            calls / runs.max(1.0)
        };
        (0..self.runs.len()).map(per_run).collect()
    }

    fn fitted_calls(&self, call: usize) -> Vec<f64> {
        let width = self.runs.len();
        let mut calls_per_run = vec![0.0; width];
        for _ in 0..DESCENT_SWEEPS {
            for run in 0..width {
                let diagonal = self.gram.get(&(run, run)).copied().unwrap_or_default();
                let others: f64 = (0..width)
                    .filter(|other| *other != run)
                    .map(|other| {
                        self.gram.get(&(run, other)).copied().unwrap_or_default()
                            * calls_per_run[other]
                    })
                    .sum();
                let cross = self.cross.get(&(run, call)).copied().unwrap_or_default();
                calls_per_run[run] = ((cross - others) / (diagonal + RIDGE_PENALTY)).max(0.0);
            }
        }
        calls_per_run
    }

    fn advance_bin(&mut self, now: Time) {
        let bin_started = *self.bin_started.get_or_insert(now);
        if now.since(bin_started) < BIN_WIDTH {
            return;
        }
        self.bin_started = Some(now);
        let runs = std::mem::take(&mut self.run_counts);
        let calls = std::mem::take(&mut self.call_counts);
        if runs.is_empty() && calls.is_empty() {
            return;
        }
        self.gram.values_mut().for_each(|sum| *sum *= BIN_DECAY);
        self.cross.values_mut().for_each(|sum| *sum *= BIN_DECAY);
        self.complete_runs
            .values_mut()
            .for_each(|sum| *sum *= BIN_DECAY);
        self.complete_run_calls
            .values_mut()
            .for_each(|sum| *sum *= BIN_DECAY);
        self.calls_total *= BIN_DECAY;
        self.known_calls_total *= BIN_DECAY;
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

/// The index of a route, which is added if there are fewer than `MAX_ROUTES`; none otherwise.
fn index(routes: &mut Vec<Route>, route: Route) -> Option<usize> {
    if let Some(at) = routes.iter().position(|it| *it == route) {
        return Some(at);
    }
    (routes.len() < MAX_ROUTES).then(|| {
        routes.push(route);
        routes.len() - 1
    })
}
