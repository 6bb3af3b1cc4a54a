//! The actions that the state machine requests from its driver.

use std::{sync::Arc, time::Duration};

use cassiashunt_platform::swap::Expected;
use cassiashunt_types::Revision;

use super::Outcome;
use crate::{Block, Head};

/// A head to write by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The version that the platform's head must have.
    pub expected: Expected,
    /// The new head.
    pub head: Arc<Head>,
}

/// The next action of the driver; the event in brackets reports its result.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Waits, then reads the platform's head ([`Event::Read`](super::Event::Read) or
    /// [`Event::ReadFailed`](super::Event::ReadFailed)).
    Read {
        /// How long to wait first.
        wait: Duration,
    },
    /// Creates an audit value unless it exists ([`Event::AuditKept`](super::Event::AuditKept) or
    /// [`Event::AuditFailed`](super::Event::AuditFailed)).
    KeepAudit(Block),
    /// Reads the audit records of at least these revisions
    /// ([`Event::Audit`](super::Event::Audit) or
    /// [`Event::AuditFailed`](super::Event::AuditFailed)).
    ReadAudit {
        /// The oldest revision.
        from: Revision,
        /// The newest revision.
        to: Revision,
    },
    /// Writes the head by compare-and-swap ([`Event::Swapped`](super::Event::Swapped)).
    Swap(Proposal),
    /// Asks the peers which heads they have in force
    /// ([`Event::HeadReports`](super::Event::HeadReports)).
    AskPeers,
    /// Sends a durable head to the peers ([`Event::Replicated`](super::Event::Replicated)).
    Replicate(Arc<Head>),
    /// Ends the commit with this outcome.
    Finish(Outcome),
}
