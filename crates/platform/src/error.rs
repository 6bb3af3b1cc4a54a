//! Errors of the key-value service.

use std::fmt;

use crate::{LeaseId, MAX_VALUE_BYTES};

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The service could not be reached or refused to serve.
    Down {
        /// What was seen.
        detail: String,
    },
    /// No answer came in time, or it was lost.
    Lost {
        /// What was seen.
        detail: String,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`].
    TooLarge {
        /// The key.
        key: String,
        /// The size of the value, in bytes.
        bytes: usize,
    },
    /// The lease does not exist or has lapsed.
    NoLease {
        /// The lease.
        lease: LeaseId,
    },
    /// The process has spent its call budget; nothing was sent.
    OverBudget,
    /// The service answered in a way that it should not.
    Protocol {
        /// What was seen.
        detail: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down { detail } => write!(f, "the platform is down: {detail}"),
            Self::Lost { detail } => write!(f, "the platform's answer was lost: {detail}"),
            Self::TooLarge { key, bytes } => write!(
                f,
                "the value of {key} has {bytes} bytes, more than the {MAX_VALUE_BYTES} allowed"
            ),
            Self::NoLease { lease } => write!(f, "lease {lease} does not exist or has lapsed"),
            Self::OverBudget => f.write_str("the budget of platform calls is spent; try later"),
            Self::Protocol { detail } => write!(f, "unexpected answer of the platform: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
