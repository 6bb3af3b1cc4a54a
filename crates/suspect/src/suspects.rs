//! The strikes that one node has recorded, and the decisions on requests derived from them.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Crash, Fingerprint,
    message::{StrikeRecord, StrikeUpdate},
    strike::Strike,
};

/// Settings of crash containment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Strikes with `is_alone` set from which on a request is refused.
    pub max_strikes: u32,
    /// Strikes from which on a request runs only alone; 0 is read as 1.
    pub suspect_after: u32,
    /// Strikes of any kind that a refusal requires in addition to `max_strikes`.
    pub refuse_after: u32,
    /// How long a strike counts and is retained.
    pub memory: Duration,
    /// Maximum number of strikes in one message, sent or received.
    pub max_news: usize,
    /// Number of messages in which a new strike takes precedence over strikes already sent.
    pub sends: u32,
    /// Maximum number of requests with strikes; the one whose newest strike is oldest is evicted
    /// first.
    pub max_suspects: usize,
    /// Maximum number of strikes retained per request.
    pub max_strikes_each: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_strikes: 2,
            suspect_after: 1,
            refuse_after: 0,
            memory: Duration::from_secs(600),
            max_news: 32,
            sends: 24,
            max_suspects: 4_096,
            max_strikes_each: 8,
        }
    }
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may run beside others.
    Run,
    /// It may run only alone at its server, with a permit from its coordinator.
    RunAlone,
    /// It must not run.
    Refuse(Refusal),
}

/// The strikes that one node has recorded against requests suspected of crashing servers.
#[derive(Debug)]
pub struct Suspects {
    opts: Options,
    strikes: HashMap<Fingerprint, BTreeMap<Crash, Strike>>,
    /// The last strike sent in rotation; the next message continues after it.
    cursor: Option<(Fingerprint, Crash)>,
}

impl Suspects {
    /// Without any strike.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            strikes: HashMap::new(),
            cursor: None,
        }
    }

    /// Records that a server crashed with exactly these requests in flight. The strike counts as
    /// alone if there was only one.
    pub fn on_server_crash(&mut self, now: Time, crash: Crash, in_flight: &[Fingerprint]) {
        self.strike_all(now, crash, in_flight, in_flight.len() == 1);
    }

    /// Records that a server crashed with exactly these requests in flight, where suspects run
    /// beside other requests but not beside each other. The strike counts as alone for the only
    /// suspect, or for the only request if none was a suspect.
    pub fn on_shared_server_crash(&mut self, now: Time, crash: Crash, in_flight: &[Fingerprint]) {
        let is_suspect = |it: &&Fingerprint| self.check(now, **it) == Decision::RunAlone;
        let suspects: Vec<_> = in_flight
            .iter()
            .copied()
            .filter(|it| is_suspect(&it))
            .collect();
        let (alone, others): (Vec<_>, Vec<_>) = match (&suspects[..], in_flight) {
            ([only], _) | ([], [only]) => in_flight.iter().partition(|it| *it == only),
            _ => (Vec::new(), in_flight.to_vec()),
        };
        self.strike_all(now, crash, &alone, true);
        self.strike_all(now, crash, &others, false);
    }

    /// Records that another node was lost with its server while these requests of this node, and
    /// possibly requests of other nodes, were in flight there.
    pub fn on_node_lost(&mut self, now: Time, node: NodeId, in_flight: &[Fingerprint]) {
        let crash = Crash {
            owner: node,
            number: Crash::NODE_LOST,
        };
        self.strike_all(now, crash, in_flight, false);
    }

    fn strike_all(&mut self, now: Time, crash: Crash, in_flight: &[Fingerprint], is_alone: bool) {
        for fingerprint in in_flight {
            let strike = Strike {
                at: now,
                is_alone,
                is_cleared: false,
                sends_left: self.opts.sends,
            };
            self.add(now, *fingerprint, crash, strike);
        }
    }

    /// Records that a run of the request that began at `began` finished, and clears its strikes
    /// from before then. Strikes from running alone count even when cleared. Returns whether a
    /// strike stopped counting.
    pub fn on_finished(&mut self, fingerprint: Fingerprint, began: Time) -> bool {
        let sends = self.opts.sends;
        let strikes = self.strikes.get_mut(&fingerprint);
        let strikes = strikes.into_iter().flat_map(BTreeMap::values_mut);
        let before = strikes.filter(|it| it.at <= began && !it.is_cleared);
        before.fold(false, |is_changed, strike| {
            strike.is_cleared = true;
            strike.sends_left = sends;
            is_changed || !strike.counts()
        })
    }

    /// Decides on a request. To be called at ingress and again by the owner before the run.
    #[must_use]
    pub fn check(&self, now: Time, fingerprint: Fingerprint) -> Decision {
        let counted = self.counted(now, fingerprint);
        let alone = counted.clone().filter(|strike| strike.is_alone);
        let strikes = counted.count();
        let is_proven = alone.clone().count() >= self.opts.max_strikes as usize;
        if is_proven && strikes >= self.opts.refuse_after as usize {
            let newest = alone.map(|strike| strike.at).max().unwrap_or(now);
            let remaining = self.opts.memory.saturating_sub(now.since(newest));
            return Decision::Refuse(Refusal::not_run(Reason::Suspect).retry_after(remaining));
        }
        if strikes >= self.opts.suspect_after.max(1) as usize {
            Decision::RunAlone
        } else {
            Decision::Run
        }
    }

    /// Merges an update from another node. Strikes beyond [`Options::max_news`] are ignored.
    pub fn merge(&mut self, now: Time, update: &StrikeUpdate) {
        update
            .strikes
            .iter()
            .take(self.opts.max_news)
            .for_each(|it| self.merge_record(now, it));
    }

    /// Merges one strike from another node.
    pub fn merge_record(&mut self, now: Time, record: &StrikeRecord) {
        let strike = Strike {
            at: now.before(Duration::from_millis(record.age_ms.into())),
            is_alone: record.is_alone,
            is_cleared: record.is_cleared,
            sends_left: self.opts.sends,
        };
        let crash = Crash {
            owner: NodeId(record.owner),
            number: record.number,
        };
        self.add(now, Fingerprint(record.fingerprint), crash, strike);
    }

    /// All strikes, cleared ones included, of requests whose decision is not [`Decision::Run`], in
    /// a fixed order.
    #[must_use]
    pub fn suspected(&self, now: Time) -> Vec<StrikeRecord> {
        let is_suspected = |it: &Fingerprint| self.check(now, *it) != Decision::Run;
        let mut entries: Vec<_> = self.entries().filter(|(fp, ..)| is_suspected(fp)).collect();
        entries.sort_unstable_by_key(|(fp, crash, _)| (*fp, *crash));
        let entries = entries.into_iter();
        entries
            .map(|(fp, crash, strike)| to_record(now, fp, crash, strike))
            .collect()
    }

    /// How many strikes count against a request.
    #[must_use]
    pub fn strike_count(&self, now: Time, fingerprint: Fingerprint) -> usize {
        self.counted(now, fingerprint).count()
    }

    /// A hash of all strikes, equal for two nodes with the same strikes; zero if there are none.
    /// Strikes that have expired are removed first.
    #[must_use]
    pub fn digest(&mut self, now: Time) -> u64 {
        self.remove_expired(now);
        let digests = self.entries().map(|(fp, crash, strike)| {
            let flags = u8::from(strike.is_alone) | u8::from(strike.is_cleared) << 1;
            let (fp, owner) = (fp.0.to_be_bytes(), crash.owner.0.to_be_bytes());
            let number = crash.number.to_be_bytes();
            Fingerprint::of_parts([&fp[..], &owner, &number, &[flags]]).0
        });
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    /// The strikes for the next message to another node: new ones first, then the others in
    /// rotation.
    pub fn next_update(&mut self, now: Time) -> StrikeUpdate {
        self.remove_expired(now);
        let mut chosen = self.keys_to_send_first();
        chosen.truncate(self.opts.max_news);
        let free_slots = self.opts.max_news - chosen.len();
        let others = self.next_in_rotation(free_slots, &chosen);
        chosen.extend(others);
        let strikes = chosen
            .into_iter()
            .filter_map(|key| self.take_for_sending(now, key))
            .collect();
        StrikeUpdate { strikes }
    }

    /// The strike of one crash against one request, for a message that carries only this strike, or
    /// `None` if it is not recorded.
    #[must_use]
    pub fn strike(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        crash: Crash,
    ) -> Option<StrikeRecord> {
        let strike = self.strikes.get(&fingerprint)?.get(&crash)?;
        Some(to_record(now, fingerprint, crash, strike))
    }

    /// The number of requests with strikes, cleared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Whether no request has a strike.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// The strikes that count against a request.
    fn counted(
        &self,
        now: Time,
        fingerprint: Fingerprint,
    ) -> impl Iterator<Item = &Strike> + Clone {
        let strikes = self.strikes.get(&fingerprint).into_iter();
        let strikes = strikes.flat_map(BTreeMap::values);
        strikes.filter(move |it| self.is_recent(now, it) && it.counts())
    }

    fn is_recent(&self, now: Time, strike: &Strike) -> bool {
        now.since(strike.at) < self.opts.memory
    }

    fn add(&mut self, now: Time, fingerprint: Fingerprint, crash: Crash, new: Strike) {
        if !self.is_recent(now, &new) {
            return;
        }
        let strikes = self.strikes.entry(fingerprint).or_default();
        let strike = strikes.entry(crash).or_insert(new);
        let is_updated =
            (new.is_cleared && !strike.is_cleared) || (new.is_alone && !strike.is_alone);
        if is_updated {
            strike.is_cleared |= new.is_cleared;
            strike.is_alone |= new.is_alone;
            strike.sends_left = new.sends_left;
        }
        if strikes.len() > self.opts.max_strikes_each {
            remove_lowest_ranked(strikes);
        }
        if self.strikes.len() > self.opts.max_suspects {
            self.remove_expired(now);
            self.evict_oldest_above_bound();
        }
    }

    fn evict_oldest_above_bound(&mut self) {
        if self.strikes.len() <= self.opts.max_suspects {
            return;
        }
        let newest = |strikes: &BTreeMap<Crash, Strike>| strikes.values().map(|it| it.at).max();
        let oldest = self.strikes.iter();
        let oldest = oldest.min_by_key(|(fp, strikes)| (newest(strikes), **fp));
        if let Some((&oldest, _)) = oldest {
            self.strikes.remove(&oldest);
        }
    }

    /// Removes strikes older than [`Options::memory`].
    fn remove_expired(&mut self, now: Time) {
        let retention = self.opts.memory;
        for strikes in self.strikes.values_mut() {
            strikes.retain(|_, strike| now.since(strike.at) < retention);
        }
        self.strikes.retain(|_, strikes| !strikes.is_empty());
    }

    fn entries(&self) -> impl Iterator<Item = (Fingerprint, Crash, &Strike)> {
        let strikes = self.strikes.iter();
        strikes.flat_map(|(fp, each)| each.iter().map(|(crash, strike)| (*fp, *crash, strike)))
    }

    /// Strikes with messages left in which they take precedence, the least sent first.
    fn keys_to_send_first(&self) -> Vec<(Fingerprint, Crash)> {
        let mut pending: Vec<_> = self
            .entries()
            .filter(|(.., strike)| strike.sends_left > 0)
            .collect();
        pending.sort_unstable_by_key(|(fp, crash, strike)| {
            (u32::MAX - strike.sends_left, *fp, *crash)
        });
        pending
            .into_iter()
            .map(|(fp, crash, _)| (fp, crash))
            .collect()
    }

    /// Up to `free_slots` strikes after the last message's in rotation, so that strikes from lost
    /// messages are sent again.
    fn next_in_rotation(
        &mut self,
        free_slots: usize,
        chosen: &[(Fingerprint, Crash)],
    ) -> Vec<(Fingerprint, Crash)> {
        let mut all: Vec<_> = self.entries().map(|(fp, crash, _)| (fp, crash)).collect();
        all.sort_unstable();
        let start = all.partition_point(|key| Some(*key) <= self.cursor);
        all.rotate_left(start);
        all.retain(|key| !chosen.contains(key));
        all.truncate(free_slots);
        self.cursor = all.last().copied().or(self.cursor);
        all
    }

    fn take_for_sending(
        &mut self,
        now: Time,
        (fingerprint, crash): (Fingerprint, Crash),
    ) -> Option<StrikeRecord> {
        let strike = self.strikes.get_mut(&fingerprint)?.get_mut(&crash)?;
        strike.sends_left = strike.sends_left.saturating_sub(1);
        Some(to_record(now, fingerprint, crash, strike))
    }
}

/// Removes the oldest strike without `is_alone`, or the oldest if there is none.
///
/// A strike's rank never falls, so which strikes are retained does not depend on the order of
/// updates. If cleared strikes ranked lower, one could be removed as cleared and then be restored
/// uncleared by a node that missed the clearing.
fn remove_lowest_ranked(strikes: &mut BTreeMap<Crash, Strike>) {
    let lowest = strikes
        .iter()
        .min_by_key(|(crash, it)| (it.is_alone, it.at, **crash));
    if let Some((&crash, _)) = lowest {
        strikes.remove(&crash);
    }
}

fn to_record(now: Time, fingerprint: Fingerprint, crash: Crash, strike: &Strike) -> StrikeRecord {
    let age = now.since(strike.at).as_millis();
    StrikeRecord {
        fingerprint: fingerprint.0,
        owner: crash.owner.0,
        number: crash.number,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        is_alone: strike.is_alone,
        is_cleared: strike.is_cleared,
    }
}
