//! Attestations: small opaque statements with an age.
//!
//! The contents of an attestation change rarely, its age constantly. Contents are therefore
//! gossiped once, and the age is sent as a five-byte mark in every answer: a checksum that
//! identifies the contents, and an age. Marks are read from answers only and dated from the time
//! the ping was sent, so a message that waited in a queue or was read after a pause makes no
//! attestation look younger than it is. An age is a sum of durations on several clocks; the reader
//! adds the rate margin once.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{Options, gossip_queue::GossipQueue, msg, view::mix};

/// Unit of an age on the wire.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// Encoded size of one mark: checksum 4, age 1.
const MARK_BYTES: usize = 5;

/// Maximum length of an attestation's contents.
pub const MAX_ATTESTATION_BYTES: usize = 128;

/// Time without a renewal after which an attestation is dropped.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of contents that one ping requests.
const MAX_WANTS: usize = 8;

/// A node's attestation and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attestation<'a> {
    /// The node that attests.
    pub node: NodeId,
    /// Raised by that node with each change of the contents.
    pub version: u32,
    /// The contents.
    pub body: &'a [u8],
    /// Upper bound, apart from the rate margin of the clocks, on the time since the attesting node
    /// sent its request to the platform.
    pub age: Duration,
}

/// An age at a local time. Stands for a point in time that may precede the clock's origin.
#[derive(Debug, Clone, Copy)]
struct Stamp {
    at: Time,
    age: Duration,
}

impl Stamp {
    fn age(self, now: Time) -> Duration {
        self.age + now.since(self.at)
    }
}

#[derive(Debug, Clone)]
struct Contents {
    version: u32,
    body: Vec<u8>,
    checksum: u32,
}

/// The contents received from one node. Newer contents stay undated until a mark gives their age.
#[derive(Debug, Default)]
struct Stored {
    dated: Option<(Contents, Stamp)>,
    undated: Option<Contents>,
    updated: Time,
}

impl Stored {
    fn newest(&self) -> Option<&Contents> {
        let dated = self.dated.as_ref().map(|(contents, _)| contents);
        self.undated.as_ref().or(dated)
    }
}

/// The latest attestation of each node.
#[derive(Debug)]
pub(crate) struct Attestations {
    me: NodeId,
    stored: BTreeMap<NodeId, Stored>,
    queue: GossipQueue,
    wanted: BTreeMap<u32, Time>,
}

impl Attestations {
    pub(crate) fn new(me: NodeId) -> Self {
        Self {
            me,
            stored: BTreeMap::new(),
            queue: GossipQueue::new(me),
            wanted: BTreeMap::new(),
        }
    }

    /// Records this node's own attestation of something that was true at `at`.
    pub(crate) fn attest(&mut self, now: Time, opts: &Options, body: Vec<u8>, at: Time) {
        let me = self.me;
        self.ensure_capacity(opts.attestations, me);
        let stored = self.stored.entry(me).or_default();
        let known = stored.dated.take().map(|(contents, _)| contents);
        let version = known.as_ref().map_or(0, |contents| contents.version);
        let same = known.filter(|contents| contents.body == body);
        if same.is_none() {
            self.queue.add(me);
        }
        let contents = same.unwrap_or_else(|| Contents::new(me, version + 1, body));
        let age = Duration::ZERO;
        stored.dated = Some((contents, Stamp { at, age }));
        stored.updated = now;
    }

    /// Drops a node's attestation.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.stored.remove(&node);
        self.queue.remove(node);
    }

    /// Stores received contents; they become visible once a mark gives their age.
    pub(crate) fn store(&mut self, now: Time, opts: &Options, msg: &msg::Attestation, sends: u32) {
        let node = NodeId(msg.node);
        let known = self.stored.get(&node).and_then(Stored::newest);
        let is_new = known.is_none_or(|contents| contents.version < msg.version);
        let is_known = known.is_some_and(|contents| contents.version == msg.version);
        if is_known {
            // The sender has the same version, so it counts as one send.
            self.queue.sent(node, sends);
        }
        if !is_new || msg.body.len() > MAX_ATTESTATION_BYTES {
            return;
        }
        self.ensure_capacity(opts.attestations, node);
        let contents = Contents::new(node, msg.version, msg.body.clone());
        self.wanted.remove(&contents.checksum);
        let stored = self.stored.entry(node).or_default();
        stored.undated = Some(contents);
        stored.updated = now;
        self.queue.add(node);
    }

    fn ensure_capacity(&mut self, limit: usize, node: NodeId) {
        let me = self.me;
        if self.stored.contains_key(&node) || self.stored.len() < limit {
            return;
        }
        let others = self.stored.iter().filter(|(other, _)| **other != me);
        let oldest = others.min_by_key(|(_, stored)| stored.updated);
        if let Some((&oldest, _)) = oldest {
            self.remove(oldest);
        }
    }

    /// Applies the marks of an answer to a ping sent at `ping_sent`; returns the nodes whose contents
    /// changed.
    pub(crate) fn apply_marks(&mut self, now: Time, ping_sent: Time, marks: &[u8]) -> Vec<NodeId> {
        let mut changed = Vec::new();
        for mark in marks.chunks_exact(MARK_BYTES) {
            let checksum = mark[..4]
                .try_into()
                .expect("a mark is shorter than its checksum of 4 bytes");
            let checksum = u32::from_be_bytes(checksum);
            let age = AGE_UNIT * u32::from(mark[4]);
            changed.extend(self.apply_mark(now, checksum, Stamp { at: ping_sent, age }));
        }
        changed
    }

    fn apply_mark(&mut self, now: Time, checksum: u32, stamp: Stamp) -> Option<NodeId> {
        for (node, stored) in &mut self.stored {
            if let Some(contents) = stored.undated.take_if(|c| c.checksum == checksum) {
                stored.dated = Some((contents, stamp));
                stored.updated = now;
                return Some(*node);
            }
            if let Some((contents, known)) = &mut stored.dated
                && contents.checksum == checksum
            {
                if stamp.age(now) < known.age(now) {
                    *known = stamp;
                    stored.updated = now;
                }
                return None;
            }
        }
        self.wanted.insert(checksum, now);
        None
    }

    /// The marks of the youngest attestations, packed; at most `slots`.
    pub(crate) fn marks(&self, now: Time, slots: usize) -> Vec<u8> {
        let mut ages: Vec<(Duration, u32)> = self
            .stored
            .values()
            .filter_map(|stored| stored.dated.as_ref())
            .map(|(contents, stamp)| (stamp.age(now), contents.checksum))
            .collect();
        ages.sort_unstable();
        let mut buf = Vec::new();
        for (age, checksum) in ages.into_iter().take(slots) {
            let units = age.as_micros().div_ceil(AGE_UNIT.as_micros());
            let Ok(units) = u8::try_from(units) else {
                break;
            };
            buf.extend_from_slice(&checksum.to_be_bytes());
            buf.push(units);
        }
        buf
    }

    /// Random checksums for which a mark but no contents were received.
    pub(crate) fn wants(&self, rng: &mut fastrand::Rng) -> Vec<u32> {
        rng.choose_multiple(self.wanted.keys().copied(), MAX_WANTS)
    }

    /// The contents that another node requested by checksum.
    pub(crate) fn answer(&self, wants: &[u32]) -> Vec<msg::Attestation> {
        let wants = &wants[..wants.len().min(MAX_WANTS)];
        self.stored
            .iter()
            .filter_map(|(node, stored)| Some((node, stored.newest()?)))
            .filter(|(_, contents)| wants.contains(&contents.checksum))
            .map(|(node, contents)| contents.to_msg(*node))
            .collect()
    }

    /// Contents to gossip with a message, at most `slots`; counts each as sent.
    pub(crate) fn take_gossip(&mut self, slots: usize, sends: u32) -> Vec<msg::Attestation> {
        let nodes: Vec<NodeId> = self.queue.iter().take(slots).collect();
        let mut msgs = Vec::new();
        for node in nodes {
            self.queue.sent(node, sends);
            let contents = self.stored.get(&node).and_then(Stored::newest);
            msgs.extend(contents.map(|contents| contents.to_msg(node)));
        }
        msgs
    }

    /// Drops attestations that were not renewed, and requests that were not answered.
    pub(crate) fn expire(&mut self, now: Time, opts: &Options) {
        let old = |updated: Time| now.since(updated) >= RETENTION_TIME;
        self.stored.retain(|_, stored| !old(stored.updated));
        self.wanted
            .retain(|_, since| now.since(*since) < opts.pull_period);
    }

    /// Every attestation whose age is known.
    pub(crate) fn iter(&self, now: Time) -> impl Iterator<Item = Attestation<'_>> + '_ {
        self.stored.iter().filter_map(move |(node, stored)| {
            let (contents, stamp) = stored.dated.as_ref()?;
            Some(Attestation {
                node: *node,
                version: contents.version,
                body: &contents.body,
                age: stamp.age(now),
            })
        })
    }

    pub(crate) fn state_bytes(&self) -> usize {
        let bodies: usize = self
            .stored
            .values()
            .map(|stored| 2 * size_of_val(stored))
            .sum();
        bodies + self.stored.len() * MAX_ATTESTATION_BYTES
    }
}

impl Contents {
    fn new(node: NodeId, version: u32, body: Vec<u8>) -> Self {
        let start = mix(node.0 ^ mix(u64::from(version)));
        let sum = body
            .iter()
            .fold(start, |sum, byte| mix(sum ^ u64::from(*byte)));
        let checksum =
            u32::try_from(sum >> 32).expect("a 64-bit sum shifted by 32 bits exceeds u32");
        Self {
            version,
            body,
            checksum,
        }
    }

    fn to_msg(&self, node: NodeId) -> msg::Attestation {
        msg::Attestation {
            node: node.0,
            version: self.version,
            body: self.body.clone(),
        }
    }
}
