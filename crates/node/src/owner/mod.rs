//! The owning side: the only way to the backend server beside the node.
//!
//! Requests come in by [`Owner::start`], wait in [`cassiashunt_admit::Admission`], and are run by
//! a fixed set of worker threads, at most as many at once as the admission starts.

mod backend;
mod health;
mod job;
mod owner;
mod reply;
mod run;

pub(crate) use backend::Backend;
pub(crate) use job::Job;
pub(crate) use owner::{Gate, Options, Owner, Rank, nobody};
pub(crate) use reply::{Reply, Submit};
