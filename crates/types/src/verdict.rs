//! Whether a request that got no answer may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the work of a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and never will; sending it again is safe.
    NotRun,
    /// The request may have run, in part or whole.
    MayHaveRun,
}

impl Verdict {
    /// The verdict as it stands in an answer's header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
