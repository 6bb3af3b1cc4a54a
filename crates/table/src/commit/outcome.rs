//! Outcomes of a commit.

use std::fmt;

use cassiashunt_types::Revision;

use crate::{
    LineId,
    edit::{Conflict, Error},
};

/// Why an edit was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// The edit is invalid or too large.
    Edit(Error),
    /// The platform could not be read or written in time.
    PlatformDown,
    /// The edit was dropped when a restored state of the platform was merged with a newer one.
    Dropped,
    /// Concurrent edits kept changing the head until all reads were used.
    Contended,
    /// The platform was restored to an older state and edited since, and the peers' reports do not
    /// decide which line wins.
    Undecided,
    /// The platform holds a head that this program cannot read.
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
}

/// The outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum Outcome {
    /// It is durable and in force at a majority of the peers.
    Accepted {
        /// The first revision that has the edit.
        revision: Revision,
        /// The line that the peers have in force, to be sent to all nodes
        /// ([`Applied::note_accepted`](crate::Applied::note_accepted)).
        line: Option<LineId>,
    },
    /// The current state differs from the one expected; nothing was changed.
    Conflict(Box<Conflict>),
    /// It was not applied and will not be.
    Refused(Refused),
    /// It may have been applied. Committing it again, with the same identifier, is safe.
    StillUnknown,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Edit(err) => err.fmt(f),
            Self::PlatformDown => f.write_str("the platform does not answer; try later"),
            Self::Dropped => f.write_str(
                "the edit was dropped after a restoration of the platform; look again and repeat \
                 it as a new edit",
            ),
            Self::Contended => f.write_str("others keep changing the table; try again"),
            Self::Undecided => f.write_str(
                "the platform was restored and edited since; wait until a majority of the nodes \
                 can be reached",
            ),
            Self::Unreadable { detail } => f.write_str(detail),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { revision, .. } => write!(f, "accepted as revision {revision}"),
            Self::Conflict(conflict) => write!(f, "conflict: {conflict}"),
            Self::Refused(refused) => write!(f, "refused: {refused}"),
            Self::StillUnknown => f.write_str(
                "unknown: the edit may have been applied; repeat it with the same identifier",
            ),
        }
    }
}
