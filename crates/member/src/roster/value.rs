//! The stored value of one failure domain's roster.

use cassiashunt_types::prelude::*;
use prost::Message as _;
use serde::{Deserialize, Serialize};

use crate::{
    msg,
    roster::{Entry, Invalid},
};

/// The roster of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Value {
    /// The number of times the roster has been written.
    pub round: u32,
    /// Listed nodes: first those alive at the last write, then inherited ones.
    pub entries: Vec<Entry>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ValueMsg {
    #[prost(uint32, tag = "1")]
    round: u32,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<EntryMsg>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EntryMsg {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(bytes = "vec", tag = "2")]
    addr: Vec<u8>,
    #[prost(uint32, tag = "3")]
    round: u32,
}

impl Value {
    /// Encodes the value as it is stored in the platform.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let entries = self.entries.iter().map(|entry| EntryMsg {
            id: entry.id.0,
            addr: msg::addr_to_bytes(entry.addr),
            round: entry.round,
        });
        let msg = ValueMsg {
            round: self.round,
            entries: entries.collect(),
        };
        msg.encode_to_vec()
    }

    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// [`Invalid`] if the bytes do not encode a roster.
    pub fn from_bytes(buf: &[u8]) -> Result<Self, Invalid> {
        let msg = ValueMsg::decode(buf).map_err(|_| Invalid)?;
        let entries = msg.entries.into_iter().map(decode_entry);
        Ok(Self {
            round: msg.round,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}

fn decode_entry(msg: EntryMsg) -> Result<Entry, Invalid> {
    let addr = msg::addr_from_bytes(&msg.addr).ok_or(Invalid)?;
    Ok(Entry {
        id: NodeId(msg.id),
        addr,
        round: msg.round,
    })
}
