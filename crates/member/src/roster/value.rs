//! The value of one failure domain.

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
    /// Counts the writes.
    pub round: u32,
    /// Addresses, those that answered last first.
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
    /// The bytes that are kept in the platform.
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

    /// Reads the bytes of a value.
    ///
    /// # Errors
    ///
    /// [`Invalid`] where they are no roster.
    pub fn from_bytes(buf: &[u8]) -> Result<Self, Invalid> {
        let msg = ValueMsg::decode(buf).map_err(|_| Invalid)?;
        let entries = msg.entries.into_iter().map(read_entry);
        Ok(Self {
            round: msg.round,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}

fn read_entry(msg: EntryMsg) -> Result<Entry, Invalid> {
    let addr = msg::addr_from_bytes(&msg.addr).ok_or(Invalid)?;
    Ok(Entry {
        id: NodeId(msg.id),
        addr,
        round: msg.round,
    })
}
