//! Servers that fail more often than their peers are excluded while others are eligible.

use cassiashunt_property::check;
use cassiashunt_route::{
    Candidate, Chooser, FailureRate, Options, Outcome, OwnerReport, Pace, Policy, Presence,
    ServerKey,
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

fn chooser(servers: u64) -> (Chooser, Vec<ServerKey>) {
    let mut chooser = Chooser::new(Options {
        policy: Policy::Least,
        ..Options::default()
    });
    let candidate = |owner| Candidate {
        owner: NodeId(owner),
        domain: "ikeja".parse().expect("invalid label"),
        slots: 130,
        is_cold: false,
    };
    let keys = (0..servers).map(|owner| chooser.add(Time::ZERO, candidate(owner)));
    let keys = keys.collect();
    (chooser, keys)
}

fn report(chooser: &mut Chooser, key: ServerKey, failure_rate: u8) {
    chooser.on_report(
        Time::ZERO,
        key,
        OwnerReport {
            failure_rate,
            ..OwnerReport::default()
        },
    );
}

fn excluded(chooser: &Chooser, keys: &[ServerKey]) -> usize {
    keys.iter().filter(|key| chooser.is_outlier(**key)).count()
}

/// Simulates chains of eight calls, without retries, at four servers of which two lose two answers
/// in five. Returns the fraction of chains that completed.
fn completed_fraction(sends_reports: bool) -> f64 {
    const CHAINS: usize = 2_000;
    let (mut chooser, keys) = chooser(4);
    let mut rng = Rng::with_seed(11);
    let mut rates = [(); 4].map(|()| FailureRate::default());
    let mut completed = 0;
    for chain in 0..CHAINS {
        let now = Time::from_millis(chain as u64);
        let mut is_complete = true;
        for _ in 0..8 {
            let key = chooser
                .choose(now, &[], &mut rng)
                .expect("no eligible server");
            let server = keys
                .iter()
                .position(|other| *other == key)
                .expect("chosen server is not among the keys");
            let is_lost = server < 2 && rng.f64() < 0.4;
            chooser.done(now, key, Outcome::Served);
            rates[server].record(now, is_lost);
            if sends_reports {
                let failure_rate = rates[server].share(now);
                chooser.on_report(
                    now,
                    key,
                    OwnerReport {
                        failure_rate,
                        ..OwnerReport::default()
                    },
                );
            }
            is_complete &= !is_lost;
        }
        completed += usize::from(is_complete);
    }
    completed as f64 / CHAINS as f64
}

#[test]
fn chains_complete_although_half_of_the_servers_lose_two_answers_in_five() {
    let without_reports = completed_fraction(false);
    let with_reports = completed_fraction(true);
    assert!(without_reports < 0.3, "without reports {without_reports}");
    assert!(with_reports > 0.9, "with reports {with_reports}");
}

#[test]
fn no_server_is_excluded_where_all_fail_at_the_same_rate() {
    let (mut chooser, keys) = chooser(6);
    for key in &keys {
        report(&mut chooser, *key, 120);
    }
    assert_eq!(excluded(&chooser, &keys), 0);
}

#[test]
fn a_recovered_server_is_readmitted() {
    let (mut chooser, keys) = chooser(4);
    report(&mut chooser, keys[0], 100);
    assert!(chooser.is_outlier(keys[0]));
    report(&mut chooser, keys[0], 40);
    assert!(
        chooser.is_outlier(keys[0]),
        "readmitted above the readmission threshold"
    );
    report(&mut chooser, keys[0], 10);
    assert!(!chooser.is_outlier(keys[0]));
}

#[test]
fn a_server_without_healthy_peers_is_readmitted() {
    let (mut chooser, keys) = chooser(3);
    report(&mut chooser, keys[0], 200);
    assert!(chooser.is_outlier(keys[0]));
    chooser.set_presence(keys[1], Presence::Unreachable);
    assert!(
        chooser.is_outlier(keys[0]),
        "readmitted with one healthy peer"
    );
    chooser.remove(keys[2]);
    assert!(!chooser.is_outlier(keys[0]));
}

#[test]
fn an_excluded_server_is_chosen_where_no_other_is_eligible() {
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
fn at_most_half_of_the_servers_are_excluded() {
    check(|u| {
        let servers = u.int_in_range(1..=12)?;
        let (mut chooser, keys) = chooser(servers);
        for _ in 0..40 {
            let key = *u.choose(&keys)?;
            report(&mut chooser, key, u.arbitrary()?);
            assert!(excluded(&chooser, &keys) <= keys.len() / 2);
        }
        Ok(())
    });
}

#[test]
fn the_failure_rate_decays_while_nothing_runs() {
    let mut rate = FailureRate::default();
    for _ in 0..500 {
        rate.record(Time::from_millis(10), true);
    }
    assert!(rate.share(Time::from_millis(10)) > 200);
    assert!(rate.share(Time::from_millis(6_000)) < 25);
}

#[test]
fn a_report_survives_packing_and_unpacking() {
    check(|u| {
        let report = OwnerReport {
            load: u.arbitrary()?,
            failure_rate: u.arbitrary()?,
            pace: Pace::from_byte(u.arbitrary()?),
            pace_now: Pace::from_byte(u.arbitrary()?),
        };
        assert_eq!(OwnerReport::from_bits(report.to_bits()), report);
        Ok(())
    });
}
