//! Sends sealed datagrams.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Weak,
};

use cassiashunt_types::NodeId;
use cassiashunt_wire::{Kind, Seal};
use metrics::counter;

use crate::Wiring;

/// The node's side of the control traffic. Only the duties keep the socket open, so that the address is
/// free once they have ended, whoever still waits for a call.
#[derive(Debug, Clone)]
pub(crate) struct Net {
    socket: Weak<UdpSocket>,
    seal: Seal,
    wiring: Wiring,
}

impl Net {
    pub(crate) fn new(socket: Weak<UdpSocket>, seal: Seal, wiring: Wiring) -> Self {
        Self {
            socket,
            seal,
            wiring,
        }
    }

    /// Sends a message; a lost one is as good as one that was never sent.
    pub(crate) fn send(&self, to: SocketAddr, node: Option<NodeId>, kind: Kind, payload: Vec<u8>) {
        let Some(socket) = self.socket.upgrade() else {
            return;
        };
        if self.wiring.is_cut(to) {
            return;
        }
        let datagram = self.seal.seal(node, kind, payload);
        counter!("cassiashunt_control_sent_bytes_total").increment(datagram.len() as u64);
        if let Err(err) = socket.send_to(&datagram, to) {
            log::debug!(event = "datagram-not-sent", to:% = to; "{err}");
        }
    }
}
