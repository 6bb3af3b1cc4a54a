//! What workspaces ask for at one ingress, and what part of it each may have.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::prelude::*;

use crate::Priority;

/// The time in which a count of past requests halves.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// How often the counts are halved and the fair rates are worked out anew.
const REFRESH: Duration = Duration::from_millis(100);
/// Workspaces that are counted at one priority; further ones are shed evenly.
const MAX_WORKSPACES: usize = 4_096;

/// Recent demand at each priority.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    priorities: BTreeMap<Priority, Counts>,
}

/// Recent demand at one priority.
#[derive(Debug, Default)]
struct Counts {
    of: HashMap<Workspace, Count>,
    refreshed: Time,
    /// The requests for each unit of weight that fit in `share`, as of the last refresh.
    fair: Option<Fair>,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    weight: f64,
    requests: f64,
}

#[derive(Debug, Clone, Copy)]
struct Fair {
    share: u8,
    per_weight: f64,
}

impl Demand {
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
        if !counts.of.contains_key(&workspace) && counts.of.len() >= MAX_WORKSPACES {
            return;
        }
        let weight = f64::from(weight.max(1));
        let count = counts.of.entry(workspace).or_insert(Count {
            weight,
            requests: 0.0,
        });
        count.weight = weight;
        count.requests += 1.0;
    }

    /// The part of the workspace's requests that may pass when `share` 256ths of all requests of
    /// the priority are to be shed: weighted max-min fairness.
    pub(crate) fn part(&mut self, priority: Priority, workspace: Workspace, share: u8) -> f64 {
        let counts = self.priorities.entry(priority).or_default();
        let fair = counts.fair(share);
        match counts.of.get(&workspace) {
            Some(count) => (fair * count.weight / count.requests).min(1.0),
            None => 1.0 - f64::from(share) / 256.0,
        }
    }
}

impl Counts {
    fn refresh(&mut self, now: Time) {
        let passed = now.since(self.refreshed);
        if passed < REFRESH {
            return;
        }
        let factor = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.of
            .values_mut()
            .for_each(|count| count.requests *= factor);
        self.of.retain(|_, count| count.requests > 0.01);
        self.refreshed = now;
        self.fair = None;
    }

    /// The requests for each unit of weight up to which every workspace is served.
    fn fair(&mut self, share: u8) -> f64 {
        if let Some(fair) = self.fair.filter(|fair| fair.share == share) {
            return fair.per_weight;
        }
        let per_weight = self.fill(1.0 - f64::from(share) / 256.0);
        self.fair = Some(Fair { share, per_weight });
        per_weight
    }

    /// Fills up the workspaces from the one that asks for least by its weight.
    fn fill(&self, part: f64) -> f64 {
        let mut counts: Vec<_> = self.of.values().copied().collect();
        counts.sort_unstable_by(|a, b| a.per_weight().total_cmp(&b.per_weight()));
        let mut room: f64 = counts.iter().map(|count| count.requests).sum::<f64>() * part;
        let mut weight: f64 = counts.iter().map(|count| count.weight).sum();
        for count in &counts {
            if count.per_weight() * weight > room {
                return room / weight;
            }
            room -= count.requests;
            weight -= count.weight;
        }
        f64::INFINITY
    }
}

impl Count {
    fn per_weight(&self) -> f64 {
        self.requests / self.weight
    }
}
