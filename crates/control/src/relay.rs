//! A relay reads the platform's revisions and vouches for its failure domain.

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_types::{FailureDomain, NodeId, Revision, Time};

use crate::{Control, Domain, Heads, PreviousSet, RelayEntry, msg};

/// Settings of [`Relay`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time between two reads of the platform's revisions.
    pub read_interval: Duration,
    /// How long an answer of the platform is waited for.
    pub read_timeout: Duration,
    /// Age up to which the platform's answer is passed on.
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

/// What happened to the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time went by; expected a few times a second.
    Tick,
    /// The platform answered a read that was sent at `asked`.
    HeadsRead {
        /// When the question was sent.
        asked: Time,
        /// The revisions found.
        heads: Heads,
    },
    /// The platform did not answer, or with an error.
    ReadFailed,
    /// The node applied a control value.
    Control(Control),
    /// The node applied a table revision.
    Table(Revision),
    /// A report was heard of.
    ReportReceived(msg::Report),
    /// A relay's role was handed to this node.
    HandedOver(msg::HandOver),
    /// The node begins a planned stop; its roles go to `to`, if there is anybody.
    Stop {
        /// A live node of the same failure domain.
        to: Option<NodeId>,
    },
}

/// What the node is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the table's and the control value's revision from the platform.
    ReadHeads,
    /// Write [`crate::edit::prune_previous`] of this domain by compare-and-swap.
    PrunePrevious {
        /// The failure domain.
        domain: FailureDomain,
        /// The relay that has seen the earlier sets out of use.
        relay: NodeId,
    },
    /// Send this message, once, over a channel that never delivers it after the node's end.
    HandOver(msg::HandOver),
    /// The platform holds an older revision than is known: report it and write the newer one back.
    Reverted {
        /// What the platform holds.
        found: Heads,
        /// What is known.
        known: Heads,
    },
}

/// The relay's side of a node; it may bear the roles of several relays that stopped.
#[derive(Debug, Clone)]
pub struct Relay {
    me: NodeId,
    options: Options,
    control: Control,
    joined_after: Time,
    roles: Vec<Role>,
    stopped: bool,
    known: Heads,
    known_since: Time,
    applied: Heads,
    read_due: Time,
    platform_seen: Option<Time>,
    joined_read: bool,
    heard: BTreeMap<NodeId, Heads>,
}

#[derive(Debug, Clone, Copy)]
struct Role {
    relay: NodeId,
    since: Revision,
    vouches: bool,
}

impl Relay {
    /// A node that bears no role until a control value names it.
    #[must_use]
    pub fn new(me: NodeId, options: Options) -> Self {
        Self {
            me,
            options,
            control: Control::default(),
            joined_after: Time::ZERO,
            roles: Vec::new(),
            stopped: false,
            known: Heads::default(),
            known_since: Time::ZERO,
            applied: Heads::default(),
            read_due: Time::ZERO,
            platform_seen: None,
            joined_read: false,
            heard: BTreeMap::new(),
        }
    }

    /// Takes in an event; returns what to do.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::HeadsRead { asked, heads } => self.heads_read(now, asked, heads, &mut actions),
            Event::ReadFailed => {
                self.read_due = self.read_due.min(now + self.options.read_interval)
            }
            Event::Control(control) => self.apply_control(now, control),
            Event::Table(table) => self.apply_table(now, table),
            Event::ReportReceived(report) => self.note_report(now, &report),
            Event::HandedOver(msg) => self.take_role(now, &msg),
            Event::Stop { to } => self.stop(to, &mut actions),
        }
        self.join(&mut actions);
        actions
    }

    /// Whether the node bears any role.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        self.roles
            .iter()
            .any(|role| self.control.domain_of_relay(role.relay).is_some())
    }

    /// The reports to answer a question with, computed after the question came.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<msg::Report> {
        self.roles
            .iter()
            .map(|role| self.report(now, *role))
            .collect()
    }

    /// The answers to the question which revisions this node's roles have applied.
    ///
    /// A role that does not vouch yet gives none.
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
            .platform_seen
            .map(|seen| now.since(seen))
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
        if !self.is_relay() || now < self.read_due {
            return;
        }
        self.read_due = now + self.options.read_interval;
        actions.push(Action::ReadHeads);
    }

    fn heads_read(&mut self, now: Time, asked: Time, found: Heads, actions: &mut Vec<Action>) {
        if !found.covers(self.known) {
            if asked >= self.known_since {
                let known = self.known;
                actions.push(Action::Reverted { found, known });
            }
            self.raise(now, found);
            return;
        }
        self.raise(now, found);
        self.platform_seen = self.platform_seen.max(Some(asked));
        self.joined_read |= asked >= self.joined_after;
    }

    fn apply_control(&mut self, now: Time, control: Control) {
        if control.revision <= self.control.revision {
            return;
        }
        self.control = control;
        self.applied.control = self.control.revision;
        self.raise(now, self.applied);
        self.check_roles();
        self.begin_role(now);
    }

    /// A role ends with its entry, but its bearer goes on telling what it knows, without vouching,
    /// while the control value remembers the relay.
    fn check_roles(&mut self) {
        let control = &self.control;
        self.roles
            .retain(|role| role.since > control.revision || is_named(control, role.relay));
        for role in &mut self.roles {
            let same = entry(control, role.relay).is_some_and(|e| e.since == role.since);
            role.vouches &= same || role.since > control.revision;
        }
    }

    /// Takes up the role that the control value gives to this node, anew if it was away.
    fn begin_role(&mut self, now: Time) {
        let Some(entry) = entry(&self.control, self.me).filter(|_| !self.stopped) else {
            return;
        };
        let is_mine = |role: &Role| role.relay == self.me;
        if self
            .roles
            .iter()
            .any(|role| is_mine(role) && role.since == entry.since)
        {
            return;
        }
        self.roles.retain(|role| !is_mine(role));
        self.joined_after = now;
        self.joined_read = false;
        self.roles.push(Role {
            relay: self.me,
            since: entry.since,
            vouches: false,
        });
    }

    fn apply_table(&mut self, now: Time, table: Revision) {
        self.applied.table = self.applied.table.max(table);
        self.raise(now, self.applied);
    }

    fn note_report(&mut self, now: Time, report: &msg::Report) {
        let heads = Heads {
            table: Revision(report.table),
            control: Revision(report.control),
        };
        self.raise(now, heads);
        let relay = NodeId(report.relay);
        let known = self.heard.entry(relay).or_default();
        *known = known.max(heads);
        let control = &self.control;
        self.heard
            .retain(|node, _| is_named(control, *node) || *node == relay);
    }

    fn take_role(&mut self, now: Time, msg: &msg::HandOver) {
        let relay = NodeId(msg.relay);
        let is_mine = NodeId(msg.to) == self.me;
        let had = self.roles.iter().any(|role| role.relay == relay);
        if !is_mine || self.stopped || had {
            return;
        }
        let known = Heads {
            table: Revision(msg.table),
            control: Revision(msg.control),
        };
        self.raise(now, known);
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

    fn raise(&mut self, now: Time, heads: Heads) {
        if !self.known.covers(heads) {
            self.known = self.known.max(heads);
            self.known_since = now;
        }
    }

    /// Begins to vouch once no node can go by the relay sets before this one.
    fn join(&mut self, actions: &mut Vec<Action>) {
        let waits = |role: &Role| role.relay == self.me && !role.vouches;
        let Some(at) = self.roles.iter().position(waits) else {
            return;
        };
        let relay = self.me;
        let Some(domain) = self.control.domain_of_relay(relay) else {
            return;
        };
        let entry = domain.relay(relay).expect("the domain was looked up by it");
        if !self.has_joined(domain, entry) {
            return;
        }
        self.roles[at].vouches = true;
        if !domain.previous.is_empty() {
            let domain = domain.name;
            actions.push(Action::PrunePrevious { domain, relay });
        }
    }

    fn has_joined(&self, domain: &Domain, entry: RelayEntry) -> bool {
        let earlier: Vec<&PreviousSet> = domain
            .previous
            .iter()
            .filter(|previous| previous.replaced <= entry.since)
            .collect();
        let knows = |node: NodeId| self.knows(node, entry.since);
        let told = earlier.iter().all(|previous| previous.majority(knows));
        let caught_up = self.joined_read || !earlier.is_empty();
        told && caught_up || self.joined_read && self.others_know(domain.name, entry.since)
    }

    /// Whether majorities of every other failure domain know this control revision.
    fn others_know(&self, name: FailureDomain, since: Revision) -> bool {
        let others = self.control.domains.iter();
        others
            .filter(|domain| domain.name != name && !domain.relays.is_empty())
            .all(|domain| domain.majority(|node| self.knows(node, since)))
    }

    fn knows(&self, node: NodeId, since: Revision) -> bool {
        self.heard
            .get(&node)
            .is_some_and(|heads| heads.control >= since)
    }
}

fn entry(control: &Control, node: NodeId) -> Option<RelayEntry> {
    control.domain_of_relay(node)?.relay(node)
}

fn is_named(control: &Control, node: NodeId) -> bool {
    let past = control.domains.iter().flat_map(|domain| &domain.previous);
    control.domain_of_relay(node).is_some()
        || past
            .flat_map(|previous| &previous.relays)
            .any(|n| *n == node)
}
