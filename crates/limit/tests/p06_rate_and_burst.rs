//! P6: no workspace is admitted more than its rate and burst across all nodes, under faults of the
//! holders, the authorities and the network.

mod support;

use std::time::Duration;

use cassiashunt_limit::{InitialTokens, Limit};
use cassiashunt_types::Time;
use support::{
    Fault, FaultKind, Scenario, draw_faults,
    history::{Edit, Outcome, check_minutes, check_rate},
    run,
};

const RATE: Limit = Limit::Rate {
    per_sec: 100,
    burst: 60,
};
/// Node index of the first authority. Indices 0 to 4 are the holders.
const AUTHORITY: usize = 5;

fn secs(secs: u64) -> Time {
    Time::from_millis(secs * 1_000)
}

fn fault(at_secs: u64, kind: FaultKind) -> Fault {
    Fault {
        at: secs(at_secs),
        kind,
    }
}

fn run_and_check(scenario: Scenario) -> support::history::History {
    let seed = scenario.seed;
    let faults = scenario.faults.clone();
    let history = run(scenario);
    if let Err(excess) = check_rate(&history.admitted(), &history.edits) {
        panic!("seed {seed}: {excess:?} under {faults:?}");
    }
    history
}

const RATE_WITH_LARGE_BURST: Limit = Limit::Rate {
    per_sec: 20,
    burst: 150,
};

fn lossy_scenario(seed: u64) -> Scenario {
    let limit = match seed % 2 {
        0 => RATE,
        _ => RATE_WITH_LARGE_BURST,
    };
    Scenario {
        seed,
        limit,
        loss_percent: 10,
        late_percent: 5,
        skewed_clocks: true,
        ..Scenario::default()
    }
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_under_drawn_faults() {
    let mut admitted = 0;
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let scenario = lossy_scenario(seed);
        let faults = draw_faults(&mut rng, scenario.holders, scenario.span);
        admitted += run_and_check(Scenario { faults, ..scenario })
            .admitted()
            .len();
    }
    assert!(
        admitted > 100_000,
        "only {admitted} requests were admitted in all runs, too few to test the bound"
    );
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_when_the_authority_is_paused() {
    for seed in 0..40 {
        let pause = FaultKind::Pause(AUTHORITY, Duration::from_secs(5));
        let faults = vec![fault(3, pause), fault(3, FaultKind::Claim)];
        let history = run_and_check(Scenario {
            faults,
            ..lossy_scenario(seed)
        });
        let late = history
            .admitted()
            .into_iter()
            .filter(|at| *at > secs(9))
            .count();
        assert!(
            late > 100,
            "seed {seed}: the successor admitted only {late} requests"
        );
    }
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_when_the_authority_is_cut_off_both_ways() {
    for seed in 0..40 {
        let isolate = FaultKind::Isolate(AUTHORITY, Duration::from_secs(8));
        let faults = vec![fault(3, isolate), fault(4, FaultKind::Claim)];
        run_and_check(Scenario {
            faults,
            ..lossy_scenario(seed)
        });
    }
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_when_a_live_authority_is_succeeded_twice() {
    for seed in 0..40 {
        let faults = vec![fault(3, FaultKind::Claim), fault(5, FaultKind::Claim)];
        run_and_check(Scenario {
            faults,
            ..lossy_scenario(seed)
        });
    }
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_when_holders_are_split_between_two_authorities() {
    for seed in 0..40 {
        let cut_time = Duration::from_secs(10);
        let faults = vec![
            fault(3, FaultKind::CutFromRegister(AUTHORITY, cut_time)),
            fault(3, FaultKind::CutLink(AUTHORITY + 1, 0, cut_time)),
            fault(3, FaultKind::Claim),
        ];
        run_and_check(Scenario {
            faults,
            demand_per_sec: 600,
            ..lossy_scenario(seed)
        });
    }
}

#[test]
fn p06_no_window_exceeds_rate_and_burst_when_the_table_is_edited_while_grants_are_out() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut faults = draw_faults(&mut rng, 5, Duration::from_secs(16));
        for at in [2, 5, 8, 11] {
            let limit = Limit::Rate {
                per_sec: rng.u64(10..300),
                burst: rng.u64(5..120),
            };
            faults.push(fault(at, FaultKind::Edit(limit)));
        }
        run_and_check(Scenario {
            faults,
            ..lossy_scenario(seed)
        });
    }
}

#[test]
fn p06_no_minute_exceeds_its_cap_under_drawn_faults() {
    const CAP: u64 = 900;
    for seed in 0..25 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xca9);
        let scenario = Scenario {
            limit: Limit::Minute { cap: CAP },
            span: Duration::from_secs(150),
            demand_per_sec: 60,
            minute_ends: secs(50),
            ..lossy_scenario(seed)
        };
        let faults = draw_faults(&mut rng, scenario.holders, scenario.span);
        let history = run(Scenario { faults, ..scenario });
        if let Err(excess) = check_minutes(&history.admitted(), CAP, secs(50)) {
            panic!("seed {seed}: {excess:?}");
        }
    }
}

#[test]
fn p06_the_whole_cap_of_a_minute_can_be_used() {
    const CAP: u64 = 900;
    let history = run(Scenario {
        limit: Limit::Minute { cap: CAP },
        span: Duration::from_secs(50),
        demand_per_sec: 60,
        minute_ends: secs(50),
        ..Scenario::default()
    });
    assert!(history.admitted().len() as u64 >= CAP * 95 / 100);
}

#[test]
fn p06_admission_goes_on_through_a_platform_outage() {
    for seed in 0..20 {
        let outage = FaultKind::PlatformOutage(Duration::from_secs(10));
        let faults = vec![fault(3, outage)];
        let history = run_and_check(Scenario {
            faults,
            seed,
            ..Scenario::default()
        });
        let during = history.admitted().into_iter();
        let during = during.filter(|at| *at > secs(4) && *at < secs(13)).count();
        assert!(
            during > 850,
            "seed {seed}: only {during} requests were admitted during the outage"
        );
    }
}

#[test]
fn p06_a_planned_stop_of_the_authority_neither_exceeds_the_rate_nor_stops_admission() {
    for seed in 0..20 {
        let faults = (1..8).map(|n| fault(2 * n, FaultKind::HandOver)).collect();
        let demand_per_sec = 80;
        let history = run_and_check(Scenario {
            faults,
            seed,
            demand_per_sec,
            ..Scenario::default()
        });
        let wrong = history.refused_within_rate(100, 60);
        let total = history.requests.len();
        println!("seed {seed}: {wrong} of {total} refused within the rate");
        assert!(wrong * 50 <= total, "seed {seed}: {wrong} of {total}");
    }
}

#[test]
fn p06_refusals_inside_the_rate_are_few_under_skewed_demand() {
    for seed in 0..20 {
        let demand_per_sec = 80;
        let history = run_and_check(Scenario {
            seed,
            demand_per_sec,
            ..Scenario::default()
        });
        let wrong = history.refused_within_rate(100, 60);
        let total = history.requests.len();
        println!("seed {seed}: {wrong} of {total} refused within the rate");
        assert!(wrong * 100 <= total, "seed {seed}: {wrong} of {total}");
    }
}

#[test]
fn p06_a_small_burst_is_not_locked_up_by_many_holders() {
    let limit = Limit::Rate {
        per_sec: 10,
        burst: 4,
    };
    for seed in 0..20 {
        let history = run_and_check(Scenario {
            seed,
            limit,
            holders: 40,
            demand_per_sec: 6,
            skew_percent: 0,
            span: Duration::from_secs(30),
            ..Scenario::default()
        });
        let wrong = history.refused_within_rate(10, 4);
        let total = history.requests.len();
        println!("seed {seed}: {wrong} of {total} refused within the rate");
        assert!(wrong * 20 <= total, "seed {seed}: {wrong} of {total}");
    }
}

#[test]
fn p06_a_full_start_and_an_empty_start_both_keep_the_bound() {
    for start in [InitialTokens::Full, InitialTokens::Empty] {
        let history = run_and_check(Scenario {
            start,
            ..Scenario::default()
        });
        let refused = history
            .requests
            .iter()
            .filter(|r| matches!(r.outcome, Outcome::Refused(_)));
        assert!(refused.count() > 0);
    }
}

#[test]
fn check_rate_rejects_a_window_with_one_too_many() {
    let edits = [Edit {
        at: Time::ZERO,
        limit: RATE,
    }];
    let at_once = vec![secs(5); 60];
    assert!(check_rate(&at_once, &edits).is_ok());
    let one_more = vec![secs(5); 61];
    assert!(check_rate(&one_more, &edits).is_err());
    let mut spread: Vec<Time> = (0..500).map(|i| Time::from_millis(i * 10)).collect();
    assert!(check_rate(&spread, &edits).is_ok());
    spread.extend(vec![Time::from_millis(2_500); 60]);
    spread.sort_unstable();
    assert!(check_rate(&spread, &edits).is_err());
}

#[test]
fn check_minutes_rejects_a_minute_with_one_too_many() {
    let ends = secs(10);
    let split = [vec![secs(9); 5], vec![secs(10); 5]].concat();
    assert!(check_minutes(&split, 5, ends).is_ok());
    assert!(check_minutes(&split, 4, ends).is_err());
    assert!(check_minutes(&[secs(11), secs(69)], 1, ends).is_err());
}
