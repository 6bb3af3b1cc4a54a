//! Checks what the callers were told against what the backend servers ran.

use std::collections::BTreeMap;

use cassiashunt_standin::server::Record;
use serde::Serialize;

use crate::{Experiment, Outcome, Sample};

/// The id of a request, which its answer and its runs carry.
#[must_use]
pub fn request_id(seed: u64, number: usize) -> String {
    format!("{seed:x}-{number:x}")
}

/// What a run's history shows. All but the waste must be 0 for a sound system.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct History {
    /// Runs that began, child calls among them.
    pub runs: u64,
    /// The share of them that served no request that was answered whole.
    pub wasted: f64,
    /// Requests that may run once only and ran more often, child calls not counted.
    pub ran_again: u64,
    /// Requests that were refused as not run, at their only try, and ran.
    pub ran_though_refused: u64,
    /// Runs for another workspace than the caller's.
    pub wrong_workspace: u64,
    /// The most runs of one request at one path.
    pub most_runs: u64,
}

impl History {
    /// Checks the samples of the run with this seed against the servers' records.
    #[must_use]
    pub fn check(
        experiment: &Experiment,
        seed: u64,
        samples: &[Sample],
        records: &[Record],
    ) -> Self {
        let mut by_request: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
        for record in records {
            by_request.entry(root(&record.id)).or_default().push(record);
        }
        let mut history = Self::default();
        let mut useful = 0;
        for sample in samples {
            let id = request_id(seed, sample.number);
            let Some(runs) = by_request.remove(id.as_str()) else {
                continue;
            };
            history.add(experiment, sample, &id, &runs);
            useful += if sample.outcome == Outcome::Whole {
                count(runs.len())
            } else {
                0
            };
        }
        history.runs = count(records.len());
        history.wasted = 1.0 - ratio(useful, history.runs);
        history
    }

    fn add(&mut self, experiment: &Experiment, sample: &Sample, id: &str, runs: &[&Record]) {
        let own = count(runs.iter().filter(|run| run.id == id).count());
        let is_once = !experiment.requests[sample.kind].idempotent;
        let is_refused = sample.outcome.is_refused() && sample.tries == 1;
        let name = experiment.workspaces[sample.workspace].name;
        let is_other = |run: &&&Record| {
            run.workspace
                .as_deref()
                .is_some_and(|workspace| workspace != name.as_str())
        };
        self.ran_again += u64::from(is_once && own > 1);
        self.ran_though_refused += u64::from(is_refused && own > 0);
        self.wrong_workspace += count(runs.iter().filter(is_other).count());
        self.most_runs = self.most_runs.max(most_at_one_path(runs));
    }
}

/// The part of a run's id that names the caller's request.
fn root(id: &str) -> &str {
    id.split('.').next().unwrap_or(id)
}

fn most_at_one_path(runs: &[&Record]) -> u64 {
    let mut by_path: BTreeMap<&str, u64> = BTreeMap::new();
    for run in runs {
        *by_path.entry(&run.path).or_default() += 1;
    }
    by_path.into_values().max().unwrap_or(0)
}

fn count(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        1.0
    } else {
        part as f64 / whole as f64
    }
}
