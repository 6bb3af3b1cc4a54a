//! What a client's request costs at each service that its chain of calls reaches.
//!
//! Each owner tells how long a run of each route holds one of its server's slots, and which calls
//! a run makes. The cost of a route at a service is the slot time of its runs there plus the costs
//! of the calls that they make.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The deepest chain that is followed.
const MAX_DEPTH: usize = 6;
/// How long an owner's word counts.
const MAX_AGE: Duration = Duration::from_secs(60);

/// What a remembered run weighs beside one that owners see: next to nothing once they see any.
const REMEMBERED_WEIGHT: f64 = 0.001;

/// What an owner tells of the runs of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouteUse {
    /// What runs.
    pub route: Route,
    /// Runs a second.
    pub runs_per_s: f64,
    /// How long a run holds a slot, in seconds.
    pub slot_s: f64,
    /// What a run calls, and how often.
    pub calls: Vec<(Route, f64)>,
}

/// The slot time, in seconds, that a request takes at each service.
pub type Cost = Vec<(Service, f64)>;

/// What is known of the chains.
#[derive(Debug, Default)]
pub struct ChainCosts {
    reports: HashMap<String, Report>,
    costs: HashMap<Route, Cost>,
    paces: HashMap<String, f64>,
}

#[derive(Debug)]
struct Report {
    received: Time,
    service: Service,
    uses: Vec<RouteUse>,
}

/// A route's runs at one service, over all owners.
#[derive(Debug, Default)]
struct Runs {
    rate: f64,
    slot_s: f64,
    calls: BTreeMap<Route, f64>,
}

impl ChainCosts {
    /// Takes in an owner's word, under its node's name.
    pub fn on_report(&mut self, now: Time, owner: &str, service: Service, uses: Vec<RouteUse>) {
        let report = Report {
            received: now,
            service,
            uses,
        };
        self.reports.insert(owner.to_owned(), report);
    }

    /// What is known of the runs at each service, to be remembered over a restart of all nodes.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<Service, Vec<RouteUse>> {
        merge(self.told())
    }

    /// Takes in what was known before a restart. It counts until owners have seen runs of their own.
    pub fn restore(&mut self, now: Time, summary: BTreeMap<Service, Vec<RouteUse>>) {
        for (service, mut uses) in summary {
            for told in &mut uses {
                told.runs_per_s *= REMEMBERED_WEIGHT;
            }
            // No node has such a name.
            self.on_report(now, &format!("remembered {service}"), service, uses);
        }
    }

    /// Works the costs out anew; to be called about once a second.
    pub fn update(&mut self, now: Time) {
        self.reports
            .retain(|_, report| now.since(report.received) <= MAX_AGE);
        let runs = runs_of(self.told());
        let routes: Vec<_> = runs.keys().copied().collect();
        let costs = routes.into_iter().map(|route| {
            let mut cost = BTreeMap::new();
            add_cost(&runs, route, 1.0, 0, &mut cost);
            (route, cost.into_iter().collect())
        });
        self.costs = costs.collect();
        let reports = self.reports.iter();
        let paces = reports.filter_map(|(owner, report)| {
            let pace = pace(report, &runs)?;
            Some((owner.clone(), pace))
        });
        self.paces = paces.collect();
    }

    /// What a request of this route costs; nothing where no run was seen yet.
    #[must_use]
    pub fn cost(&self, route: Route) -> &[(Service, f64)] {
        self.costs.get(&route).map_or(&[], Vec::as_slice)
    }

    /// The time that an owner's server takes for its requests, over the mean of its service for the
    /// same routes; nothing where too little was seen.
    #[must_use]
    pub fn pace(&self, owner: &str) -> Option<f64> {
        self.paces.get(owner).copied()
    }

    fn told(&self) -> impl Iterator<Item = (Service, &[RouteUse])> {
        let reports = self.reports.values();
        reports.map(|report| (report.service, report.uses.as_slice()))
    }
}

/// What was told of the runs at each service, as one word: the mean, weighted by the runs.
#[must_use]
pub fn merge<'a>(
    told: impl Iterator<Item = (Service, &'a [RouteUse])>,
) -> BTreeMap<Service, Vec<RouteUse>> {
    let mut merged: BTreeMap<Service, Vec<RouteUse>> = BTreeMap::new();
    for (route, services) in runs_of(told) {
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

/// The mean of the owners' words, weighted by their runs.
fn runs_of<'a>(
    told: impl Iterator<Item = (Service, &'a [RouteUse])>,
) -> HashMap<Route, BTreeMap<Service, Runs>> {
    let mut runs: HashMap<Route, BTreeMap<Service, Runs>> = HashMap::new();
    for (service, uses) in told {
        for told in uses {
            let services = runs.entry(told.route).or_default();
            let sum = services.entry(service).or_default();
            sum.rate += told.runs_per_s;
            sum.slot_s += told.runs_per_s * told.slot_s;
            for (call, count) in &told.calls {
                *sum.calls.entry(*call).or_default() += told.runs_per_s * count;
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

fn pace(report: &Report, runs: &HashMap<Route, BTreeMap<Service, Runs>>) -> Option<f64> {
    let (mut own, mut mean) = (0.0, 0.0);
    for told in &report.uses {
        let of_service = runs.get(&told.route)?.get(&report.service)?;
        own += told.runs_per_s * told.slot_s;
        mean += told.runs_per_s * of_service.slot_s;
    }
    (mean > 0.0).then(|| own / mean)
}

fn add_cost(
    runs: &HashMap<Route, BTreeMap<Service, Runs>>,
    route: Route,
    times: f64,
    depth: usize,
    cost: &mut BTreeMap<Service, f64>,
) {
    let Some(services) = runs.get(&route).filter(|_| depth < MAX_DEPTH) else {
        return;
    };
    let total: f64 = services.values().map(|runs| runs.rate).sum();
    for (service, at) in services {
        let times = times * at.rate / total.max(f64::MIN_POSITIVE);
        *cost.entry(*service).or_default() += times * at.slot_s;
        for (call, count) in &at.calls {
            add_cost(runs, *call, times * count, depth + 1, cost);
        }
    }
}
