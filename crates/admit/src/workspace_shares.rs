//! Divides the room of a route and priority among workspaces, so that a burst is paid by who sends it.
//!
//! A workspace's weight is what it usually sends. Those that send their usual are at the same level;
//! one that sends several times its usual is cut first (weighted max-min fairness).

use std::{
    collections::{BTreeMap, HashMap},
    hash::Hash,
};

use cassiashunt_types::prelude::*;

use crate::max_min::{Demanded, fair_level};

/// The time constant of a workspace's present demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// The time constant of its usual demand.
const USUAL_TIME: Duration = Duration::from_secs(60);
/// The speed at which what is usual is learned in a shortage, relative to other times: a burst that
/// causes a shortage does not soon count as usual.
const LEARNING_IN_SHORTAGE: f64 = 0.125;
/// How often counts decay and fair levels are recalculated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// The standard deviations by which a usual demand varies by chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// The least weight, in requests per second: below it, chance outweighs what is usual.
const MIN_WEIGHT_PER_S: f64 = 0.5;
/// Workspaces that are counted in all pools together; others are admitted at the overall fraction.
const MAX_COUNTS: usize = 8_192;
/// After this time without a request, a pool's counts give way to others once there are too many.
const STALE_TIME: Duration = Duration::from_secs(60);
/// How often stale counts are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// The steps in which fair levels are cached by the overall fraction.
const CACHE_STEPS: f64 = 100.0;

/// The demand of workspaces at one node, by pool: requests that compete for the same room at the same
/// price.
#[derive(Debug)]
pub struct WorkspaceShares<K> {
    pools: HashMap<K, Counts>,
    /// Counts in all pools.
    len: usize,
    swept: Time,
}

impl<K> Default for WorkspaceShares<K> {
    fn default() -> Self {
        Self {
            pools: HashMap::new(),
            len: 0,
            swept: Time::ZERO,
        }
    }
}

#[derive(Debug)]
struct Counts {
    /// The time for which usual counts were learned.
    learned: Duration,
    refreshed: Time,
    by_workspace: HashMap<Workspace, Count>,
    /// Fair levels by the overall fraction, in steps; emptied by a refresh.
    levels: BTreeMap<u8, f64>,
}

/// Decaying numbers of requests.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    present: f64,
    usual: f64,
}

impl<K: Copy + Eq + Hash> WorkspaceShares<K> {
    /// Counts a request. `is_short` tells whether its pool fits only partly now.
    pub fn on_request(&mut self, now: Time, pool: K, workspace: Workspace, is_short: bool) {
        let speed = if is_short { LEARNING_IN_SHORTAGE } else { 1.0 };
        self.sweep(now);
        let is_full = self.len >= MAX_COUNTS;
        if is_full && !self.pools.contains_key(&pool) {
            return;
        }
        let counts = self.pools.entry(pool).or_insert_with(|| Counts {
            learned: Duration::ZERO,
            refreshed: now,
            by_workspace: HashMap::new(),
            levels: BTreeMap::new(),
        });
        let before = counts.by_workspace.len();
        counts.refresh(now, speed);
        if !is_full || counts.by_workspace.contains_key(&workspace) {
            let count = counts.by_workspace.entry(workspace).or_default();
            count.present += 1.0;
            count.usual += speed;
        }
        self.len = self.len + counts.by_workspace.len() - before;
    }

    /// Drops the counts of stale pools if there are too many.
    fn sweep(&mut self, now: Time) {
        if self.len < MAX_COUNTS || now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.pools
            .retain(|_, counts| now.since(counts.refreshed) < STALE_TIME);
        self.len = self.pools.values().map(|it| it.by_workspace.len()).sum();
    }

    /// The fraction of a workspace's requests to admit, if `fraction` of all requests of the pool
    /// is admitted.
    pub fn fraction(&mut self, pool: K, workspace: Workspace, fraction: f64) -> f64 {
        let Some(counts) = self.pools.get_mut(&pool) else {
            return fraction;
        };
        let Some(count) = counts.by_workspace.get(&workspace).copied() else {
            return fraction;
        };
        let level = counts.level(fraction);
        counts.fraction(count, level)
    }

    /// The same, without a change; `None` if the workspace isn't counted.
    #[must_use]
    pub fn fraction_now(&self, pool: K, workspace: Workspace, fraction: f64) -> Option<f64> {
        let counts = self.pools.get(&pool)?;
        let count = counts.by_workspace.get(&workspace).copied()?;
        Some(counts.fraction(count, counts.fair_level(fraction)))
    }
}

impl Counts {
    fn refresh(&mut self, now: Time, speed: f64) {
        let elapsed = now.since(self.refreshed);
        if elapsed < REFRESH_INTERVAL {
            return;
        }
        let learned = elapsed.mul_f64(speed);
        self.learned += learned;
        let present = (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        let usual = (-learned.as_secs_f64() / USUAL_TIME.as_secs_f64()).exp();
        for count in self.by_workspace.values_mut() {
            count.present *= present;
            count.usual *= usual;
        }
        self.by_workspace.retain(|_, count| count.usual > 0.01);
        self.refreshed = now;
        self.levels.clear();
    }

    /// The seconds over which the usual counts are collected, which are fewer after a start.
    fn usual_span(&self) -> f64 {
        let time = USUAL_TIME.as_secs_f64();
        let learned = self.learned.as_secs_f64();
        (time * (1.0 - (-learned / time).exp())).max(DEMAND_TIME.as_secs_f64())
    }

    fn level(&mut self, fraction: f64) -> f64 {
        // In 0..=100, so that nothing is cut off.
        let step = (fraction.clamp(0.0, 1.0) * CACHE_STEPS).round() as u8;
        if let Some(level) = self.levels.get(&step) {
            return *level;
        }
        let level = self.fair_level(fraction);
        self.levels.insert(step, level);
        level
    }

    fn fair_level(&self, fraction: f64) -> f64 {
        let span = self.usual_span();
        let counts = self.by_workspace.values();
        let demands: Vec<_> = counts.map(|count| count.demanded(span)).collect();
        let total: f64 = demands.iter().map(|it| it.demand).sum();
        fair_level(demands, total * fraction)
    }

    fn fraction(&self, count: Count, level: f64) -> f64 {
        let demanded = count.demanded(self.usual_span());
        (level * demanded.weight / demanded.demand).min(1.0)
    }
}

impl Count {
    /// Both in requests per second.
    fn demanded(&self, usual_span: f64) -> Demanded {
        let usual = self.usual / usual_span;
        let weight = usual.max(MIN_WEIGHT_PER_S);
        let present = self.present / DEMAND_TIME.as_secs_f64();
        // The request that is decided on is counted, and few requests come unevenly.
        let is_usual = present <= usual + 1.0 + CHANCE_DEVIATIONS * usual.sqrt();
        Demanded {
            weight,
            demand: if is_usual { weight } else { present },
        }
    }
}
