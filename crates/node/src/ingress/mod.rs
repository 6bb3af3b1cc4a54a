//! The ingress side: callers' connections, and the way of a request to its server and back.

mod accept;
mod answer;
mod collect;
mod forward;
mod plan;
mod serve;
mod strip;

pub(crate) use accept::{Acceptor, Options};
pub(crate) use collect::Held;
pub(crate) use plan::resolve;
