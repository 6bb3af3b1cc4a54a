//! Sealed datagrams for control messages.

use std::fmt;

use cassiashunt_types::NodeId;
use prost::Message;

use crate::Secret;

/// Bytes of the code at the end of a datagram: HMAC-SHA256 cut to 128 bits (RFC 2104, section 5).
const CODE_BYTES: usize = 16;

/// Which part a control message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Membership.
    Member = 0,
    /// Relay reports and control revisions.
    Control = 1,
    /// Limit authority and grants.
    Limit = 2,
    /// Idempotency records.
    Once = 3,
    /// Requests suspected of crashing servers.
    Suspect = 4,
    /// Requests for and parts of the configuration.
    Config = 5,
}

/// One control message with its sender and receiver.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The sending node.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The node that is meant; zero for whoever listens at the address.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// The part that is meant.
    #[prost(enumeration = "Kind", tag = "3")]
    pub kind: i32,
    /// The part's own message.
    #[prost(bytes = "vec", tag = "4")]
    pub payload: Vec<u8>,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SealError {
    /// Shorter than a code.
    Short,
    /// The code is not right: damaged, or from outside the fleet.
    Code,
    /// The code is right, the content is no envelope.
    Malformed,
    /// Meant for another run of a node.
    Misdirected,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "datagram too short",
            Self::Code => "datagram with a wrong code",
            Self::Malformed => "malformed datagram",
            Self::Misdirected => "datagram for another node",
        })
    }
}

impl std::error::Error for SealError {}

/// Seals and opens one node's datagrams.
#[derive(Debug, Clone)]
pub struct Seal {
    node: NodeId,
    secret: Secret,
}

impl Seal {
    /// The seal of `node`.
    #[must_use]
    pub fn new(node: NodeId, secret: Secret) -> Self {
        Self { node, secret }
    }

    /// The node whose datagrams these are.
    #[must_use]
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// The datagram that carries `payload` to `to`; `None` is whoever listens at the address.
    #[must_use]
    pub fn seal(&self, to: Option<NodeId>, kind: Kind, payload: Vec<u8>) -> Vec<u8> {
        let to = to.map_or(0, |node| node.0);
        let envelope = Envelope {
            from: self.node.0,
            to,
            kind: kind.into(),
            payload,
        };
        let mut buf = envelope.encode_to_vec();
        let code = self.secret.mac(&[&buf]);
        buf.extend_from_slice(&code[..CODE_BYTES]);
        buf
    }

    /// Checks and reads a datagram.
    ///
    /// # Errors
    ///
    /// Any error means that the datagram is to be dropped and counted.
    pub fn open(&self, datagram: &[u8]) -> Result<Envelope, SealError> {
        let Some(len) = datagram.len().checked_sub(CODE_BYTES) else {
            return Err(SealError::Short);
        };
        let (content, code) = datagram.split_at(len);
        if !self.secret.verify(&[content], code) {
            return Err(SealError::Code);
        }
        let envelope = Envelope::decode(content).map_err(|_| SealError::Malformed)?;
        if envelope.to != 0 && envelope.to != self.node.0 {
            return Err(SealError::Misdirected);
        }
        Ok(envelope)
    }
}
