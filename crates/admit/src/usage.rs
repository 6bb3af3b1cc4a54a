//! What the runs of one backend server take and call, as its owner sees it.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{chain::RouteUse, fanout::FanOut};

/// The weight of a new run in the mean slot time of its route.
const SLOT_TIME_GAIN: f64 = 0.05;
/// The weight of a new report's span in the rate of runs.
const RATE_GAIN: f64 = 0.3;
/// Routes whose runs are told apart at the most.
const MAX_ROUTES: usize = 64;

#[derive(Debug, Default)]
struct Runs {
    slot_s: f64,
    ended: u32,
    runs_per_s: f64,
}

/// Counts the runs of one backend server.
#[derive(Debug, Default)]
pub struct Usage {
    fan_out: FanOut,
    runs: BTreeMap<Route, Runs>,
    reported: Option<Time>,
}

impl Usage {
    /// Takes in that a run starts.
    pub fn on_start(&mut self, now: Time, route: Route) {
        self.fan_out.on_start_or_end(now, route);
    }

    /// Takes in that a run ended after it held its slot for `spent` and made `calls`. One that was
    /// broken off says nothing of the time that a whole run takes, unless it already took longer.
    pub fn on_end(
        &mut self,
        now: Time,
        route: Route,
        spent: Duration,
        is_whole: bool,
        calls: &[(Route, u32)],
    ) {
        self.fan_out.on_start_or_end(now, route);
        if is_whole {
            self.fan_out.on_complete_run(now, route, calls);
        }
        if self.runs.len() >= MAX_ROUTES && !self.runs.contains_key(&route) {
            return;
        }
        let runs = self.runs.entry(route).or_default();
        runs.ended += 1;
        let spent = spent.as_secs_f64();
        if runs.slot_s == 0.0 && is_whole {
            runs.slot_s = spent;
        } else if is_whole || spent > runs.slot_s {
            runs.slot_s += SLOT_TIME_GAIN * (spent - runs.slot_s);
        }
    }

    /// Takes in a call that the server makes, and whether its run is known.
    pub fn on_call(&mut self, now: Time, route: Route, is_known: bool) {
        self.fan_out.on_call(now, route, is_known);
    }

    /// What the others are to know; to be called about once a second.
    pub fn report(&mut self, now: Time) -> Vec<RouteUse> {
        let reported = self.reported.replace(now);
        let span = reported.map_or(0.0, |reported| now.since(reported).as_secs_f64());
        if span > 0.0 {
            for runs in self.runs.values_mut() {
                let rate = f64::from(std::mem::take(&mut runs.ended)) / span;
                runs.runs_per_s += RATE_GAIN * (rate - runs.runs_per_s);
            }
        }
        let calls = self.fan_out.estimates();
        let told = self.runs.iter().filter(|(_, runs)| runs.runs_per_s > 0.05);
        told.map(|(route, runs)| RouteUse {
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
