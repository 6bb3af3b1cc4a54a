//! Stand-ins for the platform and for backend servers.

pub mod platform;
pub mod ports;
pub mod server;
pub mod site;
