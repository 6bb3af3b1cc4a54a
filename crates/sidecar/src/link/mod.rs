//! Connections between nodes: requests to owners and their outcomes, load reports, sums of the
//! aggregation tree, transfers of tokens.

mod accept;
mod connection;
mod dial;
mod encode;
mod frame;
mod socket;
mod state_sync;

pub(crate) use accept::{accept_peers, close_accepted};
pub(crate) use dial::{Link, keep_link};
pub(crate) use frame::{
    Answer, AskTokens, CallCount, CapacityEntry, Delegate, DemandEntry, Down, EntryChanges,
    EntryRow, EvacuationRow, Field, Frame, GiveTokens, Hello, Kind, KnownState, Load, OriginRow,
    Outcome, Proof, RunUse, ServiceUses, StorePosition, SumRow, Table, TriesEntry, Up, UsesRow,
    WorkRequest,
};
pub(crate) use socket::RECEIVE_BYTES as LINK_RECEIVE_BYTES;
pub(crate) use socket::Sender;
