//! Ingress: reads, authenticates, admits, forwards and answers requests of clients and of the
//! backend server.

mod connection;
mod counted;
mod forward;
mod open_request;
mod reply;
mod request;
mod split;
mod trace;
mod turn;

pub(crate) use connection::accept_clients;
pub(crate) use request::{fingerprint, out_of_touch_priority, priority};
pub(crate) use split::TrafficSplits;
