//! Tickets: what lets a running request's own calls act in its name.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    str::FromStr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use cassiashunt_route::retry::Allowance;
use cassiashunt_types::prelude::*;

/// An unguessable name of a running request, valid at one node while the request runs.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Ticket(u128);

impl fmt::Debug for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ticket(..)")
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Ticket {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl Ticket {
    fn random() -> Self {
        let mut buf = [0; 16];
        getrandom::fill(&mut buf).expect("the operating system gives randomness once it is up");
        Self(u128::from_be_bytes(buf))
    }
}

/// A running request as its own calls need it.
#[derive(Debug)]
pub(crate) struct Parent {
    pub chain: ChainId,
    pub workspace: Option<Workspace>,
    pub class: Class,
    pub key: KeyId,
    pub depth: u32,
    pub priority: u8,
    pub deadline: Time,
    /// Retries left for its calls.
    pub allowance: Mutex<Allowance>,
    /// Services that its calls went to.
    pub visited: Mutex<BTreeSet<Service>>,
    cancelled: AtomicBool,
}

impl Parent {
    pub(crate) fn new(begin: &crate::owner::Job, allowance: Allowance) -> Self {
        Self {
            chain: begin.chain,
            workspace: begin.workspace,
            class: begin.class,
            key: begin.key,
            depth: begin.depth,
            priority: begin.priority,
            deadline: begin.deadline,
            allowance: Mutex::new(allowance),
            visited: Mutex::default(),
            cancelled: AtomicBool::new(false),
        }
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    pub(crate) fn visit(&self, services: impl IntoIterator<Item = Service>) {
        self.visited
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend(services);
    }

    pub(crate) fn visited(&self) -> Vec<String> {
        let visited = self.visited.lock().unwrap_or_else(PoisonError::into_inner);
        visited
            .iter()
            .map(|service| service.as_str().to_owned())
            .collect()
    }
}

/// The running requests of a node by their tickets.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    live: Mutex<HashMap<Ticket, Arc<Parent>>>,
}

impl Tickets {
    /// Issues a ticket for `parent`.
    pub(crate) fn issue(&self, parent: Arc<Parent>) -> Ticket {
        let ticket = Ticket::random();
        self.lock().insert(ticket, parent);
        ticket
    }

    /// The running request that `ticket` names.
    pub(crate) fn find(&self, ticket: Ticket) -> Option<Arc<Parent>> {
        self.lock().get(&ticket).cloned()
    }

    /// Withdraws a ticket; calls in its name that still run are given up.
    pub(crate) fn withdraw(&self, ticket: Ticket) {
        if let Some(parent) = self.lock().remove(&ticket) {
            parent.cancelled.store(true, Ordering::Release);
        }
    }

    /// Tickets in use.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Ticket, Arc<Parent>>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
