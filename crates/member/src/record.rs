//! What a node says about itself.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Phase, msg};

/// One node as it describes itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Record {
    /// The process.
    pub id: NodeId,
    /// Where peers reach it.
    pub addr: SocketAddr,
    /// Where it runs.
    pub domain: FailureDomain,
    /// The service of the backend server beside it, once one has announced itself.
    pub service: Option<Service>,
    /// The requests that its backend server runs at once.
    pub slots: u32,
    /// The state of its life.
    pub phase: Phase,
    /// When the process started, in milliseconds of its wall clock; for people to read, nothing
    /// is decided by it.
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
    /// Reads a record; `None` where a field is not valid.
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
