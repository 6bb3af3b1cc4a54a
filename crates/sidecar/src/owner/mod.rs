//! The owner of the backend server beside this node: admission, connections, answers, liveness.

mod crash;
mod exchange;
mod identify;
mod pool;
mod requests;
mod run;
mod server;
mod warmth;

pub(crate) use requests::Owner;
