//! P13: a request that crashes every server it runs on crashes a bounded number of servers.
//!
//! Servers lost ≤ runs that began before the strike of the first crash had spread, plus
//! [`max_strikes`](cassiashunt_suspect::suspects::Options::max_strikes) for each partition of the
//! fleet, plus one for each coordinator that was lost with an outstanding permit. Suspects run
//! alone, one at a time; harmless requests are not refused.

mod fleet;

use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;
use fleet::{CRASHER, Containment, History, Run, Scenario, check, run};

const SEEDS: u64 = 300;

/// A scenario whose size and faults are drawn from its seed.
fn scenario(seed: u64, containment: Containment) -> Scenario {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x70_31_33);
    Scenario {
        seed,
        containment,
        nodes: rng.usize(4..=10),
        crasher_callers: rng.u64(1..=4),
        harmless_requests: rng.u64(5..=30),
        message_loss_ratio: [0.0, 0.1, 0.2][rng.usize(..3)],
        node_loss_ratio: [0.0, 0.3, 1.0][rng.usize(..3)],
        is_partitioned: false,
    }
}

#[test]
fn p13_a_crashing_request_is_contained() {
    let (mut lost, mut permitted, mut served) = (0, 0, 0);
    for seed in 0..SEEDS {
        let history = run(scenario(seed, Containment::Permits));
        if let Err(reason) = check(&history, 1) {
            panic!("seed {seed}: {reason}");
        }
        lost = lost.max(history.crashes().count());
        permitted += history.runs.iter().filter(|run| run.is_permitted).count();
        served += history.harmless_served;
    }
    assert!(permitted > 0, "no suspect ran");
    println!(
        "at most {lost} servers lost, {permitted} solo runs, {served} harmless requests served"
    );
}

#[test]
fn p13_each_side_of_a_partition_keeps_the_bound() {
    for seed in 0..SEEDS {
        let scenario = Scenario {
            nodes: 8,
            is_partitioned: true,
            ..scenario(seed, Containment::Permits)
        };
        if let Err(reason) = check(&run(scenario), 2) {
            panic!("seed {seed}: {reason}");
        }
    }
}

#[test]
fn p13_without_containment_the_bound_is_broken() {
    assert!((0..SEEDS).any(|seed| check(&run(scenario(seed, Containment::Nothing)), 1).is_err()));
}

#[test]
fn p13_without_permits_a_suspect_is_on_two_servers_at_once() {
    assert!((0..SEEDS).any(|seed| check(&run(scenario(seed, Containment::NoPermits)), 1).is_err()));
}

#[test]
fn p13_the_checker_rejects_bad_histories() {
    let run = |server, is_permitted, began, has_crashed| Run {
        fingerprint: CRASHER,
        server,
        is_permitted,
        began: Time::from_millis(began),
        ended: Time::from_millis(began + 10),
        has_crashed,
    };
    let rejects = |runs: Vec<Run>| {
        let history = History {
            runs,
            ..History::default()
        };
        check(&history, 1).is_err()
    };
    assert!(!rejects(vec![
        run(1, true, 0, false),
        run(2, true, 10, false)
    ]));
    assert!(
        rejects(vec![run(1, true, 0, false), run(2, true, 5, false)]),
        "on two servers at once"
    );
    let beside = Run {
        fingerprint: Fingerprint(7),
        ..run(1, false, 5, false)
    };
    assert!(
        rejects(vec![run(1, true, 0, false), beside]),
        "beside another request"
    );
    assert!(
        rejects(vec![run(1, false, 0, true), run(2, false, 9_000, true)]),
        "ran without a permit after the strike had spread"
    );
    let three = [0, 100, 200].map(|at| run(1, true, at, true));
    assert!(rejects(three.to_vec()), "one server above the bound");
    let refused = History {
        harmless_refused: 1,
        ..History::default()
    };
    assert!(check(&refused, 1).is_err());
    let wrong_not_run = History {
        ran_after_not_run: 1,
        ..History::default()
    };
    assert!(check(&wrong_not_run, 1).is_err());
}
