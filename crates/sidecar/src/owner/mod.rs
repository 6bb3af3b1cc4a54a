//! The way to the backend server beside this node: admission, connections, answers.

mod death;
mod exchange;
mod pool;
mod requests;
mod run;
mod server;

pub(crate) use requests::Owner;
