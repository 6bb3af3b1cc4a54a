//! How soon a node of the platform serves after its start, with and without its peers.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use support::site::{Member, Site, read};

/// By when a node is in touch, in the platform's deployments.
const CONTACT: Duration = Duration::from_secs(3);

/// How long a started node waits for a peer's table.
const COMPARISON_WAIT: Duration = Duration::from_secs(1);

/// Starts the node again, and fails unless its own server gets requests in time.
fn assert_serves_after_restart(member: &mut Member) {
    member.node.kill();
    member.restart();
    assert_serves_in_time(member, Instant::now());
}

fn assert_serves_in_time(member: &Member, started: Instant) {
    let serves = |member: &Member| {
        let answer = member.ask(&read(&member.service));
        answer.is_ok_and(|answer| answer.status == 200)
    };
    while !serves(member) {
        assert!(started.elapsed() < CONTACT, "{}", member.log());
        thread::sleep(Duration::from_millis(2));
    }
    println!("first answer after {:?}", started.elapsed());
    assert!(member.is_ready());
}

#[test]
fn a_lone_node_that_is_started_serves() {
    let mut site = Site::start("start-lone", &["shop"]);
    assert_serves_after_restart(&mut site.members[0]);
}

#[test]
fn a_node_that_is_started_among_live_peers_serves() {
    let mut site = Site::start("start-live", &["shop", "desk", "shop", "desk"]);
    assert_serves_after_restart(&mut site.members[0]);
}

#[test]
fn a_node_that_is_started_while_all_peers_are_dead_serves() {
    let mut site = Site::start("start-dead", &["shop", "desk", "shop", "desk"]);
    for member in &mut site.members[1..] {
        member.node.kill();
    }
    assert_serves_after_restart(&mut site.members[0]);
}

#[test]
fn a_node_that_is_started_while_no_peer_answers_serves() {
    let mut site = Site::start("start-silent", &["shop", "desk", "shop", "desk"]);
    for member in &site.members[1..] {
        member.node.signal("-STOP");
    }
    let member = &mut site.members[0];
    member.node.kill();
    let started = Instant::now();
    member.restart();
    while !member.is_ready() {
        assert!(started.elapsed() < CONTACT, "{}", member.log());
        thread::sleep(Duration::from_millis(2));
    }
    let wait = started.elapsed();
    assert!(wait >= COMPARISON_WAIT, "ready after {wait:?}");
    assert_serves_in_time(member, started);
}

#[test]
fn nodes_that_are_killed_and_started_at_the_same_time_serve() {
    let mut site = Site::start("start-all", &["shop", "desk", "shop", "desk"]);
    for member in &mut site.members {
        member.node.kill();
    }
    let started = Instant::now();
    for member in &mut site.members {
        member.restart();
    }
    thread::scope(|scope| {
        for member in &site.members {
            scope.spawn(move || assert_serves_in_time(member, started));
        }
    });
}
