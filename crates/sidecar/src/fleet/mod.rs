//! The live nodes as this one sees them, and load balancing over their backend servers.

mod group;
mod views;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

use cassiashunt_admit::chain_admission::Capacity;
use cassiashunt_mesh::{PeerIdentity, prelude::*};
use cassiashunt_route::{
    Candidate, Chooser, Options as ChooserOptions, Outcome, OwnerReport, Policy, Presence,
    ServerKey,
};
use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;
use tokio::task::AbortHandle;

use self::group::ServiceGroup;
use crate::{
    link::{Link, Load, keep_link},
    node::Node,
};

/// Time over which a cold server's share of requests rises to its full value: the platform's
/// servers are slow for 3 s after their start.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// Weight of a server's pace relative to its free slots in the choice of a server; see
/// `docs/results/platform.md`.
const PACE_WEIGHT: f64 = 0.5;

/// How long a connection to a peer is kept after it has become unwanted.
const UNWANTED_LINK_RETENTION: Duration = Duration::from_secs(5);

/// How a backend server is reached.
#[derive(Debug, Clone)]
pub(crate) enum ServerPath {
    /// The server is beside this node.
    Local,
    /// Through the node of this name.
    Link(String, Rc<Link>),
}

impl ServerPath {
    /// The name of the node beside the server, for logs.
    fn owner(&self) -> &str {
        match self {
            Self::Local => "this node",
            Self::Link(name, _) => name,
        }
    }
}

/// The backend server chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct ChosenServer {
    pub(crate) service: Service,
    pub(crate) key: ServerKey,
    /// The name of the node beside the server, for logs.
    pub(crate) owner: String,
    pub(crate) path: ServerPath,
}

struct Peer {
    announcement: Announcement,
    address: SocketAddr,
    link: Rc<Link>,
    /// The task that keeps the link connected; `None` if this node doesn't connect to the peer.
    task: Option<AbortHandle>,
    first_seen: Time,
    unwanted_since: Option<Time>,
    key: ServerKey,
    /// Whether the peer has read a table since its link came up.
    has_table: bool,
    /// Since when its entry has been missing from the store.
    missing_since: Option<Time>,
    identity: PeerIdentity,
    /// Whether it counts as a node.
    is_counted: bool,
}

/// A peer that has begun or ceased to count as a node.
#[derive(Debug)]
pub(crate) struct CountChange {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) is_counted: bool,
}

/// The known live nodes and their backend servers by service.
pub(crate) struct Fleet {
    domain: FailureDomain,
    /// The failure domains whose servers get no requests.
    evacuated: Vec<FailureDomain>,
    peers: HashMap<String, Peer>,
    groups: HashMap<Service, ServiceGroup>,
    local: Option<(Service, ServerKey)>,
}

impl Fleet {
    pub(crate) fn new(domain: FailureDomain) -> Self {
        Self {
            domain,
            evacuated: Vec::new(),
            peers: HashMap::new(),
            groups: HashMap::new(),
            local: None,
        }
    }

    /// The number of live nodes, including this one.
    pub(crate) fn size(&self) -> usize {
        self.counted().count() + 1
    }

    /// The peers that count as nodes.
    fn counted(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(|(_, peer)| peer.is_counted)
    }

    /// The names of the peers that count as nodes.
    pub(crate) fn counted_names(&self) -> Vec<String> {
        self.counted().map(|(name, _)| name.clone()).collect()
    }

    /// Determines anew which peers count as nodes. Returns those for which this has changed.
    pub(crate) fn update_counted(&mut self, now: Time) -> Vec<CountChange> {
        let is_alone = !self.peers.values().any(|it| it.identity.is_confirmed());
        let mut changes = Vec::new();
        for (name, peer) in &mut self.peers {
            let is_counted = peer.identity.counts(now, is_alone);
            if std::mem::replace(&mut peer.is_counted, is_counted) != is_counted {
                changes.push(CountChange {
                    name: name.clone(),
                    address: peer.address,
                    is_counted,
                });
            }
        }
        changes
    }

    /// Links to the peers that are connected now, by name.
    pub(crate) fn live_links(&self) -> HashMap<String, Rc<Link>> {
        let up = self.counted().filter(|(_, peer)| peer.link.is_up());
        up.map(|(name, peer)| (name.clone(), Rc::clone(&peer.link)))
            .collect()
    }

    /// Leaves out the servers of these failure domains. Others are used again once their owners report
    /// that they serve.
    pub(crate) fn set_evacuated(&mut self, evacuated: Vec<FailureDomain>) {
        self.evacuated = evacuated;
        let peers = self.peers.values().map(|it| (&it.announcement, it.key));
        let left_out = peers.filter(|(it, _)| self.evacuated.contains(&it.domain));
        let left_out: Vec<_> = left_out.map(|(it, key)| (it.service, key)).collect();
        for (service, key) in left_out {
            self.set_presence(service, key, Presence::Draining);
        }
    }

    /// Whether a peer is connected and has read a table.
    pub(crate) fn has_table(&self, name: &str) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.has_table && peer.link.is_up())
    }

    /// Whether the peer itself, and no node of another name, is connected.
    pub(crate) fn is_linked(&self, name: &str) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.link.is_up() && !peer.identity.is_other())
    }

    /// How many peers are connected now.
    pub(crate) fn links_up(&self) -> usize {
        self.peers.values().filter(|peer| peer.link.is_up()).count()
    }

    /// Names of the known peers.
    pub(crate) fn names(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// The peers that count as nodes, and their failure domains.
    pub(crate) fn members(&self) -> Vec<(String, FailureDomain)> {
        self.counted()
            .map(|(name, peer)| (name.clone(), peer.announcement.domain))
            .collect()
    }

    /// Whether a peer has been known for less than `span`.
    pub(crate) fn is_new(&self, now: Time, name: &str, span: Duration) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| now.since(peer.first_seen) < span)
    }

    /// The link to a peer.
    pub(crate) fn link(&self, name: &str) -> Option<&Rc<Link>> {
        self.peers.get(name).map(|peer| &peer.link)
    }

    /// Connects this node to the peers of `wanted`, and closes idle connections to other peers that
    /// have been unwanted for `UNWANTED_LINK_RETENTION`.
    pub(crate) fn set_wanted_peers(
        &mut self,
        now: Time,
        node: &Rc<Node>,
        wanted: &HashSet<String>,
    ) {
        let mut ended = Vec::new();
        for (name, peer) in &mut self.peers {
            if wanted.contains(name) {
                peer.unwanted_since = None;
                peer.task.get_or_insert_with(|| {
                    let link = Rc::clone(&peer.link);
                    let run = keep_link(Rc::clone(node), name.clone(), peer.address, link);
                    tokio::task::spawn_local(run).abort_handle()
                });
                continue;
            }
            let since = *peer.unwanted_since.get_or_insert(now);
            let is_expired = now.since(since) >= UNWANTED_LINK_RETENTION && peer.link.is_idle();
            if let Some(task) = peer.task.take_if(|_| is_expired) {
                task.abort();
                peer.link.disconnect();
                peer.identity.on_left();
                ended.push((peer.announcement.service, peer.key));
            }
        }
        for (service, key) in ended {
            self.set_presence(service, key, Presence::Unreachable);
        }
    }

    /// The owners of each service among the peers.
    pub(crate) fn owners(&self) -> BTreeMap<Service, Vec<(String, FailureDomain)>> {
        let mut owners: BTreeMap<Service, Vec<_>> = BTreeMap::new();
        for (name, peer) in &self.peers {
            let owner = (name.clone(), peer.announcement.domain);
            owners
                .entry(peer.announcement.service)
                .or_default()
                .push(owner);
        }
        owners
    }

    /// The load of the servers of a service to which this node can send requests, as a fraction of
    /// their slots; `None` if there are none.
    pub(crate) fn subset_load(&self, service: Service) -> Option<f64> {
        let mut sum = Capacity::default();
        for capacity in self.groups.get(&service)?.capacities.values() {
            sum += *capacity;
        }
        sum.load()
    }

    /// Whether an announcement can't be of the peer whose name it has.
    pub(crate) fn contradicts(&self, name: &str, announcement: &Announcement) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.announcement.contradicts(announcement))
    }

    /// Whether an announcement gives another address to a peer that answers at its own: the peer has not
    /// moved while it does.
    pub(crate) fn is_elsewhere(&self, name: &str, announcement: &Announcement) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| {
            let is_answering = peer.link.is_up() && peer.identity.is_confirmed();
            is_answering && peer.announcement.address != announcement.address
        })
    }

    /// Handles the announcement of a peer in the store, which is reached at `address`.
    pub(crate) fn on_announced(
        &mut self,
        name: &str,
        announcement: Announcement,
        address: SocketAddr,
    ) {
        let now = crate::clock::now();
        if self.update(now, name, &announcement) {
            return;
        }
        self.remove_peer(name);
        log::info!(peer:% = name, service:% = announcement.service, slots = announcement.slots;
            "peer-seen");
        let link = Rc::new(Link::default());
        let key = self.add_server(
            now,
            &announcement,
            ServerPath::Link(name.to_owned(), Rc::clone(&link)),
        );
        self.set_presence(announcement.service, key, Presence::Unreachable);
        let peer = Peer {
            announcement,
            address,
            link,
            task: None,
            first_seen: now,
            unwanted_since: None,
            key,
            has_table: false,
            missing_since: None,
            identity: PeerIdentity::default(),
            is_counted: true,
        };
        self.peers.insert(name.to_owned(), peer);
    }

    /// Applies the announcement of a known peer whose address is unchanged; false if there is none.
    /// The link is kept: it may already be connected to a new start of the peer, and the requests
    /// on it must not be cancelled.
    fn update(&mut self, now: Time, name: &str, announcement: &Announcement) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        peer.missing_since = None;
        if peer.announcement.address != announcement.address {
            return false;
        }
        let old = std::mem::replace(&mut peer.announcement, announcement.clone());
        let (link, key) = (Rc::clone(&peer.link), peer.key);
        if old.service == announcement.service {
            if let Some(group) = self.groups.get_mut(&old.service) {
                group.chooser.set_slots(key, announcement.slots);
            }
            return true;
        }
        self.remove_server(old.service, key);
        let key = self.add_server(now, announcement, ServerPath::Link(name.to_owned(), link));
        self.set_presence(announcement.service, key, Presence::Unreachable);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.key = key;
        }
        true
    }

    /// Records that a peer's entry is missing from the store. The peer is kept for now, since
    /// entries expire while the store is unavailable.
    pub(crate) fn on_missing(&mut self, now: Time, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.missing_since.get_or_insert(now);
        }
    }

    /// Removes the peers whose entry has been missing for `after` and that are not connected. A
    /// peer that is cut off only from the store keeps serving. Returns the names of those removed.
    pub(crate) fn drop_missing(&mut self, now: Time, after: Duration) -> Vec<String> {
        let is_expired = |peer: &Peer| {
            let since = peer.missing_since;
            let is_linked = peer.link.is_up() && !peer.identity.is_other();
            !is_linked && since.is_some_and(|since| now.since(since) >= after)
        };
        let expired = self.peers.iter().filter(|(_, peer)| is_expired(peer));
        let expired: Vec<_> = expired.map(|(name, _)| name.clone()).collect();
        for name in &expired {
            log::info!(peer:% = name; "peer-gone");
            self.remove_peer(name);
        }
        expired
    }

    /// Applies the announcement of this node's own server.
    pub(crate) fn set_local(&mut self, now: Time, announcement: &Announcement) {
        let is_other = |(service, _): &(Service, ServerKey)| *service != announcement.service;
        if let Some((service, key)) = self.local.take_if(|local| is_other(local)) {
            self.remove_server(service, key);
        }
        let (service, key) = match self.local {
            Some(local) => local,
            None => {
                let local = (
                    announcement.service,
                    self.add_server(now, announcement, ServerPath::Local),
                );
                self.local = Some(local);
                local
            }
        };
        if let Some(group) = self.groups.get_mut(&service) {
            group.chooser.set_slots(key, announcement.slots);
        }
        let is_serving = announcement.state == ServerState::Ready
            && !announcement.is_stopping
            && !self.evacuated.contains(&self.domain);
        self.set_presence(service, key, presence(is_serving));
    }

    /// Records the load of this node's own server.
    pub(crate) fn on_local_load(&mut self, now: Time, load: &Load) {
        if let Some((service, key)) = self.local
            && let Some(group) = self.groups.get_mut(&service)
        {
            group.on_load(now, key, load);
        }
    }

    /// Subtracts the capacities of outliers, servers that fail more than others: requests go to the
    /// other servers instead.
    pub(crate) fn subtract_outliers(&self, capacities: &mut BTreeMap<Service, Capacity>) {
        for (service, group) in &self.groups {
            if let Some(sum) = capacities.get_mut(service) {
                let outliers = group.outlier_capacity();
                sum.slots = (sum.slots - outliers.slots).max(0.0);
                sum.busy = (sum.busy - outliers.busy).max(0.0);
            }
        }
    }

    /// Records a failed connection to a peer's address.
    pub(crate) fn on_unreached(&mut self, now: Time, name: &str, is_refused: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.identity.on_unreached(now, is_refused);
        }
    }

    /// Records the name that the node at a peer's address states. Returns whether it is the peer's.
    pub(crate) fn on_named(&mut self, name: &str, stated: &str) -> bool {
        let is_same = name == stated;
        if let Some(peer) = self.peers.get_mut(name) {
            peer.identity.on_named(is_same);
            if !is_same {
                peer.has_table = false;
                let (service, key) = (peer.announcement.service, peer.key);
                self.set_presence(service, key, Presence::Unreachable);
            }
        }
        is_same
    }

    /// Handles the load report of a peer.
    pub(crate) fn on_load(&mut self, now: Time, name: &str, load: &Load) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if !peer.identity.on_load() {
            return;
        }
        // A node of an earlier release states only the revision.
        peer.has_table = load.table_version > 0 || load.table_revision > 0;
        let (service, key) = (peer.announcement.service, peer.key);
        if load.service != service.as_str() {
            // Its new service will be in its entry in the store.
            self.set_presence(service, key, Presence::Unreachable);
            return;
        }
        if let Some(group) = self.groups.get_mut(&service) {
            group.on_load(now, key, load);
            if load.pace > 0.0 {
                group.chooser.set_pace(key, f64::from(load.pace));
            }
        }
        let is_evacuated = self.evacuated.contains(&peer.announcement.domain);
        let is_serving = load.is_serving && !is_evacuated;
        self.set_presence(service, key, presence(is_serving));
    }

    /// Sets the pace of this node's server relative to others of its service.
    pub(crate) fn set_pace(&mut self, pace: f64) {
        if let Some((service, key)) = self.local
            && let Some(group) = self.groups.get_mut(&service)
        {
            group.chooser.set_pace(key, pace);
        }
    }

    /// Records that the connection to a peer was lost.
    pub(crate) fn on_link_lost(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.has_table = false;
            let (service, key) = (peer.announcement.service, peer.key);
            self.set_presence(service, key, Presence::Unreachable);
        }
    }

    /// Chooses a server of a service that is not in `tried`.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        service: Service,
        tried: &[ServerKey],
        rng: &mut fastrand::Rng,
    ) -> Option<ChosenServer> {
        let group = self.groups.get_mut(&service)?;
        let key = group.chooser.choose(now, tried, rng)?;
        let path = group.paths.get(&key)?.clone();
        let owner = path.owner().to_owned();
        Some(ChosenServer {
            service,
            key,
            owner,
            path,
        })
    }

    /// Chooses the one server of a service where a suspect request may run. Nodes that reach the
    /// same owners choose the same server. `own` is this node's name.
    pub(crate) fn choose_for_suspect(
        &mut self,
        now: Time,
        service: Service,
        fingerprint: Fingerprint,
        own: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<ChosenServer> {
        let group = self.groups.get(&service)?;
        let server = group.server_for_suspect(fingerprint, own)?;
        self.choose_among(now, service, &[server], rng)
    }

    /// Chooses one of these servers.
    pub(crate) fn choose_among(
        &mut self,
        now: Time,
        service: Service,
        servers: &[ServerKey],
        rng: &mut fastrand::Rng,
    ) -> Option<ChosenServer> {
        let keys = self.groups.get(&service)?.paths.keys().copied();
        let others: Vec<_> = keys.filter(|it| !servers.contains(it)).collect();
        self.choose(now, service, &others, rng)
    }

    /// Records how a request at a chosen server ended, and the owner's report sent with the
    /// outcome.
    pub(crate) fn done(
        &mut self,
        now: Time,
        chosen: &ChosenServer,
        outcome: Outcome,
        report: Option<OwnerReport>,
    ) {
        let Some(group) = self.groups.get_mut(&chosen.service) else {
            return;
        };
        group.chooser.done(now, chosen.key, outcome);
        if let Some(report) = report {
            group.on_report(now, chosen.key, report);
        }
    }

    fn add_server(
        &mut self,
        now: Time,
        announcement: &Announcement,
        path: ServerPath,
    ) -> ServerKey {
        let domain = self.domain;
        let group = self.groups.entry(announcement.service).or_insert_with(|| {
            let chooser = Chooser::new(ChooserOptions {
                domain: Some(domain),
                policy: Policy::Least,
                pace_weight: PACE_WEIGHT,
                warm_up: WARM_UP_TIME,
                ..ChooserOptions::default()
            });
            ServiceGroup {
                chooser,
                paths: HashMap::new(),
                capacities: HashMap::new(),
            }
        });
        let key = group.chooser.add(
            now,
            Candidate {
                owner: announcement.incarnation,
                domain: announcement.domain,
                slots: announcement.slots,
                is_cold: announcement.is_cold,
            },
        );
        group.paths.insert(key, path);
        key
    }

    fn set_presence(&mut self, service: Service, key: ServerKey, presence: Presence) {
        if let Some(group) = self.groups.get_mut(&service) {
            if presence != Presence::Serving {
                group.capacities.remove(&key);
            }
            group.chooser.set_presence(key, presence);
        }
    }

    fn remove_server(&mut self, service: Service, key: ServerKey) {
        if let Some(group) = self.groups.get_mut(&service) {
            group.chooser.remove(key);
            group.paths.remove(&key);
            group.capacities.remove(&key);
        }
    }

    fn remove_peer(&mut self, name: &str) {
        if let Some(peer) = self.peers.remove(name) {
            peer.task.iter().for_each(AbortHandle::abort);
            peer.link.disconnect();
            self.remove_server(peer.announcement.service, peer.key);
        }
    }
}

fn presence(is_serving: bool) -> Presence {
    if is_serving {
        Presence::Serving
    } else {
        Presence::Draining
    }
}
