//! Refuses requests at ingress, before their chain of calls starts, by the overload signals of the
//! owners on the chain's path.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, HashMap},
};

use cassiashunt_types::prelude::*;
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::{Level, Priority, Signal, workspace_demand::WorkspaceDemand};

/// Settings of shedding at ingress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The age above which a signal is discarded.
    pub signal_age: Duration,
    /// The half-life of the share in a signal.
    pub half_life: Duration,
    /// How long a service stays on a route's path after the last call of a chain to it.
    pub path_age: Duration,
    /// The share, in 256ths, above which shedding at the threshold begins.
    pub enter_share: u8,
    /// The share, in 256ths, at which shedding at the threshold ends.
    pub leave_share: u8,
    /// The time after the last admitted request at which a probe is admitted to a service that asks
    /// for shedding.
    pub probe_interval: Duration,
    /// The shortest retry-after delay of a refusal; the longest is twice as long.
    pub retry_after: Duration,
    /// The maximum number of routes whose paths are tracked.
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

/// A client's request before its chain starts.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// The route that it calls.
    pub route: Route,
    /// The priority of its class.
    pub priority: Priority,
    /// The workspace that the request belongs to.
    pub workspace: Workspace,
    /// The workspace's weight in the fair share among workspaces; zero counts as one.
    pub weight: u32,
}

/// Sheds requests at one ingress.
#[derive(Debug)]
pub struct Ingress {
    opts: Options,
    services: BTreeMap<Service, ServiceState>,
    paths: HashMap<Route, BTreeMap<Service, Time>>,
    demand: WorkspaceDemand,
}

/// The signals of one service, and the state of shedding for it.
#[derive(Debug, Default)]
struct ServiceState {
    owners: BTreeMap<NodeId, SignalReport>,
    is_shedding: bool,
    last_admitted: Option<Time>,
}

#[derive(Debug, Clone, Copy)]
struct SignalReport {
    signal: Signal,
    received: Time,
}

impl ServiceState {
    /// The lower median of the owners' levels, which is robust against a single outlier.
    fn median_level(&self, now: Time, opts: &Options) -> Level {
        let fresh = self
            .owners
            .values()
            .filter(|report| now.since(report.received) <= opts.signal_age);
        let mut levels: Vec<_> = fresh
            .map(|report| decayed_level(now, report, opts))
            .collect();
        levels.sort_unstable();
        let middle = levels.len().saturating_sub(1) / 2;
        levels.get(middle).copied().unwrap_or(Level::OPEN)
    }

    /// The median level, with hysteresis on its share.
    fn level_with_hysteresis(&mut self, now: Time, opts: &Options) -> Level {
        let level = self.median_level(now, opts);
        let min_share = if self.is_shedding {
            opts.leave_share
        } else {
            opts.enter_share
        };
        self.is_shedding = level.share > min_share;
        let share = if self.is_shedding { level.share } else { 0 };
        Level { share, ..level }
    }

    fn is_probe_due(&self, now: Time, opts: &Options) -> bool {
        self.last_admitted
            .is_none_or(|admitted| now.since(admitted) >= opts.probe_interval)
    }
}

/// The reported level, with its share halved for each full half-life of its age.
fn decayed_level(now: Time, report: &SignalReport, opts: &Options) -> Level {
    let half_lives = now.since(report.received).as_secs_f64() / opts.half_life.as_secs_f64();
    let share = f64::from(report.signal.level.share) * 0.5_f64.powf(half_lives.floor());
    Level {
        share: share as u8,
        ..report.signal.level
    }
}

impl Ingress {
    /// Creates an ingress without signals.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            services: BTreeMap::new(),
            paths: HashMap::new(),
            demand: WorkspaceDemand::default(),
        }
    }

    /// Records an owner's signal as of `now`, from an answer or from gossip.
    pub fn on_signal(&mut self, now: Time, service: Service, owner: NodeId, signal: Signal) {
        let report = SignalReport {
            signal,
            received: now,
        };
        self.services
            .entry(service)
            .or_default()
            .owners
            .insert(owner, report);
    }

    /// Records a signal of age `age` that was received by gossip, unless a newer one is known.
    pub fn on_gossip(
        &mut self,
        now: Time,
        service: Service,
        owner: NodeId,
        signal: Signal,
        age: Duration,
    ) {
        let report = SignalReport {
            signal,
            received: now.before(age),
        };
        let owners = &mut self.services.entry(service).or_default().owners;
        let known = owners.entry(owner).or_insert(report);
        if known.received < report.received {
            *known = report;
        }
    }

    /// Records that a chain which entered by `route` called `service`.
    pub fn on_visit(&mut self, now: Time, route: Route, service: Service) {
        if self.paths.contains_key(&route) || self.paths.len() < self.opts.max_routes {
            self.paths.entry(route).or_default().insert(service, now);
        }
    }

    /// Removes the signals of an owner that has left.
    pub fn on_owner_left(&mut self, owner: NodeId) {
        self.services.values_mut().for_each(|state| {
            state.owners.remove(&owner);
        });
    }

    /// Discards signals and paths that are too old. To be called about once a second.
    pub fn tick(&mut self, now: Time) {
        let opts = &self.opts;
        for state in self.services.values_mut() {
            state
                .owners
                .retain(|_, report| now.since(report.received) <= opts.signal_age);
        }
        for path in self.paths.values_mut() {
            path.retain(|_, seen| now.since(*seen) <= opts.path_age);
        }
        self.paths.retain(|_, path| !path.is_empty());
    }

    /// Admits or refuses a client's request. To be called once for each request.
    ///
    /// Protected requests are always admitted: only an owner's queue may shed one, after it has
    /// shed all others.
    ///
    /// # Errors
    ///
    /// A not-run refusal with a jittered retry-after delay, if a service on the route's path asks
    /// for shedding of this priority.
    pub fn admit(&mut self, now: Time, req: Request, rng: &mut Rng) -> Result<(), Refusal> {
        self.demand
            .on_request(now, req.priority, req.workspace, req.weight);
        let services = self.services_on(req.route);
        let level = self.highest_level(now, &services);
        let is_admitted = req.priority.is_protected() || !self.is_shed(&req, level, rng);
        if is_admitted || self.is_probe(now, &services, level) {
            self.on_admitted(now, &services);
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Shed).retry_after(jittered(self.opts.retry_after, rng)))
    }

    /// Sheds all requests below the threshold, and at the threshold first those of the workspaces
    /// with the largest demand for their weight.
    fn is_shed(&mut self, req: &Request, level: Level, rng: &mut Rng) -> bool {
        match req.priority.cmp(&level.threshold) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => {
                rng.f64()
                    >= self
                        .demand
                        .admitted_fraction(req.priority, req.workspace, level.share)
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
            if let Some(state) = self.services.get_mut(service) {
                highest = highest.max(state.level_with_hysteresis(now, &self.opts));
            }
        }
        highest
    }

    /// Whether a request is admitted in spite of the level because no other request would bring
    /// back a new signal. There are no probes while protected requests are shed.
    fn is_probe(&self, now: Time, services: &[Service], level: Level) -> bool {
        let mut states = services
            .iter()
            .filter_map(|service| self.services.get(service));
        !level.threshold.is_protected() && states.all(|state| state.is_probe_due(now, &self.opts))
    }

    fn on_admitted(&mut self, now: Time, services: &[Service]) {
        for service in services {
            if let Some(state) = self.services.get_mut(service) {
                state.last_admitted = Some(now);
            }
        }
    }
}

/// A random delay between `base` and twice `base`, so that callers do not retry together.
#[must_use]
pub fn jittered(base: Duration, rng: &mut Rng) -> Duration {
    base.mul_f64(1.0 + rng.f64())
}
