//! Nodes as processes between stand-ins, with proxies on their ways.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cassiashunt_standin::site::{Addresses, Door, NodeSettings, Server, Store, table};

use serde_json::json;

use crate::{history::WITHDRAWAL, process::Process, proxy::Proxy};

/// Requests a second that the workspace may send: more than all clients do.
const RATE: u32 = 5_000;
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
    pub(crate) fn new(folder: &Path, nodes: usize, grace: Duration) -> io::Result<Self> {
        let store = Store::start()?;
        let members = (0..nodes).map(|at| member(folder, &store, at, grace));
        let members = members.collect::<io::Result<Vec<_>>>()?;
        Ok(Self { store, members })
    }

    /// Puts a table in force with these keys and this time for requests of all routes.
    pub(crate) fn put_table(&self, version: u64, keys: &[String], limit: Duration) {
        let mut table = table(version, keys, RATE);
        let resources = table["resources"].as_array_mut();
        for resource in resources.into_iter().flatten() {
            if resource["type"] == "routes" {
                resource["spec"]["timeout_ms"] = json!(limit.as_millis());
            }
        }
        self.store.put("op/config", &table.to_string());
    }
}

fn member(folder: &Path, store: &Store, at: usize, grace: Duration) -> io::Result<Member> {
    let service = SERVICES[at % SERVICES.len()];
    let addresses = Addresses::free()?;
    let server = Server::start(&format!("i-{service}-{at}"), addresses.requests)?;
    let (to_server, to_store) = (Proxy::start(server.address())?, store.open_door()?);
    let text = NodeSettings {
        name: &format!("node-{at}"),
        domain: DOMAINS[at % DOMAINS.len()],
        service,
        addresses,
        server: to_server.address(),
        store: to_store.address(),
        withdrawal: WITHDRAWAL,
        grace,
    }
    .to_toml();
    let settings = folder.join(format!("node-{at}.toml"));
    fs::write(&settings, text)?;
    Ok(Member {
        server,
        service,
        heartbeats: addresses.heartbeats,
        requests: addresses.requests,
        from_clients: Proxy::start(addresses.requests)?,
        to_server,
        to_store,
        process: Mutex::new(None),
        settings,
        log: folder.join(format!("node-{at}.log")),
    })
}
