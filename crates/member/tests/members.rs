//! Membership on explored schedules.

mod common;

use cassiashunt_member::{Action, Departure, Event, Phase, Reach};
use cassiashunt_types::prelude::*;
use common::{
    Entry, Net, Weather, What, addr, fast, for_seeds, resurrected, settled, wrongly_gone,
};

fn check(net: &Net, seed: u64) {
    assert_eq!(resurrected(&net.history), None, "seed {seed}: resurrected");
    assert_eq!(
        wrongly_gone(&net.history),
        None,
        "seed {seed}: wrongly gone"
    );
}

/// Runs until every view agrees, or fails after `limit`.
fn converge(net: &mut Net, seed: u64, limit: Duration) {
    let end = net.now + limit;
    while net.now < end {
        if net.disagreement().is_none() {
            return;
        }
        net.run(Duration::from_millis(100));
    }
    panic!("seed {seed}: {:?}", net.disagreement());
}

/// One random fault, or a change by a member itself.
fn disturb(net: &mut Net) {
    let ids = net.ids();
    let id = ids[net.rng.usize(..ids.len())];
    let place = net.processes[&id].addr;
    let seeds: Vec<_> = (1..=3).map(addr).collect();
    match net.rng.u32(0..8) {
        0 => {
            net.crash(id);
            let dead_for = Duration::from_millis(net.rng.u64(0..3_000));
            net.run(dead_for);
            net.start(place, &seeds);
        }
        1 => {
            net.leave(id);
            net.start(place, &seeds);
        }
        2 | 3 => {
            let span = Duration::from_millis(net.rng.u64(100..6_000));
            net.pause(id, span);
        }
        4 => {
            for process in net.processes.values_mut() {
                process.side = net.rng.u32(0..2);
            }
            net.cut = true;
        }
        5 => net.cut = false,
        6 => {
            let phase = [Phase::Warming, Phase::Serving, Phase::Draining];
            let phase = phase[net.rng.usize(..phase.len())];
            net.act(id, Event::SetPhase(phase));
        }
        _ => {
            net.weather = Weather {
                loss: net.rng.f64() * 0.4,
                duplication: net.rng.f64() * 0.3,
                delay: (200, net.rng.u64(1_000..300_000)),
            };
        }
    }
    let pause = Duration::from_millis(net.rng.u64(100..2_000));
    net.run(pause);
}

#[test]
fn everybody_agrees_once_the_faults_are_over() {
    for_seeds(600, |seed| {
        let nodes = 3 + u16::try_from(seed % 6).expect("small");
        let mut net = settled(seed, fast(), nodes);
        for _ in 0..10 {
            disturb(&mut net);
        }
        net.cut = false;
        net.weather = Weather::default();
        converge(&mut net, seed, Duration::from_secs(30));
        check(&net, seed);
    });
}

#[test]
fn a_fleet_that_starts_at_once_finds_itself_on_a_lossy_network() {
    for_seeds(20, |seed| {
        let mut net = Net::new(seed, fast());
        net.weather.loss = 0.2;
        for port in 1..=20 {
            net.start(addr(port), &[addr(1), addr(2)]);
        }
        net.run(Duration::from_secs(3));
        net.weather.loss = 0.0;
        converge(&mut net, seed, Duration::from_secs(20));
        check(&net, seed);
    });
}

#[test]
fn a_paused_member_that_was_suspected_recovers() {
    for_seeds(40, |seed| {
        let mut net = settled(seed, fast(), 5);
        let id = net.ids()[0];
        let span = Duration::from_millis(net.rng.u64(1_000..8_000));
        net.pause(id, span);
        net.run(span);
        converge(&mut net, seed, Duration::from_secs(5));
        check(&net, seed);
    });
}

#[test]
fn a_dead_member_is_suspected_then_unreachable_but_not_gone() {
    let mut net = settled(1, fast(), 8);
    let id = net.ids()[3];
    net.crash(id);
    net.run(Duration::from_secs(8));
    for process in net.processes.values() {
        let member = process.members.get(id).expect("it is kept");
        assert_eq!(member.reach, Reach::Unreachable);
    }
    check(&net, 1);
}

#[test]
fn an_unreachable_member_is_forgotten_after_its_time() {
    let mut opts = fast();
    opts.forget_after = Duration::from_secs(5);
    let mut net = settled(1, opts, 6);
    let id = net.ids()[3];
    net.crash(id);
    net.run(Duration::from_secs(20));
    let kept = |p: &common::Process| p.members.get(id).is_some();
    assert!(!net.processes.values().any(kept));
}

#[test]
fn a_replacement_takes_the_address_at_once() {
    for_seeds(40, |seed| {
        let mut net = settled(seed, fast(), 12);
        let old = net.ids()[5];
        let place = net.processes[&old].addr;
        net.crash(old);
        let new = net.start(place, &[addr(1), addr(2), addr(3)]);
        net.run(Duration::from_millis(2_500));
        for (id, process) in &net.processes {
            assert!(
                process.members.get(old).is_none(),
                "seed {seed}: {id} holds the old one"
            );
            assert!(
                process.members.get(new).is_some(),
                "seed {seed}: {id} lacks the new one"
            );
        }
        converge(&mut net, seed, Duration::from_secs(5));
        check(&net, seed);
    });
}

#[test]
fn late_messages_of_a_replaced_process_are_dropped() {
    let mut net = settled(7, fast(), 6);
    let old = net.ids()[2];
    let place = net.processes[&old].addr;
    let now = net.local(old);
    let sender = net.processes.get_mut(&old).expect("it runs");
    let late: Vec<_> = (0..20)
        .flat_map(|_| sender.members.on(now, Event::Tick))
        .filter_map(|action| match action {
            Action::Send { msg, .. } => Some(msg),
            _ => None,
        })
        .collect();
    net.crash(old);
    let new = net.start(place, &[addr(1), addr(2), addr(3)]);
    net.run(Duration::from_secs(3));
    let observer = *net.ids().iter().find(|id| **id != new).expect("others run");
    assert!(!late.is_empty());
    for msg in late {
        net.act(observer, Event::Receive { from: place, msg });
    }
    assert!(net.processes[&observer].members.get(old).is_none());
    assert!(net.processes[&observer].members.has_departed(old));
    check(&net, 7);
}

#[test]
fn a_paused_process_whose_address_was_taken_wakes_in_vain() {
    for_seeds(30, |seed| {
        let mut net = settled(seed, fast(), 7);
        let old = net.ids()[3];
        let place = net.processes[&old].addr;
        let span = Duration::from_millis(net.rng.u64(500..6_000));
        net.pause(old, span);
        net.run(Duration::from_millis(300));
        let new = net.start(place, &[addr(1), addr(2), addr(3)]);
        net.run(Duration::from_secs(12));
        for (id, process) in net.processes.iter().filter(|(id, _)| **id != old) {
            assert!(
                process.members.has_departed(old),
                "seed {seed}: {id} keeps the old one"
            );
            let knows = *id == new || process.members.get(new).is_some();
            assert!(knows, "seed {seed}: {id} lacks the new one");
        }
        assert_eq!(resurrected(&net.history), None, "seed {seed}: resurrected");
    });
}

#[test]
fn both_sides_of_a_long_cut_keep_each_other_as_unreachable_and_meet_again() {
    for_seeds(20, |seed| {
        let mut net = settled(seed, fast(), 10);
        for (index, process) in net.processes.values_mut().enumerate() {
            process.side = u32::from(index >= 5);
        }
        net.cut = true;
        net.run(Duration::from_secs(30));
        for process in net.processes.values() {
            let far = process
                .members
                .iter()
                .filter(|m| m.reach == Reach::Unreachable);
            assert_eq!(far.count(), 5, "seed {seed}");
        }
        net.cut = false;
        converge(&mut net, seed, Duration::from_secs(10));
        check(&net, seed);
    });
}

#[test]
fn a_draining_state_reaches_everybody_within_two_seconds_at_five_to_sixty_four_nodes() {
    const ROUNDS: u32 = 20;
    for nodes in [5, 8, 16, 32, 64] {
        for seed in 0..5 {
            let mut net = settled(seed, fast(), nodes);
            net.weather.loss = 0.02;
            let id = net.ids()[0];
            net.act(id, Event::SetPhase(Phase::Draining));
            net.run(net.opts.period * ROUNDS);
            for process in net.processes.values() {
                let record = process.members.get(id).expect("it is kept").record;
                assert_eq!(record.phase, Phase::Draining, "{nodes} nodes, seed {seed}");
            }
        }
    }
}

#[test]
fn the_view_is_bounded_when_more_nodes_come_and_go_than_it_holds() {
    let mut opts = fast();
    opts.members = 6;
    opts.tombstones = 8;
    let mut net = settled(3, opts, 4);
    for port in 100..140 {
        let id = net.start(addr(port), &[addr(1)]);
        net.run(Duration::from_secs(1));
        net.crash(id);
        net.run(Duration::from_secs(3));
    }
    let most = |p: &common::Process| p.members.iter().count();
    assert!(net.processes.values().map(most).max() <= Some(6));
}

#[test]
fn the_checker_rejects_a_resurrection() {
    let saw = |at, action| Entry {
        at: Time::from_millis(at),
        node: NodeId(1),
        what: What::Saw(action),
    };
    let id = NodeId(2);
    let history = [
        saw(1, Action::Joined(id)),
        saw(2, Action::Left(id, Departure::Left)),
        saw(3, Action::Joined(id)),
    ];
    assert_eq!(resurrected(&history), Some(id));
    assert_eq!(resurrected(&history[..2]), None);
}

#[test]
fn the_checker_rejects_a_live_process_that_is_held_for_gone() {
    let entry = |node, what| Entry {
        at: Time::ZERO,
        node: NodeId(node),
        what,
    };
    let left = What::Saw(Action::Left(NodeId(2), Departure::Left));
    let live = [entry(2, What::Started), entry(1, left.clone())];
    assert_eq!(wrongly_gone(&live), Some(NodeId(2)));
    let stopped = [
        entry(2, What::Started),
        entry(2, What::Stopped),
        entry(1, left),
    ];
    assert_eq!(wrongly_gone(&stopped), None);
    let evicted = [
        entry(2, What::Started),
        entry(2, What::Saw(Action::Evicted)),
    ];
    assert_eq!(wrongly_gone(&evicted), Some(NodeId(2)));
}
