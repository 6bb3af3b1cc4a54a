//! The cost of a client's request at each service that its chain of calls reaches.
//!
//! Each owner reports how long a run of each route holds one of its server's slots, and which calls
//! a run makes. The cost of a route at a service is the slot time of its runs there plus the costs
//! of the calls that they make.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The maximum depth to which the calls of a chain are followed. It also ends cycles of routes that
/// call each other.
const MAX_CHAIN_DEPTH: usize = 6;
/// The age above which an owner's report is discarded.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// The weight of a run from a restored summary relative to one that an owner reports. It is small
/// so that reported runs outweigh restored ones.
const RESTORED_RUN_WEIGHT: f64 = 0.001;

/// An owner's report on the runs of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteUse {
    /// The route that runs.
    pub route: Route,
    /// Runs per second.
    pub runs_per_s: f64,
    /// The mean time that a run holds a slot, in seconds.
    pub slot_s: f64,
    /// The routes that a run calls, and the mean number of calls to each.
    pub calls: Vec<(Route, f64)>,
}

/// The slot time that a request takes at each service, in seconds.
pub type Cost = Vec<(Service, f64)>;

/// The costs of chains, calculated from the reports of owners.
#[derive(Debug, Default)]
pub struct ChainCosts {
    reports: HashMap<String, Report>,
    costs: HashMap<Route, Cost>,
    run_counts: HashMap<Route, Vec<(Service, f64)>>,
    mean_slot_s: BTreeMap<Service, f64>,
    paces: HashMap<String, f64>,
    slot_times: HashMap<(Service, Route), Duration>,
}

#[derive(Debug)]
struct Report {
    received: Time,
    service: Service,
    uses: Vec<RouteUse>,
}

/// A route's runs at one service, over all owners.
#[derive(Debug, Default)]
struct RouteRuns {
    rate: f64,
    slot_s: f64,
    calls: BTreeMap<Route, f64>,
}

/// What a request needs at one service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceCost {
    slot_s: f64,
    runs: f64,
}

impl ChainCosts {
    /// Records an owner's report under its node's name, in place of its earlier one.
    pub fn on_report(&mut self, now: Time, owner: &str, service: Service, uses: Vec<RouteUse>) {
        let report = Report {
            received: now,
            service,
            uses,
        };
        self.reports.insert(owner.to_owned(), report);
    }

    /// The runs at each service, to be stored for [`restore`](Self::restore) after a restart of all
    /// nodes.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<Service, Vec<RouteUse>> {
        merge(self.uses_by_service())
    }

    /// Restores a summary from before a restart. It counts until owners report runs of their own.
    pub fn restore(&mut self, now: Time, summary: BTreeMap<Service, Vec<RouteUse>>) {
        for (service, mut uses) in summary {
            for route_use in &mut uses {
                route_use.runs_per_s *= RESTORED_RUN_WEIGHT;
            }
            // No node has a name of this form, so no owner's report is replaced.
            self.on_report(now, &format!("remembered {service}"), service, uses);
        }
    }

    /// Recalculates the costs from the reports. To be called about once a second.
    pub fn update(&mut self, now: Time) {
        self.reports
            .retain(|_, report| now.since(report.received) <= MAX_REPORT_AGE);
        let runs = mean_runs(self.uses_by_service());
        let routes: Vec<_> = runs.keys().copied().collect();
        let mut by_service: BTreeMap<Service, (f64, f64)> = BTreeMap::new();
        for (service, service_runs) in runs.values().flatten() {
            let (rate, slot_s) = by_service.entry(*service).or_default();
            *rate += service_runs.rate;
            *slot_s += service_runs.rate * service_runs.slot_s;
        }
        let mean = |(rate, slot_s): (f64, f64)| slot_s / rate.max(f64::MIN_POSITIVE);
        let by_service = by_service.into_iter();
        self.mean_slot_s = by_service
            .map(|(service, it)| (service, mean(it)))
            .collect();
        self.costs.clear();
        self.run_counts.clear();
        for route in routes {
            let mut cost = BTreeMap::new();
            add_cost(&runs, route, 1.0, 0, &mut cost);
            let slot_s = cost.iter().map(|(service, it)| (*service, it.slot_s));
            self.costs.insert(route, slot_s.collect());
            let run_counts = cost.iter().map(|(service, it)| (*service, it.runs));
            self.run_counts.insert(route, run_counts.collect());
        }
        let reports = self.reports.iter();
        let paces = reports.filter_map(|(owner, report)| {
            let pace = pace(report, &runs)?;
            Some((owner.clone(), pace))
        });
        self.paces = paces.collect();
        let slot_times = runs.iter().flat_map(|(route, services)| {
            let services = services.iter();
            services.map(|(service, runs)| ((*service, *route), runs.slot_s))
        });
        self.slot_times = slot_times
            .map(|(key, slot_s)| (key, Duration::try_from_secs_f64(slot_s).unwrap_or_default()))
            .collect();
    }

    /// The mean time that a run of this route holds a slot at the servers of a service; `None` if no
    /// run has been reported yet.
    #[must_use]
    pub fn slot_time(&self, service: Service, route: Route) -> Option<Duration> {
        let slot_time = self.slot_times.get(&(service, route)).copied();
        slot_time.filter(|it| !it.is_zero())
    }

    /// The cost of a request of this route; empty if no run of it has been reported yet.
    #[must_use]
    pub fn cost(&self, route: Route) -> &[(Service, f64)] {
        self.costs.get(&route).map_or(&[], Vec::as_slice)
    }

    /// The mean slot time of all runs at a service, in seconds; none if none has been reported yet.
    #[must_use]
    pub fn mean_slot_s(&self, service: Service) -> Option<f64> {
        self.mean_slot_s.get(&service).copied()
    }

    /// The number of runs of a request of this route at each service, its own and those of its calls;
    /// empty if no run of it has been reported yet.
    #[must_use]
    pub fn run_counts(&self, route: Route) -> &[(Service, f64)] {
        self.run_counts.get(&route).map_or(&[], Vec::as_slice)
    }

    /// The slot time of an owner's runs divided by the mean of its service for the same routes;
    /// none if too few runs have been reported.
    #[must_use]
    pub fn pace(&self, owner: &str) -> Option<f64> {
        self.paces.get(owner).copied()
    }

    fn uses_by_service(&self) -> impl Iterator<Item = (Service, &[RouteUse])> {
        let reports = self.reports.values();
        reports.map(|report| (report.service, report.uses.as_slice()))
    }
}

/// Merges reports into one for each service: the mean, weighted by the rate of runs.
#[must_use]
pub fn merge<'a>(
    reported: impl Iterator<Item = (Service, &'a [RouteUse])>,
) -> BTreeMap<Service, Vec<RouteUse>> {
    let mut merged: BTreeMap<Service, Vec<RouteUse>> = BTreeMap::new();
    for (route, services) in mean_runs(reported) {
        for (service, runs) in services {
            merged.entry(service).or_default().push(RouteUse {
                route,
                runs_per_s: runs.rate,
                slot_s: runs.slot_s,
                calls: runs.calls.into_iter().collect(),
            });
        }
    }
    merged
}

/// The mean of the reports for each route and service, weighted by the rate of runs.
fn mean_runs<'a>(
    reported: impl Iterator<Item = (Service, &'a [RouteUse])>,
) -> HashMap<Route, BTreeMap<Service, RouteRuns>> {
    let mut runs: HashMap<Route, BTreeMap<Service, RouteRuns>> = HashMap::new();
    for (service, uses) in reported {
        for route_use in uses {
            let services = runs.entry(route_use.route).or_default();
            let sum = services.entry(service).or_default();
            sum.rate += route_use.runs_per_s;
            sum.slot_s += route_use.runs_per_s * route_use.slot_s;
            for (call, count) in &route_use.calls {
                *sum.calls.entry(*call).or_default() += route_use.runs_per_s * count;
            }
        }
    }
    for sum in runs.values_mut().flat_map(BTreeMap::values_mut) {
        let rate = sum.rate.max(f64::MIN_POSITIVE);
        sum.slot_s /= rate;
        sum.calls.values_mut().for_each(|count| *count /= rate);
    }
    runs
}

fn pace(report: &Report, runs: &HashMap<Route, BTreeMap<Service, RouteRuns>>) -> Option<f64> {
    let (mut own_slot_s, mut mean_slot_s) = (0.0, 0.0);
    for route_use in &report.uses {
        let service_runs = runs.get(&route_use.route)?.get(&report.service)?;
        own_slot_s += route_use.runs_per_s * route_use.slot_s;
        mean_slot_s += route_use.runs_per_s * service_runs.slot_s;
    }
    (mean_slot_s > 0.0).then(|| own_slot_s / mean_slot_s)
}

fn add_cost(
    runs: &HashMap<Route, BTreeMap<Service, RouteRuns>>,
    route: Route,
    runs_per_request: f64,
    depth: usize,
    cost: &mut BTreeMap<Service, ServiceCost>,
) {
    let Some(services) = runs.get(&route).filter(|_| depth < MAX_CHAIN_DEPTH) else {
        return;
    };
    let total: f64 = services.values().map(|runs| runs.rate).sum();
    for (service, service_runs) in services {
        let runs_per_request = runs_per_request * service_runs.rate / total.max(f64::MIN_POSITIVE);
        let at_service = cost.entry(*service).or_default();
        at_service.slot_s += runs_per_request * service_runs.slot_s;
        at_service.runs += runs_per_request;
        for (call, count) in &service_runs.calls {
            add_cost(runs, *call, runs_per_request * count, depth + 1, cost);
        }
    }
}
