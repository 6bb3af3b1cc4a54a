//! The error type of the request path.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Reason, Verdict};

/// The final response to a request when it does not come from the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused or failed.
    pub reason: Reason,
    /// The delay after which a retry may succeed; `None` where no delay is stated.
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

    /// The same refusal with a retry-after delay.
    #[must_use]
    pub const fn retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
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
