//! Messages that the memberships of two nodes exchange.
//!
//! Each fits into one datagram. Field types minimize the encoded size: random numbers are
//! fixed-width, small numbers are varints, and lists of small items are packed bytes.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The sending process.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// The sender's own load, as [`Load::number`](crate::Load::number); 0 for none.
    #[prost(uint32, tag = "2")]
    pub load: u32,
    /// Gossiped updates about members, or the members of a page.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<Update>,
    /// Contents of attestations, gossiped or requested by [`Ping::want`].
    #[prost(message, repeated, tag = "4")]
    pub attestations: Vec<Attestation>,
    /// The request or answer; absent in notices of a departure.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9")]
    pub body: Option<Body>,
}

/// The request or answer that a message carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Probes the recipient, which answers with an [`Ack`].
    #[prost(message, tag = "5")]
    Ping(Ping),
    /// Answers a ping, or passes on the answer to a relayed one.
    #[prost(message, tag = "6")]
    Ack(Ack),
    /// Asks the recipient to ping a third process on the sender's behalf.
    #[prost(message, tag = "7")]
    Relay(Relay),
    /// Requests the members in a range of ids.
    #[prost(message, tag = "8")]
    Pull(Pull),
    /// Answers a pull; the members are the message's updates.
    #[prost(message, tag = "9")]
    Page(Page),
}

/// Probes the recipient.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    /// The sender's sequence number, which the answer repeats.
    #[prost(fixed32, tag = "1")]
    pub seq: u32,
    /// The probed process; 0 for whichever process has the address.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// The incarnation in which the sender suspects that process; absent if it does not.
    #[prost(uint32, optional, tag = "3")]
    pub suspect: Option<u32>,
    /// Checksums of attestations for which the sender has received a mark but not the contents.
    #[prost(fixed32, repeated, tag = "4")]
    pub want: Vec<u32>,
}

/// Answers a ping.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    /// The sequence number of the ping.
    #[prost(fixed32, tag = "1")]
    pub seq: u32,
    /// The process that answered, if the sender passes its answer on; 0 for the sender itself.
    #[prost(fixed64, tag = "2")]
    pub responder: u64,
    /// Whether the prober is missing from the view of the sender of this ack.
    #[prost(bool, tag = "3")]
    pub is_prober_unknown: bool,
    /// Ages of attestations (marks), packed: four bytes of checksum and one byte of age each, in
    /// units of 16 ms.
    #[prost(bytes = "vec", tag = "4")]
    pub marks: Vec<u8>,
    /// The number of one bucket of the sender's members.
    #[prost(uint32, tag = "5")]
    pub bucket: u32,
    /// The checksum of that bucket; 0 if absent.
    #[prost(fixed32, tag = "6")]
    pub checksum: u32,
    /// Load hints about other nodes, packed: seven bytes each.
    #[prost(bytes = "vec", tag = "7")]
    pub loads: Vec<u8>,
}

/// Asks the recipient to ping a third process on the sender's behalf.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Relay {
    /// The sender's sequence number, which the answer repeats.
    #[prost(fixed32, tag = "1")]
    pub seq: u32,
    /// The process that did not answer the sender.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Its address.
    #[prost(bytes = "vec", tag = "3")]
    pub addr: Vec<u8>,
}

/// Requests the members in a range of ids.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// The first id of the range.
    #[prost(fixed64, tag = "1")]
    pub first: u64,
    /// The last id of the range.
    #[prost(fixed64, tag = "2")]
    pub last: u64,
}

/// Answers a pull.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Page {
    /// The first id that did not fit; 0 if the range is complete.
    #[prost(fixed64, tag = "1")]
    pub next: u64,
    /// The last id of the range.
    #[prost(fixed64, tag = "2")]
    pub last: u64,
}

/// A claim about a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// The member.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The member's incarnation to which the claim applies.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// The claim, as [`Claim::number`](crate::Claim::number).
    #[prost(uint32, tag = "3")]
    pub claim: u32,
    /// The member's description of itself in that incarnation; absent in compact updates.
    #[prost(message, optional, tag = "4")]
    pub record: Option<Record>,
}

/// A member's description of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// IP address (4 or 16 bytes) and port (2 bytes), in network order.
    #[prost(bytes = "vec", tag = "1")]
    pub addr: Vec<u8>,
    /// The failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The service of its backend server; absent until one has announced itself.
    #[prost(string, optional, tag = "3")]
    pub service: Option<String>,
    /// The number of requests that the backend server runs concurrently.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// The phase, as [`Phase::number`](crate::Phase::number).
    #[prost(uint32, tag = "5")]
    pub phase: u32,
    /// When the process started, in milliseconds since the Unix epoch by its wall clock.
    #[prost(uint64, tag = "6")]
    pub start: u64,
}

/// The contents of one attestation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attestation {
    /// The process that attests.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Raised with each change of the contents.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// The contents, up to [`MAX_ATTESTATION_BYTES`](crate::MAX_ATTESTATION_BYTES).
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Encodes an address: IP (4 or 16 bytes) and port (2 bytes), in network order.
#[must_use]
pub fn addr_to_bytes(addr: SocketAddr) -> Vec<u8> {
    let mut buf = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    buf.extend_from_slice(&addr.port().to_be_bytes());
    buf
}

/// Decodes an address; `None` unless the length is 6 or 18 bytes.
#[must_use]
pub fn addr_from_bytes(buf: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = buf.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::V4(Ipv4Addr::from(<[u8; 4]>::try_from(ip).ok()?)),
        16 => IpAddr::V6(Ipv6Addr::from(<[u8; 16]>::try_from(ip).ok()?)),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
