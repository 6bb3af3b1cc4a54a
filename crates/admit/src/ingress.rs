//! Refuses requests at ingress, before a chain starts, by the signals of the owners on its path.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
};

use cassiashunt_types::prelude::*;
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::{Level, Priority, Signal, demand::Demand};

/// Settings of the shedding at ingress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The age at which a signal is no longer used.
    pub signal_age: Duration,
    /// The age after which a signal's share halves, and again after each such time.
    pub half_life: Duration,
    /// How long a service counts as on a route's path after it was last seen there.
    pub path_age: Duration,
    /// The share, in 256ths, above which shedding at the threshold begins.
    pub enter_share: u8,
    /// The share, in 256ths, at which shedding at the threshold ends.
    pub leave_share: u8,
    /// The longest time without a request to a service while its signals ask for shedding.
    pub probe_interval: Duration,
    /// The shortest time to come back after a refusal; the longest is twice as long.
    pub retry_after: Duration,
    /// Routes whose paths are kept.
    pub max_routes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            signal_age: Duration::from_secs(3),
            half_life: Duration::from_millis(1_500),
            path_age: Duration::from_secs(60),
            enter_share: 16,
            leave_share: 4,
            probe_interval: Duration::from_millis(200),
            retry_after: Duration::from_secs(1),
            max_routes: 1_024,
        }
    }
}

/// A caller's request before its chain starts.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// What it calls.
    pub route: Route,
    /// The priority of its class.
    pub priority: Priority,
    /// Whose request it is.
    pub workspace: Workspace,
    /// The workspace's share beside the others; zero counts as one.
    pub weight: u32,
}

/// Shedding at one ingress node.
#[derive(Debug)]
pub struct Ingress {
    opts: Options,
    services: BTreeMap<Service, Watch>,
    paths: HashMap<Route, BTreeMap<Service, Time>>,
    demand: Demand,
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Watch {
    owners: BTreeMap<NodeId, Report>,
    is_shedding: bool,
    last_passed: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    signal: Signal,
    received: Time,
}

impl Watch {
    /// The lower median of the owners' levels, which one server out of step does not move.
    fn level(&self, now: Time, opts: &Options) -> Level {
        let fresh = self
            .owners
            .values()
            .filter(|r| now.since(r.received) <= opts.signal_age);
        let mut levels: Vec<_> = fresh.map(|report| aged(now, report, opts)).collect();
        levels.sort_unstable();
        let middle = levels.len().saturating_sub(1) / 2;
        levels.get(middle).copied().unwrap_or(Level::OPEN)
    }

    /// The level with hysteresis of its share.
    fn steady_level(&mut self, now: Time, opts: &Options) -> Level {
        let level = self.level(now, opts);
        let bound = if self.is_shedding {
            opts.leave_share
        } else {
            opts.enter_share
        };
        self.is_shedding = level.share > bound;
        let share = if self.is_shedding { level.share } else { 0 };
        Level { share, ..level }
    }

    fn is_silent(&self, now: Time, opts: &Options) -> bool {
        self.last_passed
            .is_none_or(|passed| now.since(passed) >= opts.probe_interval)
    }
}

/// The reported level with its share halved for each half-life that it is old.
fn aged(now: Time, report: &Report, opts: &Options) -> Level {
    let half_lives = now.since(report.received).as_secs_f64() / opts.half_life.as_secs_f64();
    let share = f64::from(report.signal.level.share) * 0.5_f64.powf(half_lives.floor());
    Level {
        share: share as u8,
        ..report.signal.level
    }
}

impl Ingress {
    /// An ingress that has heard no signal.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            services: BTreeMap::new(),
            paths: HashMap::new(),
            demand: Demand::default(),
        }
    }

    /// Takes in an owner's signal, from an answer or from gossip.
    pub fn on_signal(&mut self, now: Time, service: Service, owner: NodeId, signal: Signal) {
        let report = Report {
            signal,
            received: now,
        };
        self.services
            .entry(service)
            .or_default()
            .owners
            .insert(owner, report);
    }

    /// Takes in a signal that was true `age` ago and came by way of others; a newer one stays.
    pub fn on_gossip(
        &mut self,
        now: Time,
        service: Service,
        owner: NodeId,
        signal: Signal,
        age: Duration,
    ) {
        let report = Report {
            signal,
            received: now.before(age),
        };
        let owners = &mut self.services.entry(service).or_default().owners;
        let known = owners.entry(owner).or_insert(report);
        if known.received < report.received {
            *known = report;
        }
    }

    /// Takes in that a chain which entered by `route` called `service`.
    pub fn on_visit(&mut self, now: Time, route: Route, service: Service) {
        if self.paths.contains_key(&route) || self.paths.len() < self.opts.max_routes {
            self.paths.entry(route).or_default().insert(service, now);
        }
    }

    /// Forgets an owner that is gone.
    pub fn on_owner_left(&mut self, owner: NodeId) {
        self.services.values_mut().for_each(|watch| {
            watch.owners.remove(&owner);
        });
    }

    /// Drops signals and paths that are too old; to be called about once a second.
    pub fn tick(&mut self, now: Time) {
        let opts = &self.opts;
        for watch in self.services.values_mut() {
            watch
                .owners
                .retain(|_, r| now.since(r.received) <= opts.signal_age);
        }
        for path in self.paths.values_mut() {
            path.retain(|_, seen| now.since(*seen) <= opts.path_age);
        }
        self.paths.retain(|_, path| !path.is_empty());
    }

    /// Decides on a caller's request, once and at once.
    ///
    /// Protected requests always pass: only an owner's queue, which has given up everything else
    /// first, may shed one.
    ///
    /// # Errors
    ///
    /// A not-run refusal with a jittered time to come back, when a service on the route's path
    /// asks for shedding of this priority.
    pub fn admit(&mut self, now: Time, req: Request, rng: &mut Rng) -> Result<(), Refusal> {
        self.demand
            .on_request(now, req.priority, req.workspace, req.weight);
        let services = self.services_on(req.route);
        let level = self.highest_level(now, &services);
        let is_passed = req.priority.is_protected() || !self.is_shed(&req, level, rng);
        if is_passed || self.is_probe(now, &services, level) {
            self.on_passed(now, &services);
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Shed).retry_after(jittered(self.opts.retry_after, rng)))
    }

    /// Sheds what is below the threshold, and at the threshold first from the workspaces that ask
    /// for most by their weight.
    fn is_shed(&mut self, req: &Request, level: Level, rng: &mut Rng) -> bool {
        match req.priority.cmp(&level.threshold) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => {
                rng.f64() >= self.demand.part(req.priority, req.workspace, level.share)
            }
        }
    }

    fn services_on(&self, route: Route) -> Vec<Service> {
        let path = self.paths.get(&route);
        path.map(|path| path.keys().copied().collect())
            .unwrap_or_default()
    }

    fn highest_level(&mut self, now: Time, services: &[Service]) -> Level {
        let mut highest = Level::OPEN;
        for service in services {
            if let Some(watch) = self.services.get_mut(service) {
                highest = highest.max(watch.steady_level(now, &self.opts));
            }
        }
        highest
    }

    /// Whether a request passes against the level because nothing else would bring news. Where
    /// protected requests are being shed none does.
    fn is_probe(&self, now: Time, services: &[Service], level: Level) -> bool {
        let mut watches = services
            .iter()
            .filter_map(|service| self.services.get(service));
        !level.threshold.is_protected() && watches.all(|watch| watch.is_silent(now, &self.opts))
    }

    fn on_passed(&mut self, now: Time, services: &[Service]) {
        for service in services {
            if let Some(watch) = self.services.get_mut(service) {
                watch.last_passed = Some(now);
            }
        }
    }
}

/// A time between `base` and twice `base`, so that callers do not come back together.
#[must_use]
pub fn jittered(base: Duration, rng: &mut Rng) -> Duration {
    base.mul_f64(1.0 + rng.f64())
}
