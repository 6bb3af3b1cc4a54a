//! The figures of a run, worked out from its samples alone.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    Experiment, Outcome, Sample,
    capacity::{Condition, PhaseBound},
    experiment::{Phase, Role, Variant},
    history::History,
    recovery::{self, Series},
    share,
};

mod cell;
mod compare;

pub use cell::{Cell, WorkspaceShare};
pub use compare::{Comparison, Spread};

/// The longest latency that is told apart, in microseconds.
const LATENCY_MAX_MICROS: u64 = 600_000_000;
/// The significant decimal digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// Latencies in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// 90 in 100.
    pub p90: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1,000.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Latency {
    /// The percentiles of some latencies; zeros where there are none.
    #[must_use]
    pub fn of(latencies: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_MICROS, LATENCY_DIGITS)
                .expect("the bounds and digits are in the histogram's range");
        for latency in latencies {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros.max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let at = |quantile| to_f64(histogram.value_at_quantile(quantile)) / 1_000.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: to_f64(histogram.max()) / 1_000.0,
        }
    }
}

/// How many requests ended in one way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OutcomeCount {
    /// The outcome's name.
    pub outcome: String,
    /// The requests.
    pub count: u64,
}

/// The figures of one phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PhaseReport {
    /// The phase.
    pub phase: String,
    /// Its length in seconds.
    pub seconds: f64,
    /// Requests a second that were offered.
    pub offered: f64,
    /// Whole answers a second that came during the phase.
    pub goodput: f64,
    /// The computed bounds on whole answers a second.
    pub bound: PhaseBound,
    /// The share of the requests sent in the phase that were answered whole.
    pub whole: f64,
    /// The slot time that the whole answers of the phase took, as a share of the slots of the
    /// service where it is the greatest; a value above 1 has its slots taken in an earlier phase.
    pub useful_share: f64,
    /// The share of protected requests that were answered whole; `None` where there were none.
    pub protected_whole: Option<f64>,
    /// Every outcome and its count.
    pub outcomes: Vec<OutcomeCount>,
    /// Further tries per request.
    pub retries_per_request: f64,
    /// Latency of whole answers.
    pub latency: Latency,
    /// Latency of whole answers that came at the first try, from its actual sending: without the
    /// load's own lateness, and therefore blind to stalls.
    pub latency_from_sending: Latency,
    /// Latency of refusals.
    pub refusal_latency: Latency,
    /// How late requests were sent; where it is long, the load itself was the bottleneck.
    pub lateness: Latency,
    /// The share of requests inside their workspace's rate that were refused for any reason.
    pub refused_inside_rate: f64,
    /// The share of requests inside their workspace's rate that a limit refused.
    pub limited_inside_rate: f64,
    /// The least goodput over entitled demand of a workspace.
    pub worst_share: f64,
    /// What each workspace got.
    pub workspaces: Vec<WorkspaceShare>,
    /// The figures by class and workspace.
    pub cells: Vec<Cell>,
}

/// How long goodput took to come back.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Recovery {
    /// The phase that begins when the cause has ended.
    pub phase: String,
    /// The goodput before the cause, in whole answers a second.
    pub before: f64,
    /// The seconds until whole answers came at 95% of that; `None` where they did not within the
    /// phase. A backlog that is worked off counts here.
    pub answers_seconds: Option<f64>,
    /// The seconds until whole answers were given, sooner or later, to requests sent from then on
    /// at 95% of that; `None` where they were not within the phase.
    pub requests_seconds: Option<f64>,
}

/// The figures of one window of time.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Window {
    /// Its start, in seconds since the run began.
    pub at: f64,
    /// Requests a second whose intended time falls into it.
    pub offered: f64,
    /// Whole answers a second that came in it, by class.
    pub goodput: BTreeMap<Class, f64>,
    /// Latency of the whole answers that came in it.
    pub latency: Latency,
}

/// The figures of one run of one variant.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// The variant.
    pub variant: String,
    /// The number of the repeat.
    pub repeat: u32,
    /// Its phases.
    pub phases: Vec<PhaseReport>,
    /// Its recoveries.
    pub recoveries: Vec<Recovery>,
    /// Its figures over time.
    pub windows: Vec<Window>,
    /// What the callers were told against what the servers ran.
    pub history: History,
    /// Faults that could not be applied, with the reason.
    pub faults_failed: Vec<String>,
}

impl Report {
    /// Works out the figures of a run.
    #[must_use]
    pub fn new(experiment: &Experiment, variant: &Variant, samples: &[Sample]) -> Self {
        let marked = Marked::mark(experiment, samples);
        let bounds = experiment.phase_bounds(&entitled_demands(experiment, &marked));
        let starts = experiment.phase_starts();
        let phases = experiment.phases.iter().enumerate().map(|(index, phase)| {
            let end = starts[index] + Duration::from_secs_f64(phase.seconds);
            let came = |sample: &&Sample| (starts[index]..end).contains(&sample.ended);
            let whole = samples
                .iter()
                .filter(|sample| sample.outcome == Outcome::Whole);
            let figures = Figures {
                experiment,
                phase,
                bound: bounds[index],
                sent: marked.iter().filter(|m| m.sample.phase == index).collect(),
                came: whole.filter(came).collect(),
            };
            figures.report()
        });
        Self {
            variant: variant.name.clone(),
            repeat: 0,
            phases: phases.collect(),
            recoveries: recoveries(experiment, samples),
            windows: windows(experiment, samples),
            history: History::default(),
            faults_failed: Vec::new(),
        }
    }
}

/// A sample, and whether it stayed inside its workspace's rate.
struct Marked<'a> {
    sample: &'a Sample,
    conforms: bool,
}

impl<'a> Marked<'a> {
    fn mark(experiment: &Experiment, samples: &'a [Sample]) -> Vec<Self> {
        let mut marked = Vec::with_capacity(samples.len());
        for (index, workspace) in experiment.workspaces.iter().enumerate() {
            let mut own: Vec<_> = samples.iter().filter(|s| s.workspace == index).collect();
            own.sort_by_key(|sample| sample.intended);
            let times: Vec<_> = own.iter().map(|sample| sample.intended).collect();
            let conforms = share::conforming(&times, workspace.rate, workspace.burst);
            let pairs = own.into_iter().zip(conforms);
            marked.extend(pairs.map(|(sample, conforms)| Self { sample, conforms }));
        }
        marked
    }

    fn is_whole(&self) -> bool {
        self.sample.outcome == Outcome::Whole
    }
}

/// The requests a second that stayed inside their workspaces' rates, by phase and kind.
fn entitled_demands(experiment: &Experiment, marked: &[Marked<'_>]) -> Vec<Vec<f64>> {
    let mut demands = vec![vec![0.0; experiment.requests.len()]; experiment.phases.len()];
    for sample in marked.iter().filter(|m| m.conforms).map(|m| m.sample) {
        demands[sample.phase][sample.kind] += 1.0 / experiment.phases[sample.phase].seconds;
    }
    demands
}

/// What the figures of one phase are worked out from.
struct Figures<'a> {
    experiment: &'a Experiment,
    phase: &'a Phase,
    bound: PhaseBound,
    /// The requests whose intended time is in the phase.
    sent: Vec<&'a Marked<'a>>,
    /// The whole answers that came in the phase.
    came: Vec<&'a Sample>,
}

impl Figures<'_> {
    fn report(&self) -> PhaseReport {
        let seconds = self.phase.seconds;
        let whole = || self.sent.iter().filter(|m| m.is_whole());
        let refused = self.sent.iter().filter(|m| m.sample.outcome.is_refused());
        let tries = self
            .sent
            .iter()
            .map(|m| u64::from(m.sample.tries.saturating_sub(1)));
        let first_try = whole().filter(|m| m.sample.tries == 1);
        let workspaces = cell::workspace_shares(self);
        let shares = workspaces.iter().map(|workspace| workspace.share);
        PhaseReport {
            phase: self.phase.name.clone(),
            seconds,
            offered: count_f64(self.sent.len()) / seconds,
            goodput: count_f64(self.came.len()) / seconds,
            bound: self.bound,
            whole: ratio(whole().count(), self.sent.len()),
            useful_share: self.useful_share(),
            protected_whole: self.protected_whole(),
            outcomes: outcomes(&self.sent),
            retries_per_request: to_f64(tries.sum()) / count_f64(self.sent.len().max(1)),
            latency: Latency::of(whole().map(|m| m.sample.latency())),
            latency_from_sending: Latency::of(first_try.map(|m| m.sample.from_sending())),
            refusal_latency: Latency::of(refused.map(|m| m.sample.latency())),
            lateness: Latency::of(self.sent.iter().map(|m| m.sample.lateness())),
            refused_inside_rate: self.share_inside(Outcome::is_refused),
            limited_inside_rate: self.share_inside(Outcome::is_over_limit),
            worst_share: shares.fold(f64::INFINITY, f64::min),
            workspaces,
            cells: cell::cells(self),
        }
    }

    fn share_inside(&self, is: impl Fn(Outcome) -> bool) -> f64 {
        let inside = || self.sent.iter().filter(|m| m.conforms);
        ratio(
            inside().filter(|m| is(m.sample.outcome)).count(),
            inside().count(),
        )
    }

    fn protected_whole(&self) -> Option<f64> {
        let is_protected = |m: &&&Marked<'_>| self.experiment.requests[m.sample.kind].protected;
        let protected = || self.sent.iter().filter(is_protected);
        let whole = protected().filter(|m| m.is_whole()).count();
        let count = protected().count();
        (count > 0).then(|| ratio(whole, count))
    }

    fn useful_share(&self) -> f64 {
        let sound = Condition::sound(self.experiment);
        let kinds = 0..self.experiment.requests.len();
        let holds: Vec<_> = kinds
            .map(|kind| self.experiment.holds(kind, &sound))
            .collect();
        let mut used: BTreeMap<Service, f64> = BTreeMap::new();
        for sample in &self.came {
            for (service, hold) in &holds[sample.kind] {
                *used.entry(*service).or_default() += hold;
            }
        }
        let shares = self.experiment.services.iter().map(|service| {
            let slots = count_f64(service.servers * service.slots) * self.phase.seconds;
            used.get(&service.name).map_or(0.0, |used| used / slots)
        });
        shares.fold(0.0, f64::max)
    }
}

fn outcomes(marked: &[&Marked<'_>]) -> Vec<OutcomeCount> {
    let mut counts: BTreeMap<Outcome, u64> = BTreeMap::new();
    for m in marked {
        *counts.entry(m.sample.outcome).or_default() += 1;
    }
    let named = counts.into_iter().map(|(outcome, count)| OutcomeCount {
        outcome: outcome.name(),
        count,
    });
    named.collect()
}

/// A recovery per phase of that role, against the last baseline before it.
fn recoveries(experiment: &Experiment, samples: &[Sample]) -> Vec<Recovery> {
    let whole = || {
        samples
            .iter()
            .filter(|sample| sample.outcome == Outcome::Whole)
    };
    let window = Duration::from_millis(experiment.client.window_ms);
    let series = |times: Vec<Duration>| Series::count(window, experiment.length(), times);
    let answers = series(whole().map(|sample| sample.ended).collect());
    let requests = series(whole().map(|sample| sample.intended).collect());
    let mut baseline: Option<Baseline> = None;
    let mut recoveries = Vec::new();
    for (phase, start) in experiment.phases.iter().zip(experiment.phase_starts()) {
        let end = start + Duration::from_secs_f64(phase.seconds);
        match (phase.role, baseline) {
            (Role::Baseline, _) => {
                baseline = Some(Baseline {
                    demand: phase.demand,
                    answers: answers.per_second(start, end),
                    requests: requests.per_second(start, end),
                });
            }
            (Role::Recovery, Some(baseline)) => {
                let scale = (phase.demand / baseline.demand).min(1.0);
                let time = |series: &Series, before: f64| {
                    let options = recovery::Options::default();
                    let time = series.recovery(start, end, before * scale, &options);
                    time.map(|time| time.as_secs_f64())
                };
                recoveries.push(Recovery {
                    phase: phase.name.clone(),
                    before: baseline.answers * scale,
                    answers_seconds: time(&answers, baseline.answers),
                    requests_seconds: time(&requests, baseline.requests),
                });
            }
            _ => {}
        }
    }
    recoveries
}

/// The goodput before a cause.
#[derive(Clone, Copy)]
struct Baseline {
    demand: f64,
    answers: f64,
    requests: f64,
}

fn windows(experiment: &Experiment, samples: &[Sample]) -> Vec<Window> {
    let window = Duration::from_millis(experiment.client.window_ms);
    let index = |at: Duration| usize::try_from(at.as_nanos() / window.as_nanos()).unwrap_or(0);
    let count = index(experiment.length().saturating_sub(Duration::from_nanos(1))) + 1;
    let mut offered = vec![0_u32; count];
    let mut whole: Vec<Vec<&Sample>> = vec![Vec::new(); count];
    for sample in samples {
        offered
            .get_mut(index(sample.intended))
            .into_iter()
            .for_each(|count| *count += 1);
        if sample.outcome == Outcome::Whole {
            whole
                .get_mut(index(sample.ended))
                .into_iter()
                .for_each(|list| list.push(sample));
        }
    }
    let pairs = offered.into_iter().zip(whole).enumerate();
    pairs
        .map(|(index, (offered, whole))| {
            let seconds = window.as_secs_f64();
            let mut goodput: BTreeMap<Class, f64> = BTreeMap::new();
            for kind in &experiment.requests {
                goodput.insert(kind.class, 0.0);
            }
            for sample in &whole {
                let class = experiment.requests[sample.kind].class;
                *goodput.entry(class).or_default() += 1.0 / seconds;
            }
            Window {
                at: count_f64(index) * seconds,
                offered: f64::from(offered) / seconds,
                goodput,
                latency: Latency::of(whole.iter().map(|sample| sample.latency())),
            }
        })
        .collect()
}

fn ratio(part: usize, whole: usize) -> f64 {
    if whole == 0 {
        0.0
    } else {
        count_f64(part) / count_f64(whole)
    }
}

fn count_f64(count: usize) -> f64 {
    to_f64(u64::try_from(count).unwrap_or(u64::MAX))
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
