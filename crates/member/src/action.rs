//! What the membership asks for and reports.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;

use crate::{Departure, msg::Message};

/// Something to do or to know.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        msg: Message,
    },
    /// A member is new.
    Joined(NodeId),
    /// A member's record or reach changed.
    Changed(NodeId),
    /// A member is no longer kept.
    Left(NodeId, Departure),
    /// The contents of a node's attestation changed.
    Attested(NodeId),
    /// Others suspected this node, and it answered with a higher incarnation.
    Refuted,
    /// Others hold this node for gone; the process has to take a new id.
    Evicted,
}
