//! The state that the tasks of one node share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use cassiashunt_admit::fair_admission::FairAdmission;
use cassiashunt_mesh::{
    Directory, EvacuationChange, Evacuations, FirstComparison, FleetCount, KnownTable, LineLimit,
    StopSchedule, StoreRevision, Sum, prelude::*,
};
use cassiashunt_types::prelude::*;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    aggregation::Aggregation,
    budget::RetryBudgets,
    clients::Clients,
    fleet::Fleet,
    ingress::TrafficSplits,
    link::{Frame, Hello, KnownState, Load, Proof, Table},
    memory::BodyMemory,
    metrics,
    owner::Owner,
    peer_links::SubsetWidths,
    quota::Quotas,
    settings::Settings,
    shed::Shedding,
    store::StoreClient,
    suspicion::Suspicion,
};

/// The shortest time between two requests for a newer table, to any peers that announce one.
const TABLE_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// How long a newer table may take to arrive from peers, which already hold it, before the store is
/// asked.
const PEER_TABLE_TIMEOUT: Duration = Duration::from_millis(600);

/// Bodies may take this fraction of the process's memory.
const BODY_MEMORY_DIVISOR: usize = 2;

/// One node. All tasks run on one thread; the cells are never borrowed across an `await`.
pub(crate) struct Node {
    settings: RefCell<Rc<Settings>>,
    store: Rc<StoreClient>,
    /// Identifies this start of the process.
    pub(crate) incarnation: NodeId,
    /// The table in force; `None` before the first.
    pub(crate) table: RefCell<Option<Rc<SiteTable>>>,
    /// Which failure domains the operators have evacuated.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Which tables were received, in force or not.
    pub(crate) known_table: Cell<KnownTable>,
    /// The position of the newest table that a peer has read.
    peer_revision: Cell<StoreRevision>,
    /// When a peer was first known to have a newer table; `None` while none has.
    outdated_since: Cell<Option<Time>>,
    /// When a peer was last asked for a newer table; `None` once one was received.
    pub(crate) table_requested_at: Cell<Option<Time>>,
    /// Wakes the task that sends reports through the aggregation tree.
    pub(crate) report_now: Notify,
    /// The table in force as stored, for peers that can't reach the store or that the store has
    /// lost it for.
    pub(crate) table_value: RefCell<Option<Table>>,
    /// The store's newest item, if it can't be decoded here.
    pub(crate) refused_table: RefCell<Option<Table>>,
    /// The version of a peer's table that can't be decoded here, so that it is not requested again.
    pub(crate) refused_version: Cell<u64>,
    /// The store does not answer this node.
    pub(crate) is_store_lost: Cell<bool>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) first_comparison: RefCell<FirstComparison>,
    pub(crate) fleet_count: Cell<FleetCount>,
    /// The number of nodes by which limits were last divided.
    pub(crate) divided_by: Cell<Option<usize>>,
    /// The previous result of `is_fresh`, to log changes only.
    was_fresh: Cell<bool>,
    pub(crate) fleet: RefCell<Fleet>,
    /// The nodes' entries in the store.
    pub(crate) directory: RefCell<Directory>,
    pub(crate) aggregation: Aggregation,
    pub(crate) subset_widths: SubsetWidths,
    pub(crate) owner: Owner,
    /// Bodies of requests and answers on all connections.
    pub(crate) memory: Rc<BodyMemory>,
    /// Connections of clients.
    pub(crate) clients: Rc<Clients>,
    pub(crate) suspicion: Suspicion,
    pub(crate) quotas: Quotas,
    pub(crate) budgets: RetryBudgets,
    pub(crate) splits: TrafficSplits,
    pub(crate) shedding: Shedding,
    pub(crate) fair_admission: RefCell<FairAdmission>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// The queues of the peers that receive this node's load reports.
    pub(crate) load_recipients: RefCell<Vec<tokio::sync::mpsc::Sender<Frame>>>,
    /// Closes the connections that peers have opened.
    pub(crate) closing_links: CancellationToken,
    /// Notified when they are closed.
    pub(crate) links_closed: Notify,
    /// The course of the stop; `None` before the process is asked to stop.
    pub(crate) stopping: Cell<Option<StopSchedule>>,
    /// Cancelled when a stop gives up what is pending, and what comes later.
    pub(crate) giving_up: CancellationToken,
    /// When a stop gave up what was pending.
    pub(crate) given_up: Cell<Option<Time>>,
    /// Closes clients' connections that are idle.
    pub(crate) closing_clients: CancellationToken,
    /// Notified when none is accepted any more and all are closed.
    pub(crate) clients_closed: Notify,
    /// Idle connections of clients that a stop has closed.
    pub(crate) closed_idle: Cell<usize>,
    /// Stops accepting clients' connections.
    pub(crate) stop_accepting: Notify,
    /// Unanswered requests of clients and of the backend server.
    pub(crate) open_requests: Cell<usize>,
    /// Connections of clients that are being closed after their last answer.
    pub(crate) closing_connections: Cell<usize>,
    /// Notified when the table has been read from the store; the first proof waits for it.
    pub(crate) table_read: Notify,
    /// Wakes the task that proves the table to be the newest.
    pub(crate) prove_now: Notify,
    /// The store answers again. Failed reads are tried again at once, and watches start over:
    /// connections that hung during its outage deliver nothing more.
    pub(crate) store_regained: Notify,
    /// Whether this node's entry was removed from the store or replaced by another writer.
    pub(crate) is_entry_lost: Cell<bool>,
    /// The entry that this node last wrote, or is writing, and the position of its last write.
    pub(crate) own_entry: RefCell<(StoreRevision, Vec<u8>)>,
    /// Wakes the task that keeps this node's entry in the store.
    pub(crate) announce: Notify,
    /// The log lines of events that other writers can cause, by event.
    line_limits: RefCell<HashMap<&'static str, LineLimit>>,
}

impl Node {
    pub(crate) fn new(settings: Settings, store: Rc<StoreClient>) -> Self {
        let bound = settings.bounds.key_withdrawal();
        let domain = settings.domain();
        let (memory_bytes, max_fds) = (settings.memory_bytes(), settings.max_fds());
        let ratio = settings.bounds.retry_ratio;
        let slack = settings.bounds.retry_slack;
        let window = Duration::from_secs_f64(settings.bounds.retry_window_s);
        Self {
            settings: RefCell::new(Rc::new(settings)),
            store,
            incarnation: NodeId::random(),
            table: RefCell::new(None),
            evacuations: RefCell::default(),
            known_table: Cell::default(),
            peer_revision: Cell::default(),
            outdated_since: Cell::new(None),
            table_requested_at: Cell::new(None),
            report_now: Notify::new(),
            table_value: RefCell::new(None),
            refused_table: RefCell::new(None),
            refused_version: Cell::new(0),
            is_store_lost: Cell::new(false),
            freshness: RefCell::new(Freshness::new(bound)),
            first_comparison: RefCell::default(),
            fleet_count: Cell::default(),
            divided_by: Cell::new(None),
            was_fresh: Cell::new(false),
            fleet: RefCell::new(Fleet::new(domain)),
            directory: RefCell::default(),
            aggregation: Aggregation::default(),
            subset_widths: SubsetWidths::default(),
            owner: Owner::new(crate::clock::now()),
            memory: BodyMemory::new(memory_bytes / BODY_MEMORY_DIVISOR),
            clients: Rc::new(Clients::new(max_fds, memory_bytes)),
            suspicion: Suspicion::default(),
            quotas: Quotas::default(),
            budgets: RetryBudgets::new(crate::clock::now(), ratio, slack, window),
            splits: TrafficSplits::default(),
            shedding: Shedding::new(window),
            fair_admission: RefCell::new(FairAdmission::new(
                Default::default(),
                fastrand::Rng::new(),
            )),
            rng: RefCell::new(fastrand::Rng::new()),
            load_recipients: RefCell::new(Vec::new()),
            closing_links: CancellationToken::new(),
            links_closed: Notify::new(),
            stopping: Cell::new(None),
            giving_up: CancellationToken::new(),
            given_up: Cell::new(None),
            closing_clients: CancellationToken::new(),
            clients_closed: Notify::new(),
            closed_idle: Cell::new(0),
            stop_accepting: Notify::new(),
            open_requests: Cell::new(0),
            closing_connections: Cell::new(0),
            table_read: Notify::new(),
            prove_now: Notify::new(),
            store_regained: Notify::new(),
            is_entry_lost: Cell::new(false),
            own_entry: RefCell::default(),
            announce: Notify::new(),
            line_limits: RefCell::default(),
        }
    }

    /// Whether an event that another writer can cause at any rate has a log line: the number of such
    /// events before it that had none, or `None`.
    pub(crate) fn admit_line(&self, event: &'static str) -> Option<u64> {
        let mut limits = self.line_limits.borrow_mut();
        limits.entry(event).or_default().admit(crate::clock::now())
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies settings that have changed since the start.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.freshness
            .borrow_mut()
            .set_bound(settings.bounds.key_withdrawal());
        *self.settings.borrow_mut() = Rc::new(settings);
        // The bounds on starts at a cold server may have changed.
        self.owner.on_table(self);
    }

    pub(crate) fn table(&self) -> Option<Rc<SiteTable>> {
        self.table.borrow().clone()
    }

    /// Records the store's era as known to a peer, whose state of that era was applied.
    pub(crate) fn on_peer_era(&self, era: u64) {
        self.store.on_era(era);
    }

    /// Gives up what is pending in a stop, and returns when it was first given up.
    pub(crate) fn give_up(&self) -> Time {
        let at = self.given_up.get().unwrap_or_else(crate::clock::now);
        self.given_up.set(Some(at));
        self.giving_up.cancel();
        at
    }

    /// How much longer owners are waited for to tell whether a request that a stop gave up has run.
    pub(crate) fn recall_time(&self) -> Duration {
        let times = self.stopping.get().zip(self.given_up.get());
        times.map_or(Duration::ZERO, |(stop, given_up)| {
            stop.recalls_end(given_up).since(crate::clock::now())
        })
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Lengthens a span by a random fraction of up to `max_fraction`, so that nodes do not act at
    /// the same time.
    pub(crate) fn jittered(&self, span: Duration, max_fraction: f64) -> Duration {
        span.mul_f64(1.0 + max_fraction * self.rng.borrow_mut().f64())
    }

    /// This node's proof that its table is the newest, for peers; `None` if it lacks one.
    pub(crate) fn proof(&self, now: Time, asked_us: u64) -> Option<Proof> {
        let known = self.known_table.get();
        let age = self.freshness.borrow().age(now)?;
        if !known.is_comparable() {
            return None;
        }
        let KnownTable { at, version, .. } = known;
        Some(Proof {
            revision: at.revision.0,
            era: at.era,
            version,
            age_us: crate::clock::micros(age),
            asked_us,
        })
    }

    /// Records a peer's proof. Its age is counted from the time of the request, since the answer
    /// may have been delayed.
    pub(crate) fn on_proof(&self, now: Time, proof: &Proof) {
        let asked = Time::from_micros(proof.asked_us);
        if asked <= now && self.known_table.get().is_proven_by(proof.known_table()) {
            let proven = asked.before(Duration::from_micros(proof.age_us));
            self.freshness.borrow_mut().prove(proven);
        }
    }

    /// Records which table a peer has. Returns whether to ask the peer for it.
    pub(crate) fn on_peer_table(&self, now: Time, peer: KnownTable) -> bool {
        self.peer_revision
            .set(self.peer_revision.get().max(peer.at));
        if self.is_outdated() {
            let since = self.outdated_since.get().unwrap_or(now);
            self.outdated_since.set(Some(since));
            if now.since(since) >= PEER_TABLE_TIMEOUT {
                self.prove_now.notify_one();
            }
        } else {
            self.outdated_since.set(None);
        }
        let requested_at = self.table_requested_at.get();
        let is_due = requested_at.is_none_or(|asked| now.since(asked) >= TABLE_REQUEST_INTERVAL);
        let is_refused = peer.version <= self.refused_version.get();
        let usable = KnownTable {
            version: if is_refused { 0 } else { peer.version },
            ..peer
        };
        self.first_comparison
            .borrow_mut()
            .on_peer(self.known_table.get().version, peer.version);
        let is_requested = self.known_table.get().is_behind(usable) && is_due;
        if is_requested {
            self.table_requested_at.set(Some(now));
        }
        is_requested
    }

    /// Whether a peer has read a newer table from the store. One that only a peer has, because the
    /// store has lost it, is no reason to ask the store.
    pub(crate) fn is_outdated(&self) -> bool {
        self.peer_revision.get() > self.known_table.get().at
    }

    /// The number of nodes among which limits are divided; `None` while it is not known.
    pub(crate) fn limit_nodes(&self) -> Option<usize> {
        let known = self.fleet.borrow().size();
        self.fleet_count.get().nodes(crate::clock::now(), known)
    }

    /// Divides the limits of the table in force anew if the number of nodes has changed.
    pub(crate) fn update_limits(&self) {
        if self.limit_nodes() != self.divided_by.get() {
            self.set_limits();
        }
    }

    /// Divides the limits of the table in force among the nodes.
    pub(crate) fn set_limits(&self) {
        if let (Some(table), Some(nodes)) = (self.table(), self.limit_nodes()) {
            self.divided_by.set(Some(nodes));
            self.quotas
                .set_limits(crate::clock::now(), table.workspaces(), nodes);
        }
    }

    /// Whether this node knows its share of the limits, and has compared the table read at the start
    /// with a peer's, as far as peers answer.
    pub(crate) fn is_compared(&self) -> bool {
        let known = self.fleet.borrow().size();
        let comparison = self.first_comparison.borrow();
        comparison.is_over(crate::clock::now(), &self.fleet_count.get(), known)
    }

    /// Changes what is known of the fleet's size.
    pub(crate) fn update_fleet_count(&self, update: impl FnOnce(&mut FleetCount)) {
        let mut count = self.fleet_count.get();
        update(&mut count);
        self.fleet_count.set(count);
        self.set_limits();
    }

    /// Whether keys of the table in force may be accepted now.
    pub(crate) fn is_fresh(&self) -> bool {
        let now = crate::clock::now();
        let is_fresh = self.freshness.borrow().holds(now) && self.is_compared();
        if self.was_fresh.replace(is_fresh) != is_fresh {
            let age = self.freshness.borrow().age(now);
            log::warn!(fresh = is_fresh, proof_age_ms = age.map_or(0, crate::clock::millis),
                era = self.known_table.get().at.era,
                table_revision = self.known_table.get().at.revision.0; "keys-fresh");
        }
        is_fresh
    }

    /// Whether this node learns of withdrawn keys from its peers only.
    pub(crate) fn relies_on_peers(&self) -> bool {
        let last_answer = self.store.last_answer();
        self.freshness
            .borrow()
            .is_proven_by_peers_only(crate::clock::now(), last_answer)
    }

    /// The service of the backend server.
    pub(crate) fn service(&self) -> Service {
        self.settings().service()
    }

    /// What this node states of itself on a new connection.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            incarnation: self.incarnation.0,
            name: self.settings().name.clone(),
        }
    }

    /// Handles changes of evacuations that were read from the store or received from a peer.
    pub(crate) fn on_evacuation_changes(
        self: &Rc<Self>,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) {
        let changed: Vec<_> = {
            let mut known = self.evacuations.borrow_mut();
            let changes = changes.into_iter();
            changes.filter(|it| known.on_change(*it)).collect()
        };
        self.apply_evacuations(&changed);
    }

    /// Puts evacuations that have begun or ended in force.
    pub(crate) fn apply_evacuations(self: &Rc<Self>, changed: &[EvacuationChange]) {
        if changed.is_empty() {
            return;
        }
        for change in changed {
            log::warn!(domain:% = change.domain, evacuated = change.is_evacuated,
                era = change.at.era, revision = change.at.revision.0; "domain-evacuated");
        }
        let evacuated: Vec<_> = {
            let known = self.evacuations.borrow();
            let evacuated = known.changes().filter(|it| it.is_evacuated);
            evacuated.map(|it| it.domain).collect()
        };
        metrics::set_evacuated(evacuated.len());
        let own = self.settings().domain();
        // Of several changes at once, the last one counts.
        let is_evacuated = evacuated.contains(&own);
        self.fleet.borrow_mut().set_evacuated(evacuated);
        if changed.iter().any(|it| it.domain == own) {
            self.owner.set_evacuated(self, is_evacuated);
        }
        self.report_now.notify_one();
    }

    /// The load report of this node's owner.
    pub(crate) fn load(&self) -> Load {
        Load {
            report: self.owner.report_state().to_bits(),
            is_serving: self.owner.is_serving() && !self.is_stopping(),
            service: self.service().as_str().into(),
            slots: self.owner.capacity(),
            busy: self.owner.busy_slots(),
            pace: self
                .shedding
                .pace(&self.settings().name)
                .unwrap_or_default() as f32,
            table_revision: self.known_table.get().at.revision.0,
            table_era: self.known_table.get().at.era,
            table_version: self.known_table.get().version,
        }
    }

    /// Which state this node holds, for comparison by peers.
    pub(crate) fn known_state(&self) -> KnownState {
        let (table, entries) = (self.known_table.get(), self.directory.borrow().revision());
        KnownState {
            table: table.at.revision.0,
            entries: entries.revision.0,
            strikes: self.suspicion.digest(crate::clock::now()),
            table_era: table.at.era,
            entries_era: entries.era,
            table_version: table.version,
        }
    }

    /// The capacity of this node's server and the demand of its clients.
    pub(crate) fn own_sum(&self) -> Sum {
        let capacity = self.load().capacity();
        let capacities = capacity.map(|capacity| (self.service(), capacity));
        let demand = self.shedding.demand().into_iter();
        let mut tries = self.shedding.tries();
        self.budgets.add_to(crate::clock::now(), &mut tries);
        Sum {
            nodes: 1,
            capacities: capacities.into_iter().collect(),
            demand: demand
                .map(|it| ((it.priority, it.service), it.slots))
                .collect(),
            tries,
        }
    }

    /// Recomputes the admitted demand from the capacity and demand of all nodes. While too few of
    /// their reports are known, the last decision stays in force and only the owners' queues bound
    /// the load.
    pub(crate) fn step_shedding(&self) {
        let now = crate::clock::now();
        let nodes = self.fleet.borrow().size();
        if let Some((total, others)) = self.aggregation.sums(now, nodes) {
            self.budgets.on_total(&total.tries);
            self.shedding.step_repeats(now, total.tries, &total.demand);
            let mut capacities = total.capacities;
            self.fleet.borrow().subtract_outliers(&mut capacities);
            self.shedding.on_others_demand(now, others.demand_list());
            self.shedding.step(now, capacities);
        } else {
            let own = self.shedding.tries();
            self.shedding.step_repeats(now, own, &Default::default());
        }
    }

    /// Sends this node's load report to all peers, and drops those that have disconnected.
    pub(crate) fn send_load(&self) {
        self.broadcast_load(self.load());
    }

    /// Updates cost and calls of runs, of this node's server and of all other nodes.
    pub(crate) fn update_uses(&self) {
        let now = crate::clock::now();
        self.owner.log_speed(now);
        let uses = self.owner.usage_report(now);
        let (name, service) = (self.settings().name.clone(), self.service());
        self.aggregation
            .set_own_uses([(service, uses.clone())].into_iter().collect());
        self.shedding.on_uses(now, &name, service, uses);
        for (service, uses) in self.aggregation.others_uses() {
            // No node has a name of this form.
            let others = format!("others {service}");
            self.shedding.on_uses(now, &others, service, uses);
        }
        if let Some(pace) = self.shedding.pace(&name) {
            self.fleet.borrow_mut().set_pace(pace);
        }
        self.shedding.log_shortages();
    }

    fn broadcast_load(&self, load: Load) {
        let now = crate::clock::now();
        self.fleet.borrow_mut().on_local_load(now, &load);
        let frame = Frame::from(crate::link::Kind::Load(load));
        let mut load_recipients = self.load_recipients.borrow_mut();
        load_recipients.retain(|tx| !tx.is_closed());
        for tx in load_recipients.iter() {
            // A full queue means that the peer is not reading; the next report replaces this one.
            let _ = tx.try_send(frame.clone());
        }
    }

    /// Publishes a change of the backend server's state.
    pub(crate) fn on_server_changed(&self) {
        let now = crate::clock::now();
        let announcement = self.announcement();
        self.fleet.borrow_mut().set_local(now, &announcement);
        self.send_load();
        self.announce.notify_one();
    }

    /// The announcement of this node, as written to its entry in the store.
    pub(crate) fn announcement(&self) -> Announcement {
        let settings = self.settings();
        Announcement {
            incarnation: self.incarnation,
            address: settings.addresses.peers.to_string(),
            domain: settings.domain(),
            service: self.service(),
            slots: self.owner.slots(),
            state: self.owner.state(),
            is_cold: self.owner.is_cold(crate::clock::now()),
            is_stopping: self.is_stopping(),
        }
    }
}
