//! Nodes as processes between stand-ins, with proxies on their ways.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Mutex, MutexGuard, PoisonError},
};

use cassiashunt_standin::{
    ports::free_address,
    site::{Door, Server, Store},
};
use serde_json::{Value, json};

use crate::{process::Process, proxy::Proxy};

/// The bound on withdrawn keys, in milliseconds.
pub(crate) const WITHDRAWAL_MS: u64 = 5_000;
/// The services, in turn.
pub(crate) const SERVICES: [&str; 2] = ["shop", "desk"];
const DOMAINS: [&str; 3] = ["east", "west", "south"];

/// A node with its server.
pub(crate) struct Member {
    pub(crate) server: Server,
    pub(crate) service: &'static str,
    pub(crate) heartbeats: SocketAddr,
    /// Where the node takes requests; refused while it is stopped, which a proxy can't be.
    pub(crate) requests: SocketAddr,
    /// The ways of clients to the node, and of the node to its server and the store.
    pub(crate) from_clients: Proxy,
    pub(crate) to_server: Proxy,
    pub(crate) to_store: Door,
    process: Mutex<Option<Process>>,
    settings: PathBuf,
    log: PathBuf,
}

impl Member {
    /// The node's process; nothing while it is stopped.
    pub(crate) fn process(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the node, unless it runs.
    pub(crate) fn start(&self, binary: &Path) -> io::Result<()> {
        let mut process = self.process();
        if process.is_none() {
            *process = Some(Process::start(binary, &self.settings, &self.log)?);
        }
        Ok(())
    }
}

/// The fleet.
pub(crate) struct Site {
    pub(crate) store: Store,
    pub(crate) members: Vec<Member>,
}

impl Site {
    /// Starts the stand-ins and writes the nodes' settings; no node runs yet.
    pub(crate) fn new(folder: &Path, nodes: usize) -> io::Result<Self> {
        let store = Store::start()?;
        let members = (0..nodes).map(|at| member(folder, &store, at));
        let members = members.collect::<io::Result<Vec<_>>>()?;
        Ok(Self { store, members })
    }

    /// Puts a table with these keys in force.
    pub(crate) fn put_table(&self, version: u64, keys: &[String]) {
        self.store
            .put("op/config", &table(version, keys).to_string());
    }
}

fn member(folder: &Path, store: &Store, at: usize) -> io::Result<Member> {
    let service = SERVICES[at % SERVICES.len()];
    let (requests, peers) = (free_address()?, free_address()?);
    let (ready, heartbeats) = (free_address()?, free_address()?);
    let server = Server::start(&format!("i-{service}-{at}"), requests)?;
    let (to_server, to_store) = (Proxy::start(server.address())?, store.open_door()?);
    let domain = DOMAINS[at % DOMAINS.len()];
    let text = format!(
        r#"
name = "node-{at}"
domain = "{domain}"
service = "{service}"
[addresses]
requests = "{requests}"
peers = "{peers}"
ready = "{ready}"
heartbeats = "{heartbeats}"
server = "{}"
[store]
address = "{}"
min-lease-ms = 1000
[bounds]
key-withdrawal-ms = {WITHDRAWAL_MS}
grace-s = 6.0
retry-ratio = 0.2
retry-slack = 40
retry-window-s = 10
"#,
        to_server.address(),
        to_store.address(),
    );
    let settings = folder.join(format!("node-{at}.toml"));
    fs::write(&settings, text)?;
    Ok(Member {
        server,
        service,
        heartbeats,
        requests,
        from_clients: Proxy::start(requests)?,
        to_server,
        to_store,
        process: Mutex::new(None),
        settings,
        log: folder.join(format!("node-{at}.log")),
    })
}

/// A table with an idempotent and another route to each service.
fn table(version: u64, keys: &[String]) -> Value {
    let routes = SERVICES.iter().flat_map(|service| {
        let route = |name: &str, kind: &str| {
            json!({"type": "routes", "meta": {"name": format!("{service}-{name}")}, "spec": {
                "host": "shop.example", "prefix": format!("/{service}/{name}/"), "kind": kind,
                "timeout_ms": 1_500, "goal_ms": 800, "priority": 1, "service": service,
                "max_attempts": 2, "public": false,
            }})
        };
        [
            route("read", "idempotent"),
            route("write", "non_idempotent"),
        ]
    });
    let services = SERVICES.iter().map(|service| {
        json!({"type": "services", "meta": {"name": service}, "spec": {"health_path": "/health"}})
    });
    let others = [
        json!({"type": "tenants", "meta": {"name": "first-shop"}, "spec": {
            "api_keys": keys, "priority": 1, "rate_per_s": 5_000, "burst": 5_000,
        }}),
        json!({"type": "limits", "meta": {}, "spec": {
            "header_bytes": 4_096, "body_bytes": 65_536, "header_timeout_ms": 1_000,
            "idle_timeout_ms": 5_000,
        }}),
    ];
    let resources: Vec<_> = routes.chain(services).chain(others).collect();
    json!({"version": version, "resources": resources})
}
