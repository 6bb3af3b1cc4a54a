//! Attestations never look younger than they are, and reach everybody in about a second.

mod common;

use std::collections::BTreeMap;

use cassiashunt_member::{ATTESTATION_BYTES, Action, Event};
use cassiashunt_types::prelude::*;
use common::{Net, Weather, What, fast, for_seeds, settled};

/// Which of the contents a node attested was true last, and when on the network's clock.
#[derive(Default)]
struct Truth {
    last: BTreeMap<(NodeId, Vec<u8>), Time>,
}

impl Truth {
    fn attest(&mut self, net: &mut Net, id: NodeId, body: Vec<u8>) {
        let at = net.local(id);
        self.last.insert((id, body.clone()), net.now);
        net.act(id, Event::Attest { body, at });
    }
}

/// One node's reading of an attestation, beside the truth.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Reading {
    claimed: Duration,
    real: Duration,
}

/// Every reading of every node that is not paused.
fn readings(net: &Net, truth: &Truth) -> Vec<Reading> {
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

/// The first reading that is younger than the truth allows, the rate margin added.
fn too_young(readings: &[Reading]) -> Option<Reading> {
    let margin = cassiashunt_types::ClockDrift::default();
    let is_young = |r: &&Reading| margin.max_elapsed(r.claimed) < r.real;
    readings.iter().find(is_young).copied()
}

fn disturb(net: &mut Net) {
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
            net.cut = !net.cut;
        }
        _ => {
            net.weather = Weather {
                loss: net.rng.f64() * 0.3,
                duplication: net.rng.f64() * 0.3,
                delay: (200, net.rng.u64(1_000..2_500_000)),
            };
        }
    }
}

#[test]
fn no_attestation_looks_younger_than_it_is_in_delay_pause_and_cut() {
    for_seeds(150, |seed| {
        let mut net = settled(seed, fast(), 6);
        let mut truth = Truth::default();
        let relays: Vec<NodeId> = net.ids().into_iter().take(3).collect();
        for round in 0..25_u8 {
            disturb(&mut net);
            for id in &relays {
                let stops = net.rng.u32(0..3) == 0;
                if !stops {
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
    let sound = Reading {
        claimed: ms(100),
        real: ms(100),
    };
    let young = Reading {
        claimed: ms(100),
        real: ms(150),
    };
    assert_eq!(too_young(&[sound, young]), Some(young));
    assert_eq!(too_young(&[sound]), None);
}

#[test]
fn an_attestation_of_a_process_younger_than_its_clock_is_dated_soundly() {
    let mut net = settled(5, fast(), 4);
    let mut truth = Truth::default();
    let relay = net.ids()[0];
    truth.attest(&mut net, relay, vec![1]);
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
        let mut net = settled(seed, fast(), 64);
        net.weather.loss = 0.02;
        let mut truth = Truth::default();
        let relays: Vec<NodeId> = net.ids().into_iter().take(15).collect();
        for round in 0..6_u8 {
            for id in &relays {
                truth.attest(&mut net, *id, vec![round / 3; 12]);
            }
            net.run(Duration::from_millis(500));
        }
        for id in net.ids() {
            let now = net.local(id);
            let held: Vec<_> = net.processes[&id].members.attestations(now).collect();
            assert_eq!(held.len(), relays.len(), "seed {seed}");
            for attestation in held {
                assert_eq!(attestation.body, [1; 12], "seed {seed}: old contents");
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
    let mut net = settled(2, fast(), 8);
    let mut truth = Truth::default();
    let relay = net.ids()[0];
    truth.attest(&mut net, relay, vec![1]);
    net.run(Duration::from_secs(3));
    let seen = |e: &&common::Entry| e.what == What::Saw(Action::Attested(relay));
    assert_eq!(net.history.iter().filter(seen).count(), 7);
}

#[test]
fn attestations_are_bounded_and_long_ones_are_not_sent() {
    let mut opts = fast();
    opts.attestations = 4;
    let mut net = settled(2, opts, 10);
    let mut truth = Truth::default();
    for id in net.ids() {
        truth.attest(&mut net, id, vec![1; ATTESTATION_BYTES]);
        truth.attest(&mut net, id, vec![2; ATTESTATION_BYTES + 1]);
    }
    net.run(Duration::from_secs(3));
    for process in net.processes.values() {
        let held: Vec<_> = process.members.attestations(net.now).collect();
        assert!(held.len() <= 4, "{} are held", held.len());
        let body = |a: &cassiashunt_member::Attestation<'_>| a.body.to_vec();
        assert!(
            held.iter().all(|a| body(a) == [1; ATTESTATION_BYTES]),
            "{held:?}"
        );
    }
}

#[test]
fn a_node_that_stops_attesting_is_dropped_after_a_while() {
    let mut net = settled(2, fast(), 5);
    let mut truth = Truth::default();
    let relay = net.ids()[0];
    truth.attest(&mut net, relay, vec![1]);
    net.run(Duration::from_secs(2));
    net.act(relay, Event::StopAttesting);
    net.run(Duration::from_secs(70));
    for id in net.ids() {
        let members = &net.processes[&id].members;
        assert_eq!(members.attestations(net.local(id)).count(), 0);
    }
}
