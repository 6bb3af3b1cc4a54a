//! Choice of a server among those of one service.

use cassiashunt_types::prelude::*;
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::{
    Candidate, Outcome, OwnerReport, Pace, Presence, ServerKey,
    ejection::{ProbationPassed, State},
    outliers::{RatedServer, outliers},
    server::Server,
};

/// The bounds of a server's pace: the platform's servers differ in speed by a factor of three.
const MIN_PACE: f64 = 0.3;
const MAX_PACE: f64 = 3.0;
/// How far a server's utilisation is from the reported one.
const UTILISATION_SPREAD: f64 = 0.1;

/// How a server is picked among the eligible ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The one with the lower cost of two servers drawn at random by weight.
    #[default]
    TwoChoices,
    /// The server with the lowest cost of all.
    Least,
    /// One server drawn at random by weight.
    Random,
}

/// Settings of the choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The failure domain of this node; `None` to ignore failure domains.
    pub domain: Option<FailureDomain>,
    /// How a server is picked.
    pub policy: Policy,
    /// The cost of a call to another failure domain, as a fraction of a server's slots: a server in
    /// the local domain is preferred until its utilisation is higher by this amount.
    pub crossing_cost: f64,
    /// The age at which an owner's reported load has half its weight.
    pub report_half_life: Duration,
    /// The weight of a server's pace relative to its utilisation: a server with twice the mean
    /// service time counts as more utilised by this amount. Zero ignores the pace.
    pub pace_weight: f64,
    /// The utilisation up to which a server in the local domain is taken before those of others, where
    /// owners state how long work takes.
    pub local_room: f64,
    /// The pace up to which it is.
    pub max_local_pace: f64,
    /// The time over which a cold server, or one that passed its probation, ramps up to its full
    /// share.
    pub warm_up: Duration,
    /// The duration of a first ejection; it doubles with each ejection without a passed probation
    /// in between.
    pub ejection: Duration,
    /// The maximum fraction of a service's servers that may be ejected at the same time.
    pub max_ejected: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            domain: None,
            policy: Policy::default(),
            crossing_cost: 0.1,
            report_half_life: Duration::from_secs(2),
            pace_weight: 0.0,
            local_room: 0.8,
            max_local_pace: 2.0,
            warm_up: Duration::from_secs(10),
            ejection: Duration::from_secs(5),
            max_ejected: 0.34,
        }
    }
}

/// How a server stands in the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// The server.
    pub key: ServerKey,
    /// The share of its slots that is in use.
    pub utilisation: f64,
    /// What [`Policy::Least`] minimizes.
    pub cost: f64,
    /// Why it is not chosen; `None` if it may be.
    pub left_out: Option<&'static str>,
}

/// The candidate servers of one service.
#[derive(Debug)]
pub struct Chooser {
    opts: Options,
    servers: SlotMap<ServerKey, Server>,
    /// Whether owners state how long work takes. Servers are then chosen by the expected time to
    /// completion.
    is_timed: bool,
}

impl Chooser {
    /// A chooser without candidates.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            servers: SlotMap::with_key(),
            is_timed: false,
        }
    }

    /// Adds a server that announced itself.
    pub fn add(&mut self, now: Time, candidate: Candidate) -> ServerKey {
        self.servers.insert(Server::new(now, candidate))
    }

    /// Removes a server; its key is never reused.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
        self.update_outliers();
    }

    /// Sets whether a server may receive requests; after [`Chooser::drain`] it does not change.
    pub fn set_presence(&mut self, key: ServerKey, presence: Presence) {
        let Some(server) = self.servers.get_mut(key).filter(|s| !s.is_leaving) else {
            return;
        };
        if std::mem::replace(&mut server.presence, presence) != presence {
            self.update_outliers();
        }
    }

    /// Takes in that a server's owner takes no more work, for good.
    pub fn drain(&mut self, key: ServerKey) {
        self.set_presence(key, Presence::Draining);
        if let Some(server) = self.servers.get_mut(key) {
            server.is_leaving = true;
        }
    }

    /// Sets the number of slots that a server announces.
    pub fn set_slots(&mut self, key: ServerKey, slots: u32) {
        if let Some(server) = self.servers.get_mut(key) {
            server.candidate.slots = slots;
        }
    }

    /// Sets a server's pace: its mean service time divided by that of its service.
    pub fn set_pace(&mut self, key: ServerKey, pace: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.pace = pace.clamp(MIN_PACE, MAX_PACE);
        }
    }

    /// The announced properties of a server; `None` where it was removed.
    #[must_use]
    pub fn candidate(&self, key: ServerKey) -> Option<&Candidate> {
        self.servers.get(key).map(|server| &server.candidate)
    }

    /// Records the load that an owner reported with an answer or in gossip, in 128ths of its
    /// concurrency limit.
    pub fn on_load(&mut self, now: Time, key: ServerKey, load: u8) {
        if let Some(server) = self.servers.get_mut(key) {
            server.on_load(now, load);
        }
    }

    /// Records an owner's report on its server's load and failure rate, and returns the servers
    /// that it excludes or readmits.
    pub fn on_report(&mut self, now: Time, key: ServerKey, report: OwnerReport) -> Vec<ServerKey> {
        self.on_load(now, key, report.load);
        let Some(server) = self.servers.get_mut(key) else {
            return Vec::new();
        };
        server.on_pace(now, report);
        self.is_timed |= report.pace != Pace::UNKNOWN;
        let server = &mut self.servers[key];
        if std::mem::replace(&mut server.failure_rate, report.failure_rate) == report.failure_rate {
            return Vec::new();
        }
        self.update_outliers()
    }

    /// Whether a server is excluded while others are eligible, because it fails more often than its
    /// peers.
    #[must_use]
    pub fn is_outlier(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_some_and(|server| server.is_outlier)
    }

    /// The share of a server's recent runs that failed, as reported by its owner.
    #[must_use]
    pub fn failure_rate(&self, key: ServerKey) -> f64 {
        let server = self.servers.get(key);
        server.map_or(0.0, |server| f64::from(server.failure_rate) / 255.0)
    }

    /// Chooses a server that is not in `tried`, and counts the request as in flight there until
    /// [`done`](Self::done).
    pub fn choose(&mut self, now: Time, tried: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let mut eligible = self.eligible(now, tried);
        if self.is_timed && eligible.iter().any(|key| self.has_local_room(now, *key)) {
            eligible.retain(|key| self.has_local_room(now, *key));
        }
        let key = self.pick(now, &eligible, rng)?;
        self.servers[key].in_flight += 1;
        Some(key)
    }

    /// Records how a request that was in flight ended. Call [`on_load`](Self::on_load) afterwards
    /// with the load reported in the answer.
    pub fn done(&mut self, now: Time, key: ServerKey, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Served => self.on_success(now, key),
            Outcome::Failed => self.on_failure(now, key),
            Outcome::Refused | Outcome::Cancelled => {}
        }
    }

    /// The number of servers that may receive requests at `now`.
    #[must_use]
    pub fn available(&self, now: Time) -> usize {
        self.eligible(now, &[]).len()
    }

    /// The number of servers that are ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Time) -> usize {
        self.servers
            .values()
            .filter(|server| is_ejected(now, server))
            .count()
    }

    /// How each server stands in the choice. Changes nothing.
    #[must_use]
    pub fn standings(&self, now: Time) -> Vec<Standing> {
        let eligible = self.eligible(now, &[]);
        let servers = self.servers.iter();
        let standings = servers.map(|(key, server)| Standing {
            key,
            utilisation: server.utilisation(now, self.opts.report_half_life),
            cost: self.cost(now, key),
            left_out: (!eligible.contains(&key)).then(|| match server.presence {
                Presence::Draining => "it takes no more work",
                Presence::Unreachable => "its node can't be reached",
                Presence::Serving if server.is_outlier => "it fails more than its peers",
                Presence::Serving if is_ejected(now, server) => {
                    "it failed several requests in a row"
                }
                Presence::Serving => "it is tried with one request at a time",
            }),
        });
        standings.collect()
    }

    fn update_outliers(&mut self) -> Vec<ServerKey> {
        let serving = self.servers.iter();
        let serving = serving.filter(|(_, server)| server.presence == Presence::Serving);
        let rated = serving.map(|(key, server)| RatedServer {
            key,
            failure_rate: server.failure_rate,
            was_outlier: server.is_outlier,
        });
        let excluded = outliers(rated.collect());
        let mut changed = Vec::new();
        for (key, server) in &mut self.servers {
            let is_outlier = excluded.contains(&key);
            if std::mem::replace(&mut server.is_outlier, is_outlier) != is_outlier {
                changed.push(key);
            }
        }
        changed
    }

    fn on_success(&mut self, now: Time, key: ServerKey) {
        let server = &mut self.servers[key];
        if server.ejection.on_success(now) == ProbationPassed::Yes {
            server.restart_warm_up(now);
        }
    }

    fn on_failure(&mut self, now: Time, key: ServerKey) {
        let may_eject = self.may_eject_another(now, key);
        let server = &mut self.servers[key];
        server.ejection.on_failure();
        if may_eject && server.ejection.should_eject(now) {
            server.ejection.eject(now, self.opts.ejection);
        }
    }

    /// Whether one more ejection keeps the fraction of ejected servers within its maximum. One of
    /// two or more servers may always be ejected.
    fn may_eject_another(&self, now: Time, key: ServerKey) -> bool {
        let others = self.servers.iter().filter(|(other, _)| *other != key);
        let ejected = others.filter(|(_, server)| is_ejected(now, server)).count();
        let cap = (self.servers.len() as f64 * self.opts.max_ejected) as usize;
        self.servers.len() > 1 && ejected < cap.max(1)
    }

    fn eligible(&self, now: Time, tried: &[ServerKey]) -> Vec<ServerKey> {
        let servers = self.servers.iter();
        let eligible =
            servers.filter(|(key, server)| !tried.contains(key) && is_selectable(now, server));
        let (outliers, healthy): (Vec<_>, Vec<_>) =
            eligible.partition(|(_, server)| server.is_outlier);
        let preferred = if healthy.is_empty() {
            outliers
        } else {
            healthy
        };
        preferred.into_iter().map(|(key, _)| key).collect()
    }

    fn pick(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        match self.opts.policy {
            _ if self.is_timed => self.better_of_two(now, eligible, rng),
            Policy::TwoChoices => self.better_of_two(now, eligible, rng),
            Policy::Least => self.least_loaded(now, eligible, rng),
            Policy::Random => self.draw_weighted(now, eligible, rng),
        }
    }

    fn better_of_two(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let first = self.draw_weighted(now, eligible, rng)?;
        let others: Vec<_> = eligible
            .iter()
            .copied()
            .filter(|key| *key != first)
            .collect();
        let Some(second) = self.draw_weighted(now, &others, rng) else {
            return Some(first);
        };
        let is_better = self.cost(now, second) < self.cost(now, first);
        Some(if is_better { second } else { first })
    }

    fn least_loaded(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let mut shuffled = eligible.to_vec();
        rng.shuffle(&mut shuffled);
        shuffled
            .into_iter()
            .min_by(|a, b| self.cost(now, *a).total_cmp(&self.cost(now, *b)))
    }

    /// Draws a server at random, weighted by its slots and its warm-up.
    fn draw_weighted(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let total: f64 = eligible
            .iter()
            .map(|key| self.selection_weight(now, *key))
            .sum();
        let mut remaining = rng.f64() * total;
        for key in eligible {
            remaining -= self.selection_weight(now, *key);
            if remaining <= 0.0 {
                return Some(*key);
            }
        }
        eligible.last().copied()
    }

    fn selection_weight(&self, now: Time, key: ServerKey) -> f64 {
        let server = &self.servers[key];
        f64::from(server.candidate.slots.max(1)) * server.warm_up_fraction(now, self.opts.warm_up)
    }

    /// The utilisation with one more request, divided by the warm-up fraction, plus the costs of
    /// another failure domain and of the server's pace.
    fn cost(&self, now: Time, key: ServerKey) -> f64 {
        let server = &self.servers[key];
        let utilisation = self.utilisation(now, server);
        let time_cost = if self.is_timed {
            server.pace(now) * (1.0 + expected_wait(utilisation))
        } else {
            // A fast server is preferred only while it has free slots, not for queued requests.
            self.opts.pace_weight * (server.pace - 1.0) * (1.0 - utilisation).max(0.0)
        };
        utilisation / server.warm_up_fraction(now, self.opts.warm_up)
            + self.crossing_cost(server)
            + time_cost
    }

    /// The utilisation with one more request.
    fn utilisation(&self, now: Time, server: &Server) -> f64 {
        let one_request = 1.0 / f64::from(server.candidate.slots.max(1));
        server.utilisation(now, self.opts.report_half_life) + one_request
    }

    fn is_local(&self, server: &Server) -> bool {
        let own = self.opts.domain;
        own.is_none_or(|own| own == server.candidate.domain)
    }

    /// Whether a server of the local domain would start a request at once and is not slow.
    fn has_local_room(&self, now: Time, key: ServerKey) -> bool {
        let server = &self.servers[key];
        let utilisation = self.utilisation(now, server);
        self.opts.domain == Some(server.candidate.domain)
            && utilisation <= self.opts.local_room * server.warm_up_fraction(now, self.opts.warm_up)
            && server.pace(now) <= self.opts.max_local_pace
    }

    fn crossing_cost(&self, server: &Server) -> f64 {
        if self.is_local(server) {
            0.0
        } else {
            self.opts.crossing_cost
        }
    }
}

/// The time that a request waits for a slot, in runs of its server. Reports are as uncertain as
/// `UTILISATION_SPREAD`, so that a server that seems to be nearly full may be full.
fn expected_wait(utilisation: f64) -> f64 {
    UTILISATION_SPREAD * ((utilisation - 1.0) / UTILISATION_SPREAD).exp().ln_1p()
}

fn is_ejected(now: Time, server: &Server) -> bool {
    matches!(server.ejection.state(now), State::Ejected { .. })
}

fn is_selectable(now: Time, server: &Server) -> bool {
    let is_admitted = match server.ejection.state(now) {
        State::Active => true,
        State::Ejected { .. } => false,
        State::Probation => server.in_flight == 0,
    };
    server.presence == Presence::Serving && is_admitted
}
