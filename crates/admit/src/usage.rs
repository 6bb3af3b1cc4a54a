//! The slot times and calls of the runs at one backend server, as measured by its owner.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{chain::RouteUse, fanout::FanOut};

/// The weight of a new run in the mean slot time of its route.
const SLOT_TIME_GAIN: f64 = 0.05;
/// The weight of the time since the last report in the mean rate of runs.
const RATE_GAIN: f64 = 0.3;
/// The maximum number of routes whose runs are tracked.
const MAX_ROUTES: usize = 64;

#[derive(Debug, Default)]
struct RouteRuns {
    slot_s: f64,
    ended: u32,
    runs_per_s: f64,
}

/// Measures the runs of one backend server.
#[derive(Debug, Default)]
pub struct Usage {
    fan_out: FanOut,
    runs: BTreeMap<Route, RouteRuns>,
    last_report: Option<Time>,
}

impl Usage {
    /// Records the start of a run.
    pub fn on_start(&mut self, now: Time, route: Route) {
        self.fan_out.on_start_or_end(now, route);
    }

    /// Records the end of a run that held its slot for `slot_time` and made `calls`. An aborted run
    /// is a sample of the slot time only if it took longer than the mean.
    pub fn on_end(
        &mut self,
        now: Time,
        route: Route,
        slot_time: Duration,
        is_complete: bool,
        calls: &[(Route, u32)],
    ) {
        self.fan_out.on_start_or_end(now, route);
        if is_complete {
            self.fan_out.on_complete_run(now, route, calls);
        }
        if self.runs.len() >= MAX_ROUTES && !self.runs.contains_key(&route) {
            return;
        }
        let runs = self.runs.entry(route).or_default();
        runs.ended += 1;
        let slot_s = slot_time.as_secs_f64();
        if runs.slot_s == 0.0 && is_complete {
            runs.slot_s = slot_s;
        } else if is_complete || slot_s > runs.slot_s {
            runs.slot_s += SLOT_TIME_GAIN * (slot_s - runs.slot_s);
        }
    }

    /// Records a call that the server makes; `is_known` states whether its run is known.
    pub fn on_call(&mut self, now: Time, route: Route, is_known: bool) {
        self.fan_out.on_call(now, route, is_known);
    }

    /// The report for the other nodes. To be called about once a second.
    pub fn report(&mut self, now: Time) -> Vec<RouteUse> {
        let last_report = self.last_report.replace(now);
        let elapsed_s = last_report.map_or(0.0, |last_report| now.since(last_report).as_secs_f64());
        if elapsed_s > 0.0 {
            for runs in self.runs.values_mut() {
                let rate = f64::from(std::mem::take(&mut runs.ended)) / elapsed_s;
                runs.runs_per_s += RATE_GAIN * (rate - runs.runs_per_s);
            }
        }
        let calls = self.fan_out.estimates();
        let active = self.runs.iter().filter(|(_, runs)| runs.runs_per_s > 0.05);
        active
            .map(|(route, runs)| RouteUse {
                route: *route,
                runs_per_s: runs.runs_per_s,
                slot_s: runs.slot_s,
                calls: calls
                    .iter()
                    .find(|it| it.run == *route)
                    .map_or_else(Vec::new, |it| it.calls.clone()),
            })
            .collect()
    }
}
