//! A platform stand-in, backend servers and nodes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_node::{Addresses, Node, Settings, Stopped, Wiring, settings};
use cassiashunt_standin::{platform, ports::free_address, server};
use cassiashunt_table::{Change, KeyRecord, KeyState};
use cassiashunt_types::prelude::*;
use eyre::{Result, bail};

use crate::{
    Cuts, Operator,
    operator::{bind, give_key},
};

/// The operators' credential.
const TOKEN: &str = "operator-token-of-a-local-fleet";
/// The nodes' shared secret.
const SECRET: &str = "secret-of-a-local-fleet";
/// How long a fleet may take to come up.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often it is looked whether it has.
const LOOK: Duration = Duration::from_millis(20);
/// How long the sockets of a node that has ended may take to close.
const PORT_PATIENCE: Duration = Duration::from_secs(5);

/// One backend server of a fleet.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Its service.
    pub service: Service,
    /// Where it runs.
    pub domain: FailureDomain,
    /// The stand-in's settings; addresses are filled in.
    pub standin: server::Options,
}

/// What a fleet is made of.
#[derive(Default)]
pub struct Options {
    /// The failure domains.
    pub domains: Vec<FailureDomain>,
    /// The backend servers, each with a node.
    pub servers: Vec<ServerOptions>,
    /// The times of every node.
    pub times: settings::Times,
    /// The bounds of every node.
    pub bounds: settings::Bounds,
    /// The ways of deciding of every node.
    pub policy: settings::Policy,
    /// One way between failure domains, in microseconds.
    pub cross_domain_us: u64,
    /// Where nodes reach the platform, by number; the stand-in itself where empty or not given.
    pub platform_urls: Vec<String>,
    /// Is told the stand-in's address before the first node starts.
    pub on_platform: Option<Box<dyn Fn(SocketAddr) + Send + Sync>>,
}

/// A node with its backend server.
pub struct Member {
    /// The backend server.
    pub server: server::Handle,
    /// Where the node listens.
    pub addresses: Addresses,
    /// The node's settings.
    pub settings: Settings,
    node: Mutex<Option<Node>>,
}

impl Member {
    /// Whether the node runs.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.node().is_some()
    }

    /// The table revision in force at the node; zero where it does not run.
    #[must_use]
    pub fn revision(&self) -> Revision {
        let node = self.node();
        node.as_ref().map_or(Revision(0), Node::revision)
    }

    fn node(&self) -> MutexGuard<'_, Option<Node>> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fleet; everything ends when it is dropped.
pub struct Fleet {
    /// The platform stand-in.
    pub platform: platform::Handle,
    /// The nodes with their servers.
    pub members: Vec<Member>,
    /// Cuts between nodes.
    pub cuts: Cuts,
    opts: Options,
}

impl Fleet {
    /// Starts a fleet and waits until every node is in touch and sees every server.
    ///
    /// # Errors
    ///
    /// Where something cannot start, or the fleet does not come together.
    pub fn start(opts: Options) -> Result<Self> {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = platform::serve(loopback, platform::Options::default())?;
        let mut fleet = Self {
            platform,
            members: Vec::new(),
            cuts: Cuts::default(),
            opts,
        };
        if let Some(tell) = &fleet.opts.on_platform {
            tell(fleet.platform.addr());
        }
        for number in 0..fleet.opts.servers.len() {
            let member = fleet.start_member(number)?;
            fleet.members.push(member);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// An operator who speaks to a node.
    #[must_use]
    pub fn operator(&self, number: usize) -> Operator {
        Operator::new(self.members[number].addresses.operators, TOKEN)
    }

    /// Waits until every running node is in touch and sees every running server, and every shard
    /// has an authority.
    ///
    /// # Errors
    ///
    /// Where that takes longer than a minute.
    pub fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + PATIENCE;
        while !self.is_ready() {
            if Instant::now() >= until {
                bail!(
                    "the fleet did not come together within {PATIENCE:?}: {}",
                    self.describe()
                );
            }
            thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Makes an edit at the first running node and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Where it is not accepted.
    pub fn edit(&self, changes: Vec<Change>) -> Result<Revision> {
        let number = self.members.iter().position(Member::is_up).unwrap_or(0);
        let operator = self.operator(number);
        let revision = operator.edit(changes)?;
        operator.wait_in_force(revision)?;
        Ok(revision)
    }

    /// Sets one cell everywhere.
    ///
    /// # Errors
    ///
    /// Where it is not accepted.
    pub fn set(&self, row: &str, column: &str, value: &str) -> Result<Revision> {
        let number = self.members.iter().position(Member::is_up).unwrap_or(0);
        let change = self.operator(number).cell(row, column, value)?;
        self.edit(vec![change])
    }

    /// Binds an endpoint everywhere, as `bind("GET /stock", "stock", "read", "stores")`.
    ///
    /// # Errors
    ///
    /// Where a name is wrong or the edit is not accepted.
    pub fn bind(
        &self,
        endpoint: &str,
        route: &str,
        class: &str,
        service: &str,
    ) -> Result<Revision> {
        let change = bind(endpoint, route.parse()?, class.parse()?, service.parse()?)?;
        self.edit(vec![change])
    }

    /// Gives a workspace the key of this text everywhere.
    ///
    /// # Errors
    ///
    /// Where a name is wrong or the edit is not accepted.
    pub fn give_key(&self, workspace: &str, key: &str) -> Result<Revision> {
        self.edit(vec![give_key(workspace.parse()?, key)])
    }

    /// Withdraws every active key of a workspace; accepted, but perhaps not yet in force.
    ///
    /// # Errors
    ///
    /// Where the edit is not accepted.
    pub fn withdraw_keys(&self, workspace: Workspace) -> Result<()> {
        let number = self.members.iter().position(Member::is_up).unwrap_or(0);
        let operator = self.operator(number);
        let head = operator.head()?;
        let is_meant =
            |record: &KeyRecord| record.workspace == workspace && record.state == KeyState::Active;
        let keys = head.keys().iter().filter(|(_, record)| is_meant(record));
        let changes = keys.map(|(id, _)| Change::WithdrawKey { id }).collect();
        operator.edit(changes).map(|_| ())
    }

    /// Stops a node gracefully, as SIGTERM does, and waits for its end.
    pub fn stop_node(&self, number: usize) -> Option<Stopped> {
        let node = self.members[number].node().take();
        node.map(Node::stop)
    }

    /// Ends a node at once, as if its process were killed.
    pub fn kill_node(&self, number: usize) {
        if let Some(node) = self.members[number].node().take() {
            node.kill();
        }
    }

    /// Starts a fresh node at the address of one that has ended.
    ///
    /// # Errors
    ///
    /// Where the addresses cannot be used again.
    pub fn replace_node(&self, number: usize) -> Result<()> {
        let member = &self.members[number];
        let until = Instant::now() + PORT_PATIENCE;
        let node = loop {
            match Node::start(member.settings.clone(), self.wiring(&member.settings)) {
                Ok(node) => break node,
                Err(err) if Instant::now() >= until => return Err(err.into()),
                Err(_) => thread::sleep(LOOK),
            }
        };
        *member.node() = Some(node);
        Ok(())
    }

    /// The addresses by which the nodes of a failure domain reach each other.
    #[must_use]
    pub fn peers_in(&self, domain: FailureDomain) -> Vec<SocketAddr> {
        let members = self.members.iter();
        let inside = members.filter(|member| member.settings.node.failure_domain == domain);
        inside.map(|member| member.addresses.peers).collect()
    }

    fn start_member(&self, number: usize) -> Result<Member> {
        let spec = &self.opts.servers[number];
        let callers = free_address()?;
        let standin = server::Options {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service: spec.service.as_str().into(),
            node: Some(callers),
            ..spec.standin.clone()
        };
        let server = server::serve(standin)?;
        let settings = self.settings(number, callers, server.addr)?;
        let node = Node::start(settings.clone(), self.wiring(&settings))?;
        let addresses = node.addresses();
        Ok(Member {
            server,
            addresses,
            settings,
            node: Mutex::new(Some(node)),
        })
    }

    fn settings(&self, number: usize, callers: SocketAddr, server: SocketAddr) -> Result<Settings> {
        let spec = &self.opts.servers[number];
        let domains = self.opts.domains.iter().copied();
        let url = self.opts.platform_urls.get(number).cloned();
        let url = url.filter(|url| !url.is_empty());
        let settings = Settings {
            node: settings::Place {
                callers,
                peers: free_address()?,
                operators: free_address()?,
                failure_domain: spec.domain,
                other_failure_domains: domains.filter(|domain| *domain != spec.domain).collect(),
                secret: SECRET.into(),
                operator_token: TOKEN.into(),
            },
            platform: settings::Platform {
                url: url.unwrap_or_else(|| self.platform.url()),
            },
            server: Some(settings::Server {
                service: spec.service,
                address: server,
                slots: u32::try_from(spec.standin.slots)?,
                connections: u32::try_from(spec.standin.connections)?,
                health: "/health".into(),
            }),
            bounds: self.opts.bounds.clone(),
            times: self.opts.times.clone(),
            policy: self.opts.policy.clone(),
            delays: settings::Delays {
                cross_domain_us: self.opts.cross_domain_us,
            },
        };
        settings.check()?;
        Ok(settings)
    }

    fn wiring(&self, settings: &Settings) -> Wiring {
        Wiring {
            cut: Some(self.cuts.from(settings.node.peers)),
            ..Default::default()
        }
    }

    fn is_ready(&self) -> bool {
        let up = self.members.iter().filter(|member| member.is_up()).count();
        let numbers = (0..self.members.len()).filter(|number| self.members[*number].is_up());
        numbers.into_iter().all(|number| self.sees(number, up))
    }

    /// What every running node says of itself.
    fn describe(&self) -> String {
        let numbers = (0..self.members.len()).filter(|number| self.members[*number].is_up());
        let texts = numbers.map(|number| self.operator(number).get("/status"));
        texts
            .map(|text| format!("\n{}", text.unwrap_or_else(|err| err.to_string())))
            .collect()
    }

    /// Whether a node is in touch, sees so many servers, and knows an authority for every shard.
    fn sees(&self, number: usize, servers: usize) -> bool {
        let Ok(text) = self.operator(number).get("/status") else {
            return false;
        };
        let Ok(status) = serde_json::from_str::<serde_json::Value>(&text) else {
            return false;
        };
        let services = status["services"].as_array().map_or(&[][..], Vec::as_slice);
        let seen: u64 = services
            .iter()
            .filter_map(|s| s["available"].as_u64())
            .sum();
        let open = [&status["limit-shards-open"], &status["home-shards-open"]];
        let is_whole = open.iter().all(|count| **count == 0);
        seen == servers as u64 && status["in-touch"] == true && is_whole
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.members.len() {
            self.kill_node(number);
        }
    }
}
