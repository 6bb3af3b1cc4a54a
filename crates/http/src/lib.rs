//! HTTP/1.1 connections towards callers, on blocking sockets.
//!
//! The parsing is `httparse`'s. This crate adds what the daemon has to hold in its own hands:
//! limits on heads, bodies and slow senders; an answer that is sent whole or not at all; a close
//! that cuts off neither side; and whether the caller is still there.

mod answer;
mod budget;
mod connection;
mod error;
mod headers;
mod parts;
mod request;

pub use answer::Answer;
pub use budget::Budget;
pub use connection::{Connection, Incoming, Limits};
pub use error::ReadError;
pub use headers::{Header, Headers};
pub use request::Request;
