//! Outputs of the membership.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;

use crate::{Departure, msg::Message};

/// A message to send or a change to report.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message; the membership tolerates its loss.
    Send {
        /// The destination address.
        to: SocketAddr,
        /// The message.
        msg: Message,
    },
    /// A member was added to the view.
    Joined(NodeId),
    /// A member's record or reach changed.
    Changed(NodeId),
    /// A member was removed from the view.
    Left(NodeId, Departure),
    /// The contents of a node's attestation changed.
    Attested(NodeId),
    /// This node refuted another node's suspicion by raising its own incarnation.
    Refuted,
    /// Another node has a tombstone for this node; the process has to take a new id.
    Evicted,
}
