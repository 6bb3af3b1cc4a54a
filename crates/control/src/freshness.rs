//! The freshness decision: is this node in touch with the rest of the fleet?

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_types::{ClockDrift, NodeId, Reason, Refusal, Revision, Time};

use crate::{Control, Domain, Heads, msg};

/// The most relays that are remembered; more than any control value of the target size names.
const RELAYS_REMEMBERED: usize = 128;

/// Settings of [`FreshnessTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How old an attestation may be: F of the design note.
    pub freshness: Duration,
    /// How far the nodes' clocks may differ in rate.
    pub clock_drift: ClockDrift,
    /// When a refused caller may come back.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(2),
            clock_drift: ClockDrift::default(),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// What shows that the node is in touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// A relay asked the platform a short while ago and found nothing newer.
    Platform,
    /// Most relays of every failure domain knew nothing newer a short while ago.
    Relays,
    /// Another node knew, by one of these, that nothing newer had been accepted.
    Summary,
}

/// The node is in touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InTouch {
    /// What shows it.
    pub basis: Basis,
    /// The node is out of touch from this point on, unless it hears more before.
    pub until: Time,
}

/// Collects the relays' reports and decides whether the node is in touch.
#[derive(Debug, Clone)]
pub struct FreshnessTracker {
    options: Options,
    control: Control,
    table: Revision,
    relays: BTreeMap<NodeId, Sightings>,
    told: Vec<Sighting>,
    newest: Heads,
    newer_since: Option<Time>,
}

/// What was heard of one relay.
#[derive(Debug, Clone, Default)]
struct Sightings {
    bearer: NodeId,
    vouched: Vec<Sighting>,
    platform: Vec<Sighting>,
}

/// A relay, or the platform through it, had nothing newer than `heads` at `as_of`.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    as_of: Time,
    heads: Heads,
}

impl FreshnessTracker {
    /// Knows no control value yet and is out of touch.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            control: Control::default(),
            table: Revision::default(),
            relays: BTreeMap::new(),
            told: Vec::new(),
            newest: Heads::default(),
            newer_since: None,
        }
    }

    /// The node has applied this control value; an older one is ignored.
    pub fn apply_control(&mut self, control: &Control) {
        if control.revision > self.control.revision {
            self.control = control.clone();
        }
        self.note_applied();
    }

    /// The node has applied this table revision; an older one is ignored.
    pub fn apply_table(&mut self, table: Revision) {
        self.table = self.table.max(table);
        self.note_applied();
    }

    /// The control value in force.
    #[must_use]
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// The newest revisions that any report named; what the node should fetch.
    #[must_use]
    pub fn newest(&self) -> Heads {
        self.newest
    }

    /// Takes in a report that answers a question sent at `asked`.
    pub fn on_report(&mut self, now: Time, asked: Time, report: &msg::Report) {
        let heads = Heads {
            table: Revision(report.table),
            control: Revision(report.control),
        };
        self.note_newest(now, heads);
        let floor = now.before(self.options.freshness);
        self.forget_stale(floor);
        let relay = NodeId(report.relay);
        if !self.has_room_for(relay) {
            return;
        }
        let vouched = report.vouches.then_some(report.age_micros);
        let clock_drift = self.options.clock_drift;
        let sighting = |age_micros| Sighting {
            as_of: asked.before(clock_drift.max_elapsed(Duration::from_micros(age_micros))),
            heads,
        };
        let entry = self.relays.entry(relay).or_default();
        let as_of = sighting(report.age_micros).as_of;
        if entry.latest().is_none_or(|latest| as_of >= latest) {
            entry.bearer = NodeId(report.bearer);
        }
        for (list, age) in [
            (&mut entry.vouched, vouched),
            (&mut entry.platform, report.platform_age_micros),
        ] {
            if let Some(sighting) = age.map(sighting).filter(|sighting| sighting.as_of >= floor) {
                insert(list, sighting);
            }
        }
    }

    /// Takes in a summary that answers a question sent at `asked`.
    pub fn on_summary(&mut self, now: Time, asked: Time, summary: &msg::Summary) {
        let heads = Heads {
            table: Revision(summary.table),
            control: Revision(summary.control),
        };
        self.note_newest(now, heads);
        let floor = now.before(self.options.freshness);
        self.forget_stale(floor);
        let age = Duration::from_micros(summary.age_micros);
        let as_of = asked.before(self.options.clock_drift.max_elapsed(age));
        if as_of >= floor {
            insert(&mut self.told, Sighting { as_of, heads });
        }
    }

    /// What to tell another node in answer to its question; nothing where this one is out of touch.
    ///
    /// That nothing newer than some revisions had been accepted at some point is true for
    /// everybody, so it may be told on without the reports that show it.
    #[must_use]
    pub fn summary(&self, now: Time) -> Option<msg::Summary> {
        let applied = self.applied();
        let (as_of, _) = self.as_of(applied)?;
        let age = now.since(as_of);
        (age < self.options.freshness).then(|| msg::Summary {
            table: applied.table.0,
            control: applied.control.0,
            age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        })
    }

    /// Whether the node may act, at this very moment, by the revisions that it decides with.
    ///
    /// Call it at the moment of acting with the revisions of the snapshot in hand, so that a
    /// process that was paused is caught.
    ///
    /// # Errors
    ///
    /// [`Reason::NotInTouch`], not run, where it may not.
    pub fn check(&self, now: Time, applied: Heads) -> Result<InTouch, Refusal> {
        let refusal = Refusal::not_run(Reason::NotInTouch).retry_after(self.options.retry_after);
        self.in_touch(applied)
            .filter(|touch| now < touch.until)
            .ok_or(refusal)
    }

    /// Until when the node may act on the revisions that it has applied, by what it has heard.
    ///
    /// A node may publish `until` to its request threads, which compare it with the clock.
    #[must_use]
    pub fn in_touch(&self, applied: Heads) -> Option<InTouch> {
        let (as_of, basis) = self.as_of(applied)?;
        let lapse = as_of + self.options.freshness;
        let until = match self.newer_since.filter(|_| !applied.covers(self.newest)) {
            Some(since) => lapse.min(since + self.options.freshness),
            None => lapse,
        };
        Some(InTouch { basis, until })
    }

    /// The freshest reports to pass on in answer to a question, one for each relay.
    #[must_use]
    pub fn latest_reports(&self, now: Time) -> Vec<msg::Report> {
        self.relays
            .iter()
            .filter_map(|(relay, sightings)| sightings.report(now, *relay))
            .collect()
    }

    /// The node that bears a relay's role, as far as heard; the relay itself otherwise.
    #[must_use]
    pub fn bearer(&self, relay: NodeId) -> NodeId {
        self.relays
            .get(&relay)
            .map_or(relay, |sightings| sightings.bearer)
    }

    /// The newest point as of which nothing newer than `applied` had been accepted.
    fn as_of(&self, applied: Heads) -> Option<(Time, Basis)> {
        let ways = [
            (self.platform_as_of(applied), Basis::Platform),
            (self.relays_as_of(applied), Basis::Relays),
            (newest(&self.told, applied), Basis::Summary),
        ];
        ways.into_iter()
            .filter_map(|(as_of, basis)| Some((as_of?, basis)))
            .max_by_key(|way| way.0)
    }

    fn applied(&self) -> Heads {
        Heads {
            table: self.table,
            control: self.control.revision,
        }
    }

    fn platform_as_of(&self, applied: Heads) -> Option<Time> {
        let all = self.relays.values();
        all.filter_map(|sightings| newest(&sightings.platform, applied))
            .max()
    }

    fn relays_as_of(&self, applied: Heads) -> Option<Time> {
        if applied.control != self.control.revision {
            return None;
        }
        let mut oldest: Option<Time> = None;
        for domain in self.control.domains.iter().filter(|d| !d.relays.is_empty()) {
            let as_of = self.domain_as_of(domain, applied)?;
            oldest = Some(oldest.map_or(as_of, |oldest| oldest.min(as_of)));
        }
        oldest
    }

    /// The newest point as of which a majority of the domain's relays knew nothing newer.
    fn domain_as_of(&self, domain: &Domain, applied: Heads) -> Option<Time> {
        let mut points: Vec<Time> = domain
            .nodes()
            .filter_map(|node| newest(&self.relays.get(&node)?.vouched, applied))
            .collect();
        points.sort_unstable_by(|a, b| b.cmp(a));
        points.get(domain.relays.len() / 2).copied()
    }

    fn note_newest(&mut self, now: Time, heads: Heads) {
        if !self.newest.covers(heads) {
            self.newest = self.newest.max(heads);
            self.newer_since.get_or_insert(now);
        }
    }

    fn note_applied(&mut self) {
        let applied = self.applied();
        if applied.covers(self.newest) {
            self.newest = applied;
            self.newer_since = None;
        }
    }

    fn has_room_for(&self, relay: NodeId) -> bool {
        self.relays.len() < RELAYS_REMEMBERED || self.relays.contains_key(&relay)
    }

    fn forget_stale(&mut self, floor: Time) {
        self.told.retain(|sighting| sighting.as_of >= floor);
        for sightings in self.relays.values_mut() {
            sightings.vouched.retain(|sighting| sighting.as_of >= floor);
            sightings
                .platform
                .retain(|sighting| sighting.as_of >= floor);
        }
        self.relays
            .retain(|_, seen| !(seen.vouched.is_empty() && seen.platform.is_empty()));
    }
}

impl Sightings {
    fn latest(&self) -> Option<Time> {
        let all = self.vouched.iter().chain(&self.platform);
        all.map(|sighting| sighting.as_of).max()
    }

    fn report(&self, now: Time, relay: NodeId) -> Option<msg::Report> {
        let vouched = self.vouched.iter().max_by_key(|sighting| sighting.as_of);
        let platform = self.platform.iter().max_by_key(|sighting| sighting.as_of);
        let latest = vouched.or(platform)?;
        let platform = platform.filter(|sighting| latest.heads.covers(sighting.heads));
        let age_micros = |sighting: &Sighting| {
            let age = now.since(sighting.as_of).as_micros();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        Some(msg::Report {
            relay: relay.0,
            bearer: self.bearer.0,
            table: latest.heads.table.0,
            control: latest.heads.control.0,
            age_micros: age_micros(latest),
            platform_age_micros: platform.map(age_micros),
            vouches: vouched.is_some(),
        })
    }
}

/// Keeps the newest sighting of each pair of revisions.
fn insert(list: &mut Vec<Sighting>, sighting: Sighting) {
    let same = list.iter_mut().find(|other| other.heads == sighting.heads);
    match same {
        Some(other) => other.as_of = other.as_of.max(sighting.as_of),
        None => list.push(sighting),
    }
}

/// The newest point as of which nothing newer than `applied` was known.
fn newest(list: &[Sighting], applied: Heads) -> Option<Time> {
    list.iter()
        .filter(|sighting| applied.covers(sighting.heads))
        .map(|sighting| sighting.as_of)
        .max()
}
