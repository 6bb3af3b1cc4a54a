//! What the owner asks of the rest of the node.

use std::sync::{Arc, Weak};

use cassiashunt_admit::Priority;
use cassiashunt_once::{Attempt, Outcome};
use cassiashunt_suspect::{Decision, message::StrikeRecord};
use cassiashunt_types::prelude::*;

use super::Job;
use crate::{ingress, once::Leave, shared::Shared};

/// A request's standing in the queue, by the table.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rank {
    pub priority: Priority,
    pub weight: u32,
}

/// The owner's way to the rest of the node; without it nothing runs.
pub(crate) struct Gate {
    shared: Weak<Shared>,
}

impl Gate {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::downgrade(shared),
        }
    }

    /// The standing of a request.
    pub(super) fn rank(&self, job: &Job) -> Rank {
        let Some(shared) = self.shared.upgrade() else {
            return Rank {
                priority: Priority(0),
                weight: 1,
            };
        };
        let lookup = shared.config.lookup();
        let cell = ingress::resolve(&lookup, job.workspace, job.route, job.class);
        Rank {
            priority: Priority(cell.priority.max(job.priority)),
            weight: cell.weight,
        }
    }

    /// Whether new work is taken.
    pub(super) fn accept(&self, now: Time) -> Result<(), Refusal> {
        let may_accept = self.shared()?.lifecycle().may_accept(now);
        if may_accept { Ok(()) } else { Err(gone()) }
    }

    /// Whether a request may run at this very moment.
    pub(super) fn check(&self, now: Time, job: &Job) -> Result<(), Refusal> {
        self.shared()?.check_job(now, job)
    }

    /// The leave to run a request that runs at most once.
    pub(super) fn leave(&self, job: &Job) -> Result<Leave, Refusal> {
        let shared = self.shared()?;
        let workspace = job.workspace.unwrap_or_else(super::nobody);
        let key = cassiashunt_once::Key::new(workspace, &job.idempotency_key);
        shared
            .once
            .leave(&shared, key, job.fingerprint, job.deadline)
    }

    /// A run that had leave has ended.
    pub(super) fn finish_once(&self, attempt: Attempt, outcome: Outcome) {
        if let Some(shared) = self.shared.upgrade() {
            shared.once.finish(&shared, attempt, outcome);
        }
    }

    /// Whether a request with this fingerprint may run beside others.
    pub(super) fn suspicion(&self, now: Time, fingerprint: u64) -> Decision {
        match self.shared() {
            Ok(shared) => shared.suspects.check(now, fingerprint),
            Err(refusal) => Decision::Refuse(refusal),
        }
    }

    /// Asks for the leave to run a request alone.
    pub(super) fn ask_alone(&self, request: RequestId, fingerprint: u64) {
        if let Some(shared) = self.shared.upgrade() {
            shared.suspects.begin(&shared, request, fingerprint);
        }
    }

    /// A request that had leave to run alone has ended, with the strike where the server died.
    pub(super) fn ended_alone(&self, request: RequestId, strike: Option<StrikeRecord>) {
        if let Some(shared) = self.shared.upgrade() {
            shared.suspects.ended(&shared, request, strike);
        }
    }

    /// The server died with these fingerprints in flight.
    pub(super) fn died(&self, now: Time, in_flight: &[u64]) {
        if let Some(shared) = self.shared.upgrade() {
            shared.suspects.on_server_died(now, in_flight);
        }
    }

    /// The strike of the server's last death against a request.
    pub(super) fn strike(&self, now: Time, fingerprint: u64) -> Option<StrikeRecord> {
        let shared = self.shared.upgrade()?;
        shared.suspects.last_strike(now, fingerprint)
    }

    /// A run of a request with this fingerprint, begun then, finished.
    pub(super) fn finished(&self, fingerprint: u64, began: Time) {
        if let Some(shared) = self.shared.upgrade() {
            shared.suspects.on_finished(fingerprint, began);
        }
    }

    fn shared(&self) -> Result<Arc<Shared>, Refusal> {
        self.shared.upgrade().ok_or(gone())
    }
}

const fn gone() -> Refusal {
    Refusal::not_run(Reason::Draining)
}
