//! How requests end.

use cassiashunt_types::prelude::*;
use serde::Serialize;

/// The final outcome of a request, after all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this very request came in time.
    Whole,
    /// Refused, and it did not run; the reason where one was told.
    NotRun(Option<Reason>),
    /// Failed, and it may have run; the reason where one was told.
    MayHaveRun(Option<Reason>),
    /// An answer came that was short, or another request's.
    Corrupt,
    /// No answer came in time.
    TimedOut,
    /// No instance took the connection.
    Unreachable,
    /// The load's own bounds kept it from being sent: callers, file descriptors or ports.
    Unsent,
}

impl Outcome {
    /// Whether the request was refused without having run.
    #[must_use]
    pub fn is_refused(self) -> bool {
        matches!(self, Self::NotRun(_))
    }

    /// Whether the workspace's limit refused it.
    #[must_use]
    pub fn is_over_limit(self) -> bool {
        matches!(
            self,
            Self::NotRun(Some(Reason::OverLimit | Reason::OverMinute))
        )
    }

    /// A stable name, for tables.
    #[must_use]
    pub fn name(self) -> String {
        let with = |verdict: &str, reason: Option<Reason>| {
            reason.map_or_else(|| verdict.into(), |reason| format!("{verdict}: {reason}"))
        };
        match self {
            Self::Whole => "whole".into(),
            Self::NotRun(reason) => with("not run", reason),
            Self::MayHaveRun(reason) => with("may have run", reason),
            Self::Corrupt => "corrupt".into(),
            Self::TimedOut => "timed out".into(),
            Self::Unreachable => "unreachable".into(),
            Self::Unsent => "unsent".into(),
        }
    }
}

/// One request as it went. Times are since the run began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The number of its arrival in the schedule.
    pub number: usize,
    /// The intended time of sending, which latency counts from.
    pub intended: Duration,
    /// The time at which the first try was sent, or would have been.
    pub sent: Duration,
    /// The time of the final outcome.
    pub ended: Duration,
    /// The index of its phase.
    pub phase: usize,
    /// The index of its workspace.
    pub workspace: usize,
    /// The index of its kind.
    pub kind: usize,
    /// The tries, the first among them.
    pub tries: u32,
    /// How it ended.
    pub outcome: Outcome,
}

impl Sample {
    /// The time from the intended sending to the final outcome.
    #[must_use]
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.intended)
    }

    /// The time from the first try's sending to the final outcome.
    #[must_use]
    pub fn from_sending(&self) -> Duration {
        self.ended.saturating_sub(self.sent)
    }

    /// How late the first try was sent.
    #[must_use]
    pub fn lateness(&self) -> Duration {
        self.sent.saturating_sub(self.intended)
    }
}
