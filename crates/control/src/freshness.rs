//! The freshness decision: whether this node is in touch with the other nodes.

use std::{collections::BTreeMap, time::Duration};

use cassiashunt_types::{ClockDrift, NodeId, Reason, Refusal, Revision, Time};

use crate::{Control, Domain, Heads, msg};

/// The maximum number of relays whose reports are kept; more than a control value lists at the
/// target fleet size.
const MAX_TRACKED_RELAYS: usize = 128;

/// Settings of [`FreshnessTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The maximum age of an attestation, F in the design note.
    pub freshness: Duration,
    /// The maximum difference in rate between the clocks of two nodes.
    pub clock_drift: ClockDrift,
    /// The retry-after delay of a refusal.
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

/// The evidence that the node is in touch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// A relay read the platform within the freshness bound and found nothing newer.
    Platform,
    /// Within the freshness bound, a majority of the relays of every failure domain knew of nothing
    /// newer.
    Relays,
    /// A summary from another node that was in touch.
    Summary,
}

/// The result of a freshness check that passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InTouch {
    /// The evidence.
    pub basis: Basis,
    /// The node is out of touch from this time on, unless it receives newer evidence before.
    pub until: Time,
}

/// Collects reports and summaries and decides whether the node is in touch.
#[derive(Debug, Clone)]
pub struct FreshnessTracker {
    options: Options,
    control: Control,
    table: Revision,
    relays: BTreeMap<NodeId, RelayObservations>,
    summaries: Vec<Observation>,
    newest: Heads,
    outdated_since: Option<Time>,
}

/// What the reports on one relay contained.
#[derive(Debug, Clone, Default)]
struct RelayObservations {
    bearer: NodeId,
    vouched: Vec<Observation>,
    platform: Vec<Observation>,
}

/// At `as_of`, nothing newer than `heads` was known to a relay, or stored by the platform, or
/// accepted.
#[derive(Debug, Clone, Copy)]
struct Observation {
    as_of: Time,
    heads: Heads,
}

impl FreshnessTracker {
    /// Creates a tracker without a control value; it is out of touch.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            control: Control::default(),
            table: Revision::default(),
            relays: BTreeMap::new(),
            summaries: Vec::new(),
            newest: Heads::default(),
            outdated_since: None,
        }
    }

    /// Records a control value that the node has applied; an older one is ignored.
    pub fn apply_control(&mut self, control: &Control) {
        if control.revision > self.control.revision {
            self.control = control.clone();
        }
        self.record_applied();
    }

    /// Records a table revision that the node has applied; an older one is ignored.
    pub fn apply_table(&mut self, table: Revision) {
        self.table = self.table.max(table);
        self.record_applied();
    }

    /// The newest control value that the node has applied.
    #[must_use]
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// The newest revisions known from reports and summaries; the node should fetch them.
    #[must_use]
    pub fn newest(&self) -> Heads {
        self.newest
    }

    /// Records a report received in answer to a query that was sent at `asked`.
    pub fn on_report(&mut self, now: Time, asked: Time, report: &msg::Report) {
        let heads = Heads {
            table: Revision(report.table),
            control: Revision(report.control),
        };
        self.record_newest(now, heads);
        let oldest_valid = now.before(self.options.freshness);
        self.evict_stale(oldest_valid);
        let relay = NodeId(report.relay);
        if !self.can_track(relay) {
            return;
        }
        let vouched = report.vouches.then_some(report.age_micros);
        let clock_drift = self.options.clock_drift;
        let observation = |age_micros| Observation {
            as_of: asked.before(clock_drift.max_elapsed(Duration::from_micros(age_micros))),
            heads,
        };
        let entry = self.relays.entry(relay).or_default();
        let as_of = observation(report.age_micros).as_of;
        if entry.latest().is_none_or(|latest| as_of >= latest) {
            entry.bearer = NodeId(report.bearer);
        }
        for (list, age) in [
            (&mut entry.vouched, vouched),
            (&mut entry.platform, report.platform_age_micros),
        ] {
            if let Some(observation) = age
                .map(observation)
                .filter(|observation| observation.as_of >= oldest_valid)
            {
                insert(list, observation);
            }
        }
    }

    /// Records a summary received in answer to a query that was sent at `asked`.
    pub fn on_summary(&mut self, now: Time, asked: Time, summary: &msg::Summary) {
        let heads = Heads {
            table: Revision(summary.table),
            control: Revision(summary.control),
        };
        self.record_newest(now, heads);
        let oldest_valid = now.before(self.options.freshness);
        self.evict_stale(oldest_valid);
        let age = Duration::from_micros(summary.age_micros);
        let as_of = asked.before(self.options.clock_drift.max_elapsed(age));
        if as_of >= oldest_valid {
            insert(&mut self.summaries, Observation { as_of, heads });
        }
    }

    /// The summary to send in answer to a query; `None` if this node is out of touch.
    ///
    /// That nothing newer than some revisions had been accepted at some time holds for every node,
    /// so it may be forwarded without the reports that prove it.
    #[must_use]
    pub fn summary(&self, now: Time) -> Option<msg::Summary> {
        let applied = self.applied();
        let (as_of, _) = self.best_evidence(applied)?;
        let age = now.since(as_of);
        (age < self.options.freshness).then(|| msg::Summary {
            table: applied.table.0,
            control: applied.control.0,
            age_micros: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        })
    }

    /// Whether the node may act now on the revisions `applied`.
    ///
    /// Call it immediately before acting, with the revisions of the snapshot that the decision is
    /// based on; an earlier check would not detect that the process was paused since.
    ///
    /// # Errors
    ///
    /// [`Reason::NotInTouch`] with the verdict not run, if it may not.
    pub fn check(&self, now: Time, applied: Heads) -> Result<InTouch, Refusal> {
        let refusal = Refusal::not_run(Reason::NotInTouch).retry_after(self.options.retry_after);
        self.in_touch(applied)
            .filter(|in_touch| now < in_touch.until)
            .ok_or(refusal)
    }

    /// Until when the node may act on the revisions `applied`, by the evidence received so far.
    ///
    /// The bound is earlier if a newer revision is known: the node must apply it within the
    /// freshness bound. A node may publish `until` to its request threads, which compare it with
    /// the clock.
    #[must_use]
    pub fn in_touch(&self, applied: Heads) -> Option<InTouch> {
        let (as_of, basis) = self.best_evidence(applied)?;
        let expires_at = as_of + self.options.freshness;
        let until = match self.outdated_since.filter(|_| !applied.covers(self.newest)) {
            Some(since) => expires_at.min(since + self.options.freshness),
            None => expires_at,
        };
        Some(InTouch { basis, until })
    }

    /// The latest reports, one for each relay, to forward in answer to a query.
    #[must_use]
    pub fn latest_reports(&self, now: Time) -> Vec<msg::Report> {
        self.relays
            .iter()
            .filter_map(|(relay, observations)| observations.report(now, *relay))
            .collect()
    }

    /// The node that performs the role of `relay` according to its latest report; `relay` itself if
    /// there is none.
    #[must_use]
    pub fn bearer(&self, relay: NodeId) -> NodeId {
        self.relays
            .get(&relay)
            .map_or(relay, |observations| observations.bearer)
    }

    /// The latest time as of which nothing newer than `applied` had been accepted.
    fn best_evidence(&self, applied: Heads) -> Option<(Time, Basis)> {
        let evidence = [
            (self.platform_as_of(applied), Basis::Platform),
            (self.relays_as_of(applied), Basis::Relays),
            (latest_as_of(&self.summaries, applied), Basis::Summary),
        ];
        evidence
            .into_iter()
            .filter_map(|(as_of, basis)| Some((as_of?, basis)))
            .max_by_key(|evidence| evidence.0)
    }

    fn applied(&self) -> Heads {
        Heads {
            table: self.table,
            control: self.control.revision,
        }
    }

    fn platform_as_of(&self, applied: Heads) -> Option<Time> {
        let all = self.relays.values();
        all.filter_map(|observations| latest_as_of(&observations.platform, applied))
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

    /// The latest time as of which a majority of the relays of the domain knew of nothing newer.
    fn domain_as_of(&self, domain: &Domain, applied: Heads) -> Option<Time> {
        let mut times: Vec<Time> = domain
            .nodes()
            .filter_map(|node| latest_as_of(&self.relays.get(&node)?.vouched, applied))
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(domain.relays.len() / 2).copied()
    }

    fn record_newest(&mut self, now: Time, heads: Heads) {
        if !self.newest.covers(heads) {
            self.newest = self.newest.max(heads);
            self.outdated_since.get_or_insert(now);
        }
    }

    fn record_applied(&mut self) {
        let applied = self.applied();
        if applied.covers(self.newest) {
            self.newest = applied;
            self.outdated_since = None;
        }
    }

    fn can_track(&self, relay: NodeId) -> bool {
        self.relays.len() < MAX_TRACKED_RELAYS || self.relays.contains_key(&relay)
    }

    fn evict_stale(&mut self, oldest_valid: Time) {
        self.summaries
            .retain(|observation| observation.as_of >= oldest_valid);
        for observations in self.relays.values_mut() {
            observations
                .vouched
                .retain(|observation| observation.as_of >= oldest_valid);
            observations
                .platform
                .retain(|observation| observation.as_of >= oldest_valid);
        }
        self.relays
            .retain(|_, relay| !(relay.vouched.is_empty() && relay.platform.is_empty()));
    }
}

impl RelayObservations {
    fn latest(&self) -> Option<Time> {
        let all = self.vouched.iter().chain(&self.platform);
        all.map(|observation| observation.as_of).max()
    }

    fn report(&self, now: Time, relay: NodeId) -> Option<msg::Report> {
        let vouched = self
            .vouched
            .iter()
            .max_by_key(|observation| observation.as_of);
        let platform = self
            .platform
            .iter()
            .max_by_key(|observation| observation.as_of);
        let latest = vouched.or(platform)?;
        let platform = platform.filter(|observation| latest.heads.covers(observation.heads));
        let age_micros = |observation: &Observation| {
            let age = now.since(observation.as_of).as_micros();
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

/// Keeps the latest observation for each pair of revisions.
fn insert(list: &mut Vec<Observation>, observation: Observation) {
    let existing = list
        .iter_mut()
        .find(|other| other.heads == observation.heads);
    match existing {
        Some(other) => other.as_of = other.as_of.max(observation.as_of),
        None => list.push(observation),
    }
}

/// The latest time as of which nothing newer than `applied` was observed.
fn latest_as_of(list: &[Observation], applied: Heads) -> Option<Time> {
    list.iter()
        .filter(|observation| applied.covers(observation.heads))
        .map(|observation| observation.as_of)
        .max()
}
