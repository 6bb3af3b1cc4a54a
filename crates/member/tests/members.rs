//! Membership under random faults, by seed.

mod common;

use cassiashunt_member::{Action, Departure, Event, Phase, Reach};
use cassiashunt_types::prelude::*;
use common::{
    HistoryEntry, LinkFaults, Net, Observation, addr, converged, fast_options, for_seeds, rejoined,
    wrongly_departed,
};

fn check(net: &Net, seed: u64) {
    assert_eq!(rejoined(&net.history), None, "seed {seed}: rejoined");
    assert_eq!(
        wrongly_departed(&net.history),
        None,
        "seed {seed}: wrongly departed"
    );
}

/// Runs until every view is correct; fails after `limit`.
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

/// Injects one random fault or changes a member's phase, then runs for a random time.
fn inject_fault(net: &mut Net) {
    let ids = net.ids();
    let id = ids[net.rng.usize(..ids.len())];
    let member_addr = net.processes[&id].addr;
    let seeds: Vec<_> = (1..=3).map(addr).collect();
    match net.rng.u32(0..8) {
        0 => {
            net.crash(id);
            let downtime = Duration::from_millis(net.rng.u64(0..3_000));
            net.run(downtime);
            net.start(member_addr, &seeds);
        }
        1 => {
            net.leave(id);
            net.start(member_addr, &seeds);
        }
        2 | 3 => {
            let span = Duration::from_millis(net.rng.u64(100..6_000));
            net.pause(id, span);
        }
        4 => {
            for process in net.processes.values_mut() {
                process.side = net.rng.u32(0..2);
            }
            net.is_partitioned = true;
        }
        5 => net.is_partitioned = false,
        6 => {
            let phase = [Phase::Warming, Phase::Serving, Phase::Draining];
            let phase = phase[net.rng.usize(..phase.len())];
            net.act(id, Event::SetPhase(phase));
        }
        _ => {
            net.faults = LinkFaults {
                loss: net.rng.f64() * 0.4,
                duplication: net.rng.f64() * 0.3,
                delay_micros: (200, net.rng.u64(1_000..300_000)),
            };
        }
    }
    let span = Duration::from_millis(net.rng.u64(100..2_000));
    net.run(span);
}

#[test]
fn every_view_is_correct_after_the_faults_end() {
    for_seeds(600, |seed| {
        let nodes = 3 + u16::try_from(seed % 6).expect("seed % 6 exceeds u16");
        let mut net = converged(seed, fast_options(), nodes);
        for _ in 0..10 {
            inject_fault(&mut net);
        }
        net.is_partitioned = false;
        net.faults = LinkFaults::default();
        converge(&mut net, seed, Duration::from_secs(30));
        check(&net, seed);
    });
}

#[test]
fn nodes_that_start_together_find_each_other_on_a_lossy_network() {
    for_seeds(20, |seed| {
        let mut net = Net::new(seed, fast_options());
        net.faults.loss = 0.2;
        for port in 1..=20 {
            net.start(addr(port), &[addr(1), addr(2)]);
        }
        net.run(Duration::from_secs(3));
        net.faults.loss = 0.0;
        converge(&mut net, seed, Duration::from_secs(20));
        check(&net, seed);
    });
}

#[test]
fn a_paused_member_that_was_suspected_recovers() {
    for_seeds(40, |seed| {
        let mut net = converged(seed, fast_options(), 5);
        let id = net.ids()[0];
        let span = Duration::from_millis(net.rng.u64(1_000..8_000));
        net.pause(id, span);
        net.run(span);
        converge(&mut net, seed, Duration::from_secs(5));
        check(&net, seed);
    });
}

#[test]
fn a_crashed_member_becomes_unreachable_but_is_not_removed() {
    let mut net = converged(1, fast_options(), 8);
    let id = net.ids()[3];
    net.crash(id);
    net.run(Duration::from_secs(8));
    for process in net.processes.values() {
        let member = process.members.get(id).expect("the member was removed");
        assert_eq!(member.reach, Reach::Unreachable);
    }
    check(&net, 1);
}

#[test]
fn an_unreachable_member_is_removed_after_forget_after() {
    let mut opts = fast_options();
    opts.forget_after = Duration::from_secs(5);
    let mut net = converged(1, opts, 6);
    let id = net.ids()[3];
    net.crash(id);
    net.run(Duration::from_secs(20));
    let is_member = |p: &common::Process| p.members.get(id).is_some();
    assert!(!net.processes.values().any(is_member));
}

#[test]
fn a_new_process_replaces_the_old_one_at_its_address() {
    for_seeds(40, |seed| {
        let mut net = converged(seed, fast_options(), 12);
        let old = net.ids()[5];
        let member_addr = net.processes[&old].addr;
        net.crash(old);
        let new = net.start(member_addr, &[addr(1), addr(2), addr(3)]);
        net.run(Duration::from_millis(2_500));
        for (id, process) in &net.processes {
            assert!(
                process.members.get(old).is_none(),
                "seed {seed}: {id} still has the old process"
            );
            assert!(
                process.members.get(new).is_some(),
                "seed {seed}: {id} lacks the new process"
            );
        }
        converge(&mut net, seed, Duration::from_secs(5));
        check(&net, seed);
    });
}

#[test]
fn late_messages_of_a_replaced_process_are_dropped() {
    let mut net = converged(7, fast_options(), 6);
    let old = net.ids()[2];
    let member_addr = net.processes[&old].addr;
    let now = net.local(old);
    let sender = net
        .processes
        .get_mut(&old)
        .expect("the process does not run");
    let late: Vec<_> = (0..20)
        .flat_map(|_| sender.members.on(now, Event::Tick))
        .filter_map(|action| match action {
            Action::Send { msg, .. } => Some(msg),
            _ => None,
        })
        .collect();
    net.crash(old);
    let new = net.start(member_addr, &[addr(1), addr(2), addr(3)]);
    net.run(Duration::from_secs(3));
    let observer = *net
        .ids()
        .iter()
        .find(|id| **id != new)
        .expect("no other process runs");
    assert!(!late.is_empty());
    for msg in late {
        net.act(
            observer,
            Event::Receive {
                from: member_addr,
                msg,
            },
        );
    }
    assert!(net.processes[&observer].members.get(old).is_none());
    assert!(net.processes[&observer].members.has_departed(old));
    check(&net, 7);
}

#[test]
fn a_process_replaced_during_its_pause_does_not_rejoin() {
    for_seeds(30, |seed| {
        let mut net = converged(seed, fast_options(), 7);
        let old = net.ids()[3];
        let member_addr = net.processes[&old].addr;
        let span = Duration::from_millis(net.rng.u64(500..6_000));
        net.pause(old, span);
        net.run(Duration::from_millis(300));
        let new = net.start(member_addr, &[addr(1), addr(2), addr(3)]);
        net.run(Duration::from_secs(12));
        for (id, process) in net.processes.iter().filter(|(id, _)| **id != old) {
            assert!(
                process.members.has_departed(old),
                "seed {seed}: {id} has no tombstone of the old process"
            );
            let knows = *id == new || process.members.get(new).is_some();
            assert!(knows, "seed {seed}: {id} lacks the new process");
        }
        assert_eq!(rejoined(&net.history), None, "seed {seed}: rejoined");
    });
}

#[test]
fn both_sides_of_a_partition_keep_each_other_as_unreachable_and_reconnect() {
    for_seeds(20, |seed| {
        let mut net = converged(seed, fast_options(), 10);
        for (index, process) in net.processes.values_mut().enumerate() {
            process.side = u32::from(index >= 5);
        }
        net.is_partitioned = true;
        net.run(Duration::from_secs(30));
        for process in net.processes.values() {
            let unreachable = process
                .members
                .iter()
                .filter(|m| m.reach == Reach::Unreachable);
            assert_eq!(unreachable.count(), 5, "seed {seed}");
        }
        net.is_partitioned = false;
        converge(&mut net, seed, Duration::from_secs(10));
        check(&net, seed);
    });
}

#[test]
fn a_draining_phase_reaches_every_node_within_two_seconds_at_five_to_sixty_four_nodes() {
    const MAX_PERIODS: u32 = 20;
    for nodes in [5, 8, 16, 32, 64] {
        for seed in 0..5 {
            let mut net = converged(seed, fast_options(), nodes);
            net.faults.loss = 0.02;
            let id = net.ids()[0];
            net.act(id, Event::SetPhase(Phase::Draining));
            net.run(net.opts.period * MAX_PERIODS);
            for process in net.processes.values() {
                let record = process
                    .members
                    .get(id)
                    .expect("the member was removed")
                    .record;
                assert_eq!(record.phase, Phase::Draining, "{nodes} nodes, seed {seed}");
            }
        }
    }
}

#[test]
fn the_view_is_bounded_when_more_nodes_join_and_crash_than_fit() {
    let mut opts = fast_options();
    opts.members = 6;
    opts.tombstones = 8;
    let mut net = converged(3, opts, 4);
    for port in 100..140 {
        let id = net.start(addr(port), &[addr(1)]);
        net.run(Duration::from_secs(1));
        net.crash(id);
        net.run(Duration::from_secs(3));
    }
    let peers = |p: &common::Process| p.members.iter().count();
    assert!(net.processes.values().map(peers).max() <= Some(6));
}

#[test]
fn the_checker_rejects_a_rejoin_after_departure() {
    let reported = |at, action| HistoryEntry {
        at: Time::from_millis(at),
        node: NodeId(1),
        observation: Observation::Reported(action),
    };
    let id = NodeId(2);
    let history = [
        reported(1, Action::Joined(id)),
        reported(2, Action::Left(id, Departure::Left)),
        reported(3, Action::Joined(id)),
    ];
    assert_eq!(rejoined(&history), Some(id));
    assert_eq!(rejoined(&history[..2]), None);
}

#[test]
fn the_checker_rejects_the_departure_of_a_running_process() {
    let entry = |node, observation| HistoryEntry {
        at: Time::ZERO,
        node: NodeId(node),
        observation,
    };
    let left = Observation::Reported(Action::Left(NodeId(2), Departure::Left));
    let running = [entry(2, Observation::Started), entry(1, left.clone())];
    assert_eq!(wrongly_departed(&running), Some(NodeId(2)));
    let stopped = [
        entry(2, Observation::Started),
        entry(2, Observation::Stopped),
        entry(1, left),
    ];
    assert_eq!(wrongly_departed(&stopped), None);
    let evicted = [
        entry(2, Observation::Started),
        entry(2, Observation::Reported(Action::Evicted)),
    ];
    assert_eq!(wrongly_departed(&evicted), Some(NodeId(2)));
}
