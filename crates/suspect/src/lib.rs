//! Containment of requests that crash backend servers.
//!
//! [`Suspects`] holds the strikes against requests that were in flight when a server died, and
//! decides whether a request may run. A suspect runs only alone, with a permit that one node of
//! the fleet gives for its fingerprint ([`Permits`]), so that it is never on two servers at once.
//! Both are pure: the time is handed in, and messages are `prost` values that others carry.

mod coordinator;
mod fingerprint;
pub mod holder;
pub mod message;
pub mod permits;
mod strike;
pub mod suspects;

pub use coordinator::coordinator;
pub use fingerprint::Fingerprint;
pub use holder::Holder;
pub use permits::Permits;
pub use strike::Death;
pub use suspects::{Decision, Suspects};
