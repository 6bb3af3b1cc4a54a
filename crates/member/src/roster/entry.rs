//! One address in a roster.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A node that answered when the roster was written, or was listed by an earlier writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Entry {
    /// The process.
    pub id: NodeId,
    /// Where peers reach it.
    pub addr: SocketAddr,
    /// The round of writing in which it last answered.
    pub round: u32,
}
