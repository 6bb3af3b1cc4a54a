//! Chooses a server of one service.

use cassiashunt_types::prelude::*;
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::{
    Candidate, Outcome, OwnerReport, Presence, ServerKey,
    ejection::{Passed, State},
    outliers::{Suspect, outliers},
    server::Server,
};

/// The bounds of a server's pace: the users' servers differ threefold.
const LEAST_PACE: f64 = 0.3;
const MOST_PACE: f64 = 3.0;

/// How a server is picked among those that may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The better of two drawn at random.
    #[default]
    TwoChoices,
    /// The best of all.
    Least,
    /// Any, by its weight.
    Random,
}

/// Settings of the choice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The failure domain of this node.
    pub domain: Option<FailureDomain>,
    /// How a server is picked.
    pub policy: Policy,
    /// What it costs to cross to another failure domain, in parts of a server's slots: a server
    /// in the own domain is preferred until it is more loaded by so much.
    pub crossing_cost: f64,
    /// The age at which an owner's reported load counts half.
    pub report_half_life: Duration,
    /// What a server's pace weighs beside its free slots: one that takes twice the usual time counts
    /// as more loaded by so much. Zero for no preference.
    pub pace_weight: f64,
    /// The time over which a cold server, or one back from ejection, comes to its full share.
    pub warm_up: Duration,
    /// The first ejection time; each further one in a row is twice as long.
    pub ejection: Duration,
    /// The largest share of a service's servers that may be ejected at once.
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
            warm_up: Duration::from_secs(10),
            ejection: Duration::from_secs(5),
            max_ejected: 0.34,
        }
    }
}

/// The candidate servers of one service.
#[derive(Debug)]
pub struct Chooser {
    opts: Options,
    servers: SlotMap<ServerKey, Server>,
}

impl Chooser {
    /// A chooser without candidates.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            servers: SlotMap::with_key(),
        }
    }

    /// Takes in a server that announced itself.
    pub fn add(&mut self, now: Time, candidate: Candidate) -> ServerKey {
        self.servers.insert(Server::new(now, candidate))
    }

    /// Forgets a server that is gone; its key is never used again.
    pub fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
        self.set_outliers();
    }

    /// Takes in whether a server may be given work.
    pub fn set_presence(&mut self, key: ServerKey, presence: Presence) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut server.presence, presence) != presence {
            self.set_outliers();
        }
    }

    /// Takes in newly announced slots.
    pub fn set_slots(&mut self, key: ServerKey, slots: u32) {
        if let Some(server) = self.servers.get_mut(key) {
            server.candidate.slots = slots;
        }
    }

    /// Takes in the time that a server takes for its requests, over the mean of its service.
    pub fn set_pace(&mut self, key: ServerKey, pace: f64) {
        if let Some(server) = self.servers.get_mut(key) {
            server.pace = pace.clamp(LEAST_PACE, MOST_PACE);
        }
    }

    /// What was announced of a server.
    #[must_use]
    pub fn candidate(&self, key: ServerKey) -> Option<&Candidate> {
        self.servers.get(key).map(|server| &server.candidate)
    }

    /// Takes in the load that an owner reported with an answer or in gossip, in 128ths of its
    /// concurrency limit.
    pub fn on_load(&mut self, now: Time, key: ServerKey, load: u8) {
        if let Some(server) = self.servers.get_mut(key) {
            server.on_report(now, load);
        }
    }

    /// Takes in what an owner reported of its server's load and failures, and returns the servers
    /// that are left out from now on, or no longer.
    pub fn on_report(&mut self, now: Time, key: ServerKey, report: OwnerReport) -> Vec<ServerKey> {
        self.on_load(now, key, report.load);
        let Some(server) = self.servers.get_mut(key) else {
            return Vec::new();
        };
        if std::mem::replace(&mut server.failure_rate, report.failure_rate) == report.failure_rate {
            return Vec::new();
        }
        self.set_outliers()
    }

    /// Whether a server gets no work while others can take it, since it fails more often than they.
    #[must_use]
    pub fn is_outlier(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_some_and(|server| server.is_outlier)
    }

    /// The share of a server's runs that failed lately, as its owner told.
    #[must_use]
    pub fn failure_rate(&self, key: ServerKey) -> f64 {
        let server = self.servers.get(key);
        server.map_or(0.0, |server| f64::from(server.failure_rate) / 255.0)
    }

    /// Chooses a server that is not in `tried`, and counts the request as in flight there until
    /// [`done`](Self::done).
    pub fn choose(&mut self, now: Time, tried: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let eligible = self.eligible(now, tried);
        let key = self.pick(now, &eligible, rng)?;
        self.servers[key].in_flight += 1;
        Some(key)
    }

    /// Takes in how a request that was in flight ended. Call [`on_load`](Self::on_load) after it
    /// with the load that came with the answer.
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

    /// Servers that may be given work now.
    #[must_use]
    pub fn available(&self, now: Time) -> usize {
        self.eligible(now, &[]).len()
    }

    /// Servers that are ejected now.
    #[must_use]
    pub fn ejected(&self, now: Time) -> usize {
        self.servers
            .values()
            .filter(|server| is_out(now, server))
            .count()
    }

    fn set_outliers(&mut self) -> Vec<ServerKey> {
        let serving = self.servers.iter();
        let serving = serving.filter(|(_, server)| server.presence == Presence::Serving);
        let suspects = serving.map(|(key, server)| Suspect {
            key,
            failure_rate: server.failure_rate,
            is_out: server.is_outlier,
        });
        let out = outliers(suspects.collect());
        let mut changed = Vec::new();
        for (key, server) in &mut self.servers {
            let is_outlier = out.contains(&key);
            if std::mem::replace(&mut server.is_outlier, is_outlier) != is_outlier {
                changed.push(key);
            }
        }
        changed
    }

    fn on_success(&mut self, now: Time, key: ServerKey) {
        let server = &mut self.servers[key];
        if server.ejection.on_success(now) == Passed::Yes {
            server.warm_up_again(now);
        }
    }

    fn on_failure(&mut self, now: Time, key: ServerKey) {
        let may_eject = self.may_eject_another(now, key);
        let server = &mut self.servers[key];
        server.ejection.on_failure();
        if may_eject && server.ejection.is_outlier(now) {
            server.ejection.eject(now, self.opts.ejection);
        }
    }

    /// Whether the share of ejected servers stays under its cap with one more. One of two or more
    /// may always be ejected.
    fn may_eject_another(&self, now: Time, key: ServerKey) -> bool {
        let others = self.servers.iter().filter(|(other, _)| *other != key);
        let out = others.filter(|(_, server)| is_out(now, server)).count();
        let cap = (self.servers.len() as f64 * self.opts.max_ejected) as usize;
        self.servers.len() > 1 && out < cap.max(1)
    }

    fn eligible(&self, now: Time, tried: &[ServerKey]) -> Vec<ServerKey> {
        let servers = self.servers.iter();
        let eligible =
            servers.filter(|(key, server)| !tried.contains(key) && may_take(now, server));
        let (outliers, sound): (Vec<_>, Vec<_>) =
            eligible.partition(|(_, server)| server.is_outlier);
        let chosen = if sound.is_empty() { outliers } else { sound };
        chosen.into_iter().map(|(key, _)| key).collect()
    }

    fn pick(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        match self.opts.policy {
            Policy::TwoChoices => self.better_of_two(now, eligible, rng),
            Policy::Least => self.least(now, eligible, rng),
            Policy::Random => self.draw(now, eligible, rng),
        }
    }

    fn better_of_two(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let first = self.draw(now, eligible, rng)?;
        let rest: Vec<_> = eligible
            .iter()
            .copied()
            .filter(|key| *key != first)
            .collect();
        let Some(second) = self.draw(now, &rest, rng) else {
            return Some(first);
        };
        let is_better = self.cost(now, second) < self.cost(now, first);
        Some(if is_better { second } else { first })
    }

    fn least(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let mut shuffled = eligible.to_vec();
        rng.shuffle(&mut shuffled);
        shuffled
            .into_iter()
            .min_by(|a, b| self.cost(now, *a).total_cmp(&self.cost(now, *b)))
    }

    /// Draws a server by slots and warmth.
    fn draw(&self, now: Time, eligible: &[ServerKey], rng: &mut Rng) -> Option<ServerKey> {
        let total: f64 = eligible.iter().map(|key| self.share(now, *key)).sum();
        let mut at = rng.f64() * total;
        for key in eligible {
            at -= self.share(now, *key);
            if at <= 0.0 {
                return Some(*key);
            }
        }
        eligible.last().copied()
    }

    fn share(&self, now: Time, key: ServerKey) -> f64 {
        let server = &self.servers[key];
        f64::from(server.candidate.slots.max(1)) * server.weight(now, self.opts.warm_up)
    }

    /// The utilisation with one more request, for the share of work that the server is to be
    /// given, and the cost of crossing to it.
    fn cost(&self, now: Time, key: ServerKey) -> f64 {
        let server = &self.servers[key];
        let one = 1.0 / f64::from(server.candidate.slots.max(1));
        let busy = server.utilisation(now, self.opts.report_half_life) + one;
        // A quick server is preferred while it has free slots; its queue is not.
        let pace = self.opts.pace_weight * (server.pace - 1.0) * (1.0 - busy).max(0.0);
        busy / server.weight(now, self.opts.warm_up) + self.crossing(server) + pace
    }

    fn crossing(&self, server: &Server) -> f64 {
        let is_near = self
            .opts
            .domain
            .is_none_or(|own| own == server.candidate.domain);
        if is_near {
            0.0
        } else {
            self.opts.crossing_cost
        }
    }
}

fn is_out(now: Time, server: &Server) -> bool {
    matches!(server.ejection.state(now), State::Out { .. })
}

fn may_take(now: Time, server: &Server) -> bool {
    let may_be_used = match server.ejection.state(now) {
        State::In => true,
        State::Out { .. } => false,
        State::Probation => server.in_flight == 0,
    };
    server.presence == Presence::Serving && may_be_used
}
