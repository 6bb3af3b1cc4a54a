//! Whether a request that failed may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request that failed may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and never will; a retry is safe.
    NotRun,
    /// The request may have run, partially or completely.
    MayHaveRun,
}

impl Verdict {
    /// The verdict as written in a response header.
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
