//! A node that leaves gives its server no new work.

mod support;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use cassiashunt_fleet::Fleet;
use cassiashunt_node::Stopped;
use support::{Caller, Done, KEY, callers, now_micros, start};

/// After so long no run may begin, in microseconds.
const BOUND_MICROS: u64 = 3_000_000;
/// The node that leaves; it stands beside a server of `rota`.
const LEAVING: usize = 1;
/// How many requests keep the node from ending.
const LONG: usize = 9;

/// No run began later than the bound after the stop; gives how many began before the stop.
fn check(began: &[u64], stop: u64) -> Result<usize, String> {
    let late = began.iter().find(|began| **began > stop + BOUND_MICROS);
    match late {
        Some(late) => Err(format!("a run began {} us after the stop", late - stop)),
        None => Ok(began.iter().filter(|began| **began < stop).count()),
    }
}

#[test]
fn p10_no_run_begins_at_the_server_of_a_node_that_has_been_stopped() {
    let fleet = start();
    stop_under_load(&fleet, || {});
}

#[test]
fn p10_no_run_begins_there_though_the_other_nodes_were_cut_off_and_have_an_old_view() {
    let fleet = start();
    let peers: Vec<_> = fleet.members.iter().map(|m| m.addresses.peers).collect();
    let cut = || fleet.cuts.cut(&[peers[LEAVING]], &peers);
    stop_under_load(&fleet, cut);
}

/// Stops the node after `before`, whose cuts end while the node is still draining.
fn stop_under_load(fleet: &Fleet, before: impl FnOnce()) {
    let addrs = callers(fleet);
    let server = &fleet.members[LEAVING].server;
    let is_done = AtomicBool::new(false);
    let stop = thread::scope(|scope| {
        for number in 0..8 {
            let (addrs, is_done) = (&addrs, &is_done);
            scope.spawn(move || call(number, addrs, is_done));
        }
        let guard = Done(&is_done);
        thread::sleep(Duration::from_millis(500));
        before();
        hold(fleet, scope, addrs[LEAVING]);
        let stop = now_micros();
        let stopping = scope.spawn(|| fleet.stop_node(LEAVING));
        thread::sleep(Duration::from_millis(300));
        fleet.cuts.heal();
        let stopped = stopping.join().expect("the stop does not panic");
        let took = now_micros() - stop;
        println!("stopped after {took} us: {stopped:?}");
        assert_eq!(stopped, Some(Stopped::Drained));
        assert!(
            took > BOUND_MICROS,
            "the node ended too soon to be looked at"
        );
        thread::sleep(Duration::from_millis(500));
        drop(guard);
        stop
    });
    let began: Vec<_> = server.runs().iter().map(|run| run.began_micros).collect();
    let before = check(&began, stop).expect("no new work");
    let last = began.iter().max().expect("some ran").saturating_sub(stop);
    println!("{before} runs before the stop, the last {last} us after it");
    assert!(before > 0);
}

/// Sends requests that take four seconds, so that the node goes on draining.
fn hold<'a>(fleet: &Fleet, scope: &'a thread::Scope<'a, '_>, addr: SocketAddr) {
    let slow = |factor| {
        for member in &fleet.members {
            member.server.set(|opts| opts.slow_factor = factor);
        }
    };
    slow(4_000.0);
    for _ in 0..LONG {
        scope.spawn(move || {
            // What came of it is no matter of this test.
            let _ = Caller::new(KEY).get(addr, "/photos");
        });
    }
    thread::sleep(Duration::from_millis(300));
    slow(1.0);
}

fn call(number: usize, addrs: &[SocketAddr], is_done: &AtomicBool) {
    let caller = Caller::new(KEY);
    let mut sent = number;
    while !is_done.load(Ordering::Acquire) {
        sent += 1;
        // What is refused is no matter of this test.
        let _ = caller.get(addrs[sent % addrs.len()], "/photos");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn p10_the_checker_rejects_a_run_that_began_too_late() {
    assert_eq!(check(&[5, 20, 10 + BOUND_MICROS], 10), Ok(1));
    assert!(check(&[5, 11 + BOUND_MICROS], 10).is_err());
}
