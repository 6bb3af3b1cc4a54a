//! Sends sealed datagrams.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

use cassiashunt_types::NodeId;
use cassiashunt_wire::{Kind, Seal};
use metrics::counter;

use crate::Wiring;

/// The node's side of the control traffic.
#[derive(Debug)]
pub(crate) struct Net {
    socket: UdpSocket,
    seal: Seal,
    wiring: Wiring,
}

impl Net {
    pub(crate) fn new(socket: UdpSocket, seal: Seal, wiring: Wiring) -> Self {
        Self {
            socket,
            seal,
            wiring,
        }
    }

    /// Another handle on the same socket.
    pub(crate) fn try_clone(&self) -> io::Result<Self> {
        Ok(Self {
            socket: self.socket.try_clone()?,
            seal: self.seal.clone(),
            wiring: self.wiring.clone(),
        })
    }

    pub(super) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    pub(super) fn seal(&self) -> &Seal {
        &self.seal
    }

    /// Sends a message; a lost one is as good as one that was never sent.
    pub(crate) fn send(&self, to: SocketAddr, node: Option<NodeId>, kind: Kind, payload: Vec<u8>) {
        if self.wiring.is_cut(to) {
            return;
        }
        let datagram = self.seal.seal(node, kind, payload);
        counter!("cassiashunt_control_sent_bytes_total").increment(datagram.len() as u64);
        if let Err(err) = self.socket.send_to(&datagram, to) {
            log::debug!(event = "datagram-not-sent", to:% = to; "{err}");
        }
    }
}
