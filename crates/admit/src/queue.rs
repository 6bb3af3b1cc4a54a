//! The queue of waiting requests: ordered by rank, then by weighted fair queueing between
//! workspaces.
//!
//! Workspaces of one rank share by start-time fair queueing (Goyal, Vin and Cheng, 1996).

use std::collections::{BTreeMap, VecDeque};

use cassiashunt_types::{RequestId, Time, Workspace};
use slotmap::{SlotMap, new_key_type};

use crate::job::{Job, Rank};

new_key_type! {
    /// The key of a waiting request.
    struct JobKey;
}

/// The amount by which one request advances the start tag of a workspace with weight one.
const TAG_UNIT: u64 = 1 << 32;

/// The waiting requests of one backend server.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    jobs: SlotMap<JobKey, Job>,
    ranks: BTreeMap<Rank, RankQueue>,
}

/// The waiting requests of one rank.
#[derive(Debug, Default)]
struct RankQueue {
    /// The start tag of the request that was popped last.
    virtual_time: u64,
    flows: Vec<Flow>,
}

/// The waiting requests of one workspace at one rank. An empty flow is kept until the virtual time
/// reaches its next start tag, so that a workspace gains nothing from a short time without requests.
#[derive(Debug)]
struct Flow {
    workspace: Workspace,
    weight: u32,
    /// The start tag of the next request.
    start: u64,
    jobs: VecDeque<JobKey>,
}

impl Flow {
    /// Compares the numbers of waiting requests, less one, divided by weight. A workspace with a
    /// single waiting request is therefore the last to lose it.
    fn is_heavier(&self, other: &Self) -> bool {
        let own = (self.jobs.len() as u64).saturating_sub(1) * u64::from(other.weight);
        let others = (other.jobs.len() as u64).saturating_sub(1) * u64::from(self.weight);
        own > others || other.jobs.is_empty()
    }
}

impl RankQueue {
    fn is_empty(&self) -> bool {
        self.flows.iter().all(|flow| flow.jobs.is_empty())
    }

    fn len(&self) -> usize {
        self.flows.iter().map(|flow| flow.jobs.len()).sum()
    }

    fn push(&mut self, job: &Job, key: JobKey) {
        let flow = self.flow_for(job);
        flow.jobs.push_back(key);
    }

    fn flow_for(&mut self, job: &Job) -> &mut Flow {
        let known = self
            .flows
            .iter()
            .position(|flow| flow.workspace == job.workspace);
        let at = known.unwrap_or_else(|| {
            self.flows.push(Flow {
                workspace: job.workspace,
                weight: 1,
                start: 0,
                jobs: VecDeque::new(),
            });
            self.flows.len() - 1
        });
        let flow = &mut self.flows[at];
        flow.weight = job.weight.max(1);
        flow.start = flow.start.max(self.virtual_time);
        flow
    }

    fn next(&self) -> Option<JobKey> {
        let waiting = self.flows.iter().filter(|flow| !flow.jobs.is_empty());
        waiting.min_by_key(|flow| flow.start)?.jobs.front().copied()
    }

    /// Removes the next request, of the workspace with the smallest start tag.
    fn pop(&mut self) -> Option<JobKey> {
        let waiting = self.flows.iter_mut().filter(|flow| !flow.jobs.is_empty());
        let flow = waiting.min_by_key(|flow| flow.start)?;
        let key = flow.jobs.pop_front()?;
        self.virtual_time = flow.start;
        flow.start += TAG_UNIT / u64::from(flow.weight);
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|flow| !flow.jobs.is_empty() || flow.start > virtual_time);
        Some(key)
    }

    /// Removes the newest request of the workspace with the most waiting requests for its weight.
    fn shed(&mut self) -> Option<JobKey> {
        let mut heaviest = 0;
        for at in 1..self.flows.len() {
            if !self.flows[heaviest].is_heavier(&self.flows[at]) {
                heaviest = at;
            }
        }
        self.flows.get_mut(heaviest)?.jobs.pop_back()
    }

    fn retain(&mut self, jobs: &SlotMap<JobKey, Job>) {
        for flow in &mut self.flows {
            flow.jobs.retain(|key| jobs.contains_key(*key));
        }
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
        self.ranks.entry(job.rank()).or_default().push(&job, key);
    }

    /// The request that is to start next.
    pub(crate) fn next(&self) -> Option<&Job> {
        let (_, rank_queue) = self.ranks.last_key_value()?;
        self.jobs.get(rank_queue.next()?)
    }

    /// Removes the request that is to start next.
    pub(crate) fn pop(&mut self) -> Option<Job> {
        let mut entry = self.ranks.last_entry()?;
        let key = entry.get_mut().pop()?;
        if entry.get().is_empty() {
            entry.remove();
        }
        self.jobs.remove(key)
    }

    /// Removes the request that is to be shed first: of the lowest rank.
    pub(crate) fn shed(&mut self) -> Option<Job> {
        let mut entry = self.ranks.first_entry()?;
        let key = entry.get_mut().shed()?;
        if entry.get().is_empty() {
            entry.remove();
        }
        self.jobs.remove(key)
    }

    /// Removes and returns all requests for which `is_removed` holds, in the order of their keys.
    pub(crate) fn remove_if(&mut self, mut is_removed: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let mut removed = Vec::new();
        self.jobs.retain(|_, job| {
            let leaves_queue = is_removed(job);
            if leaves_queue {
                removed.push(*job);
            }
            !leaves_queue
        });
        if !removed.is_empty() {
            self.ranks
                .values_mut()
                .for_each(|rank_queue| rank_queue.retain(&self.jobs));
            self.ranks.retain(|_, rank_queue| !rank_queue.is_empty());
        }
        removed
    }

    /// The number of waiting requests of `rank` and above, which start before a new one of `rank`.
    pub(crate) fn ahead_of(&self, rank: Rank) -> usize {
        self.ranks
            .range(rank..)
            .map(|(_, rank_queue)| rank_queue.len())
            .sum()
    }

    /// The earliest deadline of the waiting requests.
    pub(crate) fn first_deadline(&self) -> Option<Time> {
        self.jobs.values().map(|job| job.deadline).min()
    }
}
