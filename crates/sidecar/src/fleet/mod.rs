//! The live nodes as this one sees them, and the choice among their backend servers.

mod group;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

use cassiashunt_admit::chain_admission::Capacity;
use cassiashunt_mesh::prelude::*;
use cassiashunt_route::{
    Candidate, Chooser, Options as ChooserOptions, Outcome, OwnerReport, Policy, Presence,
    ServerKey,
};
use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;
use tokio::task::AbortHandle;

use self::group::Group;
use crate::{
    link::{Link, Load, keep_link},
    node::Node,
};

/// The time over which a cold server comes to its full share: the users' servers are slow for 3 s
/// after their start.
const WARM_UP: Duration = Duration::from_secs(3);

/// What a server's pace weighs beside its free slots. Weighed in `docs/results/platform.md`.
const PACE_WEIGHT: f64 = 0.5;

/// How long a connection is kept that is of no use any more.
const KEPT_UNWANTED: Duration = Duration::from_secs(5);

/// How a backend server is reached.
#[derive(Debug, Clone)]
pub(crate) enum Way {
    /// It is beside this node.
    Local,
    /// Through the node of this name.
    Link(String, Rc<Link>),
}

impl Way {
    /// The name of the node beside the server, for logs.
    fn owner(&self) -> &str {
        match self {
            Self::Local => "this node",
            Self::Link(name, _) => name,
        }
    }
}

/// A backend server that was chosen for a request.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) service: Service,
    pub(crate) key: ServerKey,
    /// The name of the node beside it.
    pub(crate) owner: String,
    pub(crate) way: Way,
}

struct Peer {
    announcement: Announcement,
    address: SocketAddr,
    link: Rc<Link>,
    /// What keeps the link, where this node is to be connected to the peer.
    task: Option<AbortHandle>,
    seen: Time,
    unwanted_since: Option<Time>,
    key: ServerKey,
    /// It has read a table since its link came up.
    has_table: bool,
    /// When its entry disappeared from the store.
    missing_since: Option<Time>,
}

/// The live nodes.
pub(crate) struct Fleet {
    domain: FailureDomain,
    peers: HashMap<String, Peer>,
    groups: HashMap<Service, Group>,
    local: Option<(Service, ServerKey)>,
}

impl Fleet {
    pub(crate) fn new(domain: FailureDomain) -> Self {
        Self {
            domain,
            peers: HashMap::new(),
            groups: HashMap::new(),
            local: None,
        }
    }

    /// Live nodes, this one included.
    pub(crate) fn size(&self) -> usize {
        self.peers.len() + 1
    }

    /// Links to the peers that can be asked now, by name.
    pub(crate) fn live_links(&self) -> HashMap<String, Rc<Link>> {
        let up = self.peers.iter().filter(|(_, peer)| peer.link.is_up());
        up.map(|(name, peer)| (name.clone(), Rc::clone(&peer.link)))
            .collect()
    }

    /// Whether a peer that can be asked has read a table.
    pub(crate) fn has_table(&self, name: &str) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| peer.has_table && peer.link.is_up())
    }

    /// How many peers can be asked now.
    pub(crate) fn links_up(&self) -> usize {
        self.peers.values().filter(|peer| peer.link.is_up()).count()
    }

    /// Names of the known peers.
    pub(crate) fn names(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// The known peers and their failure domains.
    pub(crate) fn members(&self) -> Vec<(String, FailureDomain)> {
        let peers = self.peers.iter();
        peers
            .map(|(name, peer)| (name.clone(), peer.announcement.domain))
            .collect()
    }

    /// Whether a peer has been known for less than a time.
    pub(crate) fn is_new(&self, now: Time, name: &str, span: Duration) -> bool {
        let peer = self.peers.get(name);
        peer.is_some_and(|peer| now.since(peer.seen) < span)
    }

    /// The link to a peer.
    pub(crate) fn link(&self, name: &str) -> Option<&Rc<Link>> {
        self.peers.get(name).map(|peer| &peer.link)
    }

    /// Connects this node to the peers of `wanted`, and ends connections to others that have been of
    /// no use for a while.
    pub(crate) fn rewire(&mut self, now: Time, node: &Rc<Node>, wanted: &HashSet<String>) {
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
            let is_over = now.since(since) >= KEPT_UNWANTED && peer.link.is_idle();
            if let Some(task) = peer.task.take_if(|_| is_over) {
                task.abort();
                peer.link.lose_all();
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

    /// The load of the servers of a service that this node can give work, in parts of their slots;
    /// nothing where there are none.
    pub(crate) fn load_in_reach(&self, service: Service) -> Option<f64> {
        let mut sum = Capacity::default();
        for capacity in self.groups.get(&service)?.capacities.values() {
            sum += *capacity;
        }
        sum.load()
    }

    /// Takes in what a peer announced.
    pub(crate) fn on_announced(&mut self, name: &str, announcement: Announcement) {
        let now = crate::clock::now();
        if self.update(now, name, &announcement) {
            return;
        }
        self.remove(name);
        let Ok(address) = announcement.address.parse::<SocketAddr>() else {
            log::warn!(peer:% = name, address:% = announcement.address; "odd-announcement");
            return;
        };
        log::info!(peer:% = name, service:% = announcement.service, slots = announcement.slots;
            "peer-seen");
        let link = Rc::new(Link::default());
        let key = self.add(
            now,
            &announcement,
            Way::Link(name.to_owned(), Rc::clone(&link)),
        );
        self.set_presence(announcement.service, key, Presence::Unreachable);
        let peer = Peer {
            announcement,
            address,
            link,
            task: None,
            seen: now,
            unwanted_since: None,
            key,
            has_table: false,
            missing_since: None,
        };
        self.peers.insert(name.to_owned(), peer);
    }

    /// Takes in what a known peer announces at its old address. Its link stays: it may be up with a
    /// new start of the peer already, and requests on it are not to be given up.
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
        self.forget(old.service, key);
        let key = self.add(now, announcement, Way::Link(name.to_owned(), link));
        self.set_presence(announcement.service, key, Presence::Unreachable);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.key = key;
        }
        true
    }

    /// Takes in that a peer's entry is missing. It stays for now, since entries lapse while the
    /// store is away.
    pub(crate) fn on_missing(&mut self, now: Time, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.missing_since.get_or_insert(now);
        }
    }

    /// Drops the peers whose entry has been missing for `after` and that can't be reached. One that
    /// is cut off from the store alone goes on serving. Whether any was dropped.
    pub(crate) fn drop_missing(&mut self, now: Time, after: Duration) -> bool {
        let is_gone = |peer: &Peer| {
            let since = peer.missing_since;
            !peer.link.is_up() && since.is_some_and(|since| now.since(since) >= after)
        };
        let gone = self.peers.iter().filter(|(_, peer)| is_gone(peer));
        let gone: Vec<_> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            log::info!(peer:% = name; "peer-gone");
            self.remove(name);
        }
        !gone.is_empty()
    }

    /// Takes in what this node's own server is ready for.
    pub(crate) fn set_local(&mut self, now: Time, announcement: &Announcement) {
        let is_other = |(service, _): &(Service, ServerKey)| *service != announcement.service;
        if let Some((service, key)) = self.local.take_if(|local| is_other(local)) {
            self.forget(service, key);
        }
        let (service, key) = match self.local {
            Some(local) => local,
            None => {
                let local = (
                    announcement.service,
                    self.add(now, announcement, Way::Local),
                );
                self.local = Some(local);
                local
            }
        };
        if let Some(group) = self.groups.get_mut(&service) {
            group.chooser.set_slots(key, announcement.slots);
        }
        let is_serving = announcement.state == ServerState::Ready && !announcement.is_stopping;
        self.set_presence(service, key, presence(is_serving));
    }

    /// Takes in this node's own load.
    pub(crate) fn on_local_load(&mut self, now: Time, load: &Load) {
        if let Some((service, key)) = self.local
            && let Some(group) = self.groups.get_mut(&service)
        {
            group.on_load(now, key, load);
        }
    }

    /// Takes the servers that fail more than others out of what services have: others get their
    /// work.
    pub(crate) fn leave_out(&self, capacities: &mut BTreeMap<Service, Capacity>) {
        for (service, group) in &self.groups {
            if let Some(sum) = capacities.get_mut(service) {
                let out = group.left_out();
                sum.slots = (sum.slots - out.slots).max(0.0);
                sum.busy = (sum.busy - out.busy).max(0.0);
            }
        }
    }

    /// Takes in what a peer tells of its owner.
    pub(crate) fn on_load(&mut self, now: Time, name: &str, load: &Load) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        peer.has_table = load.table_revision > 0;
        let (service, key) = (peer.announcement.service, peer.key);
        if load.service != service.as_str() {
            // Its entry in the store will say which service it has now.
            self.set_presence(service, key, Presence::Unreachable);
            return;
        }
        if let Some(group) = self.groups.get_mut(&service) {
            group.on_load(now, key, load);
            if load.pace > 0.0 {
                group.chooser.set_pace(key, f64::from(load.pace));
            }
        }
        self.set_presence(service, key, presence(load.is_serving));
    }

    /// Takes in how quick this node's server is.
    pub(crate) fn set_pace(&mut self, pace: f64) {
        if let Some((service, key)) = self.local
            && let Some(group) = self.groups.get_mut(&service)
        {
            group.chooser.set_pace(key, pace);
        }
    }

    /// Takes in that a peer can't be asked now.
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
    ) -> Option<Chosen> {
        let group = self.groups.get_mut(&service)?;
        let key = group.chooser.choose(now, tried, rng)?;
        let way = group.ways.get(&key)?.clone();
        let owner = way.owner().to_owned();
        Some(Chosen {
            service,
            key,
            owner,
            way,
        })
    }

    /// Chooses the one server of a service where a suspect may run. Nodes that reach the same owners
    /// choose the same. `own` is this node's name.
    pub(crate) fn choose_one_place(
        &mut self,
        now: Time,
        service: Service,
        fingerprint: Fingerprint,
        own: &str,
        rng: &mut fastrand::Rng,
    ) -> Option<Chosen> {
        let group = self.groups.get(&service)?;
        let place = group.place_of(fingerprint, own)?;
        let others: Vec<_> = group
            .ways
            .keys()
            .copied()
            .filter(|it| *it != place)
            .collect();
        self.choose(now, service, &others, rng)
    }

    /// Takes in how a request at a chosen server ended, with what its owner reported with it.
    pub(crate) fn done(
        &mut self,
        now: Time,
        chosen: &Chosen,
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

    fn add(&mut self, now: Time, announcement: &Announcement, way: Way) -> ServerKey {
        let domain = self.domain;
        let group = self.groups.entry(announcement.service).or_insert_with(|| {
            let chooser = Chooser::new(ChooserOptions {
                domain: Some(domain),
                policy: Policy::Least,
                pace_weight: PACE_WEIGHT,
                warm_up: WARM_UP,
                ..ChooserOptions::default()
            });
            Group {
                chooser,
                ways: HashMap::new(),
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
        group.ways.insert(key, way);
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

    fn forget(&mut self, service: Service, key: ServerKey) {
        if let Some(group) = self.groups.get_mut(&service) {
            group.chooser.remove(key);
            group.ways.remove(&key);
            group.capacities.remove(&key);
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(peer) = self.peers.remove(name) {
            peer.task.iter().for_each(AbortHandle::abort);
            peer.link.lose_all();
            self.forget(peer.announcement.service, peer.key);
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
