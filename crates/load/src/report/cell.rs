//! Figures by workspace and class.

use cassiashunt_types::prelude::*;
use serde::Serialize;

use super::{Latency, Marked, count_f64, ratio};
use crate::{
    Experiment, Outcome, Sample,
    capacity::Capacity,
    experiment::{Phase, WorkspaceOptions},
    share,
};

/// What one workspace got in a phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WorkspaceShare {
    /// The workspace.
    pub workspace: Workspace,
    /// Requests a second that it sent.
    pub offered: f64,
    /// Requests a second that it is entitled to: those inside its rate, or its fair part of the
    /// capacity bound where that is less.
    pub entitled: f64,
    /// Whole answers a second that it got.
    pub goodput: f64,
    /// Goodput over entitled demand.
    pub share: f64,
    /// The share of its requests inside its rate that were refused.
    pub refused_inside_rate: f64,
}

/// The figures of one class of one workspace in a phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Cell {
    /// The workspace.
    pub workspace: Workspace,
    /// The route.
    pub route: Route,
    /// The class.
    pub class: Class,
    /// Requests a second that were offered.
    pub offered: f64,
    /// Whole answers a second.
    pub goodput: f64,
    /// Requests a second that were refused.
    pub refused: f64,
    /// Further tries per request.
    pub retries_per_request: f64,
    /// Latency of whole answers.
    pub latency: Latency,
}

pub(super) fn workspace_shares(
    experiment: &Experiment,
    phase: &Phase,
    capacity: Capacity,
    marked: &[&Marked<'_>],
) -> Vec<WorkspaceShare> {
    let own = |index: usize| marked.iter().filter(move |m| m.sample.workspace == index);
    let indexes = 0..experiment.workspaces.len();
    let inside = |index: usize| own(index).filter(|m| m.conforms).count();
    let demands: Vec<_> = indexes
        .clone()
        .map(|index| count_f64(inside(index)) / phase.seconds)
        .collect();
    let weights: Vec<_> = experiment
        .workspaces
        .iter()
        .map(|workspace| workspace.weight)
        .collect();
    let entitled = share::fair(&demands, &weights, capacity.per_second);
    let shares = indexes.map(|index| {
        let goodput = count_f64(own(index).filter(|m| m.is_whole()).count()) / phase.seconds;
        let refused = own(index).filter(|m| m.conforms && m.sample.outcome.is_refused());
        WorkspaceShare {
            workspace: experiment.workspaces[index].name,
            offered: count_f64(own(index).count()) / phase.seconds,
            entitled: entitled[index],
            goodput,
            share: if entitled[index] > 0.0 {
                goodput / entitled[index]
            } else {
                1.0
            },
            refused_inside_rate: ratio(refused.count(), inside(index)),
        }
    });
    shares.collect()
}

pub(super) fn cells(experiment: &Experiment, phase: &Phase, marked: &[&Marked<'_>]) -> Vec<Cell> {
    let workspaces = experiment.workspaces.iter().enumerate();
    let kinds = 0..experiment.requests.len();
    let pairs = workspaces.flat_map(|pair| kinds.clone().map(move |kind| (pair, kind)));
    pairs
        .map(|((index, workspace), kind)| {
            let is_own = |m: &&&Marked<'_>| m.sample.workspace == index && m.sample.kind == kind;
            let own: Vec<_> = marked.iter().filter(is_own).map(|m| m.sample).collect();
            cell(experiment, phase, workspace, kind, &own)
        })
        .collect()
}

fn cell(
    experiment: &Experiment,
    phase: &Phase,
    workspace: &WorkspaceOptions,
    kind: usize,
    own: &[&Sample],
) -> Cell {
    let per_second = |count: usize| count_f64(count) / phase.seconds;
    let whole = || own.iter().filter(|sample| sample.outcome == Outcome::Whole);
    let refused = own.iter().filter(|sample| sample.outcome.is_refused());
    let retries: u32 = own
        .iter()
        .map(|sample| sample.tries.saturating_sub(1))
        .sum();
    Cell {
        workspace: workspace.name,
        route: experiment.requests[kind].route,
        class: experiment.requests[kind].class,
        offered: per_second(own.len()),
        goodput: per_second(whole().count()),
        refused: per_second(refused.count()),
        retries_per_request: f64::from(retries) / count_f64(own.len().max(1)),
        latency: Latency::of(whole().map(|sample| sample.latency())),
    }
}
