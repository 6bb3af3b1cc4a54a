//! Stand-ins for what the users' platform puts around a node: its metadata store, an application
//! server and a client, by the users' protocol, with faults.

mod client;
mod server;
mod store;
mod wire;

pub use client::{Answer, Request, ask, open};
pub use server::{ATTEMPT, Behaviour, Run, Server};
pub use store::{Door, Fault, Store};
