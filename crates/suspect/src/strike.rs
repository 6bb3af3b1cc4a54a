//! One death of a server, held against a request that was in flight there.

use cassiashunt_types::prelude::*;

/// Identifies one death of a backend server, so that news of it count once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash {
    /// The node beside the server.
    pub owner: NodeId,
    /// Counts the deaths that this node saw; [`Crash::NODE_LOST`] where the node went with it.
    pub number: u32,
}

impl Crash {
    /// The number of the death in which the owning node was lost as well.
    pub const NODE_LOST: u32 = u32::MAX;
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Strike {
    pub(crate) at: Time,
    /// Whether nothing else was in flight.
    pub(crate) is_alone: bool,
    /// Whether a later run of the request finished. Strikes of a request that ran alone stay.
    pub(crate) is_cleared: bool,
    /// Messages in which the strike is still to be spread first.
    pub(crate) sends_left: u32,
}

impl Strike {
    pub(crate) fn counts(&self) -> bool {
        self.is_alone || !self.is_cleared
    }
}
