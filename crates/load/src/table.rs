//! The report for a terminal.

use std::fmt::Write;

use crate::report::{Comparison, PhaseReport, Report, Spread};

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
        &format!("{runs} runs of each variant: median [least to greatest]"),
    );
    for phase in &first.phases {
        render_phase(&mut out, comparison, phase);
    }
    render_recoveries(&mut out, comparison);
    render_workspaces(&mut out, comparison);
    render_outcomes(&mut out, comparison);
    render_failed_faults(&mut out, comparison);
    out
}

fn line(out: &mut String, text: &str) {
    writeln!(out, "{}", text.trim_end()).expect("writing to a string does not fail");
}

/// A column of the phase tables.
struct Column {
    title: &'static str,
    decimals: usize,
    figure: fn(&PhaseReport) -> f64,
}

/// The columns of the phase tables.
const COLUMNS: [Column; 10] = [
    Column {
        title: "goodput/s",
        decimals: 0,
        figure: |phase| phase.goodput,
    },
    Column {
        title: "of bound %",
        decimals: 1,
        figure: |phase| 100.0 * bound_share(phase),
    },
    Column {
        title: "useful %",
        decimals: 1,
        figure: |phase| 100.0 * phase.useful_share,
    },
    Column {
        title: "protected %",
        decimals: 1,
        figure: |phase| 100.0 * phase.protected_whole,
    },
    Column {
        title: "worst ws %",
        decimals: 1,
        figure: |phase| 100.0 * phase.worst_share,
    },
    Column {
        title: "refused in %",
        decimals: 2,
        figure: |phase| 100.0 * phase.refused_inside_rate,
    },
    Column {
        title: "limited in %",
        decimals: 2,
        figure: |phase| 100.0 * phase.limited_inside_rate,
    },
    Column {
        title: "retries/req",
        decimals: 2,
        figure: |phase| phase.retries_per_request,
    },
    Column {
        title: "p50 ms",
        decimals: 1,
        figure: |phase| phase.latency.p50,
    },
    Column {
        title: "p99 ms",
        decimals: 1,
        figure: |phase| phase.latency.p99,
    },
];

/// Goodput over the lesser of the offered load and the capacity bound.
fn bound_share(phase: &PhaseReport) -> f64 {
    phase.goodput / phase.offered.min(phase.capacity.per_second)
}

fn render_phase(out: &mut String, comparison: &Comparison, phase: &PhaseReport) {
    line(out, "");
    let capacity = phase.capacity;
    line(
        out,
        &format!(
            "{}: {:.0} s, offered {:.0}/s, capacity bound {:.0}/s (set by {})",
            phase.phase, phase.seconds, phase.offered, capacity.per_second, capacity.bottleneck,
        ),
    );
    let titles = COLUMNS.iter().map(|column| format!("{:>22}", column.title));
    line(
        out,
        &format!("  {:<24}{}", "variant", titles.collect::<String>()),
    );
    for variant in comparison.variants() {
        let cells = COLUMNS.iter().map(|column| {
            let spread = comparison.spread(variant, &phase.phase, column.figure);
            format!("{:>22}", spread_text(spread, column.decimals))
        });
        line(
            out,
            &format!("  {variant:<24}{}", cells.collect::<String>()),
        );
    }
}

fn spread_text(spread: Option<Spread>, decimals: usize) -> String {
    let Some(spread) = spread else {
        return "-".into();
    };
    let Spread { median, min, max } = spread;
    if min == max {
        return format!("{median:.decimals$}");
    }
    format!("{median:.decimals$} [{min:.decimals$} to {max:.decimals$}]")
}

fn render_recoveries(out: &mut String, comparison: &Comparison) {
    let names = comparison
        .reports
        .iter()
        .flat_map(|report| &report.recoveries);
    let mut phases: Vec<_> = names.map(|recovery| recovery.phase.as_str()).collect();
    phases.dedup();
    phases.sort_unstable();
    phases.dedup();
    for phase in phases {
        line(out, "");
        line(
            out,
            &format!("time from the start of {phase} to 95% of the earlier goodput"),
        );
        for variant in comparison.variants() {
            let times = recovery_times(comparison, variant, phase);
            line(out, &format!("  {variant:<24}{times}"));
        }
    }
}

fn recovery_times(comparison: &Comparison, variant: &str, phase: &str) -> String {
    let recoveries = comparison.of(variant).flat_map(|report| &report.recoveries);
    let times: Vec<_> = recoveries
        .filter(|r| r.phase == phase)
        .map(|r| r.seconds)
        .collect();
    let never = times.iter().filter(|time| time.is_none()).count();
    let spread = Spread::of(times.iter().copied().flatten());
    let unit = if spread.is_some() { " s" } else { "" };
    let missing = match never {
        0 => String::new(),
        never => format!(", not within the phase in {never} of {} runs", times.len()),
    };
    format!("{}{unit}{missing}", spread_text(spread, 2))
}

fn render_workspaces(out: &mut String, comparison: &Comparison) {
    for (report, phase) in first_runs(comparison) {
        line(out, "");
        line(
            out,
            &format!("{}, {}: workspaces, first run", report.variant, phase.phase),
        );
        line(
            out,
            "  workspace                    offered/s  entitled/s   goodput/s   share %",
        );
        for workspace in &phase.workspaces {
            line(
                out,
                &format!(
                    "  {:<24}{:>14.1}{:>12.1}{:>12.1}{:>10.1}",
                    workspace.workspace,
                    workspace.offered,
                    workspace.entitled,
                    workspace.goodput,
                    100.0 * workspace.share,
                ),
            );
        }
    }
}

fn render_outcomes(out: &mut String, comparison: &Comparison) {
    for (report, phase) in first_runs(comparison) {
        line(out, "");
        line(
            out,
            &format!("{}, {}: outcomes, first run", report.variant, phase.phase),
        );
        for outcome in &phase.outcomes {
            line(
                out,
                &format!("  {:<36}{:>10}", outcome.outcome, outcome.count),
            );
        }
        let late = phase.lateness.p99;
        line(
            out,
            &format!("  {:<36}{late:>10.1}", "sent late, p99 in ms"),
        );
    }
}

fn first_runs(comparison: &Comparison) -> impl Iterator<Item = (&Report, &PhaseReport)> {
    let firsts = comparison
        .reports
        .iter()
        .filter(|report| report.repeat == 0);
    firsts.flat_map(|report| report.phases.iter().map(move |phase| (report, phase)))
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
