//! Whole fleets in one process, for experiments, the demo and tests.
//!
//! A [`Fleet`] is a platform stand-in with backend servers and a real node beside each, all on
//! loopback. Its [`Operator`] edits the table as operators do; [`launch`] makes a fleet of an
//! experiment file.

mod cuts;
mod experiment;
mod fleet;
mod operator;

pub use cuts::Cuts;
pub use experiment::launch;
pub use fleet::{Fleet, Member, Options, ServerOptions};
pub use operator::Operator;
