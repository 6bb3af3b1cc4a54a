//! Open-loop load, experiments and their reports.
//!
//! An [`Experiment`] is read from a TOML file. Its [`schedule`] is fixed before a run begins, so
//! that a slow answer delays no later request, and latency counts from the intended time of
//! sending. [`run`] launches one fleet after another by a closure, offers each the same schedule,
//! and gives a [`report::Report`] per variant. Load goes to loopback only.

pub mod capacity;
pub mod client;
pub mod experiment;
pub mod fleet;
pub mod history;
pub mod outcome;
pub mod plot;
pub mod recovery;
pub mod report;
pub mod run;
pub mod schedule;
pub mod share;
pub mod table;

pub use experiment::Experiment;
pub use fleet::Fleet;
pub use outcome::{Outcome, Sample};
