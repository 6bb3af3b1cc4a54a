//! The decisions: when to read, when to write, and what.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Members, Phase, Reach,
    roster::{Entry, Value},
    view::mix,
};

/// How often to read and write, and how much to keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// The writer of a domain rewrites its roster once in each such time.
    pub write_period: Duration,
    /// The writer of a domain reads every other roster once in each such time.
    pub read_period: Duration,
    /// A node without peers reads one roster in each such time.
    pub join_period: Duration,
    /// A node without peers whose reads of its own domain's roster led to nobody so often writes it.
    pub join_reads: u32,
    /// Nodes that answer, listed in a roster.
    pub answering: usize,
    /// Nodes listed by an earlier writer that the present one does not know.
    pub inherited: usize,
    /// Inherited nodes are dropped after so many rounds of writing.
    pub stale_rounds: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            write_period: Duration::from_secs(10),
            read_period: Duration::from_secs(30),
            join_period: Duration::from_secs(1),
            join_reads: 5,
            answering: 12,
            inherited: 4,
            stale_rounds: 6,
        }
    }
}

/// Calls to the platform a second, of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Compare-and-swap calls.
    pub writes: f64,
    /// Reads.
    pub reads: f64,
}

impl Options {
    /// The calls of a fleet in `domains` failure domains, however many nodes it has, while
    /// `joins` nodes a second look for peers.
    #[must_use]
    pub fn rates(&self, domains: u32, joins: f64) -> Rates {
        let domains = f64::from(domains);
        let writes = domains / self.write_period.as_secs_f64();
        let others = domains * (domains - 1.0) / self.read_period.as_secs_f64();
        Rates {
            writes,
            reads: writes + others + joins,
        }
    }
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Some time passed; a second is often enough.
    Tick,
    /// A roster was read.
    Found {
        /// Whose roster.
        domain: FailureDomain,
        /// The revision of the value in the platform.
        revision: Revision,
        /// The value's bytes.
        value: Vec<u8>,
    },
    /// There is no such roster yet.
    Absent {
        /// Whose roster.
        domain: FailureDomain,
    },
    /// A compare-and-swap found another revision.
    Conflict {
        /// Whose roster.
        domain: FailureDomain,
    },
    /// A call was answered by an error, or not at all; a write may have taken effect.
    Failed {
        /// Whose roster.
        domain: FailureDomain,
    },
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a roster.
    ReadRoster {
        /// Whose roster.
        domain: FailureDomain,
    },
    /// Change a roster if it is still at the revision; nothing needs to follow a success.
    CasRoster {
        /// Whose roster.
        domain: FailureDomain,
        /// The revision to replace; `None` to create the value.
        expect: Option<Revision>,
        /// The new bytes.
        value: Vec<u8>,
    },
    /// Addresses for [`Event::Seeds`](crate::Event::Seeds) of the membership.
    Seeds(Vec<SocketAddr>),
}

/// One node's part in keeping the rosters.
#[derive(Debug)]
pub struct RosterMaintainer {
    opts: Options,
    own: FailureDomain,
    others: Vec<FailureDomain>,
    rng: fastrand::Rng,
    next_join: Time,
    next_write: Option<Time>,
    next_read: Time,
    joins: usize,
    lonely_reads: u32,
    is_writing: bool,
}

impl RosterMaintainer {
    /// A node in the domain `own` of a fleet that also has the domains `others`.
    #[must_use]
    pub fn new(
        opts: Options,
        own: FailureDomain,
        others: Vec<FailureDomain>,
        rng: fastrand::Rng,
    ) -> Self {
        Self {
            opts,
            own,
            others: others.into_iter().filter(|domain| *domain != own).collect(),
            rng,
            next_join: Time::ZERO,
            next_write: None,
            next_read: Time::ZERO,
            joins: 0,
            lonely_reads: 0,
            is_writing: false,
        }
    }

    /// Takes in one event and gives what follows.
    pub fn on(&mut self, now: Time, members: &Members, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now, members),
            Event::Found {
                domain,
                revision,
                value,
            } => self.found(members, domain, revision, &value),
            Event::Absent { domain } if domain == self.own => self.absent(members),
            Event::Conflict { domain } if domain == self.own => self.start_write(),
            Event::Absent { .. } | Event::Conflict { .. } => Vec::new(),
            Event::Failed { .. } => {
                self.is_writing = false;
                Vec::new()
            }
        }
    }

    /// Whether this node writes its domain's roster, by its view of the members.
    #[must_use]
    pub fn is_writer(&self, members: &Members) -> bool {
        writer(self.own, members) == Some(members.id())
    }

    fn tick(&mut self, now: Time, members: &Members) -> Vec<Action> {
        let mut out = Vec::new();
        if members.live_peers() == 0 {
            out.extend(self.join(now));
        } else {
            self.lonely_reads = 0;
        }
        if !self.is_writer(members) {
            self.next_write = None;
            return out;
        }
        let first = self.rng.u64(0..=2_000);
        let due = *self
            .next_write
            .get_or_insert(now + Duration::from_millis(first));
        if due <= now {
            self.next_write = Some(now + self.opts.write_period);
            out.extend(self.start_write());
        }
        out.extend(self.read_others(now));
        out
    }

    /// Reads one roster, its own domain's every other time.
    fn join(&mut self, now: Time) -> Option<Action> {
        if now < self.next_join {
            return None;
        }
        let jitter = self.rng.u64(0..=200);
        self.next_join = now + self.opts.join_period + Duration::from_millis(jitter);
        let turn = self.joins;
        self.joins += 1;
        let other = self.others.get((turn / 2) % self.others.len().max(1));
        let domain = if turn.is_multiple_of(2) {
            self.own
        } else {
            *other.unwrap_or(&self.own)
        };
        Some(Action::ReadRoster { domain })
    }

    fn start_write(&mut self) -> Vec<Action> {
        self.is_writing = true;
        vec![Action::ReadRoster { domain: self.own }]
    }

    fn read_others(&mut self, now: Time) -> Vec<Action> {
        if now < self.next_read {
            return Vec::new();
        }
        self.next_read = now + self.opts.read_period;
        self.others
            .iter()
            .map(|&domain| Action::ReadRoster { domain })
            .collect()
    }

    fn found(
        &mut self,
        members: &Members,
        domain: FailureDomain,
        revision: Revision,
        value: &[u8],
    ) -> Vec<Action> {
        // A value that cannot be read is written anew.
        let value = Value::from_bytes(value).unwrap_or_default();
        let unknown = unknown_addrs(members, &value);
        let mut out = Vec::new();
        if domain == self.own && std::mem::take(&mut self.is_writing) {
            out.extend(self.write(members, Some(revision), &value, !unknown.is_empty()));
        }
        if !unknown.is_empty() {
            out.push(Action::Seeds(unknown));
        }
        out
    }

    fn absent(&mut self, members: &Members) -> Vec<Action> {
        if !std::mem::take(&mut self.is_writing) {
            return Vec::new();
        }
        let value = Value::default();
        self.write(members, None, &value, false)
            .into_iter()
            .collect()
    }

    /// Writes the roster, unless its entries may still lead a lonely node to the fleet.
    fn write(
        &mut self,
        members: &Members,
        expect: Option<Revision>,
        value: &Value,
        has_unknown: bool,
    ) -> Option<Action> {
        if members.live_peers() == 0 && has_unknown {
            self.lonely_reads += 1;
            if self.lonely_reads < self.opts.join_reads {
                self.next_write = None;
                return None;
            }
        }
        if !self.is_writer(members) {
            return None;
        }
        let next = self.next_value(members, value);
        Some(Action::CasRoster {
            domain: self.own,
            expect,
            value: next.to_bytes(),
        })
    }

    fn next_value(&self, members: &Members, value: &Value) -> Value {
        let round = value.round.saturating_add(1);
        let mut entries = self.answering(members, round);
        let inherited = value
            .entries
            .iter()
            .filter(|entry| self.is_inherited(members, entry, round))
            .filter(|entry| entries.iter().all(|e| e.addr != entry.addr))
            .take(self.opts.inherited)
            .copied()
            .collect::<Vec<_>>();
        entries.extend(inherited);
        Value { round, entries }
    }

    /// This node and others of the domain that answer, the same ones in each round.
    fn answering(&self, members: &Members, round: u32) -> Vec<Entry> {
        let mut records: Vec<_> = candidates(self.own, members).collect();
        records.sort_unstable_by_key(|(id, _)| std::cmp::Reverse(score(self.own, *id)));
        records
            .into_iter()
            .take(self.opts.answering)
            .map(|(id, addr)| Entry { id, addr, round })
            .collect()
    }

    fn is_inherited(&self, members: &Members, entry: &Entry, round: u32) -> bool {
        let is_fresh = round.saturating_sub(entry.round) <= self.opts.stale_rounds;
        let leaves = members
            .get(entry.id)
            .is_some_and(|m| m.record.phase > Phase::Serving);
        is_fresh && !leaves && !members.has_departed(entry.id)
    }
}

/// The members of a domain that answer and stay, this node among them.
fn candidates(
    domain: FailureDomain,
    members: &Members,
) -> impl Iterator<Item = (NodeId, SocketAddr)> + '_ {
    let me = members.me();
    let peers = members
        .iter()
        .filter(|m| m.reach == Reach::Alive)
        .map(|m| &m.record);
    std::iter::once(me)
        .chain(peers)
        .filter(move |r| r.domain == domain && r.phase <= Phase::Serving)
        .map(|r| (r.id, r.addr))
}

/// The member that writes a domain's roster: the first by rendezvous hash (Thaler and Ravishankar
/// 1998).
fn writer(domain: FailureDomain, members: &Members) -> Option<NodeId> {
    candidates(domain, members)
        .map(|(id, _)| id)
        .max_by_key(|id| score(domain, *id))
}

fn score(domain: FailureDomain, id: NodeId) -> u64 {
    let name = domain.as_str().bytes();
    let domain = name.fold(0, |sum, byte| mix(sum ^ u64::from(byte)));
    mix(domain ^ id.0)
}

fn unknown_addrs(members: &Members, value: &Value) -> Vec<SocketAddr> {
    let me = members.me().addr;
    let known = |entry: &Entry| members.get(entry.id).is_some() || members.has_departed(entry.id);
    value
        .entries
        .iter()
        .filter(|entry| entry.addr != me && !known(entry))
        .map(|entry| entry.addr)
        .collect()
}
