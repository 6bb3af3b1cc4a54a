//! A timer service that parts subscribe to.
//!
//! [`Queue`] is the pure part: it keeps due times and tells which have come. [`Service`] runs a
//! queue on a thread of its own and sends each subscriber its ticks over a bounded ring. [`Clock`]
//! is the only reader of the operating system's monotonic clock.

mod clock;
mod queue;
pub mod service;

pub use clock::Clock;
pub use queue::{Due, Queue, TimerKey};
pub use service::Service;
