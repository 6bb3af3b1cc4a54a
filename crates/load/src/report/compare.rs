//! Several runs side by side.

use serde::Serialize;
use serde_json::{Value, json};

use super::{PhaseReport, Report};
use crate::Experiment;

/// The runs of an experiment's variants.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Comparison {
    /// The experiment.
    pub name: String,
    /// The seed of the first repeat.
    pub seed: u64,
    /// Every run, in the order that they were made.
    pub reports: Vec<Report>,
}

/// The median of repeated runs, with the least and the greatest.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Spread {
    /// The median; the mean of the two in the middle where the number is even.
    pub median: f64,
    /// The least.
    pub min: f64,
    /// The greatest.
    pub max: f64,
}

impl Spread {
    /// The spread of some figures; `None` where there are none.
    #[must_use]
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut sorted: Vec<_> = figures.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let last = sorted.len().checked_sub(1)?;
        Some(Self {
            median: f64::midpoint(sorted[last / 2], sorted[last.div_ceil(2)]),
            min: sorted[0],
            max: sorted[last],
        })
    }
}

impl Comparison {
    /// A comparison without runs.
    #[must_use]
    pub fn new(experiment: &Experiment) -> Self {
        Self {
            name: experiment.name.clone(),
            seed: experiment.seed,
            reports: Vec::new(),
        }
    }

    /// The names of the variants, in the order of their first runs.
    #[must_use]
    pub fn variants(&self) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for report in &self.reports {
            if !names.contains(&report.variant.as_str()) {
                names.push(&report.variant);
            }
        }
        names
    }

    /// The runs of a variant.
    pub fn of<'a>(&'a self, variant: &'a str) -> impl Iterator<Item = &'a Report> + 'a {
        self.reports
            .iter()
            .filter(move |report| report.variant == variant)
    }

    /// The spread of a figure of a phase over a variant's runs.
    #[must_use]
    pub fn spread(
        &self,
        variant: &str,
        phase: &str,
        figure: impl Fn(&PhaseReport) -> Option<f64>,
    ) -> Option<Spread> {
        let phases = self.of(variant).flat_map(|report| &report.phases);
        Spread::of(
            phases
                .filter(|report| report.phase == phase)
                .filter_map(figure),
        )
    }

    /// One JSON object a line: a run's phases, recoveries and windows, each named by `record`.
    #[must_use]
    pub fn json_lines(&self) -> String {
        let lines = self
            .reports
            .iter()
            .flat_map(|report| lines_of(&self.name, report));
        lines.map(|line| format!("{line}\n")).collect()
    }
}

fn lines_of(experiment: &str, report: &Report) -> Vec<Value> {
    let line = |record: &str, value: Value| {
        json!({
            "record": record,
            "experiment": experiment,
            "variant": report.variant,
            "repeat": report.repeat,
            "value": value,
        })
    };
    let phases = report
        .phases
        .iter()
        .map(|phase| line("phase", json!(phase)));
    let recoveries = report
        .recoveries
        .iter()
        .map(|recovery| line("recovery", json!(recovery)));
    let windows = report
        .windows
        .iter()
        .map(|window| line("window", json!(window)));
    let failed = report
        .faults_failed
        .iter()
        .map(|fault| line("fault-failed", json!(fault)));
    let history = std::iter::once(line("history", json!(report.history)));
    phases
        .chain(recoveries)
        .chain(history)
        .chain(windows)
        .chain(failed)
        .collect()
}
