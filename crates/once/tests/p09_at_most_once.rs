//! P9: a request with an idempotency key runs at most once.

mod support;

use std::time::Duration;

use cassiashunt_once::home::Options;
use cassiashunt_types::{Time, Verdict};
use support::{
    Fault, Kind, Plan, Victim, draw_faults,
    history::{Bad, History, Run, Told, check},
    run,
};

const SPAN: Duration = Duration::from_secs(30);
/// Longer than any pause that is drawn.
const PAUSE: Duration = Duration::from_secs(5);

fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        nodes: 6,
        keys: 24,
        sendings_per_key: 5,
        span: SPAN,
        options: Options::default(),
        rough: 5,
        faults: Vec::new(),
    }
}

fn checked(plan: Plan, gap: Duration) -> History {
    let (seed, faults) = (plan.seed, plan.faults.clone());
    let history = run(plan);
    if let Err(bad) = check(&history, gap) {
        panic!("seed {seed}: {bad:?} under {faults:#?}");
    }
    history
}

fn fault(at_millis: u64, kind: Kind, victim: Victim) -> Fault {
    Fault {
        at: Time::from_millis(at_millis),
        kind,
        victim,
        span: Duration::from_secs(4),
    }
}

fn ran(history: &History) -> usize {
    let keys: std::collections::BTreeSet<usize> = history.runs.iter().map(|run| run.key).collect();
    keys.len()
}

#[test]
fn p09_no_key_runs_twice_under_drawn_faults() {
    let mut runs = 0;
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let count = rng.usize(1..8);
        let faults = draw_faults(&mut rng, 6, SPAN, count);
        runs += checked(
            Plan {
                faults,
                ..plan(seed)
            },
            SPAN,
        )
        .runs
        .len();
    }
    assert!(runs > 4_000, "only {runs} ran: the schedules prove little");
}

#[test]
fn p09_no_key_runs_twice_within_the_window_when_records_expire() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xe1d);
        let faults = draw_faults(&mut rng, 6, SPAN, 5);
        let options = Options {
            retention: Duration::from_secs(9),
            max_run_time: Duration::from_secs(3),
            ..Options::default()
        };
        let plan = Plan {
            faults,
            options,
            ..plan(seed)
        };
        checked(plan, options.retention - PAUSE);
    }
}

#[test]
fn p09_no_key_runs_twice_when_both_homes_are_killed() {
    for seed in 0..200 {
        let at = 4_000 + seed * 31;
        let faults = vec![
            fault(at, Kind::Crash, Victim::Both),
            fault(at + 9_000, Kind::Crash, Victim::Both),
        ];
        checked(
            Plan {
                faults,
                ..plan(seed)
            },
            SPAN,
        );
    }
}

#[test]
fn p09_no_key_runs_twice_when_the_home_is_paused_and_succeeded() {
    for seed in 0..100 {
        let at = 4_000 + seed * 31;
        let faults = vec![
            fault(at, Kind::Pause, Victim::Primary),
            fault(at, Kind::Suspect, Victim::Primary),
            fault(at + 8_000, Kind::Isolate, Victim::Both),
            fault(at + 8_000, Kind::Suspect, Victim::Both),
        ];
        checked(
            Plan {
                faults,
                ..plan(seed)
            },
            SPAN,
        );
    }
}

#[test]
fn p09_no_key_runs_twice_when_both_homes_are_cut_off_for_longer_than_the_window() {
    let options = Options {
        retention: Duration::from_secs(6),
        max_run_time: Duration::from_secs(1),
        ..Options::default()
    };
    for seed in 0..200 {
        let cut = |kind| Fault {
            span: Duration::from_secs(25),
            ..fault(4_000 + seed * 7, kind, Victim::Both)
        };
        let faults = vec![cut(Kind::Suspect), cut(Kind::Blind)];
        let plan = Plan {
            faults,
            options,
            ..plan(seed)
        };
        checked(plan, options.retention - PAUSE);
    }
}

#[test]
fn p09_every_key_runs_once_without_faults() {
    for seed in 0..20 {
        let plan = Plan {
            rough: 0,
            ..plan(seed)
        };
        let keys = plan.keys;
        let history = checked(plan, SPAN);
        let refused = history
            .told
            .iter()
            .filter(|it| it.2 == Told::Refused(Verdict::NotRun));
        let by_server = refused.count();
        assert!(
            ran(&history) + 1 >= keys,
            "seed {seed}: {} ran, {by_server} refused",
            ran(&history)
        );
    }
}

#[test]
fn p09_new_keys_go_on_once_the_backup_has_succeeded() {
    for seed in 0..50 {
        let faults = vec![fault(5_000, Kind::Crash, Victim::Primary)];
        let history = checked(
            Plan {
                faults,
                rough: 0,
                ..plan(seed)
            },
            SPAN,
        );
        let late = history
            .runs
            .iter()
            .filter(|run| run.at > Time::from_millis(9_000));
        let late = late.count();
        assert!(
            late >= 8,
            "seed {seed}: only {late} ran after the succession"
        );
    }
}

#[test]
fn p09_issued_keys_go_on_after_both_homes_were_killed() {
    let mut late = 0;
    for seed in 0..50 {
        let faults = vec![fault(5_000, Kind::Crash, Victim::Both)];
        let history = checked(
            Plan {
                faults,
                rough: 0,
                ..plan(seed)
            },
            SPAN,
        );
        let runs = history
            .runs
            .iter()
            .filter(|run| run.at > Time::from_millis(12_000));
        late += runs.filter(|run| run.key % 3 == 0).count();
    }
    assert!(late > 50 * 2, "only {late} issued keys ran");
}

fn one(sending: usize, at_secs: u64) -> Run {
    let at = Time::from_millis(at_secs * 1_000);
    Run {
        key: 1,
        sending,
        at,
    }
}

#[test]
fn the_checker_rejects_a_second_run() {
    let runs = vec![one(1, 1), one(2, 5)];
    let history = History {
        runs,
        told: Vec::new(),
    };
    assert_eq!(
        check(&history, SPAN),
        Err(Bad::RanTwice(one(1, 1), one(2, 5)))
    );
    assert_eq!(check(&history, Duration::from_secs(4)), Ok(()));
}

#[test]
fn the_checker_rejects_a_run_that_was_refused_as_not_run() {
    let told = vec![(1, 1, Told::Refused(Verdict::NotRun))];
    let history = History {
        runs: vec![one(1, 1)],
        told,
    };
    assert_eq!(check(&history, SPAN), Err(Bad::RanThoughNotRun(one(1, 1))));
}

#[test]
fn the_checker_rejects_an_answer_of_another_key() {
    let told = vec![(2, 7, Told::Answer { of: 1 })];
    let history = History {
        runs: vec![one(1, 1)],
        told,
    };
    let bad = Bad::AnswerOfNoRun { sending: 2, of: 1 };
    assert_eq!(check(&history, SPAN), Err(bad));
}
