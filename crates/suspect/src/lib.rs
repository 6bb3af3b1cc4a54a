//! Containment of requests that crash backend servers.
//!
//! [`Suspects`] records strikes against requests that were in flight when a server crashed, and
//! decides whether a request may run. A suspect runs only alone, with a permit that one node of the
//! fleet, the coordinator, gives for its fingerprint ([`Permits`]), so that it never runs on two
//! servers at once. Where suspects may run beside other requests, all nodes send the same suspect
//! to the same server instead ([`node_weight`]). Nothing here does I/O: the caller passes the
//! current time and transports the messages, which are `prost` values.

mod coordinator;
mod fingerprint;
pub mod holder;
mod in_flight;
pub mod message;
pub mod permits;
mod strike;
pub mod suspects;

pub use coordinator::{coordinator, node_weight};
pub use fingerprint::Fingerprint;
pub use holder::Holder;
pub use in_flight::InFlight;
pub use permits::Permits;
pub use strike::Crash;
pub use suspects::{Decision, Suspects};
