//! The way to the backend server beside this node: admission, connections, answers.

mod exchange;
#[expect(clippy::module_inception)]
mod owner;
mod pool;
mod server;

pub(crate) use owner::Owner;
