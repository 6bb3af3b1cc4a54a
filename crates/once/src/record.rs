use std::sync::Arc;

use cassiashunt_types::Time;

use crate::Attempt;

/// The largest answer stored for repeated requests, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The stored answer of a finished run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer, as the node that ran the request encoded it.
    Kept(Arc<[u8]>),
    /// There was an answer, but too large to store: over [`MAX_ANSWER_BYTES`] or over the home's
    /// total for answers.
    TooLarge,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Progress of the request with one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// The attempt may run.
    Started,
    /// The attempt did not run and never will.
    Released,
    /// The attempt ended.
    Finished(Answer),
}

/// The record of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) fingerprint: u64,
    pub(crate) attempt: Attempt,
    pub(crate) state: State,
    /// Until then the attempt may still be running.
    pub(crate) running_until: Time,
    /// When the record is removed.
    pub(crate) expiry: Time,
}

impl Answer {
    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Kept(bytes) => bytes.len(),
            Self::TooLarge | Self::Unknown => 0,
        }
    }
}

impl Record {
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            State::Finished(answer) => answer.len(),
            State::Started | State::Released => 0,
        }
    }
}
