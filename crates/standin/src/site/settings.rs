//! The settings of a node between stand-ins, and the operators' table for it.

use std::{io, net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use crate::ports::free_address;

/// Where a node listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Clients' requests.
    pub requests: SocketAddr,
    /// Connections of other nodes.
    pub peers: SocketAddr,
    /// The platform's question whether it is ready.
    pub ready: SocketAddr,
    /// Heartbeats of its server.
    pub heartbeats: SocketAddr,
}

impl Addresses {
    /// Free ones, that stay this process's.
    ///
    /// # Errors
    ///
    /// Where no port is free.
    pub fn free() -> io::Result<Self> {
        Ok(Self {
            requests: free_address()?,
            peers: free_address()?,
            ready: free_address()?,
            heartbeats: free_address()?,
        })
    }
}

/// What a node's settings file says.
#[derive(Debug, Clone, Copy)]
pub struct NodeSettings<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its server's service.
    pub service: &'a str,
    /// Where it listens.
    pub addresses: Addresses,
    /// Where it reaches its server.
    pub server: SocketAddr,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// The longest time that a withdrawn key may work.
    pub withdrawal: Duration,
    /// The time between the signal to stop and the kill.
    pub grace: Duration,
}

impl NodeSettings<'_> {
    /// The file's text.
    #[must_use]
    pub fn to_toml(&self) -> String {
        let Self {
            name,
            domain,
            service,
            addresses,
            server,
            store,
            withdrawal,
            grace,
        } = self;
        let Addresses {
            requests,
            peers,
            ready,
            heartbeats,
        } = addresses;
        let withdrawal = withdrawal.as_millis();
        let grace = grace.as_secs_f64();
        format!(
            r#"
name = "{name}"
domain = "{domain}"
service = "{service}"
[addresses]
requests = "{requests}"
peers = "{peers}"
ready = "{ready}"
heartbeats = "{heartbeats}"
server = "{server}"
[bounds]
key-withdrawal-ms = {withdrawal}
grace-s = {grace:?}
retry-ratio = 0.2
retry-slack = 40
retry-window-s = 10
[store]
min-lease-ms = 1000
address = "{store}"
"#
        )
    }
}

/// A table with routes to the services shop and desk, and one workspace with these keys that may send
/// so many requests a second.
#[must_use]
pub fn table(version: u64, keys: &[impl AsRef<str>], rate: u32) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, public: bool| {
        json!({"type": "routes", "meta": {"name": name}, "spec": {
            "host": "shop.example", "prefix": prefix, "kind": kind, "timeout_ms": 1_500,
            "goal_ms": 800, "priority": 1, "service": service, "max_attempts": 2,
            "public": public,
        }})
    };
    let service = |name: &str| json!({"type": "services", "meta": {"name": name}, "spec": {"health_path": "/health"}});
    let keys: Vec<_> = keys.iter().map(AsRef::as_ref).collect();
    json!({"version": version, "resources": [
        route("shop-read", "/shop/read/", "idempotent", "shop", false),
        route("shop-write", "/shop/write/", "non_idempotent", "shop", false),
        route("desk-read", "/desk/read/", "idempotent", "desk", false),
        route("desk-write", "/desk/write/", "non_idempotent", "desk", false),
        route("desk-call", "/desk/call/", "idempotent", "desk", true),
        service("shop"),
        service("desk"),
        {"type": "tenants", "meta": {"name": "first-shop"}, "spec": {
            "api_keys": keys, "priority": 1, "rate_per_s": rate, "burst": rate,
        }},
        {"type": "limits", "meta": {}, "spec": {
            "header_bytes": 4_096, "body_bytes": 65_536, "header_timeout_ms": 1_000,
            "idle_timeout_ms": 5_000,
        }},
    ]})
}
