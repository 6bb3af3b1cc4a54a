//! Server crashes, and the strikes against the requests that were in flight.

use cassiashunt_types::prelude::*;

/// Identifies one crash of a backend server, so that repeated reports of it count once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Crash {
    /// The node beside the server.
    pub owner: NodeId,
    /// The number of crashes of the server that this node has recorded, this one included;
    /// [`Crash::NODE_LOST`] where the node was lost too.
    pub number: u32,
}

impl Crash {
    /// The number of the crash in which the owning node was lost as well.
    pub const NODE_LOST: u32 = u32::MAX;
}

/// One crash counted against one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Strike {
    pub(crate) at: Time,
    /// Whether the request was the only one in flight, or the only suspect where suspects run
    /// beside other requests.
    pub(crate) is_alone: bool,
    /// Whether a later run of the request finished. A strike of a request that ran alone counts
    /// even then.
    pub(crate) is_cleared: bool,
    /// In how many more messages the strike takes precedence over strikes already sent.
    pub(crate) sends_left: u32,
}

impl Strike {
    /// Whether the strike still counts against its request.
    pub(crate) fn counts(&self) -> bool {
        self.is_alone || !self.is_cleared
    }
}
