//! The node that runs beside each backend server on the platform.
//!
//! One event loop on one thread owns the sockets and timers. State and decisions are in the
//! I/O-free crates `cassiashunt-mesh`, `cassiashunt-admit`, `cassiashunt-route` and
//! `cassiashunt-suspect`; the platform's formats are in `cassiashunt-adapter`.

mod accept;
mod aggregation;
mod budget;
mod clients;
mod clock;
mod endpoints;
pub mod explain;
mod fleet;
mod http;
mod ingress;
mod link;
mod logs;
mod memory;
mod metrics;
mod node;
mod owner;
mod peer_links;
mod quota;
mod run;
mod settings;
mod settings_source;
mod shed;
mod signals;
mod stop;
mod store;
mod sum_rows;
mod suspicion;
mod tree;

pub use run::run;
pub use settings::{Limits, Reload, Settings, SettingsError};
pub use settings_source::SettingsSource;
