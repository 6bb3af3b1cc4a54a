//! The choice among servers whose owners state how long work takes, in virtual time.

use cassiashunt_route::{Candidate, Chooser, Options, OwnerReport, Pace, ServerKey};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const NOW: Time = Time::from_millis(1_000);

/// A node in the first domain, with servers of 20 slots in these domains that state to be as fast as
/// their service and without load.
fn chooser(domains: &[&str]) -> (Chooser, Vec<ServerKey>) {
    let domain = |name: &str| name.parse().expect("invalid label");
    let mut chooser = Chooser::new(Options {
        domain: Some(domain(domains[0])),
        ..Options::default()
    });
    let add = |(owner, name): (usize, &&str)| {
        let candidate = Candidate {
            owner: NodeId(owner as u64),
            domain: domain(name),
            slots: 20,
            is_cold: false,
        };
        chooser.add(NOW, candidate)
    };
    let keys: Vec<_> = domains.iter().enumerate().map(add).collect();
    for key in &keys {
        state(&mut chooser, NOW, *key, 0, (1.0, 1.0));
    }
    (chooser, keys)
}

/// States a load in 128ths, and how long work takes, usually and at this moment.
fn state(chooser: &mut Chooser, now: Time, key: ServerKey, load: u8, pace: (f64, f64)) {
    let report = OwnerReport {
        load,
        pace: Pace::new(pace.0),
        pace_now: Pace::new(pace.1),
        ..OwnerReport::default()
    };
    chooser.on_report(now, key, report);
}

/// How many of `requests` at the same moment, none of which ends, each server gets.
fn shares(chooser: &mut Chooser, now: Time, keys: &[ServerKey], requests: usize) -> Vec<usize> {
    let mut rng = Rng::with_seed(3);
    let mut counts = vec![0; keys.len()];
    for _ in 0..requests {
        let key = chooser.choose(now, &[], &mut rng);
        let at = keys.iter().position(|it| Some(*it) == key);
        counts[at.expect("no server was chosen")] += 1;
    }
    counts
}

#[test]
fn a_free_server_of_the_own_domain_is_taken_although_others_are_faster() {
    let (mut chooser, keys) = chooser(&["a", "a", "b"]);
    state(&mut chooser, NOW, keys[2], 0, (0.5, 0.5));
    let shares = shares(&mut chooser, NOW, &keys, 24);
    assert_eq!(shares[2], 0, "{shares:?}");
}

#[test]
fn a_full_or_slow_server_of_the_own_domain_is_left_for_a_free_one_of_another() {
    for (load, pace) in [(127, (1.0, 1.0)), (0, (1.0, 5.0)), (0, (5.0, 5.0))] {
        let (mut chooser, keys) = chooser(&["a", "b", "b"]);
        state(&mut chooser, NOW, keys[0], load, pace);
        let shares = shares(&mut chooser, NOW, &keys, 10);
        assert_eq!(shares[0], 0, "{load} {pace:?} {shares:?}");
    }
}

#[test]
fn faster_servers_get_more_and_slow_ones_their_share() {
    let (mut chooser, keys) = chooser(&["a", "a", "a", "a"]);
    for (key, pace) in keys.iter().zip([0.6, 1.0, 1.0, 2.0]) {
        state(&mut chooser, NOW, *key, 0, (pace, pace));
    }
    // As many as there are slots: none has to wait while there are free ones elsewhere for long.
    let shares = shares(&mut chooser, NOW, &keys, 70);
    assert!(shares[0] > shares[3], "{shares:?}");
    assert!(
        shares.iter().all(|share| (8..=24).contains(share)),
        "{shares:?}"
    );
}

/// A slow machine is slow for a moment; the owner's last word on it must not keep requests away.
#[test]
fn a_statement_on_the_moment_fades() {
    let (mut chooser, keys) = chooser(&["a", "a"]);
    state(&mut chooser, NOW, keys[0], 0, (1.0, 2.5));
    assert_eq!(shares(&mut chooser, NOW, &keys, 5), [0, 5]);
    let later = NOW + Duration::from_millis(1_500);
    let shares = shares(&mut chooser, later, &keys, 15);
    assert!(shares[0] >= 5, "{shares:?}");
}

#[test]
fn a_server_that_recovers_gets_requests_again_at_once() {
    let (mut chooser, keys) = chooser(&["a", "a"]);
    state(&mut chooser, NOW, keys[0], 0, (5.0, 5.0));
    assert_eq!(shares(&mut chooser, NOW, &keys, 4), [0, 4]);
    state(&mut chooser, NOW, keys[0], 0, (1.0, 1.0));
    let shares = shares(&mut chooser, NOW, &keys, 16);
    assert!(shares[0] >= 6, "{shares:?}");
}

/// Deployments whose servers state nothing are served as before.
#[test]
fn without_statements_a_pace_is_weighed_against_room() {
    let (mut chooser, keys) = {
        let mut chooser = Chooser::new(Options::default());
        let domain = "a".parse().expect("invalid label");
        let candidate = |owner| Candidate {
            owner: NodeId(owner),
            domain,
            slots: 20,
            is_cold: false,
        };
        let keys = vec![
            chooser.add(NOW, candidate(0)),
            chooser.add(NOW, candidate(1)),
        ];
        (chooser, keys)
    };
    chooser.set_pace(keys[0], 3.0);
    assert_eq!(shares(&mut chooser, NOW, &keys, 20), [10, 10]);
}
