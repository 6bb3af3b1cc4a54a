//! How a node's start fails and how its stop ends.

use std::{fmt, io, net::SocketAddr};

/// Why a node did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address of the settings cannot be used.
    Bind {
        /// The settings key.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The operating system gives no thread.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { key, addr, source } => {
                write!(f, "{key}: cannot listen at {addr}: {source}")
            }
            Self::Thread(source) => write!(f, "cannot start a thread: {source}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(err: io::Error) -> Self {
        Self::Thread(err)
    }
}

/// How a stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopped {
    /// Everything in flight was finished.
    Drained,
    /// The longest time for a stop passed with requests in flight.
    TimedOut {
        /// Requests that were cut off.
        cut_off: usize,
    },
}
