//! What came of an action.

use std::sync::Arc;

use cassiashunt_platform::Version;

use super::HeadReports;
use crate::{Head, Record};

/// The head that the platform holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Its version.
    pub version: Version,
    /// The head.
    pub head: Arc<Head>,
}

/// What came of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect.
    Applied,
    /// The head did not stand as expected.
    Conflict,
    /// It may have taken effect.
    Unknown,
    /// It did not and will not take effect.
    Failed,
}

/// What the peers made of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replicated {
    /// A majority of the peers have it, or one that builds on it, in force.
    InForce,
    /// A majority cannot be had, as peers hold a head that lacks the edit.
    Refused {
        /// The newest such head.
        by: Arc<Head>,
    },
    /// Too few answered.
    TooFewAnswers,
}

/// What came of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's head, where there is one.
    Read(Option<Stored>),
    /// The platform's head could not be read.
    ReadFailed,
    /// The platform holds a value that this program cannot read.
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
    /// The audit value is there.
    AuditKept,
    /// The audit value may not be there, or the audit values could not be read.
    AuditFailed,
    /// The audit records.
    Audit(Vec<Record>),
    /// What came of the compare-and-swap.
    Swapped(Swapped),
    /// The heads that the peers have in force.
    HeadReports(HeadReports),
    /// What the peers made of the head.
    Replicated(Replicated),
}
