//! Messages between the memberships of two nodes.
//!
//! They fit into single datagrams. Field types are chosen for size: random numbers are fixed,
//! small ones are varints, lists of small things are packed bytes.

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
    /// News about members.
    #[prost(message, repeated, tag = "3")]
    pub updates: Vec<Update>,
    /// News of attestations.
    #[prost(message, repeated, tag = "4")]
    pub attestations: Vec<Attestation>,
    /// What the message is for.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9")]
    pub body: Option<Body>,
}

/// What a message is for.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for an answer.
    #[prost(message, tag = "5")]
    Ping(Ping),
    /// Answers a ping or a relayed one.
    #[prost(message, tag = "6")]
    Ack(Ack),
    /// Asks for a ping on the sender's behalf.
    #[prost(message, tag = "7")]
    Relay(Relay),
    /// Asks for the members in a range of ids.
    #[prost(message, tag = "8")]
    Pull(Pull),
    /// Answers a pull; the members are the message's updates.
    #[prost(message, tag = "9")]
    Page(Page),
}

/// Asks for an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {
    /// The sender's number for the answer.
    #[prost(fixed32, tag = "1")]
    pub seq: u32,
    /// The process that is meant; 0 for whoever is there.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// The incarnation at which the sender suspects that process.
    #[prost(uint32, optional, tag = "3")]
    pub suspect: Option<u32>,
    /// Attestations that the sender has seen marked, but does not hold.
    #[prost(fixed32, repeated, tag = "4")]
    pub want: Vec<u32>,
}

/// Answers a ping.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ack {
    /// The number of the ping.
    #[prost(fixed32, tag = "1")]
    pub seq: u32,
    /// The process that answered, where another passes its answer on; 0 for the sender.
    #[prost(fixed64, tag = "2")]
    pub responder: u64,
    /// The sender does not know the process that it answers.
    #[prost(bool, tag = "3")]
    pub is_prober_unknown: bool,
    /// Ages of attestations, packed: four bytes of checksum and one of age each.
    #[prost(bytes = "vec", tag = "4")]
    pub marks: Vec<u8>,
    /// A bucket of the sender's members.
    #[prost(uint32, tag = "5")]
    pub bucket: u32,
    /// The checksum of that bucket; 0 for none given.
    #[prost(fixed32, tag = "6")]
    pub checksum: u32,
    /// Loads of other nodes, packed.
    #[prost(bytes = "vec", tag = "7")]
    pub loads: Vec<u8>,
}

/// Asks for a ping on the sender's behalf.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Relay {
    /// The sender's number for the answer.
    #[prost(fixed32, tag = "1")]
    pub seq: u32,
    /// The process that did not answer.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Its address.
    #[prost(bytes = "vec", tag = "3")]
    pub addr: Vec<u8>,
}

/// Asks for the members in a range of ids.
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
    /// The first id that did not fit; 0 for none.
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
    /// The member's incarnation that the claim is about.
    #[prost(uint32, tag = "2")]
    pub incarnation: u32,
    /// The claim, as [`Claim::number`](crate::Claim::number).
    #[prost(uint32, tag = "3")]
    pub claim: u32,
    /// What the member said about itself in that incarnation.
    #[prost(message, optional, tag = "4")]
    pub record: Option<Record>,
}

/// What a member says about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Record {
    /// IP address (4 or 16 bytes) and port (2 bytes), in network order.
    #[prost(bytes = "vec", tag = "1")]
    pub addr: Vec<u8>,
    /// The failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// The service beside it.
    #[prost(string, optional, tag = "3")]
    pub service: Option<String>,
    /// The slots of the backend server.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// The phase, as [`Phase::number`](crate::Phase::number).
    #[prost(uint32, tag = "5")]
    pub phase: u32,
    /// When the process started, in milliseconds of its wall clock.
    #[prost(uint64, tag = "6")]
    pub start: u64,
}

/// The contents of one attestation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attestation {
    /// The process that attests.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Grows with each change of the contents.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// The contents.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Packs an address.
#[must_use]
pub fn addr_to_bytes(addr: SocketAddr) -> Vec<u8> {
    let mut buf = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    buf.extend_from_slice(&addr.port().to_be_bytes());
    buf
}

/// Unpacks an address; `None` where the length fits no address.
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
