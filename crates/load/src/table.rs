//! The report for a terminal.

use std::fmt::Write;

use crate::{
    history::History,
    report::{Comparison, PhaseReport, Recovery, Spread},
};

/// Rows of cells, the first of which are the titles.
type Rows = Vec<Vec<String>>;

/// Renders the whole comparison.
#[must_use]
pub fn render(comparison: &Comparison) -> String {
    let mut out = String::new();
    let Some(first) = comparison.reports.first() else {
        return format!("{}: no runs\n", comparison.name);
    };
    let runs = comparison.of(&first.variant).count();
    line(
        &mut out,
        &format!("experiment {}, seed {}", comparison.name, comparison.seed),
    );
    line(
        &mut out,
        &format!("runs of each variant: {runs}; median [least to greatest]"),
    );
    for phase in &first.phases {
        render_phase(&mut out, comparison, phase);
    }
    render_recoveries(&mut out, comparison);
    for phase in &first.phases {
        title(
            &mut out,
            &format!(
                "{}: goodput of each workspace, % of its entitled demand",
                phase.phase
            ),
        );
        render_rows(&mut out, &workspace_rows(comparison, phase));
    }
    for phase in &first.phases {
        title(
            &mut out,
            &format!("{}: outcomes of requests, all runs", phase.phase),
        );
        render_rows(&mut out, &outcome_rows(comparison, phase));
    }
    title(
        &mut out,
        "what callers were told against what servers ran, the worst of all runs",
    );
    render_rows(&mut out, &history_rows(comparison));
    render_failed_faults(&mut out, comparison);
    out
}

fn line(out: &mut String, text: &str) {
    writeln!(out, "{}", text.trim_end()).expect("writing to a string does not fail");
}

fn title(out: &mut String, text: &str) {
    line(out, "");
    line(out, text);
}

/// Writes rows with each column as wide as its widest cell; the first column is set left.
fn render_rows(out: &mut String, rows: &Rows) {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .enumerate()
            .map(|(column, (cell, width))| {
                if column == 0 {
                    format!("  {cell:<width$}")
                } else {
                    format!("  {cell:>width$}")
                }
            });
        line(out, &cells.collect::<String>());
    }
}

/// A column of the phase tables.
struct Column {
    title: &'static str,
    decimals: usize,
    figure: fn(&PhaseReport) -> Option<f64>,
}

const fn column(
    title: &'static str,
    decimals: usize,
    figure: fn(&PhaseReport) -> Option<f64>,
) -> Column {
    Column {
        title,
        decimals,
        figure,
    }
}

/// The columns of the phase tables.
const COLUMNS: [Column; 10] = [
    column("goodput/s", 0, |phase| Some(phase.goodput)),
    column("of bound %", 1, |phase| percent(bound_share(phase))),
    column("useful %", 1, |phase| percent(phase.useful_share)),
    column("protected %", 1, |phase| {
        phase.protected_whole.and_then(percent)
    }),
    column("worst ws %", 1, |phase| percent(phase.worst_share)),
    column("refused in %", 2, |phase| {
        percent(phase.refused_inside_rate)
    }),
    column("limited in %", 2, |phase| {
        percent(phase.limited_inside_rate)
    }),
    column("retries/req", 2, |phase| Some(phase.retries_per_request)),
    column("p50 ms", 2, |phase| Some(phase.latency.p50)),
    column("p99 ms", 2, |phase| Some(phase.latency.p99)),
];

#[expect(clippy::unnecessary_wraps, reason = "a column's figure may be missing")]
fn percent(share: f64) -> Option<f64> {
    Some(100.0 * share)
}

fn bound_share(phase: &PhaseReport) -> f64 {
    phase.goodput / phase.bound.goodput
}

fn render_phase(out: &mut String, comparison: &Comparison, phase: &PhaseReport) {
    let capacity = phase.bound.capacity;
    let text = format!(
        "{}: {:.0} s, offered {:.0}/s, goodput bound {:.0}/s, capacity at this mix {:.0}/s (set by {})",
        phase.phase,
        phase.seconds,
        phase.offered,
        phase.bound.goodput,
        capacity.per_second,
        capacity.bottleneck,
    );
    title(out, &text);
    let titles = COLUMNS.iter().map(|column| column.title.to_owned());
    let mut rows = vec![
        std::iter::once("variant".to_owned())
            .chain(titles)
            .collect(),
    ];
    for variant in comparison.variants() {
        let cells = COLUMNS.iter().map(|column| {
            let spread = comparison.spread(variant, &phase.phase, column.figure);
            spread_text(spread, column.decimals)
        });
        rows.push(std::iter::once(variant.to_owned()).chain(cells).collect());
    }
    render_rows(out, &rows);
}

fn spread_text(spread: Option<Spread>, decimals: usize) -> String {
    let Some(Spread { median, min, max }) = spread else {
        return "-".into();
    };
    let [median, min, max] = [median, min, max].map(|figure| format!("{figure:.decimals$}"));
    if min == max {
        return median;
    }
    format!("{median} [{min} to {max}]")
}

fn render_recoveries(out: &mut String, comparison: &Comparison) {
    let Some(first) = comparison.reports.first() else {
        return;
    };
    for recovery in &first.recoveries {
        let phase = &recovery.phase;
        title(
            out,
            &format!("seconds from the start of {phase} to 95% of the earlier goodput"),
        );
        let titles = [
            "variant",
            "of answers that come",
            "of requests sent from then on",
        ];
        let mut rows = vec![titles.map(str::to_owned).to_vec()];
        for variant in comparison.variants() {
            let answers = recovery_times(comparison, variant, phase, |r| r.answers_seconds);
            let requests = recovery_times(comparison, variant, phase, |r| r.requests_seconds);
            rows.push(vec![variant.to_owned(), answers, requests]);
        }
        render_rows(out, &rows);
    }
}

fn recovery_times(
    comparison: &Comparison,
    variant: &str,
    phase: &str,
    time: impl Fn(&Recovery) -> Option<f64>,
) -> String {
    let recoveries = comparison.of(variant).flat_map(|report| &report.recoveries);
    let times: Vec<_> = recoveries.filter(|r| r.phase == phase).map(time).collect();
    let never = times.iter().filter(|time| time.is_none()).count();
    let spread = spread_text(Spread::of(times.iter().copied().flatten()), 2);
    match never {
        0 => spread,
        never => format!(
            "{spread}, not in the phase in {never} of {} runs",
            times.len()
        ),
    }
}

fn workspace_rows(comparison: &Comparison, phase: &PhaseReport) -> Rows {
    let variants = comparison.variants();
    let fixed = ["workspace", "offered/s", "entitled/s"].map(str::to_owned);
    let names = variants.iter().map(|variant| (*variant).to_owned());
    let mut rows = vec![fixed.into_iter().chain(names).collect()];
    for (index, workspace) in phase.workspaces.iter().enumerate() {
        let shares = variants.iter().map(|variant| {
            let share = |phase: &PhaseReport| percent(phase.workspaces[index].share);
            spread_text(comparison.spread(variant, &phase.phase, share), 1)
        });
        let fixed = [
            workspace.workspace.to_string(),
            format!("{:.1}", workspace.offered),
            format!("{:.1}", workspace.entitled),
        ];
        rows.push(fixed.into_iter().chain(shares).collect());
    }
    rows
}

fn outcome_rows(comparison: &Comparison, phase: &PhaseReport) -> Rows {
    let variants = comparison.variants();
    let of_phase = |variant| {
        let phases = comparison.of(variant).flat_map(|report| &report.phases);
        phases.filter(|report| report.phase == phase.phase)
    };
    let all = variants
        .iter()
        .flat_map(|variant| of_phase(variant))
        .flat_map(|p| &p.outcomes);
    let mut names: Vec<_> = all.map(|outcome| outcome.outcome.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    let titles = variants.iter().map(|variant| (*variant).to_owned());
    let mut rows = vec![
        std::iter::once("outcome".to_owned())
            .chain(titles)
            .collect(),
    ];
    for name in names {
        let counts = variants.iter().map(|variant| {
            let outcomes = of_phase(variant).flat_map(|report| &report.outcomes);
            let counts = outcomes.filter(|outcome| outcome.outcome == name);
            counts.map(|outcome| outcome.count).sum::<u64>().to_string()
        });
        rows.push(std::iter::once(name.to_owned()).chain(counts).collect());
    }
    rows.push(phase_row(comparison, phase, "sent late, p99 ms", |p| {
        p.lateness.p99
    }));
    let from_sending = |p: &PhaseReport| p.latency_from_sending.p99;
    rows.push(phase_row(
        comparison,
        phase,
        "first tries from sending, p99 ms",
        from_sending,
    ));
    rows
}

fn phase_row(
    comparison: &Comparison,
    phase: &PhaseReport,
    name: &str,
    figure: impl Fn(&PhaseReport) -> f64,
) -> Vec<String> {
    let cells = comparison.variants().into_iter().map(|variant| {
        let spread = comparison.spread(variant, &phase.phase, |phase| Some(figure(phase)));
        spread_text(spread, 2)
    });
    std::iter::once(name.to_owned()).chain(cells).collect()
}

fn history_rows(comparison: &Comparison) -> Rows {
    let titles = [
        "variant",
        "wasted runs %",
        "ran again",
        "ran though refused",
        "wrong workspace",
        "most runs at one path",
    ];
    let mut rows = vec![titles.map(str::to_owned).to_vec()];
    for variant in comparison.variants() {
        let histories = || comparison.of(variant).map(|report| report.history);
        let most =
            |figure: fn(History) -> u64| histories().map(figure).max().unwrap_or(0).to_string();
        let wasted = histories()
            .map(|history| history.wasted)
            .fold(0.0, f64::max);
        rows.push(vec![
            variant.to_owned(),
            format!("{:.1}", 100.0 * wasted),
            most(|history| history.ran_again),
            most(|history| history.ran_though_refused),
            most(|history| history.wrong_workspace),
            most(|history| history.most_runs),
        ]);
    }
    rows
}

fn render_failed_faults(out: &mut String, comparison: &Comparison) {
    for report in &comparison.reports {
        for fault in &report.faults_failed {
            line(
                out,
                &format!("{}: a fault could not be applied: {fault}", report.variant),
            );
        }
    }
}
