//! The relay role: a relay reads the revisions of the platform and vouches for its failure domain.
//!
//! A relay that vouches is one whose applied revisions count towards [`crate::Acceptance`], and
//! whose reports count towards the majority in [`crate::FreshnessTracker`].

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_types::{FailureDomain, NodeId, Revision, Time};

use crate::{Control, Domain, Heads, PreviousSet, RelayEntry, msg};

/// Settings of [`Relay`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Interval between reads of the revisions from the platform.
    pub read_interval: Duration,
    /// Timeout of a read from the platform.
    pub read_timeout: Duration,
    /// Age from which an answer of the platform is no longer reported.
    pub max_platform_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            read_interval: Duration::from_millis(700),
            read_timeout: Duration::from_millis(1_500),
            max_platform_age: Duration::from_secs(10),
        }
    }
}

/// An event at the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A regular tick, expected a few times a second.
    Tick,
    /// The platform answered a read.
    HeadsRead {
        /// When the read was sent.
        asked: Time,
        /// The revisions that the platform stores.
        heads: Heads,
    },
    /// The platform did not answer or returned an error.
    ReadFailed,
    /// The node applied a control value.
    Control(Control),
    /// The node applied a table revision.
    Table(Revision),
    /// A report of a relay was received.
    ReportReceived(msg::Report),
    /// The role of a relay was handed over; ignored if it was meant for another node.
    HandedOver(msg::HandOver),
    /// The node begins a planned stop and hands its roles over to `to`, if any.
    Stop {
        /// A live node of the same failure domain.
        to: Option<NodeId>,
    },
}

/// An action that the node must take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the revisions of the table and of the control value from the platform.
    ReadHeads,
    /// Write the result of [`crate::edit::prune_previous`] by compare-and-swap.
    PrunePrevious {
        /// The failure domain.
        domain: FailureDomain,
        /// The relay that found the previous relay sets to be out of use.
        relay: NodeId,
    },
    /// Send this message once, over a channel that does not deliver it after the node has ended.
    HandOver(msg::HandOver),
    /// The platform stores an older revision than is known: report it and write the newer one back.
    Reverted {
        /// The revisions that the platform stores.
        found: Heads,
        /// The newest revisions known to this node.
        known: Heads,
    },
}

/// The relay roles of a node: its own, and those that relays handed over to it when they stopped.
#[derive(Debug, Clone)]
pub struct Relay {
    me: NodeId,
    options: Options,
    control: Control,
    role_started_at: Time,
    roles: Vec<Role>,
    stopped: bool,
    known: Heads,
    known_since: Time,
    applied: Heads,
    next_read_at: Time,
    platform_as_of: Option<Time>,
    has_read_since_start: bool,
    reported: BTreeMap<NodeId, Heads>,
}

#[derive(Debug, Clone, Copy)]
struct Role {
    relay: NodeId,
    since: Revision,
    vouches: bool,
}

impl Relay {
    /// Creates a node without a role; it gets one from a control value or a hand-over.
    #[must_use]
    pub fn new(me: NodeId, options: Options) -> Self {
        Self {
            me,
            options,
            control: Control::default(),
            role_started_at: Time::ZERO,
            roles: Vec::new(),
            stopped: false,
            known: Heads::default(),
            known_since: Time::ZERO,
            applied: Heads::default(),
            next_read_at: Time::ZERO,
            platform_as_of: None,
            has_read_since_start: false,
            reported: BTreeMap::new(),
        }
    }

    /// Handles an event; returns the actions to take.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::HeadsRead { asked, heads } => {
                self.on_heads_read(now, asked, heads, &mut actions)
            }
            Event::ReadFailed => {
                self.next_read_at = self.next_read_at.min(now + self.options.read_interval)
            }
            Event::Control(control) => self.apply_control(now, control),
            Event::Table(table) => self.apply_table(now, table),
            Event::ReportReceived(report) => self.record_report(now, &report),
            Event::HandedOver(msg) => self.accept_role(now, &msg),
            Event::Stop { to } => self.stop(to, &mut actions),
        }
        self.start_vouching(&mut actions);
        actions
    }

    /// Whether the node performs the role of any current relay.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.roles
            .iter()
            .any(|role| self.control.domain_of_relay(role.relay).is_some())
    }

    /// The answer to a query for reports, one for each role. Call it after the query was received.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<msg::Report> {
        self.roles
            .iter()
            .map(|role| self.report(now, *role))
            .collect()
    }

    /// The answers to a query for the applied revisions, one for each role that vouches.
    #[must_use]
    pub fn applied(&self) -> Vec<msg::Applied> {
        let vouching = self.roles.iter().filter(|role| role.vouches);
        vouching
            .map(|role| msg::Applied {
                relay: role.relay.0,
                table: self.applied.table.0,
                control: self.applied.control.0,
            })
            .collect()
    }

    fn report(&self, now: Time, role: Role) -> msg::Report {
        let platform_age = self
            .platform_as_of
            .map(|as_of| now.since(as_of))
            .filter(|age| *age < self.options.max_platform_age);
        msg::Report {
            relay: role.relay.0,
            bearer: self.me.0,
            table: self.known.table.0,
            control: self.known.control.0,
            age_micros: 0,
            platform_age_micros: platform_age
                .map(|age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
            vouches: role.vouches,
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.is_relay() || now < self.next_read_at {
            return;
        }
        self.next_read_at = now + self.options.read_interval;
        actions.push(Action::ReadHeads);
    }

    fn on_heads_read(&mut self, now: Time, asked: Time, found: Heads, actions: &mut Vec<Action>) {
        if !found.covers(self.known) {
            if asked >= self.known_since {
                let known = self.known;
                actions.push(Action::Reverted { found, known });
            }
            self.raise_known(now, found);
            return;
        }
        self.raise_known(now, found);
        self.platform_as_of = self.platform_as_of.max(Some(asked));
        self.has_read_since_start |= asked >= self.role_started_at;
    }

    fn apply_control(&mut self, now: Time, control: Control) {
        if control.revision <= self.control.revision {
            return;
        }
        self.control = control;
        self.applied.control = self.control.revision;
        self.raise_known(now, self.applied);
        self.update_roles();
        self.start_own_role(now);
    }

    /// Drops the roles of relays that the control value no longer lists, and stops vouching for those
    /// whose entry was removed or renewed.
    ///
    /// The role of a relay in a previous set still reports revisions, without vouching.
    fn update_roles(&mut self) {
        let control = &self.control;
        self.roles
            .retain(|role| role.since > control.revision || is_listed(control, role.relay));
        for role in &mut self.roles {
            let is_current = entry(control, role.relay).is_some_and(|e| e.since == role.since);
            role.vouches &= is_current || role.since > control.revision;
        }
    }

    /// Starts the role that the control value assigns to this node; starts over if it was removed
    /// and added again.
    fn start_own_role(&mut self, now: Time) {
        let Some(entry) = entry(&self.control, self.me).filter(|_| !self.stopped) else {
            return;
        };
        let is_own = |role: &Role| role.relay == self.me;
        if self
            .roles
            .iter()
            .any(|role| is_own(role) && role.since == entry.since)
        {
            return;
        }
        self.roles.retain(|role| !is_own(role));
        self.role_started_at = now;
        self.has_read_since_start = false;
        self.roles.push(Role {
            relay: self.me,
            since: entry.since,
            vouches: false,
        });
    }

    fn apply_table(&mut self, now: Time, table: Revision) {
        self.applied.table = self.applied.table.max(table);
        self.raise_known(now, self.applied);
    }

    fn record_report(&mut self, now: Time, report: &msg::Report) {
        let heads = Heads {
            table: Revision(report.table),
            control: Revision(report.control),
        };
        self.raise_known(now, heads);
        let relay = NodeId(report.relay);
        let known = self.reported.entry(relay).or_default();
        *known = known.max(heads);
        let control = &self.control;
        self.reported
            .retain(|node, _| is_listed(control, *node) || *node == relay);
    }

    fn accept_role(&mut self, now: Time, msg: &msg::HandOver) {
        let relay = NodeId(msg.relay);
        let is_recipient = NodeId(msg.to) == self.me;
        let has_role = self.roles.iter().any(|role| role.relay == relay);
        if !is_recipient || self.stopped || has_role {
            return;
        }
        let known = Heads {
            table: Revision(msg.table),
            control: Revision(msg.control),
        };
        self.raise_known(now, known);
        self.roles.push(Role {
            relay,
            since: Revision(msg.since),
            vouches: msg.vouches,
        });
    }

    fn stop(&mut self, to: Option<NodeId>, actions: &mut Vec<Action>) {
        self.stopped = true;
        for role in std::mem::take(&mut self.roles) {
            if let Some(to) = to {
                actions.push(Action::HandOver(self.hand_over(role, to)));
            }
        }
    }

    fn hand_over(&self, role: Role, to: NodeId) -> msg::HandOver {
        msg::HandOver {
            relay: role.relay.0,
            to: to.0,
            table: self.known.table.0,
            control: self.known.control.0,
            vouches: role.vouches,
            since: role.since.0,
        }
    }

    fn raise_known(&mut self, now: Time, heads: Heads) {
        if !self.known.covers(heads) {
            self.known = self.known.max(heads);
            self.known_since = now;
        }
    }

    /// Starts to vouch once no node can still rely on the relay sets before this one.
    fn start_vouching(&mut self, actions: &mut Vec<Action>) {
        let is_waiting = |role: &Role| role.relay == self.me && !role.vouches;
        let Some(at) = self.roles.iter().position(is_waiting) else {
            return;
        };
        let relay = self.me;
        let Some(domain) = self.control.domain_of_relay(relay) else {
            return;
        };
        let entry = domain
            .relay(relay)
            .expect("domain_of_relay returned a domain without this relay");
        if !self.may_vouch(domain, entry) {
            return;
        }
        self.roles[at].vouches = true;
        if !domain.previous.is_empty() {
            let domain = domain.name;
            actions.push(Action::PrunePrevious { domain, relay });
        }
    }

    fn may_vouch(&self, domain: &Domain, entry: RelayEntry) -> bool {
        let earlier: Vec<&PreviousSet> = domain
            .previous
            .iter()
            .filter(|previous| previous.replaced <= entry.since)
            .collect();
        let knows = |node: NodeId| self.knows(node, entry.since);
        let is_known_to_earlier = earlier.iter().all(|previous| previous.majority(knows));
        let is_caught_up = self.has_read_since_start || !earlier.is_empty();
        is_known_to_earlier && is_caught_up
            || self.has_read_since_start && self.other_domains_know(domain.name, entry.since)
    }

    /// Whether a majority of the relays of every other failure domain knows this control revision.
    fn other_domains_know(&self, name: FailureDomain, since: Revision) -> bool {
        let others = self.control.domains.iter();
        others
            .filter(|domain| domain.name != name && !domain.relays.is_empty())
            .all(|domain| domain.majority(|node| self.knows(node, since)))
    }

    fn knows(&self, node: NodeId, since: Revision) -> bool {
        self.reported
            .get(&node)
            .is_some_and(|heads| heads.control >= since)
    }
}

fn entry(control: &Control, node: NodeId) -> Option<RelayEntry> {
    control.domain_of_relay(node)?.relay(node)
}

fn is_listed(control: &Control, node: NodeId) -> bool {
    let previous_sets = control.domains.iter().flat_map(|domain| &domain.previous);
    control.domain_of_relay(node).is_some()
        || previous_sets
            .flat_map(|previous| &previous.relays)
            .any(|n| *n == node)
}
