//! Servers that fail more often than their peers: left out while the others can take the work.

use cassiashunt_property::check;
use cassiashunt_route::{
    Candidate, Chooser, FailureRate, Options, Outcome, OwnerReport, Policy, Presence, ServerKey,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

fn chooser(servers: u64) -> (Chooser, Vec<ServerKey>) {
    let mut chooser = Chooser::new(Options {
        policy: Policy::Least,
        ..Options::default()
    });
    let candidate = |n| Candidate {
        owner: NodeId(n),
        domain: "ikeja".parse().expect("a valid label"),
        slots: 130,
        is_cold: false,
    };
    let keys = (0..servers).map(|n| chooser.add(Time::ZERO, candidate(n)));
    let keys = keys.collect();
    (chooser, keys)
}

fn report(chooser: &mut Chooser, key: ServerKey, failure_rate: u8) {
    chooser.on_report(
        Time::ZERO,
        key,
        OwnerReport {
            load: 0,
            failure_rate,
        },
    );
}

fn left_out(chooser: &Chooser, keys: &[ServerKey]) -> usize {
    keys.iter().filter(|key| chooser.is_outlier(**key)).count()
}

/// Plays the load of chains of eight calls at four servers, two of which lose two answers in five,
/// at nodes that retry nothing; returns the share of chains that finished.
fn play(reports: bool) -> f64 {
    const CHAINS: usize = 2_000;
    let (mut chooser, keys) = chooser(4);
    let mut rng = Rng::with_seed(11);
    let mut failures = [(); 4].map(|()| FailureRate::default());
    let mut finished = 0;
    for chain in 0..CHAINS {
        let now = Time::from_millis(chain as u64);
        let mut is_sound = true;
        for _ in 0..8 {
            let key = chooser.choose(now, &[], &mut rng).expect("a server serves");
            let at = keys.iter().position(|it| *it == key).expect("a known key");
            let is_lost = at < 2 && rng.f64() < 0.4;
            chooser.done(now, key, Outcome::Served);
            failures[at].record(now, is_lost);
            if reports {
                let failure_rate = failures[at].share(now);
                chooser.on_report(
                    now,
                    key,
                    OwnerReport {
                        load: 0,
                        failure_rate,
                    },
                );
            }
            is_sound &= !is_lost;
        }
        finished += usize::from(is_sound);
    }
    finished as f64 / CHAINS as f64
}

#[test]
fn chains_finish_although_half_of_the_servers_lose_two_answers_in_five() {
    let before = play(false);
    let after = play(true);
    assert!(before < 0.3, "without reports {before}");
    assert!(after > 0.9, "with reports {after}");
}

#[test]
fn nobody_is_left_out_where_all_fail_alike() {
    let (mut chooser, keys) = chooser(6);
    for key in &keys {
        report(&mut chooser, *key, 120);
    }
    assert_eq!(left_out(&chooser, &keys), 0);
}

#[test]
fn a_server_comes_back_after_its_failures() {
    let (mut chooser, keys) = chooser(4);
    report(&mut chooser, keys[0], 100);
    assert!(chooser.is_outlier(keys[0]));
    report(&mut chooser, keys[0], 40);
    assert!(chooser.is_outlier(keys[0]), "it has not mended yet");
    report(&mut chooser, keys[0], 10);
    assert!(!chooser.is_outlier(keys[0]));
}

#[test]
fn a_server_whose_sound_peers_are_gone_is_not_left_out_any_more() {
    let (mut chooser, keys) = chooser(3);
    report(&mut chooser, keys[0], 200);
    assert!(chooser.is_outlier(keys[0]));
    chooser.set_presence(keys[1], Presence::Unreachable);
    assert!(chooser.is_outlier(keys[0]), "one sound peer is left");
    chooser.remove(keys[2]);
    assert!(!chooser.is_outlier(keys[0]));
}

#[test]
fn a_server_that_is_left_out_is_still_better_than_none() {
    let (mut chooser, keys) = chooser(2);
    report(&mut chooser, keys[0], 200);
    let mut rng = Rng::with_seed(1);
    assert_eq!(chooser.choose(Time::ZERO, &[], &mut rng), Some(keys[1]));
    assert_eq!(
        chooser.choose(Time::ZERO, &[keys[1]], &mut rng),
        Some(keys[0])
    );
}

#[test]
fn at_most_half_of_the_servers_are_left_out() {
    check(|u| {
        let servers = u.int_in_range(1..=12)?;
        let (mut chooser, keys) = chooser(servers);
        for _ in 0..40 {
            let key = *u.choose(&keys)?;
            report(&mut chooser, key, u.arbitrary()?);
            assert!(left_out(&chooser, &keys) <= keys.len() / 2);
        }
        Ok(())
    });
}

#[test]
fn the_share_of_failures_falls_while_nothing_runs() {
    let mut failures = FailureRate::default();
    for _ in 0..500 {
        failures.record(Time::from_millis(10), true);
    }
    assert!(failures.share(Time::from_millis(10)) > 200);
    assert!(failures.share(Time::from_millis(6_000)) < 25);
}

#[test]
fn a_report_is_the_same_after_its_way_in_a_frame() {
    check(|u| {
        let report = OwnerReport {
            load: u.arbitrary()?,
            failure_rate: u.arbitrary()?,
        };
        assert_eq!(OwnerReport::from_bits(report.to_bits()), report);
        Ok(())
    });
}
