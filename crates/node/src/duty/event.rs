//! What the control thread is told.

use std::net::SocketAddr;

use cassiashunt_member::Phase;
use cassiashunt_wire::Envelope;

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// Time went by.
    Tick,
    /// A sealed message came.
    Datagram {
        from: SocketAddr,
        envelope: Envelope,
    },
    /// Addresses at which nodes may be found.
    Seeds(Vec<SocketAddr>),
    /// Ask every live node which revisions it has in force.
    AskApplied,
    /// The node's phase changed.
    Phase(Phase),
}
