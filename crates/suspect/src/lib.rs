//! Containment of requests that crash backend servers.
//!
//! [`Suspects`] holds the strikes against requests that were in flight when a server died, and
//! decides whether a request may run. A suspect runs only alone, with a permit that one node of
//! the fleet gives for its fingerprint ([`Permits`]), so that it is never on two servers at once.
//! Where suspects may run beside other requests, all nodes send one to the same server instead
//! ([`node_weight`]). All are pure: the time is handed in, and messages are `prost` values that others
//! carry.

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
