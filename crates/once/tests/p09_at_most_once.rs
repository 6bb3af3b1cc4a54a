//! P9: a request with an idempotency key runs at most once.

mod support;

use std::time::Duration;

use cassiashunt_once::home::Options;
use cassiashunt_types::{Time, Verdict};
use support::{
    Fault, FaultKind, Scenario, Target, draw_faults,
    history::{CallerResult, History, Run, Violation, check},
    run,
};

const SIMULATED_TIME: Duration = Duration::from_secs(30);
/// Longer than any randomly drawn pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        nodes: 6,
        keys: 24,
        sends_per_key: 5,
        span: SIMULATED_TIME,
        options: Options::default(),
        network_fault_percent: 5,
        faults: Vec::new(),
    }
}

fn run_and_check(scenario: Scenario, gap: Duration) -> History {
    let (seed, faults) = (scenario.seed, scenario.faults.clone());
    let history = run(scenario);
    if let Err(violation) = check(&history, gap) {
        panic!("seed {seed}: {violation:?} under {faults:#?}");
    }
    history
}

fn fault(at_millis: u64, kind: FaultKind, target: Target) -> Fault {
    Fault {
        at: Time::from_millis(at_millis),
        kind,
        target,
        span: Duration::from_secs(4),
    }
}

fn keys_run(history: &History) -> usize {
    let keys: std::collections::BTreeSet<usize> = history.runs.iter().map(|run| run.key).collect();
    keys.len()
}

#[test]
fn p09_no_key_runs_twice_under_random_faults() {
    let mut runs = 0;
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let count = rng.usize(1..8);
        let faults = draw_faults(&mut rng, 6, SIMULATED_TIME, count);
        runs += run_and_check(
            Scenario {
                faults,
                ..scenario(seed)
            },
            SIMULATED_TIME,
        )
        .runs
        .len();
    }
    assert!(
        runs > 4_000,
        "only {runs} requests ran in all scenarios, expected over 4000"
    );
}

#[test]
fn p09_no_key_runs_twice_within_the_retention_when_records_expire() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xe1d);
        let faults = draw_faults(&mut rng, 6, SIMULATED_TIME, 5);
        let options = Options {
            retention: Duration::from_secs(9),
            max_run_time: Duration::from_secs(3),
            ..Options::default()
        };
        let scenario = Scenario {
            faults,
            options,
            ..scenario(seed)
        };
        run_and_check(scenario, options.retention - MAX_PAUSE);
    }
}

#[test]
fn p09_no_key_runs_twice_when_home_and_backup_are_killed() {
    for seed in 0..200 {
        let at = 4_000 + seed * 31;
        let faults = vec![
            fault(at, FaultKind::Crash, Target::Both),
            fault(at + 9_000, FaultKind::Crash, Target::Both),
        ];
        run_and_check(
            Scenario {
                faults,
                ..scenario(seed)
            },
            SIMULATED_TIME,
        );
    }
}

#[test]
fn p09_no_key_runs_twice_when_the_home_is_paused_and_replaced() {
    for seed in 0..100 {
        let at = 4_000 + seed * 31;
        let faults = vec![
            fault(at, FaultKind::Pause, Target::Primary),
            fault(at, FaultKind::Suspect, Target::Primary),
            fault(at + 8_000, FaultKind::Isolate, Target::Both),
            fault(at + 8_000, FaultKind::Suspect, Target::Both),
        ];
        run_and_check(
            Scenario {
                faults,
                ..scenario(seed)
            },
            SIMULATED_TIME,
        );
    }
}

#[test]
fn p09_no_key_runs_twice_when_home_and_backup_are_cut_off_for_longer_than_the_retention() {
    let options = Options {
        retention: Duration::from_secs(6),
        max_run_time: Duration::from_secs(1),
        ..Options::default()
    };
    for seed in 0..200 {
        let cut = |kind| Fault {
            span: Duration::from_secs(25),
            ..fault(4_000 + seed * 7, kind, Target::Both)
        };
        let faults = vec![cut(FaultKind::Suspect), cut(FaultKind::CutFromPlatform)];
        let scenario = Scenario {
            faults,
            options,
            ..scenario(seed)
        };
        run_and_check(scenario, options.retention - MAX_PAUSE);
    }
}

#[test]
fn p09_every_key_runs_once_without_faults() {
    for seed in 0..20 {
        let scenario = Scenario {
            network_fault_percent: 0,
            ..scenario(seed)
        };
        let keys = scenario.keys;
        let history = run_and_check(scenario, SIMULATED_TIME);
        let refused = history
            .results
            .iter()
            .filter(|it| it.2 == CallerResult::Refused(Verdict::NotRun));
        let refused_count = refused.count();
        assert!(
            keys_run(&history) + 1 >= keys,
            "seed {seed}: {} keys ran, {refused_count} requests refused as not run",
            keys_run(&history)
        );
    }
}

#[test]
fn p09_new_keys_run_once_the_backup_has_taken_over() {
    for seed in 0..50 {
        let faults = vec![fault(5_000, FaultKind::Crash, Target::Primary)];
        let history = run_and_check(
            Scenario {
                faults,
                network_fault_percent: 0,
                ..scenario(seed)
            },
            SIMULATED_TIME,
        );
        let late = history
            .runs
            .iter()
            .filter(|run| run.at > Time::from_millis(9_000));
        let late = late.count();
        assert!(
            late >= 8,
            "seed {seed}: only {late} requests ran after the backup took over"
        );
    }
}

#[test]
fn p09_issued_keys_run_after_home_and_backup_were_killed() {
    let mut late = 0;
    for seed in 0..50 {
        let faults = vec![fault(5_000, FaultKind::Crash, Target::Both)];
        let history = run_and_check(
            Scenario {
                faults,
                network_fault_percent: 0,
                ..scenario(seed)
            },
            SIMULATED_TIME,
        );
        let runs = history
            .runs
            .iter()
            .filter(|run| run.at > Time::from_millis(12_000));
        late += runs.filter(|run| run.key % 3 == 0).count();
    }
    assert!(
        late > 50 * 2,
        "only {late} requests with issued keys ran after the crashes"
    );
}

fn run_at(send_id: usize, at_secs: u64) -> Run {
    let at = Time::from_millis(at_secs * 1_000);
    Run {
        key: 1,
        send_id,
        at,
    }
}

#[test]
fn the_checker_rejects_a_second_run() {
    let runs = vec![run_at(1, 1), run_at(2, 5)];
    let history = History {
        runs,
        results: Vec::new(),
    };
    assert_eq!(
        check(&history, SIMULATED_TIME),
        Err(Violation::RanTwice(run_at(1, 1), run_at(2, 5)))
    );
    assert_eq!(check(&history, Duration::from_secs(4)), Ok(()));
}

#[test]
fn the_checker_rejects_a_run_that_was_refused_as_not_run() {
    let results = vec![(1, 1, CallerResult::Refused(Verdict::NotRun))];
    let history = History {
        runs: vec![run_at(1, 1)],
        results,
    };
    assert_eq!(
        check(&history, SIMULATED_TIME),
        Err(Violation::RanThoughNotRun(run_at(1, 1)))
    );
}

#[test]
fn the_checker_rejects_an_answer_to_another_key() {
    let results = vec![(2, 7, CallerResult::Answer { of: 1 })];
    let history = History {
        runs: vec![run_at(1, 1)],
        results,
    };
    let violation = Violation::AnswerOfNoRun { send_id: 2, of: 1 };
    assert_eq!(check(&history, SIMULATED_TIME), Err(violation));
}
