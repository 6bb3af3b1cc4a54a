//! What nodes did, and checks of it, in true time.

use std::time::Duration;

use cassiashunt_types::{Epoch, Revision, Time};

/// A request that began at a node which had applied this table revision.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub at: Time,
    pub node: usize,
    pub table: Revision,
}

/// A withdrawal that was reported accepted.
#[derive(Debug, Clone, Copy)]
pub struct Accepted {
    pub at: Time,
    pub table: Revision,
}

/// Something that a shard's holder gave away under its epoch.
#[derive(Debug, Clone, Copy)]
pub struct Act {
    pub at: Time,
    pub node: usize,
    pub epoch: Epoch,
}

#[derive(Debug, Clone, Default)]
pub struct History {
    pub runs: Vec<Run>,
    pub accepted: Vec<Accepted>,
    pub acts: Vec<Act>,
    pub refusals: Vec<Time>,
    /// Calls of the platform.
    pub calls: u64,
}

/// The first run for a withdrawn key that began later than `bound` after the acceptance.
pub fn check_withdrawals(history: &History, bound: Duration) -> Result<(), (Accepted, Run)> {
    let mut accepted = history.accepted.clone();
    accepted.sort_by_key(|accepted| accepted.at);
    let mut due = accepted.into_iter().peekable();
    let mut least: Option<Accepted> = None;
    let mut runs = history.runs.clone();
    runs.sort_by_key(|run| run.at);
    for run in runs {
        while let Some(accepted) = due.next_if(|accepted| accepted.at + bound < run.at) {
            if least.is_none_or(|least| accepted.table > least.table) {
                least = Some(accepted);
            }
        }
        if let Some(accepted) = least.filter(|least| run.table < least.table) {
            return Err((accepted, run));
        }
    }
    Ok(())
}

/// The first act under an epoch that began before everything of an earlier epoch had lapsed.
pub fn check_succession(acts: &[Act], validity: Duration) -> Result<(), (Act, Act)> {
    for late in acts {
        let overlap = acts
            .iter()
            .find(|other| other.epoch < late.epoch && late.at < other.at + validity);
        if let Some(early) = overlap {
            return Err((*early, *late));
        }
    }
    Ok(())
}
