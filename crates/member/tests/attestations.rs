//! Attestations never look younger than they are, and reach every node within two seconds.

mod common;

use std::collections::BTreeMap;

use cassiashunt_member::{Action, Event, MAX_ATTESTATION_BYTES};
use cassiashunt_types::prelude::*;
use common::{LinkFaults, Net, Observation, converged, fast_options, for_seeds};

/// When each node last attested each contents, on the network's clock.
#[derive(Default)]
struct TrueTimes {
    last: BTreeMap<(NodeId, Vec<u8>), Time>,
}

impl TrueTimes {
    fn attest(&mut self, net: &mut Net, id: NodeId, body: Vec<u8>) {
        let at = net.local(id);
        self.last.insert((id, body.clone()), net.now);
        net.act(id, Event::Attest { body, at });
    }
}

/// The age of an attestation at one node, and its true age.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Reading {
    claimed: Duration,
    real: Duration,
}

/// The reading of every attestation at every node.
fn readings(net: &Net, truth: &TrueTimes) -> Vec<Reading> {
    let mut readings = Vec::new();
    for (id, process) in &net.processes {
        for attestation in process.members.attestations(net.local(*id)) {
            let key = (attestation.node, attestation.body.to_vec());
            readings.push(Reading {
                claimed: attestation.age,
                real: net.now.since(truth.last[&key]),
            });
        }
    }
    readings
}

/// The first reading whose claimed age is less than its true age, after adding the rate margin.
fn too_young(readings: &[Reading]) -> Option<Reading> {
    let margin = cassiashunt_types::ClockDrift::default();
    let is_young = |r: &&Reading| margin.max_elapsed(r.claimed) < r.real;
    readings.iter().find(is_young).copied()
}

fn inject_fault(net: &mut Net) {
    let ids = net.ids();
    let id = ids[net.rng.usize(..ids.len())];
    match net.rng.u32(0..4) {
        0 => {
            let span = Duration::from_millis(net.rng.u64(100..5_000));
            net.pause(id, span);
        }
        1 => {
            for process in net.processes.values_mut() {
                process.side = net.rng.u32(0..2);
            }
            net.is_partitioned = !net.is_partitioned;
        }
        _ => {
            net.faults = LinkFaults {
                loss: net.rng.f64() * 0.3,
                duplication: net.rng.f64() * 0.3,
                delay_micros: (200, net.rng.u64(1_000..2_500_000)),
            };
        }
    }
}

#[test]
fn no_attestation_looks_younger_than_it_is_under_delays_pauses_and_partitions() {
    for_seeds(150, |seed| {
        let mut net = converged(seed, fast_options(), 6);
        let mut truth = TrueTimes::default();
        let attesters: Vec<NodeId> = net.ids().into_iter().take(3).collect();
        for round in 0..25_u8 {
            inject_fault(&mut net);
            for id in &attesters {
                let skips = net.rng.u32(0..3) == 0;
                if !skips {
                    truth.attest(&mut net, *id, vec![round / 5]);
                }
            }
            let span = Duration::from_millis(net.rng.u64(100..800));
            net.run(span);
            let young = too_young(&readings(&net, &truth));
            assert_eq!(young, None, "seed {seed} round {round}");
        }
    });
}

#[test]
fn the_checker_rejects_an_age_that_is_too_young() {
    let ms = Duration::from_millis;
    let correct = Reading {
        claimed: ms(100),
        real: ms(100),
    };
    let young = Reading {
        claimed: ms(100),
        real: ms(150),
    };
    assert_eq!(too_young(&[correct, young]), Some(young));
    assert_eq!(too_young(&[correct]), None);
}

#[test]
fn an_attestation_older_than_the_receiving_process_is_not_dated_too_young() {
    let mut net = converged(5, fast_options(), 4);
    let mut truth = TrueTimes::default();
    let attester = net.ids()[0];
    truth.attest(&mut net, attester, vec![1]);
    net.run(Duration::from_millis(1_500));
    net.start(common::addr(99), &[common::addr(1), common::addr(2)]);
    for _ in 0..20 {
        net.run(Duration::from_millis(50));
        assert_eq!(too_young(&readings(&net, &truth)), None);
    }
}

#[test]
fn changed_contents_reach_every_node_within_two_seconds_at_sixty_four_nodes() {
    for seed in 0..4 {
        let mut net = converged(seed, fast_options(), 64);
        net.faults.loss = 0.02;
        let mut truth = TrueTimes::default();
        let attesters: Vec<NodeId> = net.ids().into_iter().take(15).collect();
        for round in 0..6_u8 {
            for id in &attesters {
                truth.attest(&mut net, *id, vec![round / 3; 12]);
            }
            net.run(Duration::from_millis(500));
        }
        for id in net.ids() {
            let now = net.local(id);
            let held: Vec<_> = net.processes[&id].members.attestations(now).collect();
            assert_eq!(held.len(), attesters.len(), "seed {seed}");
            for attestation in held {
                assert_eq!(attestation.body, [1; 12], "seed {seed}: outdated contents");
                let limit = Duration::from_secs(2);
                assert!(
                    attestation.age < limit,
                    "seed {seed}: {:?}",
                    attestation.age
                );
            }
        }
    }
}

#[test]
fn a_change_of_contents_is_reported_once_to_each_node() {
    let mut net = converged(2, fast_options(), 8);
    let mut truth = TrueTimes::default();
    let attester = net.ids()[0];
    truth.attest(&mut net, attester, vec![1]);
    net.run(Duration::from_secs(3));
    let is_report = |e: &&common::HistoryEntry| {
        e.observation == Observation::Reported(Action::Attested(attester))
    };
    assert_eq!(net.history.iter().filter(is_report).count(), 7);
}

#[test]
fn attestations_are_bounded_and_too_long_ones_are_ignored() {
    let mut opts = fast_options();
    opts.attestations = 4;
    let mut net = converged(2, opts, 10);
    let mut truth = TrueTimes::default();
    for id in net.ids() {
        truth.attest(&mut net, id, vec![1; MAX_ATTESTATION_BYTES]);
        truth.attest(&mut net, id, vec![2; MAX_ATTESTATION_BYTES + 1]);
    }
    net.run(Duration::from_secs(3));
    for process in net.processes.values() {
        let held: Vec<_> = process.members.attestations(net.now).collect();
        assert!(held.len() <= 4, "{} attestations are kept", held.len());
        let body = |a: &cassiashunt_member::Attestation<'_>| a.body.to_vec();
        assert!(
            held.iter().all(|a| body(a) == [1; MAX_ATTESTATION_BYTES]),
            "{held:?}"
        );
    }
}

#[test]
fn an_attestation_expires_after_its_node_stops_attesting() {
    let mut net = converged(2, fast_options(), 5);
    let mut truth = TrueTimes::default();
    let attester = net.ids()[0];
    truth.attest(&mut net, attester, vec![1]);
    net.run(Duration::from_secs(2));
    net.act(attester, Event::StopAttesting);
    net.run(Duration::from_secs(70));
    for id in net.ids() {
        let members = &net.processes[&id].members;
        assert_eq!(members.attestations(net.local(id)).count(), 0);
    }
}
