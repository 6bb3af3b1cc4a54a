//! The known members, and how claims change them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Claim, Load, LoadReport, Member, Options, Phase, Reach, Record, gossip_queue::framed_bytes,
    load, msg, tombstones::Tombstones,
};

/// Number of parts of the id space; two nodes compare their members one part at a time.
pub(crate) const BUCKETS: u32 = 64;

/// Number of bits of an id below its bucket number.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKETS.ilog2();

/// Why a member was removed from the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Departure {
    /// It announced its departure, or another node gossiped that it has departed.
    Left,
    /// A later process has taken its address.
    Replaced,
    /// It was unreachable for [`Options::forget_after`], or was removed for a new member at the
    /// limit. It may join again.
    Forgotten,
}

/// A change of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// A member was added.
    Joined(NodeId),
    /// A member's record or reach changed.
    Changed(NodeId),
    /// A member was removed.
    Left(NodeId, Departure),
}

/// The effects of a claim or a timeout on the view.
#[derive(Debug, Default)]
pub(crate) struct Applied {
    pub changes: Vec<Change>,
    /// Members whose new state is to be gossiped.
    pub to_gossip: Vec<NodeId>,
    /// Members about which the claim's sender has outdated state.
    pub stale: Vec<NodeId>,
    /// Whether the claim matches the state in the view.
    pub is_known: bool,
    /// The address of the claimed new process, if another member has that address.
    pub conflict: Option<SocketAddr>,
}

impl Applied {
    fn change(&mut self, id: NodeId, change: Change) {
        self.changes.push(change);
        self.to_gossip.push(id);
    }
}

/// Every known member, this node included, and the tombstones of departed ones.
#[derive(Debug)]
pub(crate) struct View {
    me: NodeId,
    members: BTreeMap<NodeId, Member>,
    tags: BTreeMap<u32, NodeId>,
    /// The members whose reach is not [`Reach::Alive`].
    not_alive: BTreeSet<NodeId>,
    tombstones: Tombstones,
    limit: usize,
}

impl View {
    pub(crate) fn new(opts: &Options, me: Record) -> Self {
        let mut view = Self {
            me: me.id,
            members: BTreeMap::new(),
            tags: BTreeMap::new(),
            not_alive: BTreeSet::new(),
            tombstones: Tombstones::new(opts.tombstones),
            limit: opts.members,
        };
        view.insert(Member {
            record: me,
            incarnation: 1,
            reach: Reach::Alive,
            known_since: Time::ZERO,
            reach_since: Time::ZERO,
            load: None,
        });
        view
    }

    pub(crate) fn get(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub(crate) fn me(&self) -> &Member {
        self.members
            .get(&self.me)
            .expect("the view has no entry for this node")
    }

    pub(crate) fn me_mut(&mut self) -> &mut Member {
        self.members
            .get_mut(&self.me)
            .expect("the view has no entry for this node")
    }

    /// Every member but this node.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Member> + '_ {
        let me = self.me;
        self.members.values().filter(move |m| m.record.id != me)
    }

    /// The number of members, this node included.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn tombstones(&self) -> &Tombstones {
        &self.tombstones
    }

    /// The member with this address.
    pub(crate) fn at_addr(&self, addr: SocketAddr) -> Option<&Member> {
        self.members.values().find(|m| m.record.addr == addr)
    }

    /// The update that gossips this id's state; `None` for an unknown id.
    pub(crate) fn gossip_update(&self, id: NodeId) -> Option<msg::Update> {
        if self.tombstones.contains(id) {
            return Some(departed(id));
        }
        self.get(id).map(Member::to_compact_update)
    }

    /// The members with ids from `first` to `last`.
    pub(crate) fn range(&self, first: u64, last: u64) -> impl Iterator<Item = &Member> + '_ {
        let last = last.max(first);
        self.members
            .range(NodeId(first)..=NodeId(last))
            .map(|(_, member)| member)
    }

    /// The updates that answer a pull, up to `limit_bytes`, and the first id that did not fit, or 0 if
    /// all did.
    pub(crate) fn page(&self, pull: &msg::Pull, limit_bytes: usize) -> (Vec<msg::Update>, u64) {
        let mut updates = Vec::new();
        let mut bytes = 0;
        for member in self.range(pull.first, pull.last) {
            let update = match member.reach {
                Reach::Unreachable => member.to_compact_update(),
                Reach::Alive | Reach::Suspect => member.to_update(),
            };
            bytes += framed_bytes(&update);
            if bytes > limit_bytes && !updates.is_empty() {
                return (updates, member.record.id.0);
            }
            updates.push(update);
        }
        (updates, 0)
    }

    /// A checksum of ids and incarnations of one bucket's members that are not unreachable; never
    /// zero.
    pub(crate) fn checksum(&self, bucket: u32) -> u32 {
        let (first, last) = bucket_range(bucket);
        let sum = self
            .range(first, last)
            .filter(|m| m.reach != Reach::Unreachable)
            .map(|m| mix(m.record.id.0 ^ mix(u64::from(m.incarnation))))
            .fold(0, u64::wrapping_add);
        let folded = (sum >> 32) ^ (sum & u64::from(u32::MAX));
        u32::try_from(folded).expect("an XOR of two 32-bit halves exceeds u32") | 1
    }

    /// Applies a claim about another node.
    pub(crate) fn apply(&mut self, now: Time, update: &msg::Update) -> Applied {
        let mut applied = Applied::default();
        let id = NodeId(update.id);
        let Some(claim) = Claim::from_number(update.claim) else {
            return applied;
        };
        let record = update.record.as_ref();
        let record = record.and_then(|record| Record::from_msg(id, record));
        let update = ParsedUpdate {
            id,
            incarnation: update.incarnation,
            claim,
            record,
        };
        if claim == Claim::Departed {
            self.mark_departed(id, Departure::Left, &mut applied);
        } else if self.tombstones.contains(id) {
            applied.stale.push(id);
        } else if self.members.contains_key(&id) {
            self.merge(now, &update, &mut applied);
        } else {
            self.admit(now, &update, &mut applied);
        }
        applied
    }

    fn admit(&mut self, now: Time, update: &ParsedUpdate, applied: &mut Applied) {
        let Some(record) = update.record else {
            return;
        };
        let Some(reach) = update.reach() else {
            return;
        };
        if reach == Reach::Unreachable || record.phase == Phase::Gone {
            return;
        }
        match self.at_addr(record.addr).map(|m| m.record.id) {
            // This process has the address, so the claimed one preceded it.
            Some(holder) if holder == self.me => {
                self.mark_departed(record.id, Departure::Replaced, applied)
            }
            Some(_) => applied.conflict = Some(record.addr),
            None => self.add(now, record, update.incarnation, reach, applied),
        }
    }

    fn add(
        &mut self,
        now: Time,
        record: Record,
        incarnation: u32,
        reach: Reach,
        applied: &mut Applied,
    ) {
        if !self.ensure_capacity(applied) {
            return;
        }
        self.insert(Member {
            record,
            incarnation,
            reach,
            known_since: now,
            reach_since: now,
            load: None,
        });
        applied.change(record.id, Change::Joined(record.id));
    }

    /// Removes members at `addr` that `holder` has replaced: those known before `ping_sent`, when the
    /// ping was sent that `holder` answered.
    pub(crate) fn resolve_conflict(
        &mut self,
        addr: SocketAddr,
        holder: NodeId,
        ping_sent: Time,
    ) -> Applied {
        let mut applied = Applied::default();
        let earlier: Vec<NodeId> = self
            .members
            .values()
            .filter(|m| m.record.addr == addr && m.known_since <= ping_sent)
            .map(|m| m.record.id)
            .filter(|id| *id != holder && *id != self.me)
            .collect();
        for id in earlier {
            self.mark_departed(id, Departure::Replaced, &mut applied);
        }
        applied
    }

    fn ensure_capacity(&mut self, applied: &mut Applied) -> bool {
        if self.members.len() < self.limit {
            return true;
        }
        let unreachable = self
            .members
            .values()
            .filter(|m| m.reach == Reach::Unreachable);
        let Some(oldest) = unreachable.min_by_key(|m| m.reach_since) else {
            return false;
        };
        let id = oldest.record.id;
        self.forget(id, applied);
        true
    }

    fn merge(&mut self, now: Time, update: &ParsedUpdate, applied: &mut Applied) {
        let (Some(reach), Some(member)) = (update.reach(), self.members.get_mut(&update.id)) else {
            return;
        };
        if update.incarnation < member.incarnation {
            applied.stale.push(update.id);
            return;
        }
        if update.incarnation > member.incarnation {
            let Some(record) = update.record else {
                return;
            };
            if record.phase == Phase::Gone {
                self.mark_departed(update.id, Departure::Left, applied);
                return;
            }
            member.record = record;
            member.incarnation = update.incarnation;
        } else if reach <= member.reach {
            applied.is_known = reach == member.reach;
            return;
        }
        self.set_reach(now, update.id, reach, applied);
    }

    fn set_reach(&mut self, now: Time, id: NodeId, reach: Reach, applied: &mut Applied) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.reach = reach;
        member.reach_since = now;
        match reach {
            Reach::Alive => self.not_alive.remove(&id),
            Reach::Suspect | Reach::Unreachable => self.not_alive.insert(id),
        };
        applied.change(id, Change::Changed(id));
    }

    /// Suspects a member that did not answer this node's probe.
    pub(crate) fn suspect(&mut self, now: Time, id: NodeId) -> Applied {
        let mut applied = Applied::default();
        if self.get(id).is_some_and(|m| m.reach == Reach::Alive) {
            self.set_reach(now, id, Reach::Suspect, &mut applied);
        }
        applied
    }

    /// Applies the timeouts of suspects and of unreachable members.
    pub(crate) fn expire(&mut self, now: Time, opts: &Options) -> Applied {
        let mut applied = Applied::default();
        for (id, reach, since) in self.not_alive() {
            let held = now.since(since);
            match reach {
                Reach::Suspect if held >= opts.suspect_for => {
                    self.set_reach(now, id, Reach::Unreachable, &mut applied);
                }
                Reach::Unreachable if held >= opts.forget_after => self.forget(id, &mut applied),
                _ => {}
            }
        }
        applied
    }

    /// Restarts the suspicion timeout of every suspect, after this node itself was paused.
    pub(crate) fn restart_suspicions(&mut self, now: Time) {
        for (id, reach, _) in self.not_alive() {
            if let Some(member) = self
                .members
                .get_mut(&id)
                .filter(|_| reach == Reach::Suspect)
            {
                member.reach_since = now;
            }
        }
    }

    /// Id, reach and start of that reach for each member that is not alive.
    fn not_alive(&self) -> Vec<(NodeId, Reach, Time)> {
        let members = self.not_alive.iter().filter_map(|id| self.get(*id));
        members
            .map(|m| (m.record.id, m.reach, m.reach_since))
            .collect()
    }

    /// The ids of the unreachable members.
    pub(crate) fn unreachable(&self) -> Vec<NodeId> {
        let unreachable = |m: &&Member| m.reach == Reach::Unreachable;
        let members = self.not_alive.iter().filter_map(|id| self.get(*id));
        members.filter(unreachable).map(|m| m.record.id).collect()
    }

    /// Records a member's load unless a newer report is known.
    pub(crate) fn set_load(&mut self, id: NodeId, report: LoadReport) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.load.is_none_or(|known| known.at < report.at) {
            member.load = Some(report);
        }
    }

    /// Records a load that another node passed on.
    pub(crate) fn set_load_by_tag(&mut self, now: Time, hint: load::Hint) {
        let Some(&id) = self.tags.get(&hint.tag) else {
            return;
        };
        let at = now.before(hint.age);
        if id != self.me {
            self.set_load(
                id,
                LoadReport {
                    load: hint.load,
                    at,
                },
            );
        }
    }

    pub(crate) fn set_own_load(&mut self, now: Time, load: Load) {
        self.me_mut().load = Some(LoadReport { load, at: now });
    }

    /// Removes a member and records a tombstone, so that it cannot join again.
    pub(crate) fn mark_departed(&mut self, id: NodeId, why: Departure, applied: &mut Applied) {
        if !self.tombstones.insert(id) {
            applied.is_known = true;
            return;
        }
        applied.to_gossip.push(id);
        if self.remove(id) {
            applied.changes.push(Change::Left(id, why));
        }
    }

    fn forget(&mut self, id: NodeId, applied: &mut Applied) {
        if self.remove(id) {
            let change = Change::Left(id, Departure::Forgotten);
            applied.changes.push(change);
        }
    }

    fn insert(&mut self, member: Member) {
        let id = member.record.id;
        self.tags.insert(load::tag(id), id);
        if member.reach != Reach::Alive {
            self.not_alive.insert(id);
        }
        self.members.insert(id, member);
    }

    fn remove(&mut self, id: NodeId) -> bool {
        if self.tags.get(&load::tag(id)) == Some(&id) {
            self.tags.remove(&load::tag(id));
        }
        self.not_alive.remove(&id);
        self.members.remove(&id).is_some()
    }
}

/// An update with its claim and record parsed; an invalid record is `None`.
struct ParsedUpdate {
    id: NodeId,
    incarnation: u32,
    claim: Claim,
    record: Option<Record>,
}

impl ParsedUpdate {
    fn reach(&self) -> Option<Reach> {
        match self.claim {
            Claim::Alive => Some(Reach::Alive),
            Claim::Suspect => Some(Reach::Suspect),
            Claim::Unreachable => Some(Reach::Unreachable),
            Claim::Departed => None,
        }
    }
}

/// The update that announces a member's departure.
pub(crate) fn departed(id: NodeId) -> msg::Update {
    msg::Update {
        id: id.0,
        claim: Claim::Departed.number(),
        ..Default::default()
    }
}

/// The number of the bucket that contains an id.
pub(crate) fn bucket_of(id: NodeId) -> u32 {
    u32::try_from(id.0 >> BUCKET_SHIFT).expect("a bucket number exceeds u32")
}

/// The first and the last id of a bucket.
pub(crate) fn bucket_range(bucket: u32) -> (u64, u64) {
    let first = u64::from(bucket % BUCKETS) << BUCKET_SHIFT;
    (first, first | ((1 << BUCKET_SHIFT) - 1))
}

/// Hashes a number (the SplitMix64 finalizer, Steele et al. 2014).
pub(crate) fn mix(number: u64) -> u64 {
    let z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
