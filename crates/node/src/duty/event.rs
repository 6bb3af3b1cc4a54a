//! What the control thread is told.

use std::{net::SocketAddr, sync::mpsc::SyncSender};

use cassiashunt_control::Control;
use cassiashunt_member::Phase;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::Envelope;

use super::platform::Answer;

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
    /// The platform answered.
    Platform(Answer),
    /// A control value came from a peer.
    Control(Control),
    /// A table revision is in force at this node.
    Table(Revision),
    /// Make a durable table revision known to this domain's relays, and say when it is.
    Spread {
        revision: Revision,
        done: SyncSender<()>,
    },
    /// Ask every live node which revisions it has in force.
    AskApplied,
    /// The node's phase changed.
    Phase(Phase),
    /// End the control thread.
    Stop,
}
