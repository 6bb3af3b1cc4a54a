//! Exit codes.

use std::{fmt, process::ExitCode};

/// What a run of the command ended with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All went well.
    Done = 0,
    /// Something failed; the message says what.
    Failed = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// A cell held something else than expected; nothing was changed.
    Conflict = 3,
    /// The edit may or may not have been applied.
    Unknown = 4,
    /// A stop cut off requests.
    CutOff = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// An error that ends the command with a code of its own.
#[derive(Debug)]
pub struct Ended {
    /// The code.
    pub exit: Exit,
    /// What to tell the operator.
    pub message: String,
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Ended {}

impl Exit {
    /// The code for an error.
    pub fn of(err: &eyre::Report) -> Self {
        err.downcast_ref::<Ended>()
            .map_or(Self::Failed, |ended| ended.exit)
    }

    /// An error with this code.
    pub fn err(self, message: impl Into<String>) -> eyre::Report {
        eyre::Report::new(Ended {
            exit: self,
            message: message.into(),
        })
    }
}
