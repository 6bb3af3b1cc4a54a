//! What the threads of a node share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use cassiashunt_admit::ingress::Ingress;
use cassiashunt_control::Control;
use cassiashunt_member::{DrainSchedule, Lifecycle};
use cassiashunt_timer::Clock;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Seal, Secret};

use crate::{
    Settings, Wiring,
    config::Config,
    duty,
    fleet::Fleet,
    ingress::Held,
    limits::Limits,
    link::{self, Links},
    once::Once,
    owner::{Job, Owner, Reply},
    stats::Stats,
    suspects::Suspects,
    ticket::Tickets,
};

/// What the threads of a node share.
pub(crate) struct Shared {
    pub id: NodeId,
    pub settings: Settings,
    pub clock: Clock,
    pub config: Config,
    pub fleet: Fleet,
    pub links: Links,
    pub tickets: Arc<Tickets>,
    pub owner: OnceLock<Arc<Owner>>,
    pub held: Arc<Held>,
    pub stats: Stats,
    pub suspects: Suspects,
    pub limits: Limits,
    pub once: Once,
    pub platform: cassiashunt_platform::Http,
    pub control: duty::Control,
    pub wiring: Wiring,
    pub seen: duty::Seen,
    control_value: RwLock<Arc<Control>>,
    is_repairing: AtomicBool,
    lifecycle: Mutex<Lifecycle>,
    shed: Mutex<Ingress>,
    drain: OnceLock<DrainSchedule>,
    drain_asked: AtomicBool,
}

impl Shared {
    /// The state of a node that is about to start, reached by others at `peer_addr`.
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        peer_addr: SocketAddr,
        wiring: Wiring,
    ) -> Self {
        let id = NodeId::random();
        let secret = Secret::new(settings.node.secret.as_bytes());
        let domain = settings.node.failure_domain;
        let connect = Duration::from_millis(settings.times.connect_ms);
        let links = Links::new(link::Options {
            node: id,
            secret: secret.clone(),
            domain,
            connect,
            frames: settings.bounds.link_frames,
            cross_domain_delay: Duration::from_micros(settings.delays.cross_domain_us),
            wiring: wiring.clone(),
        });
        let platform = cassiashunt_platform::Http::new(cassiashunt_platform::HttpOptions {
            url: settings.platform.url.clone(),
            ..Default::default()
        });
        Self {
            id,
            clock,
            config: Config::default(),
            fleet: Fleet::new(domain, settings.policy.choice),
            links,
            tickets: Arc::default(),
            owner: OnceLock::new(),
            held: Held::new(settings.bounds.held_bytes),
            stats: Stats::default(),
            suspects: Suspects::new(clock.now(), id),
            limits: Limits::new(id),
            once: Once::new(id),
            seen: duty::Seen::default(),
            control_value: RwLock::default(),
            is_repairing: AtomicBool::new(false),
            platform,
            wiring,
            control: duty::Control::new(Seal::new(id, secret), peer_addr),
            lifecycle: Mutex::new(Lifecycle::new()),
            shed: Mutex::new(Ingress::new(Default::default())),
            drain: OnceLock::new(),
            drain_asked: AtomicBool::new(false),
            settings,
        }
    }

    /// Whether this node is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Begins a graceful stop.
    pub(crate) fn begin_drain(&self) -> DrainSchedule {
        let times = &self.settings.times;
        let notice = Duration::from_millis(times.drain_accept_ms);
        let longest = Duration::from_millis(times.drain_ms);
        let begin = || DrainSchedule::new(self.clock.now(), notice, longest);
        *self.drain.get_or_init(begin)
    }

    /// Whether a caller's request that was read at `now` is still taken.
    pub(crate) fn check_drain(&self, now: Time, deadline: Time) -> Result<(), Refusal> {
        match self.drain.get() {
            Some(drain) if !drain.takes(now, deadline) => {
                Err(Refusal::not_run(Reason::Draining).retry_after(Duration::from_secs(1)))
            }
            _ => Ok(()),
        }
    }

    /// Whether an operator has asked for a graceful stop.
    pub(crate) fn is_asked_to_drain(&self) -> bool {
        self.drain_asked.load(Ordering::Acquire)
    }

    /// Asks the process to stop the node gracefully.
    pub(crate) fn ask_to_drain(&self) {
        self.drain_asked.store(true, Ordering::Release);
    }

    /// Shedding before a chain starts.
    pub(crate) fn shed(&self) -> MutexGuard<'_, Ingress> {
        self.shed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The node's own life.
    pub(crate) fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        self.lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a control value in force.
    pub(crate) fn set_control(&self, control: &Control) {
        let shared = Arc::new(control.clone());
        *self
            .control_value
            .write()
            .unwrap_or_else(PoisonError::into_inner) = shared;
        self.limits.apply_control(control);
        self.once.apply_control(control);
    }

    /// The control value in force, as it travels; `None` before the first.
    pub(crate) fn control_bytes(&self) -> Option<Vec<u8>> {
        let control = self
            .control_value
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let is_set = control.revision > Revision(0);
        is_set.then(|| serde_json::to_vec(&**control).expect("a control value is plain JSON"))
    }

    /// Whether a repair of the platform may begin; at most one runs at a time.
    pub(crate) fn begin_repair(&self) -> bool {
        !self.is_repairing.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn end_repair(&self) {
        self.is_repairing.store(false, Ordering::Release);
    }

    /// Takes in the services that a chain called.
    pub(crate) fn on_visits(
        &self,
        now: Time,
        route: Route,
        services: impl IntoIterator<Item = Service>,
    ) {
        let mut shed = self.shed();
        for service in services {
            shed.on_visit(now, route, service);
        }
    }

    /// Gives up a request that this node itself owns.
    pub(crate) fn cancel_local(&self, reply: &Reply) {
        if let Some(owner) = self.owner.get() {
            owner.cancel(reply);
        }
    }

    /// Whether a request with this key may start or go on to its server at this moment.
    pub(crate) fn check_touch(&self, now: Time, key: KeyId) -> Result<(), Refusal> {
        if key == KeyId(0) {
            return Ok(());
        }
        self.control.check(now)
    }

    /// The owner's last look at a request before the server gets it.
    pub(crate) fn check_job(&self, now: Time, job: &Job) -> Result<(), Refusal> {
        self.check_touch(now, job.key)?;
        let withdrawn = job.key != KeyId(0) && !self.config.is_key_active(job.key);
        if withdrawn && self.config.revision() >= job.revision {
            return Err(Refusal::not_run(Reason::KeyWithdrawn));
        }
        Ok(())
    }

    /// The delay that an experiment adds to what is sent to `peer`.
    pub(crate) fn delay_to(&self, peer: NodeId) -> Duration {
        let domain = self.control.domain_of(peer);
        let crosses = domain.is_some_and(|domain| domain != self.settings.node.failure_domain);
        let micros = if crosses {
            self.settings.delays.cross_domain_us
        } else {
            0
        };
        Duration::from_micros(micros)
    }

    /// Whether nothing passes to `peer` now.
    pub(crate) fn is_cut_from(&self, peer: NodeId) -> bool {
        let addr = self.control.addr_of(peer);
        addr.is_some_and(|addr| self.wiring.is_cut(addr))
    }
}
