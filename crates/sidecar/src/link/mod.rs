//! Connections between nodes: requests to owners and their outcomes, loads, transfers of tokens.

mod accept;
mod connected;
mod dial;
mod frame;
mod news;
mod socket;

pub(crate) use accept::accept_peers;
pub(crate) use dial::{Link, keep_link};
pub(crate) use frame::{
    Answer, AskTokens, CallCount, CapacityEntry, Delegate, DemandEntry, Down, EntryNews, EntryRow,
    Field, Frame, GiveTokens, Hello, Kind, Known, Load, OriginRow, Outcome, Proof, RunUse,
    ServiceUses, SumRow, Table, Up, UsesRow, WorkRequest,
};
pub(crate) use socket::Sender;
