use std::sync::Arc;

use cassiashunt_types::Time;

use crate::Attempt;

/// The largest answer that is kept for repeats, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// What a home knows of a finished run's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The answer, as the node that ran the request encoded it.
    Kept(Arc<[u8]>),
    /// There was one, larger than [`MAX_ANSWER_BYTES`].
    TooLarge,
    /// Nobody knows whether the request ran.
    Unknown,
}

/// What happened to the request of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum State {
    /// The attempt may run.
    Started,
    /// The attempt surely did not run and never will.
    Released,
    /// The attempt ended.
    Finished(Answer),
}

/// What is kept of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) fingerprint: u64,
    pub(crate) attempt: Attempt,
    pub(crate) state: State,
    /// Until when the attempt may be running.
    pub(crate) running_until: Time,
    /// When the record's window ends.
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
