use std::{collections::BTreeSet, time::Duration};

use cassiashunt_types::{FailureDomain, NodeId, Revision, Time};

use crate::{ChangeAction, Control, Domain, Heads, msg};

/// Interval after which an unanswered query is sent again.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not accepted yet, although it may be durable.
    Pending,
    /// Durable, and no node acts without it for longer than the freshness bound.
    Accepted,
}

/// Propagates one change until it counts as accepted.
///
/// A change is accepted once it is durable, the control value was read after that, and the change
/// was applied by a majority of the relays that this control value lists for the failure domain of
/// the entry node, the node at which the change was requested. Relays that know a newer control
/// value do not count.
#[derive(Debug, Clone)]
pub struct Acceptance {
    own_domain: FailureDomain,
    change: Heads,
    control: Control,
    durable: bool,
    confirmed: bool,
    applied: BTreeSet<NodeId>,
    next_query_at: Time,
    outcome: Outcome,
}

impl Acceptance {
    /// Tracks a change of the table that is about to be written.
    #[must_use]
    pub fn table(own_domain: FailureDomain, revision: Revision, control: &Control) -> Self {
        let change = Heads {
            table: revision,
            control: Revision::default(),
        };
        Self::new(own_domain, change, control, false)
    }

    /// Tracks a control value that was written; the write itself confirms its relays.
    #[must_use]
    pub fn control(own_domain: FailureDomain, written: &Control) -> Self {
        let change = Heads {
            table: Revision::default(),
            control: written.revision,
        };
        Self::new(own_domain, change, written, true)
    }

    fn new(own_domain: FailureDomain, change: Heads, control: &Control, written: bool) -> Self {
        Self {
            own_domain,
            change,
            control: control.clone(),
            durable: written,
            confirmed: written,
            applied: BTreeSet::new(),
            next_query_at: Time::ZERO,
            outcome: Outcome::Pending,
        }
    }

    /// Whether the change counts as accepted yet.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Records that the platform stores the change; returns the requests to make.
    pub fn on_durable(&mut self, now: Time) -> Vec<ChangeAction> {
        self.durable = true;
        self.next_query_at = now;
        self.tick(now)
    }

    /// Records a control value returned by a read that was sent after [`Acceptance::on_durable`].
    pub fn on_control_read(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        if !self.durable {
            return Vec::new();
        }
        self.confirmed = true;
        self.on_control_known(now, control)
    }

    /// Records a control value that the node received other than by such a read.
    pub fn on_control_known(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        if control.revision > self.control.revision {
            self.control = control.clone();
            self.next_query_at = now;
        }
        self.update_outcome();
        self.tick(now)
    }

    /// Records the revisions that a relay has applied. A relay that knows a newer control value does
    /// not count until that value has been read.
    pub fn on_relay_applied(&mut self, msg: &msg::Applied) -> Vec<ChangeAction> {
        let applied = Heads {
            table: Revision(msg.table),
            control: Revision(msg.control),
        };
        if applied.control > self.control.revision {
            return vec![ChangeAction::ReadControl];
        }
        if applied.covers(self.change) {
            self.applied.insert(NodeId(msg.relay));
        }
        self.update_outcome();
        Vec::new()
    }

    /// Called regularly; returns the requests that are due again.
    pub fn tick(&mut self, now: Time) -> Vec<ChangeAction> {
        let is_due = self.durable && self.outcome == Outcome::Pending && now >= self.next_query_at;
        if !is_due {
            return Vec::new();
        }
        self.next_query_at = now + QUERY_RETRY_INTERVAL;
        let missing = self.relays().filter(|node| !self.applied.contains(node));
        let mut actions: Vec<ChangeAction> = missing.map(ChangeAction::AskRelay).collect();
        if !self.confirmed {
            actions.push(ChangeAction::ReadControl);
        }
        actions
    }

    fn update_outcome(&mut self) {
        let domain = self.domain();
        let applied_by_majority =
            domain.is_some_and(|domain| domain.majority(|node| self.applied.contains(&node)));
        if self.durable && self.confirmed && applied_by_majority {
            self.outcome = Outcome::Accepted;
        }
    }

    fn relays(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.domain().into_iter().flat_map(Domain::nodes)
    }

    /// The failure domain of the entry node, or the first one with relays if it has none.
    fn domain(&self) -> Option<&Domain> {
        let has_relays = |domain: &&Domain| !domain.relays.is_empty();
        let own = self.control.domain(self.own_domain).filter(has_relays);
        own.or_else(|| self.control.domains.iter().find(has_relays))
    }
}
