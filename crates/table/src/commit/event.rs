//! Results of actions.

use std::sync::Arc;

use cassiashunt_platform::Version;

use super::HeadReports;
use crate::{Head, Record};

/// A head read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The platform's version of the value.
    pub version: Version,
    /// The head.
    pub head: Arc<Head>,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect.
    Applied,
    /// The head did not have the expected version.
    Conflict,
    /// It may have taken effect.
    Unknown,
    /// It did not and will not take effect.
    Failed,
}

/// Result of sending a head to the peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replicated {
    /// A majority of the peers have it, or one that builds on it, in force.
    InForce,
    /// No majority is possible, as peers have a head in force that lacks the edit.
    Refused {
        /// The newest such head.
        by: Arc<Head>,
    },
    /// Too few peers answered in time.
    TooFewAnswers,
}

/// Result of an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's head, or `None` if it has none yet.
    Read(Option<Stored>),
    /// The platform's head could not be read.
    ReadFailed,
    /// The platform holds a value that this program cannot read.
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
    /// The audit value exists.
    AuditKept,
    /// The audit value may not exist, or the audit values could not be read.
    AuditFailed,
    /// The audit records that were read.
    Audit(Vec<Record>),
    /// Result of the compare-and-swap.
    Swapped(Swapped),
    /// The heads that the peers have in force.
    HeadReports(HeadReports),
    /// Result of sending the head to the peers.
    Replicated(Replicated),
}
