//! The history of one queue, and the check that it sheds protected requests last.

use cassiashunt_admit::Priority;
use cassiashunt_types::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Started(Time),
    /// Refused due to overload.
    Shed(Time),
    /// Refused because it could not meet its deadline.
    Late(Time),
    /// Cancelled, or refused by a draining server.
    Other(Time),
}

impl End {
    pub fn of_refusal(at: Time, refusal: &Refusal) -> Self {
        assert_eq!(refusal.verdict, Verdict::NotRun);
        match refusal.reason {
            Reason::Shed | Reason::Full => Self::Shed(at),
            Reason::Deadline => Self::Late(at),
            _ => Self::Other(at),
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub struct Entry {
    pub key: RequestId,
    pub priority: Priority,
    pub offered: Time,
    pub end: Option<End>,
}

/// Checks that no unprotected request was admitted while a protected one was refused.
pub fn check(history: &[Entry]) -> Result<(), String> {
    let protected = history.iter().filter(|it| it.priority.is_protected());
    for it in protected {
        let (refused, is_shed) = match it.end {
            Some(End::Shed(at)) => (at, true),
            Some(End::Late(at)) => (at, false),
            _ => continue,
        };
        let is_preferred = |other: &&Entry| {
            let Some(End::Started(started)) = other.end else {
                return false;
            };
            let started_first = it.offered < started && started < refused;
            let stayed_queued = other.offered < refused && refused < started;
            !other.priority.is_protected() && (started_first || is_shed && stayed_queued)
        };
        if let Some(other) = history.iter().find(is_preferred) {
            return Err(format!(
                "{} was admitted and {} was not: {it:?}",
                other.key, it.key
            ));
        }
    }
    Ok(())
}
