//! The history of one queue, and its check.

use cassiashunt_admit::Priority;
use cassiashunt_types::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Started(Time),
    /// Refused because of overload.
    Shed(Time),
    /// Refused because it could not finish in time.
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

/// Checks that no unprotected request was admitted in place of a protected one.
pub fn check(history: &[Entry]) -> Result<(), String> {
    let protected = history.iter().filter(|it| it.priority.is_protected());
    for it in protected {
        let (refused, is_shed) = match it.end {
            Some(End::Shed(at)) => (at, true),
            Some(End::Late(at)) => (at, false),
            _ => continue,
        };
        let is_before = |other: &&Entry| {
            let Some(End::Started(started)) = other.end else {
                return false;
            };
            let overtook = it.offered < started && started < refused;
            let outlasted = other.offered < refused && refused < started;
            !other.priority.is_protected() && (overtook || is_shed && outlasted)
        };
        if let Some(other) = history.iter().find(is_before) {
            return Err(format!(
                "{} was admitted and {} was not: {it:?}",
                other.key, it.key
            ));
        }
    }
    Ok(())
}
