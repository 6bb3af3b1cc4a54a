//! Decides when to read and write rosters, and what to write.

use std::net::SocketAddr;

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Members, Phase, Reach,
    roster::{Entry, Value},
    view::mix,
};

/// Periods of reads and writes, and size limits of a roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Period in which the writer of a domain rewrites its roster.
    pub write_period: Duration,
    /// Period in which the writer of a domain reads the rosters of all other domains.
    pub read_period: Duration,
    /// Period in which a node without peers reads one roster, apart from jitter of up to 200 ms.
    pub join_period: Duration,
    /// Number of reads of its own domain's roster that list unknown nodes, after which a node that
    /// still has no peers writes the roster.
    pub join_reads: u32,
    /// Maximum number of alive nodes in a roster.
    pub answering: usize,
    /// Maximum number of nodes that are carried over from the previous value.
    pub inherited: usize,
    /// Number of writes after which an inherited node is dropped.
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

/// Platform calls a second of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Compare-and-swap calls a second.
    pub writes: f64,
    /// Reads a second.
    pub reads: f64,
}

impl Options {
    /// The call rates of a fleet in `domains` failure domains, for any number of nodes, while nodes
    /// without peers read `joins` rosters a second.
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

/// An input of the maintainer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; once a second is sufficient.
    Tick,
    /// A roster was read.
    Found {
        /// The failure domain of the roster.
        domain: FailureDomain,
        /// The revision of the value in the platform.
        revision: Revision,
        /// The encoded [`Value`].
        value: Vec<u8>,
    },
    /// A roster was read and does not exist yet.
    Absent {
        /// The failure domain of the roster.
        domain: FailureDomain,
    },
    /// A compare-and-swap found a different revision.
    Conflict {
        /// The failure domain of the roster.
        domain: FailureDomain,
    },
    /// A call failed or got no answer; a write may have taken effect.
    Failed {
        /// The failure domain of the roster.
        domain: FailureDomain,
    },
}

/// A call to make, or addresses for the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a roster.
    ReadRoster {
        /// The failure domain of the roster.
        domain: FailureDomain,
    },
    /// Replace a roster if it still has the expected revision; a success needs no event.
    CasRoster {
        /// The failure domain of the roster.
        domain: FailureDomain,
        /// The revision to replace; `None` to create the value.
        expect: Option<Revision>,
        /// The new encoded [`Value`].
        value: Vec<u8>,
    },
    /// Addresses to pass to the membership as [`Event::Seeds`](crate::Event::Seeds).
    Seeds(Vec<SocketAddr>),
}

/// One node's reads and writes of the rosters.
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
    reads_without_peers: u32,
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
            reads_without_peers: 0,
            is_writing: false,
        }
    }

    /// Handles one event and returns the resulting actions.
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

    /// Whether this node is the writer of its domain's roster, by its view of the members.
    #[must_use]
    pub fn is_writer(&self, members: &Members) -> bool {
        writer(self.own, members) == Some(members.id())
    }

    fn tick(&mut self, now: Time, members: &Members) -> Vec<Action> {
        let mut out = Vec::new();
        if members.live_peers() == 0 {
            out.extend(self.join(now));
        } else {
            self.reads_without_peers = 0;
        }
        if !self.is_writer(members) {
            self.next_write = None;
            return out;
        }
        let first_delay_ms = self.rng.u64(0..=2_000);
        let due = *self
            .next_write
            .get_or_insert(now + Duration::from_millis(first_delay_ms));
        if due <= now {
            self.next_write = Some(now + self.opts.write_period);
            out.extend(self.start_write());
        }
        out.extend(self.read_others(now));
        out
    }

    /// Reads one roster, alternating between its own domain's and another's.
    fn join(&mut self, now: Time) -> Option<Action> {
        if now < self.next_join {
            return None;
        }
        let jitter_ms = self.rng.u64(0..=200);
        self.next_join = now + self.opts.join_period + Duration::from_millis(jitter_ms);
        let attempt = self.joins;
        self.joins += 1;
        let other = self.others.get((attempt / 2) % self.others.len().max(1));
        let domain = if attempt.is_multiple_of(2) {
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
        // An invalid value counts as empty and is overwritten.
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

    /// Writes the roster, unless this node has no peers and the entries may still lead to some.
    fn write(
        &mut self,
        members: &Members,
        expect: Option<Revision>,
        value: &Value,
        has_unknown: bool,
    ) -> Option<Action> {
        if members.live_peers() == 0 && has_unknown {
            self.reads_without_peers += 1;
            if self.reads_without_peers < self.opts.join_reads {
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
        let mut entries = self.alive_entries(members, round);
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

    /// Entries of alive nodes of the domain, selected by hash to be the same in each round.
    fn alive_entries(&self, members: &Members, round: u32) -> Vec<Entry> {
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
        let is_leaving = members
            .get(entry.id)
            .is_some_and(|m| m.record.phase > Phase::Serving);
        is_fresh && !is_leaving && !members.has_departed(entry.id)
    }
}

/// The alive members of a domain that are not draining or leaving, this node included.
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

/// The member that writes a domain's roster, selected by rendezvous hash (Thaler and Ravishankar
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
