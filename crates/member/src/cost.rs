//! The network traffic of the membership.

use cassiashunt_types::prelude::*;
use prost::Message as _;

use crate::{
    Load, Options,
    msg::{Ack, Body, Message, Ping, Record, Update},
};

/// Bytes of IPv4 and UDP headers of one datagram.
pub const HEADER_BYTES: usize = 28;

/// Encoded size of one attestation mark.
const MARK_BYTES: usize = 5;

/// Encoded size of one load hint.
const HINT_BYTES: usize = 7;

/// The fleet for which a cost is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fleet {
    /// The number of nodes, this one included.
    pub nodes: usize,
    /// The number of nodes that attest.
    pub attesting: usize,
    /// Record changes a second in the whole fleet.
    pub changes_per_second: f64,
}

/// Traffic of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Bytes sent a second, headers included.
    pub sent: f64,
    /// Bytes received a second, headers included.
    pub received: f64,
}

impl Cost {
    /// The average cost of one node while members join and leave slowly.
    ///
    /// Each period, a node sends a ping and, on average, answers one. Every node sends the update
    /// about each change [`Options::sends`] times. Initial syncs and pages are not counted.
    #[must_use]
    pub fn of(opts: &Options, fleet: &Fleet) -> Self {
        if fleet.nodes < 2 {
            return Self {
                sent: 0.0,
                received: 0.0,
            };
        }
        let exchange = datagram_bytes(&ping()) + datagram_bytes(&ack(opts, fleet));
        let probing = f64::from(exchange) / opts.period.as_secs_f64();
        let gossip = f64::from(opts.sends(fleet.nodes)) * f64::from(update_bytes());
        let sent = probing + gossip * fleet.changes_per_second;
        Self {
            sent,
            received: sent,
        }
    }

    /// Bytes a second in both directions.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.sent + self.received
    }
}

fn datagram_bytes(msg: &Message) -> u32 {
    let bytes = msg.encoded_len() + HEADER_BYTES;
    u32::try_from(bytes).expect("a datagram is longer than u32::MAX bytes")
}

fn update_bytes() -> u32 {
    let record = Record {
        addr: vec![1; 6],
        domain: "domain".into(),
        service: Some("a-service".into()),
        slots: 100,
        phase: 2,
        start: 1 << 41,
    };
    let update = Update {
        id: 1,
        incarnation: 2,
        claim: 0,
        record: Some(record),
    };
    u32::try_from(update.encoded_len() + 2).expect("an update is longer than u32::MAX bytes")
}

fn message(body: Body) -> Message {
    let load = Load {
        threshold: 100,
        load: 100,
    };
    Message {
        from: NodeId(1).0,
        load: load.number(),
        body: Some(body),
        ..Default::default()
    }
}

fn ping() -> Message {
    message(Body::Ping(Ping {
        seq: 1,
        to: 1,
        ..Default::default()
    }))
}

fn ack(opts: &Options, fleet: &Fleet) -> Message {
    let marks = fleet.attesting.min(opts.mark_slots);
    let hints = (fleet.nodes - 2).min(opts.load_slots);
    message(Body::Ack(Ack {
        seq: 1,
        marks: vec![1; marks * MARK_BYTES],
        bucket: 1,
        checksum: 1,
        loads: vec![1; hints * HINT_BYTES],
        ..Default::default()
    }))
}
