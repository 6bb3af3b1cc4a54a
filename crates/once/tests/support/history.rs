//! What happened, and what must hold of it.

use std::time::Duration;

use cassiashunt_types::{Time, Verdict};

/// A server began to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    pub key: usize,
    pub sending: usize,
    pub at: Time,
}

/// What a caller was told about one of its sendings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The answer of the run of this sending.
    Answer { of: usize },
    /// A refusal.
    Refused(Verdict),
}

#[derive(Debug, Clone, Default)]
pub struct History {
    pub runs: Vec<Run>,
    /// Sending, its key and what was told.
    pub told: Vec<(usize, usize, Told)>,
}

/// Why a history is bad.
#[derive(Debug, PartialEq, Eq)]
pub enum Bad {
    RanTwice(Run, Run),
    RanThoughNotRun(Run),
    AnswerOfNoRun { sending: usize, of: usize },
}

/// Runs of a key are further apart than `gap`; refusals as not run and stored answers are true.
pub fn check(history: &History, gap: Duration) -> Result<(), Bad> {
    for (at, one) in history.runs.iter().enumerate() {
        let close = |other: &&Run| other.key == one.key && other.at.since(one.at) < gap;
        if let Some(other) = history.runs[at + 1..].iter().find(close) {
            return Err(Bad::RanTwice(*one, *other));
        }
    }
    for (sending, key, told) in &history.told {
        match told {
            Told::Refused(Verdict::NotRun) => {
                if let Some(run) = history.runs.iter().find(|run| run.sending == *sending) {
                    return Err(Bad::RanThoughNotRun(*run));
                }
            }
            Told::Answer { of } => {
                let is_of = |run: &Run| run.sending == *of && run.key == *key;
                if !history.runs.iter().any(is_of) {
                    let (sending, of) = (*sending, *of);
                    return Err(Bad::AnswerOfNoRun { sending, of });
                }
            }
            Told::Refused(Verdict::MayHaveRun) => {}
        }
    }
    Ok(())
}
