//! The schedule of requests, fixed before a run begins.

use cassiashunt_types::prelude::*;

use crate::experiment::{Arrivals, Experiment, RequestKind};

/// One request that is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The intended time of sending, since the run began.
    pub at: Duration,
    /// The index of its phase.
    pub phase: usize,
    /// The index of its workspace.
    pub workspace: usize,
    /// The index of its kind.
    pub kind: usize,
}

/// The schedule of an experiment, in order of time. It depends on the seed and the file alone.
#[must_use]
pub fn schedule(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (phase, start) in experiment.phase_starts().into_iter().enumerate() {
        for workspace in 0..experiment.workspaces.len() {
            let seed = mix(seed, phase, workspace);
            let mut rng = fastrand::Rng::with_seed(seed);
            extend(
                &mut arrivals,
                experiment,
                &mut rng,
                (start, phase, workspace),
            );
        }
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.workspace, arrival.kind));
    arrivals
}

/// A seed of its own for each phase and workspace, so that a change to one leaves the others be.
fn mix(seed: u64, phase: usize, workspace: usize) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let base = rng.u64(..);
    let part = u64::try_from(phase * 65_536 + workspace).expect("indexes are small");
    base ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn extend(
    arrivals: &mut Vec<Arrival>,
    experiment: &Experiment,
    rng: &mut fastrand::Rng,
    (start, phase, workspace): (Duration, usize, usize),
) {
    let of = &experiment.phases[phase];
    let rate = experiment.offered_per_second(of, &experiment.workspaces[workspace]);
    let mut at = first_gap(experiment.arrivals, rate, rng);
    while at < of.seconds {
        arrivals.push(Arrival {
            at: start + Duration::from_secs_f64(at),
            phase,
            workspace,
            kind: draw_kind(&experiment.requests, rng),
        });
        at += gap(experiment.arrivals, rate, rng);
    }
}

fn first_gap(arrivals: Arrivals, rate: f64, rng: &mut fastrand::Rng) -> f64 {
    match arrivals {
        Arrivals::Poisson => gap(arrivals, rate, rng),
        Arrivals::Even => rng.f64() / rate,
    }
}

fn gap(arrivals: Arrivals, rate: f64, rng: &mut fastrand::Rng) -> f64 {
    match arrivals {
        Arrivals::Poisson => -(1.0 - rng.f64()).ln() / rate,
        Arrivals::Even => 1.0 / rate,
    }
}

fn draw_kind(kinds: &[RequestKind], rng: &mut fastrand::Rng) -> usize {
    let total: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut left = rng.f64() * total;
    for (index, kind) in kinds.iter().enumerate() {
        left -= kind.share;
        if left < 0.0 {
            return index;
        }
    }
    kinds.len() - 1
}
