//! The history of a simulation and the invariants it must satisfy.

use std::time::Duration;

use cassiashunt_types::{Time, Verdict};

/// A run of a request by a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    pub key: usize,
    pub send_id: usize,
    pub at: Time,
}

/// The result that a caller received for one of its sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerResult {
    /// The answer of the run of the send `of`.
    Answer { of: usize },
    /// A refusal, with its verdict.
    Refused(Verdict),
}

#[derive(Debug, Clone, Default)]
pub struct History {
    pub runs: Vec<Run>,
    /// The id of a send, its key and the result.
    pub results: Vec<(usize, usize, CallerResult)>,
}

/// The invariant that a history violates.
#[derive(Debug, PartialEq, Eq)]
pub enum Violation {
    RanTwice(Run, Run),
    RanThoughNotRun(Run),
    AnswerOfNoRun { send_id: usize, of: usize },
}

/// Checks that runs of a key are at least `gap` apart, that no request refused as not run has run,
/// and that each answer is that of a run with the same key.
pub fn check(history: &History, gap: Duration) -> Result<(), Violation> {
    for (at, one) in history.runs.iter().enumerate() {
        let close = |other: &&Run| other.key == one.key && other.at.since(one.at) < gap;
        if let Some(other) = history.runs[at + 1..].iter().find(close) {
            return Err(Violation::RanTwice(*one, *other));
        }
    }
    for (send_id, key, result) in &history.results {
        match result {
            CallerResult::Refused(Verdict::NotRun) => {
                if let Some(run) = history.runs.iter().find(|run| run.send_id == *send_id) {
                    return Err(Violation::RanThoughNotRun(*run));
                }
            }
            CallerResult::Answer { of } => {
                let is_of = |run: &Run| run.send_id == *of && run.key == *key;
                if !history.runs.iter().any(is_of) {
                    let (send_id, of) = (*send_id, *of);
                    return Err(Violation::AnswerOfNoRun { send_id, of });
                }
            }
            CallerResult::Refused(Verdict::MayHaveRun) => {}
        }
    }
    Ok(())
}
