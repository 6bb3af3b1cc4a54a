//! The recorded history of a simulation, in simulated true time, and the checks on it.

use std::time::Duration;

use cassiashunt_types::{Epoch, Revision, Time};

/// A request that started at a node which had applied this table revision.
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

/// An action of a shard holder under its epoch.
#[derive(Debug, Clone, Copy)]
pub struct HolderAction {
    pub at: Time,
    pub node: usize,
    pub epoch: Epoch,
}

#[derive(Debug, Clone, Default)]
pub struct History {
    pub runs: Vec<Run>,
    pub accepted: Vec<Accepted>,
    pub holder_actions: Vec<HolderAction>,
    pub refusals: Vec<Time>,
    /// Number of calls to the platform.
    pub calls: u64,
}

/// Fails with the first run for a withdrawn key that started later than `bound` after the
/// withdrawal was accepted.
pub fn check_withdrawals(history: &History, bound: Duration) -> Result<(), (Accepted, Run)> {
    let mut accepted = history.accepted.clone();
    accepted.sort_by_key(|accepted| accepted.at);
    let mut due = accepted.into_iter().peekable();
    let mut required: Option<Accepted> = None;
    let mut runs = history.runs.clone();
    runs.sort_by_key(|run| run.at);
    for run in runs {
        while let Some(accepted) = due.next_if(|accepted| accepted.at + bound < run.at) {
            if required.is_none_or(|required| accepted.table > required.table) {
                required = Some(accepted);
            }
        }
        if let Some(accepted) = required.filter(|required| run.table < required.table) {
            return Err((accepted, run));
        }
    }
    Ok(())
}

/// Fails with the first action under an epoch that began before everything issued under an earlier
/// epoch had expired.
pub fn check_succession(
    holder_actions: &[HolderAction],
    validity: Duration,
) -> Result<(), (HolderAction, HolderAction)> {
    for later in holder_actions {
        let overlap = holder_actions
            .iter()
            .find(|other| other.epoch < later.epoch && later.at < other.at + validity);
        if let Some(earlier) = overlap {
            return Err((*earlier, *later));
        }
    }
    Ok(())
}
