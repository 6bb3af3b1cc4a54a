//! What clients and servers saw, and which promises it breaks.

use std::{
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

use crate::faults::Mix;

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The client got an answer.
    Answered {
        /// Its status.
        status: u16,
        /// A success has the whole body that belongs to the request.
        is_own: bool,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// No answer came long after the client's time.
    Silent,
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// The id of the attempt.
    pub attempt: String,
    /// The number of the node that it was sent to.
    pub node: usize,
    /// Its path.
    pub target: String,
    /// It may run once at most.
    pub is_write: bool,
    /// The key that came with it.
    pub key: String,
    /// When it was sent.
    pub began: Instant,
    /// The time that it had.
    pub limit: Duration,
    /// When its outcome was known.
    pub ended: Instant,
    /// Its outcome.
    pub outcome: Outcome,
}

impl Sent {
    /// Whether it was answered with success.
    #[must_use]
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { status: 200, .. })
    }
}

/// A run as its server saw it.
#[derive(Debug, Clone)]
pub struct Ran {
    /// The id of the attempt.
    pub attempt: String,
    /// The number of the node beside the server.
    pub node: usize,
    /// The path.
    pub target: String,
    /// The workspace that the node named; all of them, where there are several.
    pub workspace: String,
    /// The caller that the node named, likewise.
    pub caller: String,
    /// The key that the node passed on, likewise.
    pub key: String,
    /// When it began.
    pub at: Instant,
    /// How long the server worked on it.
    pub takes: Duration,
}

/// A planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// The number of the node.
    pub node: usize,
    /// When it was asked to stop.
    pub at: Instant,
}

/// What all clients and servers saw in one run.
#[derive(Debug, Clone)]
pub struct History {
    /// The faults that were played.
    pub mix: Mix,
    /// All requests.
    pub sent: Vec<Sent>,
    /// All runs.
    pub ran: Vec<Ran>,
    /// Keys that were withdrawn, and when that was acknowledged.
    pub withdrawn: Vec<(String, Instant)>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// How long a planned stop may take.
    pub grace: Duration,
    /// The services of the nodes' machines, by the node's number.
    pub services: Vec<&'static str>,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

/// A withdrawn key works no longer than this after the withdrawal's acknowledgement.
pub const WITHDRAWAL: Duration = Duration::from_secs(5);
/// Within it all nodes know of a server's end.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Sends of a request later than [`CONTACT`] after it ended its third server.
pub const MOST_LATER: usize = 3;
/// A request may cross the end of its connection, unread, for so long after its sending.
pub const CROSSING: Duration = Duration::from_millis(200);
/// A request that was sent so long after a stop began may be at a server at the stop's end.
pub const EARLY: Duration = Duration::from_secs(3);
/// The part of the path of requests under which servers end.
pub const CRASHING: &str = "/read/crashing";
/// The workspace of all keys.
pub const WORKSPACE: &str = "first-shop";

impl History {
    /// The promises that it breaks.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut runs: HashMap<&str, Vec<&Ran>> = HashMap::new();
        for ran in &self.ran {
            runs.entry(&ran.attempt).or_default().push(ran);
        }
        let of = |sent: &Sent| {
            runs.get(sent.attempt.as_str())
                .map_or(&[][..], Vec::as_slice)
        };
        let each = self.sent.iter().flat_map(|sent| {
            let ran = of(sent);
            [
                whole_and_own(sent, ran),
                at_most_once(sent, ran),
                honest(sent, ran),
                allowed(sent),
                self.withdrawn_in_time(sent, ran),
                self.not_cut_off(sent, ran),
                self.caller_is_true(sent, ran),
                self.route_is_kept(sent, ran),
                key_is_kept(sent, ran),
            ]
        });
        let mut found: Vec<_> = each.flatten().collect();
        found.extend(self.asked());
        found.extend(self.contained());
        found
    }

    /// Every run belongs to a request of a client, and names its workspace.
    fn asked(&self) -> Vec<Violation> {
        let sent: HashMap<_, _> = self.sent.iter().map(|it| (&it.attempt, it)).collect();
        let is_unasked = |ran: &&Ran| {
            let of = sent.get(&ran.attempt);
            of.is_none_or(|of| of.target != ran.target) || ran.workspace != WORKSPACE
        };
        let unasked = self.ran.iter().filter(is_unasked);
        unasked
            .map(|ran| violation("only what was asked runs", format!("{ran:?}")))
            .collect()
    }

    /// Servers are told the service of the machine that the request was sent to.
    fn caller_is_true(&self, sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
        let service = self.services[sent.node];
        let told = ran.iter().find(|it| it.caller != service)?;
        let what = format!("{:?}, not {service:?}: {sent:?}, {told:?}", told.caller);
        Some(violation(
            "the caller is the service where the request began",
            what,
        ))
    }

    /// The first part of a path names the service of its route.
    fn route_is_kept(&self, sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
        let service = sent.target.split('/').nth(1).unwrap_or_default();
        let astray = ran.iter().find(|it| self.services[it.node] != service)?;
        let what = format!("{}: {sent:?}, {astray:?}", self.services[astray.node]);
        Some(violation("requests run at their route's service", what))
    }

    /// No run with a key that was withdrawn before the request was sent.
    fn withdrawn_in_time(&self, sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
        let (_, at) = self.withdrawn.iter().find(|(key, _)| *key == sent.key)?;
        let is_late = sent.began > *at + WITHDRAWAL && !ran.is_empty();
        let after = sent.began.saturating_duration_since(*at);
        is_late.then(|| violation("withdrawn keys stop", format!("{after:?} later: {sent:?}")))
    }

    /// Planned work cuts nothing off.
    fn not_cut_off(&self, sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
        if !self.mix.is_planned() {
            return None;
        }
        let took = sent.ended.saturating_duration_since(sent.began);
        let is_cut = match sent.outcome {
            Outcome::Silent => true,
            Outcome::Broken => !ran.is_empty() || took > CROSSING,
            Outcome::Answered { status, .. } => matches!(status, 502 | 504),
        };
        let is_excused =
            self.mix.has_slow_servers() && (took >= sent.limit || self.is_outlasted(sent, ran));
        (is_cut && !is_excused).then(|| self.cut_off(sent, ran))
    }

    /// Whether a server was still at work in the last sixth of a stop's time: on a request that the
    /// stopping node took early in the stop, or, where servers may take longer than a whole stop, that
    /// was sent to another node before its server's node was asked to stop.
    fn is_outlasted(&self, sent: &Sent, ran: &[&Ran]) -> bool {
        let outlasts_stops = self.mix != Mix::Stops;
        self.stops.iter().any(|stop| {
            let (last_sixth, end) = (stop.at + self.grace * 5 / 6, stop.at + self.grace);
            let is_taken_early = stop.node == sent.node && sent.began <= stop.at + EARLY;
            let is_concerned = |it: &Ran| {
                is_taken_early || (outlasts_stops && stop.node == it.node && sent.began <= stop.at)
            };
            let is_at_work = |it: &Ran| it.at < end && it.at + it.takes > last_sixth;
            let mut ran = ran.iter();
            sent.ended > last_sixth && ran.any(|it| is_concerned(it) && is_at_work(it))
        })
    }

    fn cut_off(&self, sent: &Sent, ran: &[&Ran]) -> Violation {
        let before = self.stops.iter().filter(|it| it.at <= sent.ended);
        let since: Vec<_> = before
            .map(|it| (it.node, sent.ended.saturating_duration_since(it.at)))
            .filter(|(_, since)| *since < self.grace)
            .collect();
        let took = sent.ended.saturating_duration_since(sent.began);
        let what = format!("after {took:?}, stops: {since:?}, {sent:?}, {ran:?}");
        violation("planned work cuts nothing off", what)
    }

    /// Requests under which servers end are contained, where all nodes hear of each other.
    fn contained(&self) -> Option<Violation> {
        if matches!(self.mix, Mix::All | Mix::Foreign) {
            return None;
        }
        let crashes = self.ran.iter().filter(|it| it.target.contains(CRASHING));
        let mut at: Vec<_> = crashes.map(|ran| ran.at).collect();
        at.sort_unstable();
        let third = at.get(2)?;
        let later = at.iter().filter(|it| **it > *third + CONTACT).count();
        let what = || format!("{} servers ended, {later} of them late", at.len());
        (later > MOST_LATER).then(|| violation("crashing requests are contained", what()))
    }
}

fn violation(promise: &'static str, what: String) -> Violation {
    Violation { promise, what }
}

fn whole_and_own(sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
    let Outcome::Answered {
        status: 200..=299,
        is_own,
    } = sent.outcome
    else {
        return None;
    };
    let is_good = is_own && !ran.is_empty();
    (!is_good).then(|| violation("successes are whole and one's own", format!("{sent:?}")))
}

fn key_is_kept(sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
    let passed = ran.iter().find(|it| !it.key.is_empty())?;
    let what = format!("{:?}: {sent:?}", passed.key);
    Some(violation("keys are not passed on", what))
}

fn at_most_once(sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
    let is_twice = sent.is_write && ran.len() > 1;
    is_twice.then(|| violation("at most once", format!("{} runs: {sent:?}", ran.len())))
}

/// 429 and 503, and likewise 408 and 421, promise that the request never runs.
fn honest(sent: &Sent, ran: &[&Ran]) -> Option<Violation> {
    let Outcome::Answered { status, .. } = sent.outcome else {
        return None;
    };
    let is_promise = matches!(status, 408 | 421 | 429 | 503);
    let is_broken = is_promise && !ran.is_empty();
    is_broken.then(|| violation("what is said not to run does not", format!("{sent:?}")))
}

/// The lasting key and the routes are in every table.
fn allowed(sent: &Sent) -> Option<Violation> {
    let Outcome::Answered { status, .. } = sent.outcome else {
        return None;
    };
    let is_denied = sent.key == crate::keys::LASTING && matches!(status, 400 | 401 | 403 | 404);
    is_denied.then(|| violation("what every table allows is not denied", format!("{sent:?}")))
}
