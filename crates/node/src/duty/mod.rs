//! The threads that keep a node in step with the fleet.

mod control;
mod event;
mod message;
mod platform;
mod threads;
mod udp;

pub(crate) use control::Control;
pub(crate) use threads::Duties;
