//! The servers of the fleet as this node chooses among them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
};

use cassiashunt_route::{Candidate, Chooser, Outcome, Presence, ServerKey, retry::Budget};
use cassiashunt_types::prelude::*;

use crate::link::Peer;

/// A node with a backend server, as it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Announced {
    pub node: NodeId,
    pub addr: SocketAddr,
    pub domain: FailureDomain,
    pub service: Service,
    pub slots: u32,
    pub presence: Presence,
    pub is_cold: bool,
}

/// A server that was chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Chosen {
    pub key: ServerKey,
    pub peer: Peer,
}

/// The servers of one service.
pub(crate) struct Pool {
    state: Mutex<State>,
}

struct State {
    chooser: Chooser,
    budget: Budget,
    keys: HashMap<NodeId, ServerKey>,
    peers: HashMap<ServerKey, Peer>,
}

/// What a retry decision needs besides the failure.
pub(crate) struct RetryParts<'a> {
    pub budget: &'a mut Budget,
    pub has_other_server: bool,
}

impl Pool {
    fn new(opts: cassiashunt_route::Options) -> Self {
        let state = State {
            chooser: Chooser::new(opts),
            budget: Budget::new(Default::default()),
            keys: HashMap::new(),
            peers: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Chooses a server that was not tried and counts the request there until [`Pool::done`].
    pub(crate) fn choose(&self, now: Time, tried: &[ServerKey]) -> Option<Chosen> {
        let mut state = self.lock();
        if tried.is_empty() {
            state.budget.on_first_try(now);
        }
        let key = state
            .chooser
            .choose(now, tried, &mut fastrand::Rng::new())?;
        let peer = *state.peers.get(&key)?;
        Some(Chosen { key, peer })
    }

    /// Takes in how a request ended and the load that came with it, in 128ths.
    pub(crate) fn done(&self, now: Time, key: ServerKey, outcome: Outcome, load: Option<u8>) {
        let mut state = self.lock();
        state.chooser.done(now, key, outcome);
        if let Some(load) = load {
            state.chooser.on_load(now, key, load);
        }
    }

    /// Takes in that a server's owner takes no more work, ahead of the news.
    pub(crate) fn on_draining(&self, key: ServerKey) {
        self.lock().chooser.drain(key);
    }

    /// Lets `decide` use the retry budget.
    pub(crate) fn with_budget<T>(
        &self,
        now: Time,
        tried: &[ServerKey],
        decide: impl FnOnce(RetryParts<'_>) -> T,
    ) -> T {
        let mut state = self.lock();
        let has_other_server = state.chooser.available(now) > tried.len();
        decide(RetryParts {
            budget: &mut state.budget,
            has_other_server,
        })
    }

    /// Takes in a load that a node gossips.
    pub(crate) fn on_load(&self, now: Time, node: NodeId, load: u8) {
        let mut state = self.lock();
        if let Some(key) = state.keys.get(&node).copied() {
            state.chooser.on_load(now, key, load);
        }
    }

    /// Servers that may be given work.
    pub(crate) fn available(&self, now: Time) -> usize {
        self.lock().chooser.available(now)
    }

    fn upsert(&self, now: Time, server: &Announced) {
        let mut state = self.lock();
        let known = state.keys.get(&server.node).copied();
        let key = known.unwrap_or_else(|| state.add(now, server));
        state.chooser.set_presence(key, server.presence);
        state.chooser.set_slots(key, server.slots);
    }

    fn remove(&self, node: NodeId) {
        let mut state = self.lock();
        if let Some(key) = state.keys.remove(&node) {
            state.peers.remove(&key);
            state.chooser.remove(key);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add(&mut self, now: Time, server: &Announced) -> ServerKey {
        let candidate = Candidate {
            owner: server.node,
            domain: server.domain,
            slots: server.slots,
            is_cold: server.is_cold,
        };
        let key = self.chooser.add(now, candidate);
        let peer = Peer {
            node: server.node,
            addr: server.addr,
            domain: server.domain,
        };
        self.keys.insert(server.node, key);
        self.peers.insert(key, peer);
        key
    }
}

/// Every service's servers.
pub(crate) struct Fleet {
    opts: cassiashunt_route::Options,
    pools: RwLock<HashMap<Service, Arc<Pool>>>,
    services: Mutex<HashMap<NodeId, Service>>,
}

impl Fleet {
    /// A fleet as seen from `domain`.
    pub(crate) fn new(domain: FailureDomain, policy: cassiashunt_route::Policy) -> Self {
        let opts = cassiashunt_route::Options {
            domain: Some(domain),
            policy,
            ..Default::default()
        };
        Self {
            opts,
            pools: RwLock::default(),
            services: Mutex::default(),
        }
    }

    /// The servers of `service`.
    pub(crate) fn pool(&self, service: Service) -> Option<Arc<Pool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(&service).cloned()
    }

    /// Takes in a server as it announces itself.
    pub(crate) fn upsert(&self, now: Time, server: &Announced) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.insert(server.node, server.service);
        self.pool_or_new(server.service).upsert(now, server);
    }

    /// Forgets a node.
    pub(crate) fn remove(&self, node: NodeId) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = services
            .remove(&node)
            .and_then(|service| self.pool(service));
        if let Some(pool) = pool {
            pool.remove(node);
        }
    }

    /// The services that have or had servers.
    pub(crate) fn services(&self) -> Vec<Service> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let mut services: Vec<_> = pools.keys().copied().collect();
        services.sort_unstable();
        services
    }

    fn pool_or_new(&self, service: Service) -> Arc<Pool> {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let pool = pools
            .entry(service)
            .or_insert_with(|| Arc::new(Pool::new(self.opts.clone())));
        Arc::clone(pool)
    }
}
