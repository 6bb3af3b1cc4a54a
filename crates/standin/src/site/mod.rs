//! Stand-ins for what the users' platform puts around a node: its metadata store, an application
//! server and a client, by the users' protocol, with faults; and the settings of a node between them.

mod client;
mod server;
mod settings;
mod store;
mod wire;

pub use client::{Answer, Request, ask, open};
pub use server::{ATTEMPT, Behaviour, Run, Server, refusal};
pub use settings::{Addresses, NodeSettings, table};
pub use store::{Door, Fault, Snapshot, Store};
