//! Inputs of the membership.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;

use crate::{Load, Phase, msg::Message};

/// An input of the membership.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// [`Options::period`](crate::Options::period) has passed since the last tick.
    Tick,
    /// A message was received.
    Receive {
        /// The source address, to which an answer is sent.
        from: SocketAddr,
        /// The message.
        msg: Message,
    },
    /// Addresses where members may be found.
    Seeds(Vec<SocketAddr>),
    /// The node's own [`Lifecycle`](crate::Lifecycle) entered a phase.
    SetPhase(Phase),
    /// The backend server announced itself, changed its description or disconnected.
    SetBackend {
        /// Its service; `None` after it has disconnected.
        service: Option<Service>,
        /// The number of requests that it runs concurrently.
        slots: u32,
    },
    /// The node's own load changed.
    SetLoad(Load),
    /// The node attests something that was true at `at`.
    Attest {
        /// Up to [`MAX_ATTESTATION_BYTES`](crate::MAX_ATTESTATION_BYTES); longer contents are
        /// ignored.
        body: Vec<u8>,
        /// When the request was sent whose answer is attested.
        at: Time,
    },
    /// The node no longer attests.
    StopAttesting,
}
