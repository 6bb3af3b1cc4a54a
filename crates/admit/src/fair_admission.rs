//! Who is admitted where a priority fits only partly, and when who is refused may come back.
//!
//! The fraction that fits is decided for the fleet; this part distributes it at one node. Its sum is
//! that fraction, whoever gets it: each request adds its workspace's fraction to the credit of its
//! pool, and each admitted one takes one off. Who comes back may borrow from what newcomers would get.

use std::collections::HashMap;

use cassiashunt_types::prelude::*;
use fastrand::Rng;

use crate::{
    Priority,
    retry_after::{RetryAfter, TimeLeft, Why, jittered_retry_after, retry_after},
    returns::Returns,
    room_forecast::RoomForecast,
    workspace_shares::WorkspaceShares,
};

/// Settings of the distribution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The most that returns may borrow in a pool, in requests. Zero gives them no place before
    /// newcomers.
    pub max_debt: f64,
    /// Returns that may be let in out of turn for each newcomer let in.
    pub max_lead: f64,
    /// Whether workspaces share by weighted max-min fairness, or all have the overall fraction.
    pub by_workspace: bool,
    /// Fingerprints of refused requests that are kept.
    pub max_returns: usize,
    /// Pools that are kept; requests of further ones are admitted by chance.
    pub max_pools: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_debt: 1.0,
            max_lead: 1.0,
            by_workspace: true,
            max_returns: 4_096,
            max_pools: 1_024,
        }
    }
}

/// The admitted fraction below which nothing is lent: it would hardly be paid back.
const MIN_LENT_FRACTION: f64 = 0.1;
/// The fraction of a workspace, as part of the overall one, below which it may not borrow: it is over
/// its share, and others would pay.
const MIN_BORROWER_SHARE: f64 = 0.5;
/// The most that a pool may be ahead with returns out of turn.
const MAX_LENT: f64 = 2.0;
/// The part of a pool's room that returns can count on.
const RETURN_SHARE: f64 = 0.5;
/// The part of the drift that each request makes up for.
const DRIFT_GAIN: f64 = 0.05;
/// The time constant of the rate of a pool's requests.
const RATE_TIME: Duration = Duration::from_secs(1);

/// What a client asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Its route.
    pub route: Route,
    /// Its priority.
    pub priority: Priority,
    /// Its workspace, if it has one.
    pub workspace: Option<Workspace>,
    /// The same for all attempts of one request.
    pub fingerprint: u64,
}

impl Arrival {
    fn pool(&self) -> PoolKey {
        (self.route, self.priority)
    }
}

/// A decision on an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Whether it is let in.
    pub is_admitted: bool,
    /// Whether it was refused before, and comes back when told.
    pub is_return: bool,
}

type PoolKey = (Route, Priority);

#[derive(Debug, Default)]
struct Pool {
    credit: f64,
    /// Returns that were let in out of turn, less newcomers let in since.
    lent: f64,
    /// The sum by which the fractions that requests had so far fell short of the overall ones.
    drift: f64,
    fraction: f64,
    requests: f64,
    counted: Time,
    /// The last turn that was given to a return.
    last_turn: Time,
    forecast: RoomForecast,
}

impl Pool {
    fn on_request(&mut self, now: Time, fraction: f64) {
        let elapsed = now.since(self.counted).as_secs_f64();
        self.counted = now;
        self.requests *= (-elapsed / RATE_TIME.as_secs_f64()).exp();
        self.requests += 1.0;
        self.fraction = fraction;
        self.forecast.observe(now, fraction);
    }

    /// Adds a request's fraction to the credit. Shares are estimates, so their mean is corrected towards
    /// the overall fraction.
    fn add_credit(&mut self, own: f64, overall: f64) {
        let applied = (own + DRIFT_GAIN * self.drift).clamp(0.0, 1.0);
        self.drift = (self.drift + overall - applied).clamp(-1.0 / DRIFT_GAIN, 1.0 / DRIFT_GAIN);
        self.credit += applied;
    }

    /// The turn of a further return: returns follow each other at the rate at which they can be let in.
    fn turn(&self, now: Time) -> Time {
        let per_s = self.requests / RATE_TIME.as_secs_f64() * self.fraction * RETURN_SHARE;
        now.max(self.last_turn) + Duration::from_secs_f64(1.0 / per_s.max(0.001))
    }
}

/// The distribution at one node.
#[derive(Debug)]
pub struct FairAdmission {
    opts: Options,
    pools: HashMap<PoolKey, Pool>,
    shares: WorkspaceShares<PoolKey>,
    returns: Returns,
    rng: Rng,
}

impl FairAdmission {
    /// A distribution without pools.
    #[must_use]
    pub fn new(opts: Options, rng: Rng) -> Self {
        Self {
            pools: HashMap::new(),
            shares: WorkspaceShares::default(),
            returns: Returns::new(opts.max_returns),
            opts,
            rng,
        }
    }

    /// Decides on an arrival. `fraction` is the part of its priority that fits at its bottleneck, `None`
    /// where all fits.
    pub fn on_request(&mut self, now: Time, arrival: &Arrival, fraction: Option<f64>) -> Decision {
        let overall = fraction.unwrap_or(1.0);
        if let Some(workspace) = arrival.workspace {
            let is_short = overall < 1.0;
            self.shares
                .on_request(now, arrival.pool(), workspace, is_short);
        }
        let is_return = self.returns.take(now, arrival.fingerprint);
        let decide = |is_admitted| Decision {
            is_admitted,
            is_return,
        };
        let Some(own) = self.own_fraction(arrival, overall) else {
            return decide(true);
        };
        let is_known = self.pools.contains_key(&arrival.pool());
        if !is_known && self.pools.len() >= self.opts.max_pools {
            return decide(self.rng.f64() < own);
        }
        let rng = &mut self.rng;
        let pool = self.pools.entry(arrival.pool()).or_insert_with(|| Pool {
            // Nodes that begin at the same value would admit and refuse in step.
            credit: rng.f64(),
            ..Pool::default()
        });
        pool.on_request(now, overall);
        if overall >= 1.0 {
            // What was lent is forgiven once there is room for all.
            (pool.credit, pool.lent, pool.drift) = (pool.credit.max(0.0), 0.0, 0.0);
            return decide(true);
        }
        pool.add_credit(own, overall);
        let may_borrow = is_return
            && overall >= MIN_LENT_FRACTION
            && own >= overall * MIN_BORROWER_SHARE
            && pool.lent < MAX_LENT;
        let in_turn = pool.credit >= 1.0;
        let is_admitted = in_turn || may_borrow && pool.credit >= 1.0 - self.opts.max_debt;
        if is_admitted {
            pool.credit -= 1.0;
            if !in_turn {
                pool.lent += 1.0;
            } else if !is_return {
                pool.lent = (pool.lent - self.opts.max_lead).max(0.0);
            }
        }
        decide(is_admitted)
    }

    /// The fraction of the arrival's workspace; `None` if all is admitted and nothing need be kept of it.
    fn own_fraction(&mut self, arrival: &Arrival, overall: f64) -> Option<f64> {
        if overall >= 1.0 {
            return self.pools.contains_key(&arrival.pool()).then_some(1.0);
        }
        let workspace = arrival.workspace.filter(|_| self.opts.by_workspace);
        Some(workspace.map_or(overall, |it| {
            self.shares.fraction(arrival.pool(), it, overall)
        }))
    }

    /// The retry-after delay of a refused arrival, whose place is kept if it is refused for the first
    /// time. `urgency` is 1 for the most urgent and 0 for the least.
    pub fn on_refusal(
        &mut self,
        now: Time,
        arrival: &Arrival,
        is_return: bool,
        left: TimeLeft,
        urgency: f64,
    ) -> RetryAfter {
        let pool = self.pools.get_mut(&arrival.pool());
        let after = if let Some(pool) = pool.filter(|it| it.forecast.is_short()) {
            let turn = pool.turn(now);
            let room_in = pool.forecast.room_in(now);
            let after = retry_after(left, turn.since(now), room_in, urgency, &mut self.rng);
            if after.why == Why::Turn {
                pool.last_turn = turn;
            }
            after
        } else {
            RetryAfter {
                delay: jittered_retry_after(left.limit, &mut self.rng),
                why: Why::Chance,
            }
        };
        if !is_return {
            self.returns
                .on_refusal(now, arrival.fingerprint, after.delay, left.limit);
        }
        after
    }

    /// The fraction of a workspace's requests that would be admitted, if `overall` of all of its route
    /// and priority is. Changes nothing.
    #[must_use]
    pub fn fraction_of(
        &self,
        route: Route,
        priority: Priority,
        workspace: Option<Workspace>,
        overall: f64,
    ) -> f64 {
        workspace
            .filter(|_| self.opts.by_workspace)
            .and_then(|it| self.shares.fraction_now((route, priority), it, overall))
            .unwrap_or(overall)
    }

    /// When room for all is expected on a route at a priority; zero without a shortage.
    #[must_use]
    pub fn room_in(&self, now: Time, route: Route, priority: Priority) -> Duration {
        let pool = self.pools.get(&(route, priority));
        pool.map_or(Duration::ZERO, |it| it.forecast.room_in(now))
    }
}
