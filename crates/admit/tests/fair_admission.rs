//! Who is admitted in a shortage, and who comes back when, in virtual time.

mod replay;

use cassiashunt_admit::{
    Priority,
    fair_admission::{Arrival, FairAdmission, Options},
    returns::Returns,
};
use cassiashunt_types::prelude::*;
use replay::{LIMIT, Outcome, Stream, Tally, Way, play};

const SEEDS: std::ops::Range<u64> = 1..9;

fn before() -> Way {
    Way::Before
}

fn delay_only() -> Way {
    Way::Fair(Options {
        max_debt: 0.0,
        by_workspace: false,
        ..Options::default()
    })
}

fn fair() -> Way {
    Way::Fair(Options::default())
}

/// All runs of a way together.
fn runs(way: Way, slots: f64, streams: &[Stream], length_s: u64) -> Vec<Outcome> {
    let length = Duration::from_secs(length_s);
    SEEDS
        .map(|seed| play(way, slots, streams, length, seed))
        .collect()
}

fn sum(runs: &[Outcome], stream: usize) -> Tally {
    let mut sum = Tally::default();
    for run in runs {
        let tally = &run.tallies[stream];
        sum.sent += tally.sent;
        sum.in_time += tally.in_time;
        sum.late += tally.late;
        sum.refused_twice += tally.refused_twice;
    }
    sum
}

fn doubled_for_3_s(at: Duration) -> f64 {
    let is_burst = at >= Duration::from_secs(5) && at < Duration::from_secs(8);
    if is_burst { 400.0 } else { 200.0 }
}

fn burst() -> [Stream; 1] {
    [Stream {
        workspace: "a",
        priority: 50,
        rate: doubled_for_3_s,
    }]
}

#[test]
fn fewer_are_refused_twice_in_a_burst_that_doubles_demand() {
    let tallies =
        [before(), delay_only(), fair()].map(|way| sum(&runs(way, 58.0, &burst(), 12), 0));
    for tally in &tallies {
        println!(
            "served {:.4}, in time {}, late {}, refused twice {:.4}",
            tally.served(),
            tally.in_time,
            tally.late,
            tally.twice()
        );
    }
    let [before, _, fair] = &tallies;
    assert!(
        fair.twice() < before.twice(),
        "{} of {}",
        fair.twice(),
        before.twice()
    );
    assert!(fair.in_time >= before.in_time);
}

#[test]
fn a_workspace_that_sends_its_usual_does_not_pay_for_the_burst_of_another() {
    let hot = |at: Duration| {
        let is_burst = at >= Duration::from_secs(5) && at < Duration::from_secs(9);
        if is_burst { 225.0 } else { 30.0 }
    };
    let streams = [
        Stream {
            workspace: "hot",
            priority: 50,
            rate: hot,
        },
        Stream {
            workspace: "large",
            priority: 50,
            rate: |_| 100.0,
        },
        Stream {
            workspace: "small",
            priority: 50,
            rate: |_| 20.0,
        },
    ];
    let served = |way| {
        let runs = runs(way, 45.0, &streams, 12);
        [0, 1, 2].map(|it| sum(&runs, it).served())
    };
    let (before, fair) = (served(before()), served(fair()));
    println!("before {before:.3?}, fair {fair:.3?}");
    // Those that send their usual fit without the burst.
    assert!(fair[1] > 0.97 && fair[2] > 0.97, "{fair:?}");
    assert!(before[1] < 0.9);
}

#[test]
fn in_an_endless_shortage_delays_are_the_longest_of_use_and_the_urgent_are_served_first() {
    let streams = [
        Stream {
            workspace: "a",
            priority: 60,
            rate: |_| 150.0,
        },
        Stream {
            workspace: "a",
            priority: 50,
            rate: |_| 250.0,
        },
    ];
    for way in [before(), delay_only(), fair()] {
        let runs = runs(way, 58.0, &streams, 20);
        let (urgent, less) = (sum(&runs, 0), sum(&runs, 1));
        println!(
            "urgent {:.3}, less {:.3}, refused twice {:.3}, load {:.2}",
            urgent.served(),
            less.served(),
            less.twice(),
            runs[0].max_load(Duration::ZERO)
        );
        assert!(urgent.served() > less.served());
    }
    for run in runs(fair(), 58.0, &streams, 20) {
        let settled = run.tallies[1]
            .delays
            .iter()
            .filter(|(at, _)| at.as_secs() >= 6);
        for (at, delay) in settled {
            assert!(
                *delay >= Duration::from_millis(600) && *delay <= LIMIT / 3,
                "{delay:?} at {at:?}"
            );
        }
    }
}

#[test]
fn newcomers_are_not_starved_by_returns() {
    let streams = [Stream {
        workspace: "a",
        priority: 50,
        rate: |_| 500.0,
    }];
    for run in runs(fair(), 55.0, &streams, 20) {
        let tally = &run.tallies[0];
        let returns_served = tally.returned.len() as u32 - tally.refused_twice;
        let newcomers_served = tally.in_time + tally.late - returns_served;
        println!(
            "newcomers {newcomers_served}, returns {returns_served}, load {:.2}",
            run.max_load(Duration::from_secs(8))
        );
        assert!(
            newcomers_served * 3 >= returns_served,
            "{newcomers_served} newcomers, {returns_served} returns"
        );
    }
}

/// The most that may run and wait at owners, so that all start in time: a wait of 12% of the objective,
/// beside work of 220 ms.
const MAX_LOAD: f64 = 1.0 + 0.12 * 1.5 / 0.22;

#[test]
fn after_a_shortage_returns_do_not_come_as_a_herd() {
    let end = Duration::from_secs(8);
    let worst_200_ms = |run: &Outcome| {
        let mut counts = [0_u32; 60];
        for at in run.tallies[0].returned.iter().filter(|at| **at >= end) {
            let place = usize::try_from(at.as_millis() / 200).expect("a short replay");
            counts[place] += 1;
        }
        counts.into_iter().max().unwrap_or_default()
    };
    let before = runs(before(), 58.0, &burst(), 12)
        .iter()
        .map(worst_200_ms)
        .max();
    let runs = runs(fair(), 58.0, &burst(), 12);
    let worst = runs.iter().map(worst_200_ms).max();
    println!("returns in the worst 200 ms: {before:?} before, {worst:?} now");
    assert!(worst <= before, "{worst:?} of {before:?}");
    for run in &runs {
        let load = run.max_load(end + Duration::from_millis(200));
        assert!(load <= MAX_LOAD, "{load}");
    }
}

#[test]
fn who_comes_back_sooner_than_told_or_too_late_has_no_place() {
    let mut returns = Returns::new(2);
    let (delay, left) = (Duration::from_secs(1), Duration::from_secs(5));
    for fingerprint in 1..=3 {
        returns.on_refusal(Time::ZERO, fingerprint, delay, left);
    }
    assert_eq!(returns.len(), 2, "a bounded set");
    assert!(!returns.take(Time::from_millis(200), 1));
    assert!(returns.take(Time::from_millis(1_000), 1));
    assert!(
        !returns.take(Time::from_millis(1_100), 1),
        "a place is for once"
    );
    assert!(!returns.take(Time::from_millis(1_000), 3));
    assert!(!returns.take(Time::from_millis(5_000), 2));
    assert!(returns.is_empty());
}

/// Guards against a fraction that is divided over demand which does not compete for the same room.
#[test]
fn a_burst_on_another_route_of_the_same_priority_lets_no_more_in() {
    let mut fair = FairAdmission::new(Options::default(), fastrand::Rng::with_seed(1));
    let arrival = |route, workspace, fingerprint| Arrival {
        route: Route::of_name(route),
        priority: Priority(50),
        workspace: Some(Workspace::of_name(workspace)),
        fingerprint,
    };
    let mut admitted = 0;
    for step in 0..2_000 {
        let now = Time::from_millis(step * 10);
        for other in 0..8 {
            let burst = arrival("other", "hot", step * 100 + other);
            assert!(fair.on_request(now, &burst, None).is_admitted);
        }
        let workspace = if step % 2 == 0 { "a" } else { "b" };
        let request = arrival("read", workspace, step * 100 + 50);
        admitted += u32::from(fair.on_request(now, &request, Some(0.5)).is_admitted);
    }
    assert!((990..=1_010).contains(&admitted), "{admitted} of 2000");
}

/// Guards against a division whose sum is not the admitted fraction: counts of workspaces that send
/// seldom are far from their mean whenever they send.
#[test]
fn the_sum_is_the_admitted_fraction_also_with_many_small_workspaces() {
    for fraction in [0.2, 0.5, 0.8] {
        let mut fair = FairAdmission::new(Options::default(), fastrand::Rng::with_seed(1));
        let mut rng = fastrand::Rng::with_seed(2);
        let names: Vec<_> = (0..80).map(|it| format!("w{it}")).collect();
        let mut admitted = 0.0;
        for step in 0..4_000 {
            // Some are large: the place is the smaller of two draws.
            let place = rng.usize(..80).min(rng.usize(..80));
            let arrival = Arrival {
                route: Route::of_name("read"),
                priority: Priority(50),
                workspace: Some(Workspace::of_name(&names[place])),
                fingerprint: step,
            };
            let now = Time::from_millis(step * 50);
            let decision = fair.on_request(now, &arrival, Some(fraction));
            admitted += f64::from(u8::from(decision.is_admitted));
        }
        let off = admitted / 4_000.0 - fraction;
        assert!(off.abs() <= 0.01, "{off} off {fraction}");
    }
}
