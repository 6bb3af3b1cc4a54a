//! The demand of workspaces at one ingress, and the fair share of it that each is admitted.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::prelude::*;

use crate::{
    Priority,
    max_min::{Demanded, fair_level},
};

/// The half-life of the request counts.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(1);
/// How often the counts decay and the fair rates are recalculated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Workspaces that are counted at one priority; requests of others are shed at the overall share.
const MAX_WORKSPACES: usize = 4_096;

/// Recent demand of workspaces, by priority.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceDemand {
    priorities: BTreeMap<Priority, Counts>,
}

/// Recent demand at one priority.
#[derive(Debug, Default)]
struct Counts {
    by_workspace: HashMap<Workspace, Count>,
    refreshed: Time,
    /// The fair rate for the share that was last asked for; none after a refresh.
    fair_rate: Option<FairRate>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    weight: f64,
    requests: f64,
}

#[derive(Debug, Clone, Copy)]
struct FairRate {
    share: u8,
    per_weight: f64,
}

impl WorkspaceDemand {
    /// Counts a request.
    pub(crate) fn on_request(
        &mut self,
        now: Time,
        priority: Priority,
        workspace: Workspace,
        weight: u32,
    ) {
        let counts = self.priorities.entry(priority).or_default();
        counts.refresh(now);
        if !counts.by_workspace.contains_key(&workspace)
            && counts.by_workspace.len() >= MAX_WORKSPACES
        {
            return;
        }
        let weight = f64::from(weight.max(1));
        let count = counts.by_workspace.entry(workspace).or_insert(Count {
            weight,
            requests: 0.0,
        });
        count.weight = weight;
        count.requests += 1.0;
    }

    /// The fraction of the workspace's requests to admit when `share` 256ths of all requests of the
    /// priority are to be shed, by weighted max-min fairness.
    pub(crate) fn admitted_fraction(
        &mut self,
        priority: Priority,
        workspace: Workspace,
        share: u8,
    ) -> f64 {
        let counts = self.priorities.entry(priority).or_default();
        let per_weight = counts.fair_per_weight(share);
        match counts.by_workspace.get(&workspace) {
            Some(count) => (per_weight * count.weight / count.requests).min(1.0),
            None => 1.0 - f64::from(share) / 256.0,
        }
    }
}

impl Counts {
    fn refresh(&mut self, now: Time) {
        let elapsed = now.since(self.refreshed);
        if elapsed < REFRESH_INTERVAL {
            return;
        }
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64());
        self.by_workspace
            .values_mut()
            .for_each(|count| count.requests *= factor);
        self.by_workspace.retain(|_, count| count.requests > 0.01);
        self.refreshed = now;
        self.fair_rate = None;
    }

    /// The requests for each unit of weight up to which every workspace is admitted.
    fn fair_per_weight(&mut self, share: u8) -> f64 {
        if let Some(rate) = self.fair_rate.filter(|rate| rate.share == share) {
            return rate.per_weight;
        }
        let demands: Vec<_> = self.by_workspace.values().map(Count::demanded).collect();
        let total: f64 = demands.iter().map(|it| it.demand).sum();
        let per_weight = fair_level(demands, total * (1.0 - f64::from(share) / 256.0));
        self.fair_rate = Some(FairRate { share, per_weight });
        per_weight
    }
}

impl Count {
    fn demanded(&self) -> Demanded {
        Demanded {
            weight: self.weight,
            demand: self.requests,
        }
    }
}
