//! Exponentially weighted estimates of service times.

use std::collections::HashMap;

use cassiashunt_types::prelude::*;

/// Maximum number of routes that are tracked; samples of others only enter the overall mean.
const MAX_ROUTES: usize = 1_024;
/// The minimum weight of a new sample in the running mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// The time constant of the weight: after this time without samples, a new one has most of the
/// weight.
const WEIGHT_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Service times of each route at one backend server.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    routes: HashMap<Route, Estimate>,
    overall: Option<Estimate>,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_s: f64,
    sampled: Time,
}

/// The estimate of a route's mean service time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ServiceTime {
    /// There is no sample.
    Unknown,
    /// The last sample is recent enough.
    Fresh(Duration),
    /// The last sample is too old; the service time may have changed since.
    Stale(Duration),
}

impl Estimate {
    fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    fn from_first_sample(now: Time, secs: f64) -> Self {
        Self {
            mean_s: secs,
            sampled: now,
        }
    }

    fn sample(&mut self, now: Time, secs: f64) {
        let idle_periods =
            now.since(self.sampled).as_secs_f64() / WEIGHT_TIME_CONSTANT.as_secs_f64();
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 - (-idle_periods).exp());
        self.mean_s += weight * (secs - self.mean_s);
        self.sampled = now;
    }
}

impl Estimates {
    /// Adds the latency of a served request.
    pub(crate) fn sample(&mut self, now: Time, route: Route, latency: Duration) {
        let secs = latency.as_secs_f64();
        sample_into(&mut self.overall, now, secs);
        if self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES {
            let estimate = self.routes.entry(route);
            estimate
                .or_insert_with(|| Estimate::from_first_sample(now, secs))
                .sample(now, secs);
        }
    }

    /// The estimate for the route; one older than `max_age` is stale.
    pub(crate) fn of(&self, now: Time, route: Route, max_age: Duration) -> ServiceTime {
        match self.routes.get(&route) {
            None => ServiceTime::Unknown,
            Some(it) if now.since(it.sampled) <= max_age => ServiceTime::Fresh(it.service_time()),
            Some(it) => ServiceTime::Stale(it.service_time()),
        }
    }

    /// The mean service time over all routes; zero before the first sample.
    pub(crate) fn overall(&self) -> Duration {
        self.overall
            .map_or(Duration::ZERO, |estimate| estimate.service_time())
    }
}

fn sample_into(estimate: &mut Option<Estimate>, now: Time, secs: f64) {
    estimate
        .get_or_insert_with(|| Estimate::from_first_sample(now, secs))
        .sample(now, secs);
}
