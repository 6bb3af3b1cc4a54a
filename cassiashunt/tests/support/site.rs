//! Nodes of the users' platform as processes, between stand-ins of its store, servers and clients.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use cassiashunt_standin::site::{
    self, Addresses, Answer, Door, NodeSettings, Request, Server, Store, ask, open,
};
use serde_json::Value;

use super::{Folder, Process, eventually, path};

/// A node with its server.
pub struct Member {
    pub name: String,
    pub service: String,
    pub node: Process,
    pub server: Server,
    pub requests: SocketAddr,
    pub ready: SocketAddr,
    pub heartbeats: SocketAddr,
    pub peers: SocketAddr,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    /// The way to the store.
    pub door: Door,
}

impl Member {
    /// Sends a request on a connection of its own.
    pub fn ask(&self, request: &Request) -> io::Result<Answer> {
        ask(&mut open(self.requests)?, &request.encode())
    }

    pub fn status_of(&self, request: &Request) -> u16 {
        self.ask(request).expect("the node answers").status
    }

    /// The status of the platform's question whether the node is ready.
    pub fn is_ready(&self) -> bool {
        let request = Request {
            target: "/-/ready".into(),
            ..Request::default()
        };
        let answer = open(self.ready).and_then(|mut it| ask(&mut it, &request.encode()));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Starts the node's process again beside the same server.
    pub fn restart(&mut self) {
        self.node = Process::start_logged(&["sidecar", path(&self.settings)], &self.log);
    }

    /// What the node of this start has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A fleet.
pub struct Site {
    pub store: Store,
    pub members: Vec<Member>,
    folder: Folder,
    withdrawal: Duration,
}

/// Requests a second that the workspace may send.
const RATE: u32 = 400;
/// The key that the first table gives.
pub const KEY: &str = "key-of-the-first-shop";

impl Site {
    /// Starts a node for each named service, with the first table in force.
    pub fn start(name: &str, services: &[&str]) -> Self {
        Self::start_with_bound(name, services, Duration::from_millis(2_500))
    }

    /// The same, with the longest time that a withdrawn key may work.
    pub fn start_with_bound(name: &str, services: &[&str], withdrawal: Duration) -> Self {
        let store = Store::start().expect("loopback has free ports");
        store.put("op/config", &table(1, &[KEY]).to_string());
        let mut site = Self {
            store,
            members: Vec::new(),
            folder: Folder::new(name),
            withdrawal,
        };
        for service in services {
            site.add(service);
        }
        site.wait_until_linked();
        site.wait_until_serving();
        site
    }

    pub fn add(&mut self, service: &str) {
        let addresses = Addresses::free().expect("loopback has free ports");
        let Addresses {
            requests,
            peers,
            ready,
            heartbeats,
        } = addresses;
        let at = self.members.len();
        let server = Server::start(&format!("i-{service}-{at}"), requests);
        let server = server.expect("loopback has free ports");
        let door = self.store.open_door().expect("loopback has free ports");
        let name = format!("node-{at}");
        let text = NodeSettings {
            name: &name,
            domain: "east",
            service,
            addresses,
            server: server.address(),
            store: door.address(),
            withdrawal: self.withdrawal,
        }
        .to_toml();
        let settings = self.folder.write(&format!("{name}.toml"), &text);
        let log = self.folder.write(&format!("{name}.log"), "");
        let mut node = Process::start_logged(&["sidecar", path(&settings)], &log);
        let read_log = || std::fs::read_to_string(&log).unwrap_or_default();
        eventually("the node listens", || {
            assert!(!node.has_ended(), "the node ended: {}", read_log());
            TcpStream::connect(heartbeats).is_ok()
        });
        let beat = server.beat(heartbeats, service, "ready", 1);
        assert_eq!(beat.expect("the node answers"), 200);
        self.members.push(Member {
            name,
            service: service.to_owned(),
            node,
            server,
            requests,
            ready,
            heartbeats,
            peers,
            settings,
            log,
            door,
        });
    }

    /// Waits until every node reaches a server of every service.
    pub fn wait_until_serving(&self) {
        let services: std::collections::BTreeSet<_> =
            self.members.iter().map(|it| it.service.clone()).collect();
        for member in &self.members {
            for service in &services {
                eventually("the node serves", || {
                    let request = read(service);
                    member
                        .ask(&request)
                        .is_ok_and(|answer| answer.status == 200)
                });
            }
        }
        thread::sleep(Duration::from_millis(200));
    }

    /// Waits until every node has a link to every other.
    fn wait_until_linked(&self) {
        for member in &self.members {
            for peer in self.members.iter().filter(|it| it.name != member.name) {
                eventually("the nodes know each other", || {
                    let log = member.log();
                    let mut lines = log.lines().filter(|line| line.contains("\"link-up\""));
                    lines.any(|line| line.contains(&format!("\"peer\":\"{}\"", peer.name)))
                });
            }
        }
    }

    /// Puts another table in force everywhere.
    pub fn put_table(&self, table: &Value) {
        self.store.put("op/config", &table.to_string());
    }

    /// How often a request ran, at all servers.
    pub fn runs_of(&self, request: &Request) -> usize {
        let runs = self.members.iter().flat_map(|member| member.server.runs());
        runs.filter(|run| run.attempt == request.attempt).count()
    }
}

/// An idempotent request to a service.
pub fn read(service: &str) -> Request {
    Request {
        target: format!("/{service}/read/{:x}", fastrand::u32(..)),
        key: Some(KEY.into()),
        ..Request::default()
    }
}

/// The same under another key.
pub fn read_with(service: &str, key: &str) -> Request {
    Request {
        key: Some(key.into()),
        ..read(service)
    }
}

/// A request to a service that runs once at most.
pub fn write(service: &str) -> Request {
    Request {
        method: "POST",
        target: format!("/{service}/write/{:x}", fastrand::u32(..)),
        key: Some(KEY.into()),
        body: b"a deposit".to_vec(),
        ..Request::default()
    }
}

/// The operators' table with these keys of the workspace.
pub fn table(version: u64, keys: &[&str]) -> Value {
    site::table(version, keys, RATE)
}
