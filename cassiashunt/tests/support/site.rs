//! Nodes of the platform as processes, with stand-ins for the platform's store, servers and clients.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cassiashunt_standin::site::{
    self, Addresses, Answer, Door, NodeSettings, Request, Run, Server, Store, ask, open,
};
use serde_json::{Value, json};

use super::{Folder, Process, eventually, path, stop::GRACE};

/// A node and its backend server.
pub struct Member {
    pub name: String,
    pub service: String,
    pub node: Process,
    pub server: Server,
    /// Where the node listens for requests of clients.
    pub requests: SocketAddr,
    /// Where the node answers readiness checks.
    pub ready: SocketAddr,
    /// Where the node receives heartbeats of its server.
    pub heartbeats: SocketAddr,
    /// Where the node listens for other nodes.
    pub peers: SocketAddr,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    /// The address through which only this node reaches the store, so that the store can fail for it
    /// alone.
    pub door: Door,
}

impl Member {
    /// Sends a request on a new connection.
    pub fn ask(&self, request: &Request) -> io::Result<Answer> {
        ask(&mut open(self.requests)?, &request.encode())
    }

    pub fn status_of(&self, request: &Request) -> u16 {
        self.ask(request).expect("no answer from the node").status
    }

    /// A status report as the member's server sends it.
    pub fn report(&self, born: u64, sequence: u64) -> Value {
        json!({
            "address": self.server.address().to_string(),
            "born": born,
            "details": {"service": self.service, "version": "v1", "zone": "east", "slots": 8},
            "status": {"state": "ready", "sequence": sequence, "warmup_left_ms": 0},
        })
    }

    /// Sends a status report to the node in the name of a server, and returns the status.
    pub fn send_report(&self, server: &str, report: &Value) -> u16 {
        let request = Request {
            method: "POST",
            target: format!("/-/rpc?call=instances.heartbeat&of={server}"),
            body: report.to_string().into_bytes(),
            ..Request::default()
        };
        let mut stream = open(self.heartbeats).expect("cannot connect to the node");
        let answer = ask(&mut stream, &request.encode());
        answer.expect("no answer from the node").status
    }

    /// Whether the node answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let request = Request {
            target: "/-/ready".into(),
            ..Request::default()
        };
        let answer = open(self.ready).and_then(|mut it| ask(&mut it, &request.encode()));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Starts the node's process again with the same settings and server; overwrites its log.
    pub fn restart(&mut self) {
        self.node = Process::start_logged(&["sidecar", path(&self.settings)], &self.log);
    }

    /// Like [`Member::restart`], with a limit of open files.
    pub fn restart_limited(&mut self, max_files: usize) {
        let args = ["sidecar", path(&self.settings)];
        self.node = Process::start_limited(&args, &self.log, max_files);
    }

    /// Replaces a part of the node's settings file without telling the node.
    pub fn write_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("cannot read the settings");
        assert!(text.contains(from), "no {from:?} in {text}");
        std::fs::write(&self.settings, text.replace(from, to)).expect("cannot write the settings");
    }

    /// Cuts the last line of the node's settings file short without telling the node.
    pub fn cut_settings(&self) {
        let text = std::fs::read_to_string(&self.settings).expect("cannot read the settings");
        let end = text.len() - 3;
        std::fs::write(&self.settings, &text[..end]).expect("cannot write the settings");
    }

    /// Replaces a part of the node's settings file, and tells the node so.
    pub fn change_settings(&self, from: &str, to: &str) {
        self.write_settings(from, to);
        let line = self.reload();
        assert!(line.contains("\"settings-reloaded\""), "{line}");
    }

    /// Tells the node that its settings file has changed. Returns the line that it logs of it.
    pub fn reload(&self) -> String {
        let before = self.reload_lines().len();
        self.node.signal("-HUP");
        eventually("the settings are reloaded or refused", || {
            self.reload_lines().len() > before
        });
        self.reload_lines().swap_remove(before)
    }

    /// The lines of reloads since the node's last start.
    pub fn reload_lines(&self) -> Vec<String> {
        let log = self.log();
        let events = ["\"settings-reloaded\"", "\"settings-refused\""];
        let lines = log
            .lines()
            .filter(|line| events.iter().any(|it| line.contains(it)));
        lines.map(str::to_owned).collect()
    }

    /// What the node has logged since its last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// Nodes with their servers, and the store that they share.
pub struct Site {
    pub store: Store,
    pub members: Vec<Member>,
    folder: Folder,
    key_withdrawal: Duration,
    grace: Duration,
}

/// The rate limit of the workspace.
const RATE_PER_S: u32 = 400;
/// The time for which a withdrawn key may still be accepted.
const KEY_WITHDRAWAL: Duration = Duration::from_millis(2_500);
/// How long a leaving server is watched.
const LEAVING_WATCHED: Duration = Duration::from_secs(4);
/// The key of the workspace in the table that [`Site::start`] writes.
pub const WORKSPACE_KEY: &str = "key-of-the-first-shop";

impl Site {
    /// Starts a node for each listed service and waits until requests reach all services.
    pub fn start(name: &str, services: &[&str]) -> Self {
        Self::start_with_key_withdrawal(name, services, KEY_WITHDRAWAL)
    }

    /// Like [`Site::start`], with another grace time.
    pub fn start_with_grace(name: &str, services: &[&str], grace: Duration) -> Self {
        let table = table(1, &[WORKSPACE_KEY]);
        Self::start_with(name, services, &table, KEY_WITHDRAWAL, grace)
    }

    /// Like [`Site::start`], with another operators' table.
    pub fn start_with_table(name: &str, services: &[&str], table: &Value) -> Self {
        Self::start_with(name, services, table, KEY_WITHDRAWAL, GRACE)
    }

    /// Like [`Site::start`], with the time for which a withdrawn key may still be accepted.
    pub fn start_with_key_withdrawal(
        name: &str,
        services: &[&str],
        key_withdrawal: Duration,
    ) -> Self {
        let table = table(1, &[WORKSPACE_KEY]);
        Self::start_with(name, services, &table, key_withdrawal, GRACE)
    }

    fn start_with(
        name: &str,
        services: &[&str],
        table: &Value,
        key_withdrawal: Duration,
        grace: Duration,
    ) -> Self {
        let store = Store::start().expect("cannot bind a port on loopback");
        store.put("op/config", &table.to_string());
        let mut site = Self {
            store,
            members: Vec::new(),
            folder: Folder::new(name),
            key_withdrawal,
            grace,
        };
        for service in services {
            site.add(service);
        }
        site.wait_until_linked();
        site.wait_until_serving();
        site
    }

    pub fn add(&mut self, service: &str) {
        self.add_in(service, "east");
    }

    /// Like [`Site::add`], in another failure domain than the others.
    pub fn add_in(&mut self, service: &str, domain: &str) {
        let addresses = Addresses::free().expect("cannot bind a port on loopback");
        let Addresses {
            requests,
            peers,
            ready,
            heartbeats,
        } = addresses;
        let at = self.members.len();
        let server = Server::start(&format!("i-{service}-{at}"), requests);
        let server = server.expect("cannot bind a port on loopback");
        let door = self
            .store
            .open_door()
            .expect("cannot bind a port on loopback");
        let name = format!("node-{at}");
        let text = NodeSettings {
            name: &name,
            domain,
            service,
            addresses,
            server: server.address(),
            store: door.address(),
            withdrawal: self.key_withdrawal,
            grace: self.grace,
        }
        .to_toml();
        let settings = self.folder.write(&format!("{name}.toml"), &text);
        let log = self.folder.write(&format!("{name}.log"), "");
        let mut node = Process::start_logged(&["sidecar", path(&settings)], &log);
        let read_log = || std::fs::read_to_string(&log).unwrap_or_default();
        eventually("the node listens", || {
            assert!(!node.has_exited(), "the node exited: {}", read_log());
            TcpStream::connect(heartbeats).is_ok()
        });
        let beat = server.beat(heartbeats, service, "ready", 1);
        assert_eq!(beat.expect("no answer from the node"), 200);
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

    /// Waits until every node has answered a request to each service with 200.
    pub fn wait_until_serving(&self) {
        let services: std::collections::BTreeSet<_> =
            self.members.iter().map(|it| it.service.clone()).collect();
        for member in &self.members {
            for service in &services {
                eventually("the node serves the service", || {
                    let request = read(service);
                    member
                        .ask(&request)
                        .is_ok_and(|answer| answer.status == 200)
                });
            }
        }
        thread::sleep(Duration::from_millis(200));
    }

    /// Waits until every node has logged that its links to all others are up.
    fn wait_until_linked(&self) {
        for member in &self.members {
            for peer in self.members.iter().filter(|it| it.name != member.name) {
                eventually("all nodes are linked", || {
                    let log = member.log();
                    let mut lines = log.lines().filter(|line| line.contains("\"link-up\""));
                    lines.any(|line| line.contains(&format!("\"peer\":\"{}\"", peer.name)))
                });
            }
        }
    }

    /// Writes another operators' table to the store.
    pub fn put_table(&self, table: &Value) {
        self.store.put("op/config", &table.to_string());
    }

    /// Writes another operators' table to the store, and waits until every node has it in force.
    pub fn put_table_in_force(&self, table: &Value) {
        self.put_table(table);
        let version = format!("\"version\":{}", table["version"]);
        for member in &self.members {
            eventually("the table is in force", || {
                let log = member.log();
                let mut lines = log.lines().filter(|it| it.contains("\"table-in-force\""));
                lines.any(|line| line.contains(&version))
            });
        }
    }

    /// The first run of a request, at any server.
    pub fn run_of(&self, request: &Request) -> Option<Run> {
        let mut runs = self.members.iter().flat_map(|member| member.server.runs());
        runs.find(|run| run.attempt == request.attempt)
    }

    /// Asserts that a leaving server gets none of the requests that the first node receives for its
    /// service, while the other servers of the service go on.
    pub fn assert_gets_no_requests(&self, leaving: &Member) {
        let before = leaving.server.runs().len();
        let until = Instant::now() + LEAVING_WATCHED;
        let mut served = 0;
        while Instant::now() < until {
            // On a busy machine a request may be shed with a retry-after delay.
            let status = self.members[0].status_of(&read(&leaving.service));
            assert!(matches!(status, 200 | 503), "{status}");
            served += usize::from(status == 200);
            thread::sleep(Duration::from_millis(20));
        }
        assert!(served > 0, "the other server served no request");
        assert_eq!(leaving.server.runs().len(), before);
    }

    /// How often a request ran, summed over all servers.
    pub fn runs_of(&self, request: &Request) -> usize {
        let runs = self.members.iter().flat_map(|member| member.server.runs());
        runs.filter(|run| run.attempt == request.attempt).count()
    }
}

/// The wall clock in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.expect("the clock is before 1970");
    u64::try_from(elapsed.as_millis()).expect("the clock is too late")
}

/// An idempotent request to a service, to a random path.
pub fn read(service: &str) -> Request {
    Request {
        target: format!("/{service}/read/{:x}", fastrand::u32(..)),
        key: Some(WORKSPACE_KEY.into()),
        ..Request::default()
    }
}

/// An idempotent request to a service with this key.
pub fn read_with_key(service: &str, key: &str) -> Request {
    Request {
        key: Some(key.into()),
        ..read(service)
    }
}

/// A request to a service that is not idempotent, so it may run at most once.
pub fn write(service: &str) -> Request {
    Request {
        method: "POST",
        target: format!("/{service}/write/{:x}", fastrand::u32(..)),
        key: Some(WORKSPACE_KEY.into()),
        body: b"a deposit".to_vec(),
        ..Request::default()
    }
}

/// Sets a field of all resources of this type.
pub fn set_field(table: &mut Value, kind: &str, field: &str, value: u64) {
    let resources = table["resources"].as_array_mut();
    for resource in resources.expect("`resources` is not an array") {
        if resource["type"] == kind {
            resource["spec"][field] = value.into();
        }
    }
}

/// The operators' table with these keys for the workspace.
pub fn table(version: u64, keys: &[&str]) -> Value {
    site::table(version, keys, RATE_PER_S)
}
