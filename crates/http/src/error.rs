//! Why a request could not be read.

use std::{fmt, io};

/// Why a request could not be read. None of these requests was acted upon.
#[derive(Debug)]
pub enum ReadError {
    /// The head is no HTTP/1.x request head.
    Malformed(&'static str),
    /// The head is longer, or has more lines, than the limits allow.
    HeadTooLarge,
    /// The body is longer than the limits allow.
    BodyTooLarge,
    /// The bodies of all connections leave no room for this one.
    NoRoom,
    /// The sender took longer than the limits allow.
    Slow,
    /// The connection ended within a request.
    CutOff,
    /// The socket failed.
    Io(io::Error),
}

impl ReadError {
    /// Whether an answer can still reach the sender.
    #[must_use]
    pub fn is_answerable(&self) -> bool {
        !matches!(self, Self::CutOff | Self::Io(_))
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "malformed request: {what}"),
            Self::HeadTooLarge => f.write_str("the request's head is too large"),
            Self::BodyTooLarge => f.write_str("the request's body is too large"),
            Self::NoRoom => f.write_str("the bodies of all connections leave no room"),
            Self::Slow => f.write_str("the request did not arrive in time"),
            Self::CutOff => f.write_str("the connection ended within a request"),
            Self::Io(err) => write!(f, "socket: {err}"),
        }
    }
}

impl std::error::Error for ReadError {}
