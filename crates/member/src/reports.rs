//! Attestations: small opaque statements whose age is what matters.
//!
//! An attestation's contents change seldom, its freshness all the time. So contents travel once,
//! as news, and freshness travels as a mark of five bytes in every answer: a checksum that names
//! the contents, and an age. Marks are taken from answers only, and dated from the moment the
//! question was sent; a message that lay in a queue, or was read after a pause, makes nothing look
//! younger than it is. Ages add up durations on several clocks: the reader adds the rate margin
//! once.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::{Options, msg, rumors::Rumors, view::mix};

/// The units of an age between nodes.
const AGE_UNIT: Duration = Duration::from_millis(16);

/// The bytes of one mark.
const MARK_BYTES: usize = 5;

/// The longest contents of an attestation, in bytes.
pub const ATTESTATION_BYTES: usize = 128;

/// Contents that were not renewed for so long are dropped.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// The most contents that one ping asks for.
const WANTS: usize = 8;

/// What a node attests, and how long ago it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attestation<'a> {
    /// The node that attests.
    pub node: NodeId,
    /// Grows with each change of the contents by that node.
    pub version: u32,
    /// The contents.
    pub body: &'a [u8],
    /// The time since the attesting node's question to the platform, at most, but for the rate
    /// margin of the clocks.
    pub age: Duration,
}

/// A point in time that may lie before the clock's origin.
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

/// What is held of one node. Newer contents wait until a mark dates them.
#[derive(Debug, Default)]
struct Held {
    dated: Option<(Contents, Stamp)>,
    undated: Option<Contents>,
    heard: Time,
}

impl Held {
    fn newest(&self) -> Option<&Contents> {
        let dated = self.dated.as_ref().map(|(contents, _)| contents);
        self.undated.as_ref().or(dated)
    }
}

/// Every attestation that is held.
#[derive(Debug)]
pub(crate) struct Reports {
    me: NodeId,
    held: BTreeMap<NodeId, Held>,
    news: Rumors,
    wanted: BTreeMap<u32, Time>,
}

impl Reports {
    pub(crate) fn new(me: NodeId) -> Self {
        Self {
            me,
            held: BTreeMap::new(),
            news: Rumors::new(me),
            wanted: BTreeMap::new(),
        }
    }

    /// This node attests.
    pub(crate) fn attest(&mut self, now: Time, opts: &Options, body: Vec<u8>, at: Time) {
        let me = self.me;
        self.make_room(opts.attestations, me);
        let held = self.held.entry(me).or_default();
        let known = held.dated.take().map(|(contents, _)| contents);
        let version = known.as_ref().map_or(0, |contents| contents.version);
        let same = known.filter(|contents| contents.body == body);
        if same.is_none() {
            self.news.add(me);
        }
        let contents = same.unwrap_or_else(|| Contents::new(me, version + 1, body));
        let age = Duration::ZERO;
        held.dated = Some((contents, Stamp { at, age }));
        held.heard = now;
    }

    /// Drops what a node attested.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.held.remove(&node);
        self.news.remove(node);
    }

    /// Takes in contents; they count once a mark dates them.
    pub(crate) fn store(
        &mut self,
        now: Time,
        opts: &Options,
        report: &msg::Attestation,
        sends: u32,
    ) {
        let node = NodeId(report.node);
        let known = self.held.get(&node).and_then(Held::newest);
        let is_new = known.is_none_or(|contents| contents.version < report.version);
        let is_known = known.is_some_and(|contents| contents.version == report.version);
        if is_known {
            // The sender holds as much: one node less to tell.
            self.news.sent(node, sends);
        }
        if !is_new || report.body.len() > ATTESTATION_BYTES {
            return;
        }
        self.make_room(opts.attestations, node);
        let contents = Contents::new(node, report.version, report.body.clone());
        self.wanted.remove(&contents.checksum);
        let held = self.held.entry(node).or_default();
        held.undated = Some(contents);
        held.heard = now;
        self.news.add(node);
    }

    fn make_room(&mut self, limit: usize, node: NodeId) {
        let me = self.me;
        if self.held.contains_key(&node) || self.held.len() < limit {
            return;
        }
        let others = self.held.iter().filter(|(other, _)| **other != me);
        let oldest = others.min_by_key(|(_, held)| held.heard);
        if let Some((&oldest, _)) = oldest {
            self.remove(oldest);
        }
    }

    /// Takes in the marks of an answer to a question sent at `asked`; gives the nodes whose
    /// contents changed.
    pub(crate) fn mark_all(&mut self, now: Time, asked: Time, marks: &[u8]) -> Vec<NodeId> {
        let mut changed = Vec::new();
        for mark in marks.chunks_exact(MARK_BYTES) {
            let checksum = mark[..4].try_into().expect("a mark has five bytes");
            let checksum = u32::from_be_bytes(checksum);
            let age = AGE_UNIT * u32::from(mark[4]);
            changed.extend(self.mark(now, checksum, Stamp { at: asked, age }));
        }
        changed
    }

    fn mark(&mut self, now: Time, checksum: u32, stamp: Stamp) -> Option<NodeId> {
        for (node, held) in &mut self.held {
            if let Some(contents) = held.undated.take_if(|c| c.checksum == checksum) {
                held.dated = Some((contents, stamp));
                held.heard = now;
                return Some(*node);
            }
            if let Some((contents, known)) = &mut held.dated
                && contents.checksum == checksum
            {
                if stamp.age(now) < known.age(now) {
                    *known = stamp;
                    held.heard = now;
                }
                return None;
            }
        }
        self.wanted.insert(checksum, now);
        None
    }

    /// The ages of the youngest attestations, packed.
    pub(crate) fn marks(&self, now: Time, slots: usize) -> Vec<u8> {
        let mut ages: Vec<(Duration, u32)> = self
            .held
            .values()
            .filter_map(|held| held.dated.as_ref())
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

    /// Contents that were marked, but are not held.
    pub(crate) fn wants(&self, rng: &mut fastrand::Rng) -> Vec<u32> {
        rng.choose_multiple(self.wanted.keys().copied(), WANTS)
    }

    /// The contents that another node asked for.
    pub(crate) fn answer(&self, wants: &[u32]) -> Vec<msg::Attestation> {
        let wants = &wants[..wants.len().min(WANTS)];
        self.held
            .iter()
            .filter_map(|(node, held)| Some((node, held.newest()?)))
            .filter(|(_, contents)| wants.contains(&contents.checksum))
            .map(|(node, contents)| contents.to_msg(*node))
            .collect()
    }

    /// Contents to pass on with a message.
    pub(crate) fn news(&mut self, slots: usize, sends: u32) -> Vec<msg::Attestation> {
        let nodes: Vec<NodeId> = self.news.iter().take(slots).collect();
        let mut reports = Vec::new();
        for node in nodes {
            self.news.sent(node, sends);
            let contents = self.held.get(&node).and_then(Held::newest);
            reports.extend(contents.map(|contents| contents.to_msg(node)));
        }
        reports
    }

    /// Drops what was not renewed for long.
    pub(crate) fn expire(&mut self, now: Time, opts: &Options) {
        let old = |heard: Time| now.since(heard) >= KEPT_FOR;
        self.held.retain(|_, held| !old(held.heard));
        self.wanted
            .retain(|_, since| now.since(*since) < opts.pull_period);
    }

    /// Every dated attestation.
    pub(crate) fn iter(&self, now: Time) -> impl Iterator<Item = Attestation<'_>> + '_ {
        self.held.iter().filter_map(move |(node, held)| {
            let (contents, stamp) = held.dated.as_ref()?;
            Some(Attestation {
                node: *node,
                version: contents.version,
                body: &contents.body,
                age: stamp.age(now),
            })
        })
    }

    pub(crate) fn state_bytes(&self) -> usize {
        let bodies: usize = self.held.values().map(|held| 2 * size_of_val(held)).sum();
        bodies + self.held.len() * ATTESTATION_BYTES
    }
}

impl Contents {
    fn new(node: NodeId, version: u32, body: Vec<u8>) -> Self {
        let start = mix(node.0 ^ mix(u64::from(version)));
        let sum = body
            .iter()
            .fold(start, |sum, byte| mix(sum ^ u64::from(*byte)));
        let checksum = u32::try_from(sum >> 32).expect("32 bits are left");
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
