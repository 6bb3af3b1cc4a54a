//! What the membership is told.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;

use crate::{Load, Phase, msg::Message};

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A period of [`Options::period`](crate::Options::period) passed.
    Tick,
    /// A message came.
    Receive {
        /// The address that it came from, where an answer is sent.
        from: SocketAddr,
        /// The message.
        msg: Message,
    },
    /// Addresses where members may be found.
    Seeds(Vec<SocketAddr>),
    /// The node's own [`Lifecycle`](crate::Lifecycle) entered a phase.
    SetPhase(Phase),
    /// The backend server beside the node announced itself, anew or with other numbers.
    SetBackend {
        /// Its service; `None` when it is gone.
        service: Option<Service>,
        /// The requests that it runs at once.
        slots: u32,
    },
    /// The node's own load changed.
    SetLoad(Load),
    /// The node attests something that was true at `at`.
    Attest {
        /// Up to [`ATTESTATION_BYTES`](crate::ATTESTATION_BYTES); longer contents are not sent.
        body: Vec<u8>,
        /// When the question was sent whose answer is attested.
        at: Time,
    },
    /// The node no longer attests.
    StopAttesting,
}
