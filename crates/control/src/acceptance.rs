use std::{collections::BTreeSet, time::Duration};

use cassiashunt_types::{FailureDomain, NodeId, Revision, Time};

use crate::{ChangeAction, Control, Domain, Heads, msg};

/// Time after which an unanswered question is put again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Whether a change counts as accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Not yet; it may be durable all the same.
    Pending,
    /// It is durable, and nobody goes on without it for longer than the freshness bound.
    Accepted,
}

/// Spreads one change until it counts as accepted.
///
/// A change is accepted once it is durable, the control value was read after that, and a majority
/// of the relays of the entry node's failure domain by that control value, none of which knows a
/// newer one, has applied it.
#[derive(Debug, Clone)]
pub struct Acceptance {
    name: FailureDomain,
    change: Heads,
    control: Control,
    durable: bool,
    confirmed: bool,
    applied: BTreeSet<NodeId>,
    ask_at: Time,
    outcome: Outcome,
}

impl Acceptance {
    /// Begins with a change of the table that is about to be written.
    #[must_use]
    pub fn table(name: FailureDomain, revision: Revision, control: &Control) -> Self {
        let change = Heads {
            table: revision,
            control: Revision::default(),
        };
        Self::new(name, change, control, false)
    }

    /// Begins with a control value that was written; the write itself confirms its relays.
    #[must_use]
    pub fn control(name: FailureDomain, written: &Control) -> Self {
        let change = Heads {
            table: Revision::default(),
            control: written.revision,
        };
        Self::new(name, change, written, true)
    }

    fn new(name: FailureDomain, change: Heads, control: &Control, written: bool) -> Self {
        Self {
            name,
            change,
            control: control.clone(),
            durable: written,
            confirmed: written,
            applied: BTreeSet::new(),
            ask_at: Time::ZERO,
            outcome: Outcome::Pending,
        }
    }

    /// Whether the change counts as accepted.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// The platform holds the change; returns what to ask.
    pub fn on_durable(&mut self, now: Time) -> Vec<ChangeAction> {
        self.durable = true;
        self.ask_at = now;
        self.tick(now)
    }

    /// The control value was read by a question that was sent after [`Acceptance::on_durable`].
    pub fn on_control_read(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        if !self.durable {
            return Vec::new();
        }
        self.confirmed = true;
        self.on_control_known(now, control)
    }

    /// The node learnt of a control value by other ways than such a read.
    pub fn on_control_known(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        if control.revision > self.control.revision {
            self.control = control.clone();
            self.ask_at = now;
        }
        self.decide();
        self.tick(now)
    }

    /// A relay told what it has applied; one that knows a newer control value does not count until
    /// that value was read.
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
        self.decide();
        Vec::new()
    }

    /// Time went by; returns the questions to put again.
    pub fn tick(&mut self, now: Time) -> Vec<ChangeAction> {
        let is_due = self.durable && self.outcome == Outcome::Pending && now >= self.ask_at;
        if !is_due {
            return Vec::new();
        }
        self.ask_at = now + ASK_AGAIN_AFTER;
        let missing = self.relays().filter(|node| !self.applied.contains(node));
        let mut asks: Vec<ChangeAction> = missing.map(ChangeAction::AskRelay).collect();
        if !self.confirmed {
            asks.push(ChangeAction::ReadControl);
        }
        asks
    }

    fn decide(&mut self) {
        let domain = self.domain();
        let known =
            domain.is_some_and(|domain| domain.majority(|node| self.applied.contains(&node)));
        if self.durable && self.confirmed && known {
            self.outcome = Outcome::Accepted;
        }
    }

    fn relays(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.domain().into_iter().flat_map(Domain::nodes)
    }

    /// The entry node's failure domain, or the first that has relays where it has none.
    fn domain(&self) -> Option<&Domain> {
        let has_relays = |domain: &&Domain| !domain.relays.is_empty();
        let own = self.control.domain(self.name).filter(has_relays);
        own.or_else(|| self.control.domains.iter().find(has_relays))
    }
}
