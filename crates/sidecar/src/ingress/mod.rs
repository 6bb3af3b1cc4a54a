//! Requests of clients and of the backend server: read, checked, forwarded, answered.

mod connection;
mod forward;
mod reply;
mod request;
mod split;
mod trace;

pub(crate) use connection::accept_clients;
pub(crate) use split::Splits;
