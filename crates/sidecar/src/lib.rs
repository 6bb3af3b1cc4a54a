//! The node beside a backend server on the users' platform.
//!
//! One event loop on one thread owns the sockets and timers. What it believes and decides is kept
//! in the pure parts of `cassiashunt-mesh`, `cassiashunt-admit`, `cassiashunt-route` and
//! `cassiashunt-suspect`; what the platform's bytes mean is kept in `cassiashunt-adapter`.

mod accept;
mod budget;
mod clock;
mod control;
mod fleet;
mod http;
mod ingress;
mod link;
mod logs;
mod metrics;
mod node;
mod owner;
mod quota;
mod run;
mod settings;
mod shed;
mod standing;
mod stop;
mod store;
mod sums;
mod suspicion;
mod tree;
mod wiring;

pub use run::run;
pub use settings::{Settings, SettingsError};
