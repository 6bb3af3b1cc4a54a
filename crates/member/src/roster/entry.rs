//! One node listed in a roster.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A node that was alive when the roster was written, or that an earlier writer listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// The id of the process.
    pub id: NodeId,
    /// The address at which peers reach it.
    pub addr: SocketAddr,
    /// The value of [`Value::round`](crate::roster::Value::round) at the last write at which it was
    /// alive.
    pub round: u32,
}
