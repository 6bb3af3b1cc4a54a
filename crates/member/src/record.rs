//! A node's description of itself.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Phase, msg};

/// A node's description of itself, as it is gossiped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Record {
    /// The process.
    pub id: NodeId,
    /// The address at which peers reach it.
    pub addr: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: FailureDomain,
    /// The service of its backend server; `None` until one has announced itself.
    pub service: Option<Service>,
    /// The number of requests that its backend server runs concurrently.
    pub slots: u32,
    /// Its lifecycle phase.
    pub phase: Phase,
    /// When the process started, in milliseconds since the Unix epoch by its wall clock. For
    /// diagnostics only; no decision depends on it.
    pub start: u64,
}

impl From<&Record> for msg::Record {
    fn from(record: &Record) -> Self {
        Self {
            addr: msg::addr_to_bytes(record.addr),
            domain: record.domain.as_str().into(),
            service: record.service.map(|service| service.as_str().into()),
            slots: record.slots,
            phase: record.phase.number(),
            start: record.start,
        }
    }
}

impl Record {
    /// Parses a record; `None` if a field is invalid.
    #[must_use]
    pub fn from_msg(id: NodeId, msg: &msg::Record) -> Option<Self> {
        let service = match &msg.service {
            Some(name) => Some(name.parse().ok()?),
            None => None,
        };
        Some(Self {
            id,
            addr: msg::addr_from_bytes(&msg.addr)?,
            domain: msg.domain.parse().ok()?,
            service,
            slots: msg.slots,
            phase: Phase::from_number(msg.phase)?,
            start: msg.start,
        })
    }
}
