//! P13: a request that kills every server it runs on takes a bounded number of them with it.
//!
//! Servers lost ≤ runs that began before the news of the first victim were there, and
//! [`max_strikes`](cassiashunt_suspect::suspects::Options::max_strikes) for each part of the fleet
//! that cannot hear the others, and one for each coordinator that was lost with a permit given.
//! Suspects run alone, one at a time; innocents are not refused.

mod fleet;

use cassiashunt_suspect::Fingerprint;
use cassiashunt_types::prelude::*;
use fleet::{CRASHER, Containment, History, Run, Scene, check, run};

const SEEDS: u64 = 300;

/// A scene whose troubles are drawn by its seed.
fn scene(seed: u64, containment: Containment) -> Scene {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x70_31_33);
    Scene {
        seed,
        containment,
        nodes: rng.usize(4..=10),
        crash_callers: rng.u64(1..=4),
        innocents: rng.u64(5..=30),
        loss: [0.0, 0.1, 0.2][rng.usize(..3)],
        node_loss: [0.0, 0.3, 1.0][rng.usize(..3)],
        is_cut: false,
    }
}

#[test]
fn p13_a_crashing_request_is_contained() {
    let (mut lost, mut permitted, mut served) = (0, 0, 0);
    for seed in 0..SEEDS {
        let history = run(scene(seed, Containment::Permits));
        if let Err(why) = check(&history, 1) {
            panic!("seed {seed}: {why}");
        }
        lost = lost.max(history.deaths().count());
        permitted += history.runs.iter().filter(|run| run.is_permitted).count();
        served += history.innocents_served;
    }
    assert!(permitted > 0, "no suspect ran");
    println!("at most {lost} servers lost, {permitted} solo runs, {served} innocents served");
}

#[test]
fn p13_each_side_of_a_cut_keeps_the_bound() {
    for seed in 0..SEEDS {
        let scene = Scene {
            nodes: 8,
            is_cut: true,
            ..scene(seed, Containment::Permits)
        };
        if let Err(why) = check(&run(scene), 2) {
            panic!("seed {seed}: {why}");
        }
    }
}

#[test]
fn p13_without_containment_the_bound_is_broken() {
    assert!((0..SEEDS).any(|seed| check(&run(scene(seed, Containment::Nothing)), 1).is_err()));
}

#[test]
fn p13_without_permits_a_suspect_is_on_two_servers_at_once() {
    assert!((0..SEEDS).any(|seed| check(&run(scene(seed, Containment::NoPermits)), 1).is_err()));
}

#[test]
fn p13_the_checker_rejects_bad_histories() {
    let run = |server, is_permitted, began, has_died| Run {
        fingerprint: CRASHER,
        server,
        is_permitted,
        began: Time::from_millis(began),
        ended: Time::from_millis(began + 10),
        has_died,
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
        "two at once"
    );
    let beside = Run {
        fingerprint: Fingerprint(7),
        ..run(1, false, 5, false)
    };
    assert!(rejects(vec![run(1, true, 0, false), beside]), "not alone");
    assert!(
        rejects(vec![run(1, false, 0, true), run(2, false, 9_000, true)]),
        "not warned"
    );
    let three = [0, 100, 200].map(|at| run(1, true, at, true));
    assert!(rejects(three.to_vec()), "one server too many");
    let refused = History {
        innocents_refused: 1,
        ..History::default()
    };
    assert!(check(&refused, 1).is_err());
    let false_answer = History {
        false_not_runs: 1,
        ..History::default()
    };
    assert!(check(&false_answer, 1).is_err());
}
