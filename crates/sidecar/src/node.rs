//! What the tasks of one node share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use cassiashunt_mesh::{Directory, Sum, prelude::*};
use cassiashunt_types::prelude::*;
use tokio::sync::Notify;

use crate::{
    budget::RetryBudgets,
    fleet::Fleet,
    ingress::TrafficSplits,
    link::{Frame, Known, Load, Proof, Table},
    owner::Owner,
    quota::Quotas,
    settings::Settings,
    shed::Shedding,
    standing::Standing,
    store::StoreClient,
    suspicion::Suspicion,
    wiring::Widths,
};

/// The time between two questions for a newer table, to whichever peers tell of it.
const ASK_TABLE_EVERY: Duration = Duration::from_millis(300);
/// How long a newer table may take from peers before the store is asked for it; they hold it already.
const TABLE_FROM_PEERS: Duration = Duration::from_millis(600);

/// One node. Everything runs on one thread, so the cells are never borrowed across an `await`.
pub(crate) struct Node {
    settings: RefCell<Rc<Settings>>,
    store: Rc<StoreClient>,
    /// This start of the process.
    pub(crate) incarnation: NodeId,
    /// The table in force; none before the first.
    pub(crate) table: RefCell<Option<Rc<SiteTable>>>,
    /// The store's revision of the newest table that was read, in force or not.
    pub(crate) table_revision: Cell<Revision>,
    /// The newest such revision that a peer has read.
    peer_revision: Cell<Revision>,
    /// Since when a peer is known to have read a newer table.
    outdated_since: Cell<Option<Time>>,
    /// When a peer was asked for it.
    table_asked: Cell<Option<Time>>,
    /// Wakes the task that tells the tree what this node knows.
    pub(crate) tell_now: Notify,
    /// The table as it was read, for peers that the store does not answer.
    pub(crate) table_value: RefCell<Option<Table>>,
    /// The store does not answer this node.
    pub(crate) is_store_lost: Cell<bool>,
    pub(crate) freshness: RefCell<Freshness>,
    /// Whether keys could be accepted when that was asked last.
    was_fresh: Cell<bool>,
    pub(crate) fleet: RefCell<Fleet>,
    /// The nodes' entries in the store.
    pub(crate) directory: RefCell<Directory>,
    pub(crate) standing: Standing,
    pub(crate) widths: Widths,
    pub(crate) owner: Owner,
    pub(crate) suspicion: Suspicion,
    pub(crate) quotas: Quotas,
    pub(crate) budgets: RetryBudgets,
    pub(crate) splits: TrafficSplits,
    pub(crate) shedding: Shedding,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// Peers that are told this node's load.
    pub(crate) listeners: RefCell<Vec<tokio::sync::mpsc::Sender<Frame>>>,
    /// When the process was asked to stop.
    pub(crate) stopping: Cell<Option<Time>>,
    /// Ends the taking in of clients' connections.
    pub(crate) accept_no_more: Notify,
    /// Requests of clients and of the backend server that have no answer yet.
    pub(crate) open_requests: Cell<usize>,
    /// Tells that the table has been read for the first time.
    pub(crate) table_read: Notify,
    /// Wakes the task that proves the table to be the newest.
    pub(crate) prove_now: Notify,
    /// Wakes the tasks that wait for changes in the store: connections that hung while it was away
    /// bring nothing more.
    pub(crate) store_regained: Notify,
    /// Whether this node's entry was seen to be gone from the store.
    pub(crate) is_entry_lost: Cell<bool>,
    /// The lease of this node's entry in the store.
    pub(crate) lease: Cell<Option<u64>>,
    /// Wakes the task that announces this node.
    pub(crate) announce: Notify,
}

impl Node {
    pub(crate) fn new(settings: Settings, store: Rc<StoreClient>) -> Self {
        let bound = Duration::from_millis(settings.bounds.key_withdrawal_ms);
        let domain = settings.domain;
        let ratio = settings.bounds.retry_ratio;
        let window = Duration::from_secs_f64(settings.bounds.retry_window_s);
        Self {
            settings: RefCell::new(Rc::new(settings)),
            store,
            incarnation: NodeId::random(),
            table: RefCell::new(None),
            table_revision: Cell::new(Revision(0)),
            peer_revision: Cell::new(Revision(0)),
            outdated_since: Cell::new(None),
            table_asked: Cell::new(None),
            tell_now: Notify::new(),
            table_value: RefCell::new(None),
            is_store_lost: Cell::new(false),
            freshness: RefCell::new(Freshness::new(bound)),
            was_fresh: Cell::new(false),
            fleet: RefCell::new(Fleet::new(domain)),
            directory: RefCell::default(),
            standing: Standing::default(),
            widths: Widths::default(),
            owner: Owner::new(crate::clock::now()),
            suspicion: Suspicion::default(),
            quotas: Quotas::default(),
            budgets: RetryBudgets::new(ratio, window),
            splits: TrafficSplits::default(),
            shedding: Shedding::default(),
            rng: RefCell::new(fastrand::Rng::new()),
            listeners: RefCell::new(Vec::new()),
            stopping: Cell::new(None),
            accept_no_more: Notify::new(),
            open_requests: Cell::new(0),
            table_read: Notify::new(),
            prove_now: Notify::new(),
            store_regained: Notify::new(),
            is_entry_lost: Cell::new(false),
            lease: Cell::new(None),
            announce: Notify::new(),
        }
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes in changed settings; addresses stay as they were bound.
    pub(crate) fn set_settings(&self, settings: Settings) {
        let bound = self.settings();
        *self.settings.borrow_mut() = Rc::new(Settings {
            addresses: bound.addresses.clone(),
            store: bound.store.clone(),
            name: bound.name.clone(),
            ..settings
        });
    }

    pub(crate) fn table(&self) -> Option<Rc<SiteTable>> {
        self.table.borrow().clone()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// A span made longer by up to this part of it, so that nodes do not act together.
    pub(crate) fn jittered(&self, span: Duration, part: f64) -> Duration {
        span.mul_f64(1.0 + part * self.rng.borrow_mut().f64())
    }

    /// This node's proof that its table is the newest, for peers.
    pub(crate) fn proof(&self, now: Time, asked_us: u64) -> Option<Proof> {
        let age = self.freshness.borrow().age(now)?;
        Some(Proof {
            revision: self.table_revision.get().0,
            age_us: crate::clock::micros(age),
            asked_us,
        })
    }

    /// Takes in a peer's proof. It counts from the moment of the question, since an answer may be
    /// held up.
    pub(crate) fn on_proof(&self, now: Time, proof: &Proof) {
        let asked = Time::from_micros(proof.asked_us);
        if asked <= now && proof.revision == self.table_revision.get().0 {
            let proven = asked.before(Duration::from_micros(proof.age_us));
            self.freshness.borrow_mut().prove(proven);
        }
    }

    /// Takes in which table a peer has read. Whether the peer is to be asked for it.
    pub(crate) fn on_peer_revision(&self, now: Time, revision: Revision) -> bool {
        if revision > self.peer_revision.get() {
            self.peer_revision.set(revision);
        }
        if !self.is_outdated() {
            self.outdated_since.set(None);
            self.table_asked.set(None);
            return false;
        }
        let since = self.outdated_since.get().unwrap_or(now);
        self.outdated_since.set(Some(since));
        if now.since(since) >= TABLE_FROM_PEERS {
            self.prove_now.notify_one();
        }
        let was_asked = self.table_asked.get();
        let is_due = was_asked.is_none_or(|asked| now.since(asked) >= ASK_TABLE_EVERY);
        let asks = revision > self.table_revision.get() && is_due;
        if asks {
            self.table_asked.set(Some(now));
        }
        asks
    }

    /// Whether a peer has read a newer table.
    pub(crate) fn is_outdated(&self) -> bool {
        self.peer_revision.get() > self.table_revision.get()
    }

    /// Divides the limits of the table in force among the live nodes.
    pub(crate) fn set_limits(&self) {
        if let Some(table) = self.table() {
            let nodes = self.fleet.borrow().size();
            self.quotas
                .set_limits(crate::clock::now(), table.workspaces(), nodes);
        }
    }

    /// Whether keys of the table in force may be accepted now.
    pub(crate) fn is_fresh(&self) -> bool {
        let now = crate::clock::now();
        let is_fresh = self.freshness.borrow().holds(now);
        if self.was_fresh.replace(is_fresh) != is_fresh {
            let age = self.freshness.borrow().age(now);
            log::warn!(fresh = is_fresh, proof_age_ms = age.map_or(0, crate::clock::millis),
                table_revision = self.table_revision.get().0; "keys-fresh");
        }
        is_fresh
    }

    /// Whether this node knows of withdrawn keys by its peers' word only.
    pub(crate) fn is_on_peers_word(&self) -> bool {
        let answered = self.store.answered();
        self.freshness
            .borrow()
            .is_proven_by_peers_only(crate::clock::now(), answered)
    }

    /// The service of the machine.
    pub(crate) fn service(&self) -> Service {
        self.owner.service().unwrap_or(self.settings().service)
    }

    /// What peers are told of the owner.
    pub(crate) fn load(&self) -> Load {
        Load {
            report: self.owner.report_state().to_bits(),
            is_serving: self.owner.is_serving() && !self.is_stopping(),
            service: self.service().as_str().into(),
            slots: self.owner.concurrency_limit(),
            busy: self.owner.busy_slots(),
            pace: self
                .shedding
                .pace(&self.settings().name)
                .unwrap_or_default() as f32,
            table_revision: self.table_revision.get().0,
        }
    }

    /// What this node has read or heard, for others.
    pub(crate) fn known(&self) -> Known {
        Known {
            table: self.table_revision.get().0,
            entries: self.directory.borrow().revision().0,
            strikes: self.suspicion.digest(crate::clock::now()),
        }
    }

    /// What this node's server has and its clients ask for.
    pub(crate) fn own_sum(&self) -> Sum {
        let capacity = self.load().capacity();
        let capacities = capacity.map(|capacity| (self.service(), capacity));
        let demand = self.shedding.demand().into_iter();
        Sum {
            nodes: 1,
            capacities: capacities.into_iter().collect(),
            demand: demand
                .map(|it| ((it.priority, it.service), it.slots))
                .collect(),
        }
    }

    /// Takes in what all nodes have and ask for, and decides anew what fits. While too little of
    /// that is known, what was decided last stays, and owners' queues bound the rest.
    pub(crate) fn step_shedding(&self) {
        let now = crate::clock::now();
        let nodes = self.fleet.borrow().size();
        if let Some((total, rest)) = self.standing.sums(now, nodes) {
            let mut capacities = total.capacities;
            self.fleet.borrow().subtract_outliers(&mut capacities);
            self.shedding.on_others_demand(now, rest.demand_list());
            self.shedding.step(now, capacities);
        }
    }

    /// Tells all peers this node's load, and forgets those that are gone.
    pub(crate) fn tell_load(&self) {
        self.tell(self.load());
    }

    /// Takes in what this node's server's runs take and call, and what all others' do.
    pub(crate) fn step_uses(&self) {
        let now = crate::clock::now();
        let uses = self.owner.usage_report(now);
        let (name, service) = (self.settings().name.clone(), self.service());
        self.standing
            .set_own_uses([(service, uses.clone())].into_iter().collect());
        self.shedding.on_uses(now, &name, service, uses);
        for (service, uses) in self.standing.rest_of_uses() {
            // No node has such a name.
            let others = format!("others {service}");
            self.shedding.on_uses(now, &others, service, uses);
        }
        if let Some(pace) = self.shedding.pace(&name) {
            self.fleet.borrow_mut().set_pace(pace);
        }
        self.shedding.log_shortages();
    }

    fn tell(&self, load: Load) {
        let now = crate::clock::now();
        self.fleet.borrow_mut().on_local_load(now, &load);
        let frame = Frame::from(crate::link::Kind::Load(load));
        let mut listeners = self.listeners.borrow_mut();
        listeners.retain(|tx| !tx.is_closed());
        for tx in listeners.iter() {
            // A full queue means that the peer reads nothing; the next load will do.
            let _ = tx.try_send(frame.clone());
        }
    }

    /// Takes in a change of what the backend server is ready for.
    pub(crate) fn on_server_changed(&self) {
        let now = crate::clock::now();
        let announcement = self.announcement();
        self.fleet.borrow_mut().set_local(now, &announcement);
        self.tell_load();
        self.announce.notify_one();
    }

    /// What the fleet is told of this node.
    pub(crate) fn announcement(&self) -> Announcement {
        let settings = self.settings();
        Announcement {
            incarnation: self.incarnation,
            address: settings.addresses.peers.to_string(),
            domain: settings.domain,
            service: self.service(),
            slots: self.owner.slots(),
            state: self.owner.state(),
            is_cold: self.owner.is_cold(crate::clock::now()),
            is_stopping: self.is_stopping(),
        }
    }
}
