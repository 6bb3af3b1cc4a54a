//! The owning side: the only way to the backend server beside the node.
//!
//! Requests come in by [`Owner::start`], wait in [`cassiashunt_admit::Admission`], and are run by
//! a fixed set of worker threads, at most as many at once as the admission starts.

mod backend;
mod gate;
mod health;
mod job;
mod reply;
mod run;
mod server;

pub(crate) use backend::Backend;
pub(crate) use gate::Gate;
pub(crate) use job::Job;
pub(crate) use reply::Reply;
pub(crate) use server::{Options, Owner, nobody};
