//! The error type of the request path.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Reason, Verdict};

/// A request's final answer when it is not the backend server's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A failure of a request that may have run.
    #[must_use]
    pub const fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// The same refusal with a time to come back.
    #[must_use]
    pub const fn retry_after(self, span: Duration) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.verdict)
    }
}

impl std::error::Error for Refusal {}
