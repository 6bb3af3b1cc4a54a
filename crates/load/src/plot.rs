//! Plots as SVG: goodput over time by class, latency over time, and each workspace's share.

use std::path::{Path, PathBuf};

use eyre::{WrapErr, eyre};
use plotters::{coord::Shift, prelude::*};

use crate::report::{Comparison, PhaseReport, Report, Window};

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// The font of all text; the viewer of the SVG supplies it.
const FONT: (&str, i32) = ("sans-serif", 14);
/// The area for the labels of an axis, in pixels.
const LABEL_AREA: u32 = 56;
/// The space around a plot, in pixels.
const MARGIN: u32 = 12;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes the plots of a comparison: two for the first run of each variant, and the shares.
///
/// # Errors
///
/// Fails where a file cannot be written.
pub fn write(comparison: &Comparison, out: &Path) -> eyre::Result<()> {
    for report in comparison
        .reports
        .iter()
        .filter(|report| report.repeat == 0)
    {
        let path = |what: &str| file(comparison, out, &format!("{}-{what}", report.variant));
        let title = |what: &str| format!("{}, {}: {what}", comparison.name, report.variant);
        let goodput = goodput_lines(report);
        lines(&path("goodput"), &title("whole answers a second"), &goodput)?;
        let latency = latency_lines(report);
        lines(
            &path("latency"),
            &title("latency of whole answers, ms"),
            &latency,
        )?;
    }
    let Some(first) = comparison.reports.first() else {
        return Ok(());
    };
    for phase in &first.phases {
        shares(
            comparison,
            phase,
            &file(comparison, out, &format!("{}-share", phase.phase)),
        )?;
    }
    Ok(())
}

fn file(comparison: &Comparison, out: &Path, what: &str) -> PathBuf {
    out.join(format!("{}-{what}.svg", comparison.name))
}

fn over_time(report: &Report, name: &str, figure: impl Fn(&Window) -> f64) -> Line {
    let points = report
        .windows
        .iter()
        .map(|window| (window.at, figure(window)));
    Line {
        name: name.into(),
        points: points.collect(),
    }
}

fn goodput_lines(report: &Report) -> Vec<Line> {
    let classes = report
        .windows
        .first()
        .into_iter()
        .flat_map(|window| window.goodput.keys());
    let by_class =
        classes.map(|class| over_time(report, class.as_str(), |window| window.goodput[class]));
    let all = over_time(report, "all", |window| window.goodput.values().sum());
    let offered = over_time(report, "offered", |window| window.offered);
    by_class.chain([all, offered]).collect()
}

fn latency_lines(report: &Report) -> Vec<Line> {
    vec![
        over_time(report, "p50", |window| window.latency.p50),
        over_time(report, "p90", |window| window.latency.p90),
        over_time(report, "p99", |window| window.latency.p99),
    ]
}

fn greatest(lines: &[Line], part: impl Fn(&(f64, f64)) -> f64) -> f64 {
    let points = lines.iter().flat_map(|line| &line.points);
    points.map(part).fold(1e-3, f64::max)
}

fn lines(path: &Path, title: &str, lines: &[Line]) -> eyre::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    draw_lines(&root, title, lines)
        .map_err(|err| eyre!("{err}"))
        .wrap_err_with(|| format!("cannot draw {}", path.display()))
}

fn draw_lines(
    root: &Area<'_>,
    title: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let width = greatest(lines, |point| point.0);
    let height = 1.05 * greatest(lines, |point| point.1);
    let mut chart = ChartBuilder::on(root)
        .caption(title, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .label_style(FONT)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let style = Palette99::pick(index).stroke_width(2);
        let series = LineSeries::new(line.points.iter().copied(), style);
        chart
            .draw_series(series)?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
    }
    let legend = WHITE.mix(0.8);
    chart
        .configure_series_labels()
        .background_style(legend)
        .label_font(FONT)
        .draw()?;
    root.present()?;
    Ok(())
}

fn shares(comparison: &Comparison, phase: &PhaseReport, path: &Path) -> eyre::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    draw_shares(&root, comparison, phase)
        .map_err(|err| eyre!("{err}"))
        .wrap_err_with(|| format!("cannot draw {}", path.display()))
}

/// The share of each workspace in a phase, in one group of bars per workspace.
fn draw_shares(
    root: &Area<'_>,
    comparison: &Comparison,
    phase: &PhaseReport,
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let variants = comparison.variants();
    let names: Vec<_> = phase
        .workspaces
        .iter()
        .map(|w| w.workspace.to_string())
        .collect();
    let rows: Vec<_> = variants
        .iter()
        .map(|v| share_row(comparison, v, &phase.phase))
        .collect();
    let height = rows.iter().flatten().copied().fold(1.0, f64::max) * 1.05;
    let title = format!(
        "{}, {}: goodput over entitled demand",
        comparison.name, phase.phase
    );
    let mut chart = ChartBuilder::on(root)
        .caption(title, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..f64::from(small(names.len())), 0.0..height)?;
    let name_at = |at: &f64| label_at(&names, *at);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * names.len() + 1)
        .x_label_formatter(&name_at)
        .label_style(FONT)
        .draw()?;
    let width = 0.8 / f64::from(small(rows.len()));
    for (index, row) in rows.iter().enumerate() {
        let style = Palette99::pick(index).filled();
        let bars = row.iter().enumerate().map(|(place, share)| {
            let left = f64::from(small(place)) + 0.1 + width * f64::from(small(index));
            Rectangle::new([(left, 0.0), (left + width * 0.9, *share)], style)
        });
        chart
            .draw_series(bars)?
            .label(variants[index])
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 16, y + 5)], style));
    }
    let legend = WHITE.mix(0.8);
    chart
        .configure_series_labels()
        .background_style(legend)
        .label_font(FONT)
        .draw()?;
    root.present()?;
    Ok(())
}

/// The median share of each workspace over a variant's runs.
fn share_row(comparison: &Comparison, variant: &str, phase: &str) -> Vec<f64> {
    let runs = comparison.of(variant).flat_map(|report| &report.phases);
    let runs: Vec<_> = runs.filter(|report| report.phase == phase).collect();
    let count = runs.first().map_or(0, |run| run.workspaces.len());
    let median = |index: usize| {
        let shares = runs.iter().map(|run| run.workspaces[index].share);
        crate::report::Spread::of(shares).map_or(0.0, |spread| spread.median)
    };
    (0..count).map(median).collect()
}

/// The name of the workspace whose group of bars has its middle here.
fn label_at(names: &[String], at: f64) -> String {
    let place = names
        .iter()
        .enumerate()
        .find(|(index, _)| (f64::from(small(*index)) + 0.5 - at).abs() < 0.01);
    place.map_or_else(String::new, |(_, name)| name.clone())
}

fn small(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
