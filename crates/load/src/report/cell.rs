//! Figures by workspace and class.

use cassiashunt_types::prelude::*;
use serde::Serialize;

use super::{Figures, Latency, count_f64, ratio};
use crate::{Outcome, Sample, experiment::WorkspaceOptions, share};

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

pub(super) fn workspace_shares(figures: &Figures<'_>) -> Vec<WorkspaceShare> {
    let workspaces = &figures.experiment.workspaces;
    let seconds = figures.phase.seconds;
    let own = |index: usize| {
        figures
            .sent
            .iter()
            .filter(move |m| m.sample.workspace == index)
    };
    let inside = |index: usize| own(index).filter(|m| m.conforms).count();
    let demands = (0..workspaces.len()).map(|index| count_f64(inside(index)) / seconds);
    let weights: Vec<_> = workspaces
        .iter()
        .map(|workspace| workspace.weight)
        .collect();
    let bound = figures.bound.goodput;
    let entitled = share::fair(&demands.collect::<Vec<_>>(), &weights, bound);
    let shares = (0..workspaces.len()).map(|index| {
        let goodput = count_f64(own(index).filter(|m| m.is_whole()).count()) / seconds;
        let refused = own(index).filter(|m| m.conforms && m.sample.outcome.is_refused());
        WorkspaceShare {
            workspace: workspaces[index].name,
            offered: count_f64(own(index).count()) / seconds,
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

pub(super) fn cells(figures: &Figures<'_>) -> Vec<Cell> {
    let workspaces = figures.experiment.workspaces.iter().enumerate();
    let kinds = 0..figures.experiment.requests.len();
    let pairs = workspaces.flat_map(|pair| kinds.clone().map(move |kind| (pair, kind)));
    pairs
        .map(|((index, workspace), kind)| {
            let samples = figures.sent.iter().map(|m| m.sample);
            let own = samples.filter(|s| s.workspace == index && s.kind == kind);
            cell(figures, workspace, kind, &own.collect::<Vec<_>>())
        })
        .collect()
}

fn cell(figures: &Figures<'_>, workspace: &WorkspaceOptions, kind: usize, own: &[&Sample]) -> Cell {
    let per_second = |count: usize| count_f64(count) / figures.phase.seconds;
    let whole = || own.iter().filter(|sample| sample.outcome == Outcome::Whole);
    let refused = own.iter().filter(|sample| sample.outcome.is_refused());
    let retries: u32 = own
        .iter()
        .map(|sample| sample.tries.saturating_sub(1))
        .sum();
    let kind = &figures.experiment.requests[kind];
    Cell {
        workspace: workspace.name,
        route: kind.route,
        class: kind.class,
        offered: per_second(own.len()),
        goodput: per_second(whole().count()),
        refused: per_second(refused.count()),
        retries_per_request: f64::from(retries) / count_f64(own.len().max(1)),
        latency: Latency::of(whole().map(|sample| sample.latency())),
    }
}
