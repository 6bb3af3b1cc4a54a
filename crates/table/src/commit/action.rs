//! What the driver has to do.

use std::{sync::Arc, time::Duration};

use cassiashunt_platform::swap::Expected;
use cassiashunt_types::Revision;

use super::Outcome;
use crate::{Block, Head};

/// A head to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// How the platform's head must stand.
    pub expected: Expected,
    /// The new head.
    pub head: Arc<Head>,
}

/// What the driver has to do next; the event in brackets tells what came of it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Action {
    /// Waits, then reads the platform's head ([`Event::Read`](super::Event::Read) or
    /// [`Event::ReadFailed`](super::Event::ReadFailed)).
    Read {
        /// How long to wait first.
        wait: Duration,
    },
    /// Creates an audit value unless it is there ([`Event::AuditKept`](super::Event::AuditKept) or
    /// [`Event::AuditFailed`](super::Event::AuditFailed)).
    KeepAudit(Block),
    /// Reads the audit records of these revisions and any others
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
    /// Asks the peers which heads they have in force ([`Event::HeadReports`](super::Event::HeadReports)).
    AskPeers,
    /// Gives a durable head to the peers ([`Event::Replicated`](super::Event::Replicated)).
    Replicate(Arc<Head>),
    /// Nothing more: this is the outcome.
    Finish(Outcome),
}
