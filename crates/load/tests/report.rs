//! The figures of a run and how they are shown.

mod common;

use std::time::Duration;

use cassiashunt_load::{
    Outcome, Sample, plot,
    report::{Comparison, Report, Spread},
    table,
};
use cassiashunt_types::prelude::*;

fn comparison(samples: &[Sample]) -> Comparison {
    let experiment = common::experiment();
    let mut comparison = Comparison::new(&experiment);
    comparison
        .reports
        .push(Report::new(&experiment, &experiment.variants[0], samples));
    comparison
}

/// A server that stalls for a second while a request is due every 10 ms.
#[test]
fn a_stall_counts_for_every_request_that_was_due_in_it() {
    let late = |n: u64| Sample {
        sent: Duration::from_secs(1),
        ..common::whole(n * 10, 1_000)
    };
    let samples: Vec<_> = (0..100).map(late).collect();
    let report = &comparison(&samples).reports[0].phases[0];
    let from_sending = report.latency_from_sending;
    assert!(
        from_sending.max < 1.0,
        "counted from the sending, nobody waited"
    );

    assert!(
        (report.latency.p50 - 500.0).abs() < 15.0,
        "{:?}",
        report.latency
    );
    assert!(report.latency.max > 990.0);
    assert!(
        report.lateness.max > 990.0,
        "and the load tells that it was late itself"
    );
}

#[test]
fn goodput_counts_whole_answers_only_and_refusals_by_their_reason() {
    let outcomes = [
        Outcome::Whole,
        Outcome::NotRun(Some(Reason::Shed)),
        Outcome::NotRun(Some(Reason::OverLimit)),
        Outcome::MayHaveRun(Some(Reason::Lost)),
        Outcome::Corrupt,
        Outcome::TimedOut,
    ];
    let samples = outcomes.map(|outcome| Sample {
        outcome,
        tries: 2,
        ..common::whole(100, 200)
    });
    let phase = &comparison(&samples).reports[0].phases[0];
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(near(phase.goodput, 0.5) && near(phase.offered, 3.0));
    assert!(near(phase.refused_inside_rate, 2.0 / 6.0));
    assert!(near(phase.limited_inside_rate, 1.0 / 6.0));
    assert!(near(phase.retries_per_request, 1.0));
    let told: Vec<_> = phase
        .outcomes
        .iter()
        .map(|o| (o.outcome.as_str(), o.count))
        .collect();
    assert!(told.contains(&("not run: shed", 1)) && told.contains(&("may have run: lost", 1)));
    assert_eq!(told.len(), 6);
}

#[test]
fn refusals_over_the_rate_are_not_counted_as_inside_it() {
    let refused = Sample {
        outcome: Outcome::NotRun(Some(Reason::OverLimit)),
        workspace: 1,
        ..common::whole(0, 1)
    };
    let mut samples = vec![
        Sample {
            workspace: 1,
            ..common::whole(0, 1)
        };
        30
    ];
    samples.extend(vec![refused; 30]);
    let phase = &comparison(&samples).reports[0].phases[0];
    assert!(phase.limited_inside_rate < 1e-9);
    let share = &phase.workspaces[1];
    assert!((share.entitled - 15.0).abs() < 1e-9 && (share.share - 1.0).abs() < 1e-9);
}

#[test]
fn the_worst_served_workspace_is_the_one_with_the_least_share() {
    let mut samples = vec![common::whole(0, 1); 10];
    let small = Sample {
        workspace: 1,
        ..common::whole(0, 1)
    };
    let refused = Sample {
        outcome: Outcome::NotRun(Some(Reason::Shed)),
        ..small
    };
    samples.extend([small, refused, refused, refused]);
    let phase = &comparison(&samples).reports[0].phases[0];
    assert!((phase.worst_share - 0.25).abs() < 1e-9);
}

#[test]
fn a_spread_is_the_median_with_the_least_and_the_greatest() {
    let spread = Spread::of([3.0, 1.0, 2.0]).expect("there are figures");
    assert_eq!((spread.min, spread.median, spread.max), (1.0, 2.0, 3.0));
    let even = Spread::of([4.0, 1.0, 2.0, 3.0]).expect("there are figures");
    assert!((even.median - 2.5).abs() < 1e-9);
    assert_eq!(Spread::of([]), None);
}

#[test]
fn the_table_the_json_lines_and_the_plots_show_every_phase_and_variant() {
    let samples: Vec<_> = (0..200)
        .map(|n| common::whole(n * 10, n * 10 + 40))
        .collect();
    let comparison = comparison(&samples);
    let text = table::render(&comparison);
    for part in [
        "calm: 2 s, offered 100/s",
        "goodput bound 100/s",
        "set by leaf",
        "direct",
    ] {
        assert!(text.contains(part), "{part:?} is missing in\n{text}");
    }
    for line in comparison.json_lines().lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(value["record"].is_string() && value["variant"] == "direct");
    }
    let out = std::env::temp_dir().join(format!("cassiashunt-plots-{}", std::process::id()));
    std::fs::create_dir_all(&out).expect("the directory for temporary files is there");
    plot::write(&comparison, &out).expect("the plots can be drawn");
    for name in [
        "direct-goodput",
        "direct-latency",
        "calm-share",
        "busy-share",
    ] {
        let path = out.join(format!("small-{name}.svg"));
        let svg = std::fs::read_to_string(path).expect("the plot is there");
        assert!(svg.contains("<svg") && svg.contains("</svg>"));
    }
    std::fs::remove_dir_all(&out).expect("the directory is ours");
}

#[test]
fn an_empty_comparison_says_so() {
    let comparison = Comparison::new(&common::experiment());
    assert_eq!(table::render(&comparison), "small: no runs\n");
}
