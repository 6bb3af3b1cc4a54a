//! The signals that the process handles.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

/// Handlers of the process's signals. A signal that arrives before [`Signals::next`] is awaited is
/// kept.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers; within a runtime only.
    pub(crate) fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
