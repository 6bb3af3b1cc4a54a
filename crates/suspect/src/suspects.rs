//! The strikes that one node knows of, and what they mean for a request.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    Crash, Fingerprint,
    message::{StrikeRecord, StrikeUpdate},
    strike::Strike,
};

/// Settings of the containment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// Servers that a request may kill while it runs alone, before it is refused.
    pub max_strikes: u32,
    /// Strikes from which on a request runs alone.
    pub suspect_after: u32,
    /// Strikes of any kind without which no request is refused.
    pub refuse_after: u32,
    /// How long a strike counts.
    pub memory: Duration,
    /// Strikes in one message.
    pub max_news: usize,
    /// Messages in which a new strike goes before older ones.
    pub sends: u32,
    /// Requests that are kept as suspects; the one struck longest ago goes first.
    pub max_suspects: usize,
    /// Strikes that are kept of one request.
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
    /// It may run alone at its server, with a permit of its coordinator.
    RunAlone,
    /// It is not to run.
    Refuse(Refusal),
}

/// What one node knows of the requests suspected of crashing servers.
#[derive(Debug)]
pub struct Suspects {
    opts: Options,
    strikes: HashMap<Fingerprint, BTreeMap<Crash, Strike>>,
    /// Where the next message goes on with strikes that were spread before.
    cursor: Option<(Fingerprint, Crash)>,
}

impl Suspects {
    /// Knows of no suspect.
    #[must_use]
    pub fn new(opts: Options) -> Self {
        Self {
            opts,
            strikes: HashMap::new(),
            cursor: None,
        }
    }

    /// Takes in that the server beside this node died with exactly these requests in flight.
    pub fn on_server_crash(&mut self, now: Time, death: Crash, in_flight: &[Fingerprint]) {
        self.strike_all(now, death, in_flight, in_flight.len() == 1);
    }

    /// Takes in that a server died with exactly these requests in flight, where suspects run beside
    /// other requests, but not beside each other: it counts as alone for the only suspect.
    pub fn on_shared_server_crash(&mut self, now: Time, death: Crash, in_flight: &[Fingerprint]) {
        let is_suspect = |it: &&Fingerprint| self.check(now, **it) == Decision::RunAlone;
        let suspects: Vec<_> = in_flight
            .iter()
            .copied()
            .filter(|it| is_suspect(&it))
            .collect();
        let (alone, beside): (Vec<_>, Vec<_>) = match (&suspects[..], in_flight) {
            ([only], _) | ([], [only]) => in_flight.iter().partition(|it| *it == only),
            _ => (Vec::new(), in_flight.to_vec()),
        };
        self.strike_all(now, death, &alone, true);
        self.strike_all(now, death, &beside, false);
    }

    /// Takes in that another node was lost with its server while these requests of this node, and
    /// maybe others, were in flight there.
    pub fn on_node_lost(&mut self, now: Time, node: NodeId, in_flight: &[Fingerprint]) {
        let death = Crash {
            owner: node,
            number: Crash::NODE_LOST,
        };
        self.strike_all(now, death, in_flight, false);
    }

    fn strike_all(&mut self, now: Time, death: Crash, in_flight: &[Fingerprint], is_alone: bool) {
        for fingerprint in in_flight {
            let strike = Strike {
                at: now,
                is_alone,
                is_cleared: false,
                sends_left: self.opts.sends,
            };
            self.add(now, *fingerprint, death, strike);
        }
    }

    /// Takes in that a run of the request which began at `began` finished: strikes of before are
    /// cleared, but for those it got while it ran alone. Whether one no longer counts.
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

    /// Decides on a request, at ingress and again where it is about to start.
    #[must_use]
    pub fn check(&self, now: Time, fingerprint: Fingerprint) -> Decision {
        let live = self.live(now, fingerprint);
        let alone = live.clone().filter(|strike| strike.is_alone);
        let strikes = live.count();
        let is_proven = alone.clone().count() >= self.opts.max_strikes as usize;
        if is_proven && strikes >= self.opts.refuse_after as usize {
            let newest = alone.map(|strike| strike.at).max().unwrap_or(now);
            let left = self.opts.memory.saturating_sub(now.since(newest));
            return Decision::Refuse(Refusal::not_run(Reason::Suspect).retry_after(left));
        }
        if strikes >= self.opts.suspect_after.max(1) as usize {
            Decision::RunAlone
        } else {
            Decision::Run
        }
    }

    /// Takes in news of another node.
    pub fn merge(&mut self, now: Time, news: &StrikeUpdate) {
        news.strikes
            .iter()
            .take(self.opts.max_news)
            .for_each(|it| self.merge_record(now, it));
    }

    /// Takes in one strike of another node.
    pub fn merge_record(&mut self, now: Time, news: &StrikeRecord) {
        let strike = Strike {
            at: now.before(Duration::from_millis(news.age_ms.into())),
            is_alone: news.is_alone,
            is_cleared: news.is_cleared,
            sends_left: self.opts.sends,
        };
        let death = Crash {
            owner: NodeId(news.owner),
            number: news.number,
        };
        self.add(now, Fingerprint(news.fingerprint), death, strike);
    }

    /// All strikes of requests that do not simply run, cleared ones included, in a fixed order.
    #[must_use]
    pub fn suspected(&self, now: Time) -> Vec<StrikeRecord> {
        let is_suspected = |it: &Fingerprint| self.check(now, *it) != Decision::Run;
        let mut keys: Vec<_> = self.keys().filter(|(fp, ..)| is_suspected(fp)).collect();
        keys.sort_unstable_by_key(|(fp, death, _)| (*fp, *death));
        let news = keys.into_iter();
        news.map(|(fp, death, strike)| to_news(now, fp, death, strike))
            .collect()
    }

    /// How many strikes count against a request.
    #[must_use]
    pub fn strike_count(&self, now: Time, fingerprint: Fingerprint) -> usize {
        self.live(now, fingerprint).count()
    }

    /// The same for two nodes that know the same strikes; zero for none.
    #[must_use]
    pub fn digest(&mut self, now: Time) -> u64 {
        self.forget(now);
        let digests = self.keys().map(|(fp, death, strike)| {
            let flags = u8::from(strike.is_alone) | u8::from(strike.is_cleared) << 1;
            let (fp, owner) = (fp.0.to_be_bytes(), death.owner.0.to_be_bytes());
            let number = death.number.to_be_bytes();
            Fingerprint::of_parts([&fp[..], &owner, &number, &[flags]]).0
        });
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    /// The news for the next message to another node: new strikes first, then others in turn.
    pub fn next_update(&mut self, now: Time) -> StrikeUpdate {
        self.forget(now);
        let mut chosen = self.unsent();
        chosen.truncate(self.opts.max_news);
        let room = self.opts.max_news - chosen.len();
        let others = self.next_in_turn(room, &chosen);
        chosen.extend(others);
        let strikes = chosen
            .into_iter()
            .filter_map(|key| self.send(now, key))
            .collect();
        StrikeUpdate { strikes }
    }

    /// The strike of one death against one request, for a message that carries just it.
    #[must_use]
    pub fn strike(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        death: Crash,
    ) -> Option<StrikeRecord> {
        let strike = self.strikes.get(&fingerprint)?.get(&death)?;
        Some(to_news(now, fingerprint, death, strike))
    }

    /// The requests with strikes, cleared ones included.
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
    fn live(&self, now: Time, fingerprint: Fingerprint) -> impl Iterator<Item = &Strike> + Clone {
        let strikes = self.strikes.get(&fingerprint).into_iter();
        let strikes = strikes.flat_map(BTreeMap::values);
        strikes.filter(move |it| self.is_live(now, it) && it.counts())
    }

    fn is_live(&self, now: Time, strike: &Strike) -> bool {
        now.since(strike.at) < self.opts.memory
    }

    fn add(&mut self, now: Time, fingerprint: Fingerprint, death: Crash, new: Strike) {
        if !self.is_live(now, &new) {
            return;
        }
        let strikes = self.strikes.entry(fingerprint).or_default();
        let strike = strikes.entry(death).or_insert(new);
        let is_news = (new.is_cleared && !strike.is_cleared) || (new.is_alone && !strike.is_alone);
        if is_news {
            strike.is_cleared |= new.is_cleared;
            strike.is_alone |= new.is_alone;
            strike.sends_left = new.sends_left;
        }
        if strikes.len() > self.opts.max_strikes_each {
            drop_least(strikes);
        }
        if self.strikes.len() > self.opts.max_suspects {
            self.forget(now);
            self.drop_oldest_above_bound();
        }
    }

    fn drop_oldest_above_bound(&mut self) {
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

    fn forget(&mut self, now: Time) {
        let memory = self.opts.memory;
        for strikes in self.strikes.values_mut() {
            strikes.retain(|_, strike| now.since(strike.at) < memory);
        }
        self.strikes.retain(|_, strikes| !strikes.is_empty());
    }

    fn keys(&self) -> impl Iterator<Item = (Fingerprint, Crash, &Strike)> {
        let strikes = self.strikes.iter();
        strikes.flat_map(|(fp, each)| each.iter().map(|(death, strike)| (*fp, *death, strike)))
    }

    /// Strikes that are to be spread first, the least sent ones before others.
    fn unsent(&self) -> Vec<(Fingerprint, Crash)> {
        let mut unsent: Vec<_> = self
            .keys()
            .filter(|(.., strike)| strike.sends_left > 0)
            .collect();
        unsent.sort_unstable_by_key(|(fp, death, strike)| {
            (u32::MAX - strike.sends_left, *fp, *death)
        });
        unsent
            .into_iter()
            .map(|(fp, death, _)| (fp, death))
            .collect()
    }

    /// Up to `room` strikes after the last message's, so that news lost on the way come again.
    fn next_in_turn(
        &mut self,
        room: usize,
        chosen: &[(Fingerprint, Crash)],
    ) -> Vec<(Fingerprint, Crash)> {
        let mut all: Vec<_> = self.keys().map(|(fp, death, _)| (fp, death)).collect();
        all.sort_unstable();
        let start = all.partition_point(|key| Some(*key) <= self.cursor);
        all.rotate_left(start);
        all.retain(|key| !chosen.contains(key));
        all.truncate(room);
        self.cursor = all.last().copied().or(self.cursor);
        all
    }

    fn send(
        &mut self,
        now: Time,
        (fingerprint, death): (Fingerprint, Crash),
    ) -> Option<StrikeRecord> {
        let strike = self.strikes.get_mut(&fingerprint)?.get_mut(&death)?;
        strike.sends_left = strike.sends_left.saturating_sub(1);
        Some(to_news(now, fingerprint, death, strike))
    }
}

/// Drops the oldest strike that another request may have caused, else the oldest.
///
/// A strike's rank never falls, so which ones stay does not depend on the order of news. Ranked by
/// whether it is cleared, one could be dropped as cleared and come back as it was before.
fn drop_least(strikes: &mut BTreeMap<Crash, Strike>) {
    let least = strikes
        .iter()
        .min_by_key(|(death, it)| (it.is_alone, it.at, **death));
    if let Some((&death, _)) = least {
        strikes.remove(&death);
    }
}

fn to_news(now: Time, fingerprint: Fingerprint, death: Crash, strike: &Strike) -> StrikeRecord {
    let age = now.since(strike.at).as_millis();
    StrikeRecord {
        fingerprint: fingerprint.0,
        owner: death.owner.0,
        number: death.number,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        is_alone: strike.is_alone,
        is_cleared: strike.is_cleared,
    }
}
