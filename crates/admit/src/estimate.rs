//! Running estimates of service times.

use std::collections::HashMap;

use cassiashunt_types::prelude::*;

/// Routes that are kept; samples of further ones are left out.
const MAX_ROUTES: usize = 1_024;
/// The least weight of a new sample in the running mean.
const MEAN_GAIN: f64 = 0.05;
/// The time without samples after which a new one has most of the weight.
const MEAN_SPAN: Duration = Duration::from_millis(500);

/// Service times of each route at one backend server.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    routes: HashMap<Route, Estimate>,
    overall: Option<Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean: f64,
    sampled: Time,
}

/// What is known of a route's mean service time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Known {
    /// It was never sampled.
    Nothing,
    /// It was sampled lately.
    Fresh(Duration),
    /// The last sample is old; the server may have changed since.
    Stale(Duration),
}

impl Estimate {
    fn service(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    fn first(now: Time, secs: f64) -> Self {
        Self {
            mean: secs,
            sampled: now,
        }
    }

    fn sample(&mut self, now: Time, secs: f64) {
        let idle = now.since(self.sampled).as_secs_f64() / MEAN_SPAN.as_secs_f64();
        let gain = MEAN_GAIN.max(1.0 - (-idle).exp());
        self.mean += gain * (secs - self.mean);
        self.sampled = now;
    }
}

impl Estimates {
    /// Takes in the latency of a request that was served.
    pub(crate) fn sample(&mut self, now: Time, route: Route, latency: Duration) {
        let secs = latency.as_secs_f64();
        sample_into(&mut self.overall, now, secs);
        if self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES {
            let estimate = self.routes.entry(route);
            estimate
                .or_insert_with(|| Estimate::first(now, secs))
                .sample(now, secs);
        }
    }

    /// What is known of the route's service time.
    pub(crate) fn of(&self, now: Time, route: Route, max_age: Duration) -> Known {
        match self.routes.get(&route) {
            None => Known::Nothing,
            Some(it) if now.since(it.sampled) <= max_age => Known::Fresh(it.service()),
            Some(it) => Known::Stale(it.service()),
        }
    }

    /// The mean service time over all routes; zero before the first sample.
    pub(crate) fn overall(&self) -> Duration {
        self.overall
            .map_or(Duration::ZERO, |estimate| estimate.service())
    }
}

fn sample_into(estimate: &mut Option<Estimate>, now: Time, secs: f64) {
    estimate
        .get_or_insert_with(|| Estimate::first(now, secs))
        .sample(now, secs);
}
