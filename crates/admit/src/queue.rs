//! The waiting requests: by rank, then by deficit round robin between workspaces.

use std::collections::{BTreeMap, VecDeque};

use cassiashunt_types::{RequestId, Time, Workspace};
use slotmap::{SlotMap, new_key_type};

use crate::job::{Job, Rank};

new_key_type! {
    /// A waiting request.
    struct JobKey;
}

/// Waiting requests of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    jobs: SlotMap<JobKey, Job>,
    levels: BTreeMap<Rank, Level>,
}

/// The waiting requests of one rank; never empty while it stands in the queue.
#[derive(Debug, Default)]
struct Level {
    /// Workspaces in the order of their turns.
    flows: VecDeque<Flow>,
}

/// The waiting requests of one workspace at one rank; never empty.
#[derive(Debug)]
struct Flow {
    workspace: Workspace,
    weight: u32,
    /// Requests that it may still start in this turn.
    deficit: u32,
    jobs: VecDeque<JobKey>,
}

impl Flow {
    /// Compares the queued requests for each unit of weight.
    fn is_heavier(&self, other: &Self) -> bool {
        let own = self.jobs.len() as u64 * u64::from(other.weight);
        let others = other.jobs.len() as u64 * u64::from(self.weight);
        own > others
    }
}

impl Level {
    fn push(&mut self, job: &Job, key: JobKey) {
        let weight = job.weight.max(1);
        let known = self.flows.iter_mut().find(|f| f.workspace == job.workspace);
        if let Some(flow) = known {
            flow.weight = weight;
            flow.jobs.push_back(key);
            return;
        }
        self.flows.push_back(Flow {
            workspace: job.workspace,
            weight,
            deficit: weight,
            jobs: VecDeque::from([key]),
        });
    }

    /// Takes the next request in turn.
    fn pop(&mut self) -> Option<JobKey> {
        let flow = self.flows.front_mut()?;
        let key = flow.jobs.pop_front()?;
        flow.deficit -= 1;
        if flow.jobs.is_empty() {
            self.flows.pop_front();
        } else if flow.deficit == 0 {
            flow.deficit = flow.weight;
            self.flows.rotate_left(1);
        }
        Some(key)
    }

    /// Takes the newest request of the workspace with the most waiting ones for its weight.
    fn shed(&mut self) -> Option<JobKey> {
        let mut heaviest = 0;
        for at in 1..self.flows.len() {
            if !self.flows[heaviest].is_heavier(&self.flows[at]) {
                heaviest = at;
            }
        }
        let flow = self.flows.get_mut(heaviest)?;
        let key = flow.jobs.pop_back()?;
        if flow.jobs.is_empty() {
            self.flows.remove(heaviest);
        }
        Some(key)
    }

    fn retain(&mut self, jobs: &SlotMap<JobKey, Job>) {
        for flow in &mut self.flows {
            flow.jobs.retain(|key| jobs.contains_key(*key));
        }
        self.flows.retain(|flow| !flow.jobs.is_empty());
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.jobs.values().any(|job| job.key == id)
    }

    pub(crate) fn push(&mut self, job: Job) {
        let key = self.jobs.insert(job);
        self.levels.entry(job.rank()).or_default().push(&job, key);
    }

    /// Takes the request that is to start next.
    pub(crate) fn pop(&mut self) -> Option<Job> {
        let mut entry = self.levels.last_entry()?;
        let key = entry.get_mut().pop()?;
        if entry.get().flows.is_empty() {
            entry.remove();
        }
        self.jobs.remove(key)
    }

    /// Takes the request that is to be shed first.
    pub(crate) fn shed(&mut self) -> Option<Job> {
        let mut entry = self.levels.first_entry()?;
        let key = entry.get_mut().shed()?;
        if entry.get().flows.is_empty() {
            entry.remove();
        }
        self.jobs.remove(key)
    }

    /// Takes every request for which `is_out` holds, in the order of their keys.
    pub(crate) fn extract(&mut self, mut is_out: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let mut out = Vec::new();
        self.jobs.retain(|_, job| {
            let leaves = is_out(job);
            if leaves {
                out.push(*job);
            }
            !leaves
        });
        if !out.is_empty() {
            self.levels
                .values_mut()
                .for_each(|level| level.retain(&self.jobs));
            self.levels.retain(|_, level| !level.flows.is_empty());
        }
        out
    }

    /// The waiting requests that start before a new one of `rank`.
    pub(crate) fn ahead_of(&self, rank: Rank) -> usize {
        let levels = self.levels.range(rank..);
        levels
            .flat_map(|(_, level)| &level.flows)
            .map(|flow| flow.jobs.len())
            .sum()
    }

    /// The earliest deadline of the waiting requests.
    pub(crate) fn first_deadline(&self) -> Option<Time> {
        self.jobs.values().map(|job| job.deadline).min()
    }
}
