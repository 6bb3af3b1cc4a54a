//! Connections between nodes: one for each direction of a pair in use.
//!
//! A connection has a reading and a writing thread. Every request has a ring of its own for its
//! answer, so that one caller never waits for another's.

mod dialer;
mod listener;
mod pending;
mod pool;
mod stream;
mod submit;

pub(crate) use dialer::{ANSWER_PIECES, CHUNK_BYTES, Call, Link, chunks};
pub(crate) use listener::{Acceptor, Options as AcceptorOptions};
pub(crate) use pool::{Links, Options, Peer};
pub(crate) use stream::{Path, Queued};
pub(crate) use submit::Submit;
