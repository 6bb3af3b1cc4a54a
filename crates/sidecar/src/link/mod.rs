//! Connections between nodes: requests to owners and their outcomes, loads, transfers of tokens.

mod accept;
mod dial;
mod frame;
mod socket;

pub(crate) use accept::accept_peers;
pub(crate) use dial::{Link, keep_link};
pub(crate) use frame::{
    Answer, AskTokens, CallCount, Delegate, DemandEntry, Field, Frame, GiveTokens, Hello, Kind,
    Load, Outcome, Proof, RunUse, Table, WorkRequest,
};
