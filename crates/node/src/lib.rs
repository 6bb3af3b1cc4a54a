//! The node daemon: duties, threads and sockets around the pure parts.
//!
//! [`Node::start`] runs a node in this process until [`Node::stop`]. A request comes in at
//! `ingress`, travels over `link` to the node that owns the chosen backend server, and is run by
//! `owner`. `duty` holds the threads that keep the node in step with the fleet.

mod config;
mod duty;
mod fleet;
mod headers;
mod ingress;
mod limits;
mod link;
mod node;
mod once;
mod operator;
mod owner;
pub mod settings;
mod shared;
mod start;
mod stats;
mod suspects;
mod ticket;
mod wiring;

pub use node::{Addresses, Node};
pub use settings::Settings;
pub use start::{StartError, Stopped};
pub use wiring::{Cut, Wiring};
