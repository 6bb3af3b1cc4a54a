//! A soak of nodes of the users' platform: real processes between stand-ins, faults from outside,
//! and a judge of what callers and servers saw.
//!
//! [`run`] plays one seed. Its faults are drawn before it begins ([`faults::schedule`]), so that a
//! seed has the same faults each time; their timing against requests is the machine's.

mod client;
pub mod faults;
pub mod foreign;
pub mod history;
mod keys;
mod process;
pub mod proxy;
mod run;
mod site;

pub use history::{History, Violation};
pub use run::{Options, Report, run};
