//! The choice of a server: exclusion, ejection, warm-up and failure domains.

use cassiashunt_property::check;
use cassiashunt_route::{Candidate, Chooser, Options, Outcome, Presence, ServerKey};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

fn candidate(owner: u64) -> Candidate {
    Candidate {
        owner: NodeId(owner),
        domain: "ikeja".parse().expect("invalid label"),
        slots: 10,
        is_cold: false,
    }
}

fn chooser(servers: u64) -> (Chooser, Vec<ServerKey>) {
    let mut chooser = Chooser::new(Options::default());
    let keys = (0..servers)
        .map(|owner| chooser.add(Time::ZERO, candidate(owner)))
        .collect();
    (chooser, keys)
}

fn fail(chooser: &mut Chooser, now: Time, key: ServerKey, times: u32) {
    for _ in 0..times {
        chooser.done(now, key, Outcome::Failed);
    }
}

/// How often each server is chosen out of 1000 sequential requests.
fn choices(chooser: &mut Chooser, now: Time, keys: &[ServerKey]) -> Vec<u32> {
    let mut rng = Rng::with_seed(5);
    let mut counts = vec![0; keys.len()];
    for _ in 0..1_000 {
        let key = chooser
            .choose(now, &[], &mut rng)
            .expect("no eligible server");
        chooser.done(now, key, Outcome::Cancelled);
        counts[keys
            .iter()
            .position(|other| *other == key)
            .expect("chosen server is not among the keys")] += 1;
    }
    counts
}

#[test]
fn draining_unreachable_and_tried_servers_are_not_chosen() {
    let (mut chooser, keys) = chooser(4);
    chooser.set_presence(keys[0], Presence::Draining);
    chooser.set_presence(keys[1], Presence::Unreachable);
    let mut rng = Rng::with_seed(1);
    for _ in 0..100 {
        assert_eq!(
            chooser.choose(Time::ZERO, &[keys[2]], &mut rng),
            Some(keys[3])
        );
    }
    assert_eq!(
        chooser.choose(Time::ZERO, &[keys[2], keys[3]], &mut rng),
        None
    );
}

/// News of a node that were under way when it began to stop let it be chosen again.
#[test]
fn a_server_whose_owner_said_that_it_stops_is_not_chosen_whatever_is_heard_later() {
    let (mut chooser, keys) = chooser(2);
    chooser.drain(keys[0]);
    for presence in [Presence::Unreachable, Presence::Serving] {
        chooser.set_presence(keys[0], presence);
        assert_eq!(chooser.available(Time::ZERO), 1);
        assert_eq!(choices(&mut chooser, Time::ZERO, &keys), [0, 1_000]);
    }
}

#[test]
fn a_high_reported_load_never_removes_a_server() {
    let (mut chooser, keys) = chooser(2);
    keys.iter()
        .for_each(|key| chooser.on_load(Time::ZERO, *key, u8::MAX));
    assert_eq!(chooser.available(Time::ZERO), 2);
}

#[test]
fn refusals_never_eject_a_server() {
    let (mut chooser, keys) = chooser(3);
    (0..100).for_each(|_| chooser.done(Time::ZERO, keys[0], Outcome::Refused));
    assert_eq!(chooser.ejected(Time::ZERO), 0);
}

#[test]
fn a_failing_server_is_ejected_and_readmitted_after_probation() {
    let (mut chooser, keys) = chooser(3);
    fail(&mut chooser, Time::ZERO, keys[0], 5);
    assert_eq!(choices(&mut chooser, Time::ZERO, &keys)[0], 0);
    let later = Time::ZERO + Options::default().ejection;
    let mut rng = Rng::with_seed(1);
    let others = &keys[1..];
    assert_eq!(chooser.choose(later, others, &mut rng), Some(keys[0]));
    assert_eq!(
        chooser.choose(later, others, &mut rng),
        None,
        "more than one request in flight in probation"
    );
    (0..3).for_each(|_| chooser.done(later, keys[0], Outcome::Served));
    assert!(chooser.choose(later, others, &mut rng).is_some());
    assert!(chooser.choose(later, others, &mut rng).is_some());
}

#[test]
fn a_failure_in_probation_ejects_for_twice_as_long() {
    let (mut chooser, keys) = chooser(3);
    let span = Options::default().ejection;
    fail(&mut chooser, Time::ZERO, keys[0], 5);
    let probation = Time::ZERO + span;
    fail(&mut chooser, probation, keys[0], 1);
    assert_eq!(chooser.ejected(probation + span), 1);
    assert_eq!(chooser.ejected(probation + span * 2), 0);
}

#[test]
fn a_cold_server_receives_fewer_requests_until_it_is_warm() {
    let (mut chooser, mut keys) = chooser(1);
    let cold = Candidate {
        is_cold: true,
        ..candidate(9)
    };
    keys.push(chooser.add(Time::ZERO, cold));
    let chosen = choices(&mut chooser, Time::ZERO, &keys)[1];
    assert!(chosen < 200, "{chosen} of 1000 while cold");
    let warm = Time::ZERO + Options::default().warm_up;
    let chosen = choices(&mut chooser, warm, &keys)[1];
    assert!((400..600).contains(&chosen), "{chosen} of 1000 when warm");
}

#[test]
fn a_loaded_local_server_loses_to_one_in_another_failure_domain() {
    let domain = |name: &str| name.parse().expect("invalid label");
    let mut chooser = Chooser::new(Options {
        domain: Some(domain("ikeja")),
        ..Options::default()
    });
    let local = chooser.add(Time::ZERO, candidate(1));
    let remote = chooser.add(
        Time::ZERO,
        Candidate {
            domain: domain("lekki"),
            ..candidate(2)
        },
    );
    assert_eq!(
        choices(&mut chooser, Time::ZERO, &[local, remote]),
        [1_000, 0]
    );
    chooser.on_load(Time::ZERO, local, 64);
    assert_eq!(
        choices(&mut chooser, Time::ZERO, &[local, remote]),
        [0, 1_000]
    );
}

#[test]
fn the_share_of_ejected_servers_never_exceeds_its_maximum() {
    check(|u| {
        let servers = u.int_in_range(1..=9)?;
        let (mut chooser, keys) = chooser(servers);
        let cap = (servers as f64 * Options::default().max_ejected) as usize;
        let mut now = Time::ZERO;
        while !u.is_empty() {
            now = now + Duration::from_millis(u.int_in_range(0..=2_000)?);
            let key = *u.choose(&keys)?;
            let outcome = *u.choose(&[Outcome::Failed, Outcome::Failed, Outcome::Served])?;
            chooser.done(now, key, outcome);
            let bound = if servers == 1 { 0 } else { cap.max(1) };
            assert!(chooser.ejected(now) <= bound);
        }
        Ok(())
    });
}
