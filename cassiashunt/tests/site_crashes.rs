//! Requests that end the servers that run them, on the users' platform.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Fault, Request, Run};
use support::{
    eventually,
    site::{KEY, Site, read},
};

/// The users' contact time: within it the whole fleet has to know of a server's end.
const CONTACT: Duration = Duration::from_secs(3);
/// How often a request under which three servers ended may be sent later than that.
const MOST_LATER: usize = 3;
/// The `max_attempts` of the routes.
const MAX_ATTEMPTS: usize = 2;
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_millis(700);
/// How long a server without power is: longer than requests wait for it.
const SILENT: Duration = Duration::from_secs(2);
/// The store is back for so long before a restart: two looks for what is not kept yet.
const STORE_BACK: Duration = Duration::from_secs(2);
/// Under requests with this path the servers end.
const CRASHING: &str = "/desk/read/crashing";

/// One more attempt at the crashing request.
fn crashing() -> Request {
    Request {
        target: CRASHING.into(),
        key: Some(KEY.into()),
        ..Request::default()
    }
}

fn start(name: &str) -> Site {
    let site = Site::start(name, &["shop", "desk", "desk", "desk", "desk"]);
    for member in &site.members[1..] {
        member.server.crash_under(CRASHING, AWAY);
    }
    site
}

/// Sends the request through every node in turn, while servers come back and say so.
fn send_again_and_again(site: &Site, request: impl Fn() -> Request, span: Duration) {
    let began = Instant::now();
    let mut sequence = 1;
    while began.elapsed() < span {
        for member in &site.members {
            beat(site, &mut sequence);
            assert_ne!(member.status_of(&request()), 200);
            thread::sleep(Duration::from_millis(30));
        }
    }
}

fn beat(site: &Site, sequence: &mut u64) {
    *sequence += 1;
    for member in site.members.iter().filter(|it| !it.server.is_away()) {
        let beat = member
            .server
            .beat(member.heartbeats, &member.service, "ready", *sequence);
        assert_eq!(beat.expect("the node answers"), 200);
    }
}

/// The runs of crashing requests at all servers, in their order.
fn crashes(site: &Site) -> Vec<Run> {
    runs_of(site, CRASHING)
}

fn runs_of(site: &Site, path: &str) -> Vec<Run> {
    let runs = site.members.iter().flat_map(|it| it.server.runs());
    let mut runs: Vec<_> = runs.filter(|it| it.first_line.contains(path)).collect();
    runs.sort_by_key(|run| run.at);
    runs
}

/// Sends later than the contact time after the third crash.
fn later(runs: &[Run]) -> usize {
    let third = runs.get(2).map(|run| run.at);
    let is_later = |run: &&Run| third.is_some_and(|third| run.at > third + CONTACT);
    runs.iter().filter(is_later).count()
}

#[test]
fn a_request_under_which_three_servers_ended_is_hardly_sent_on() {
    let site = start("site-crashes");
    send_again_and_again(&site, crashing, CONTACT + Duration::from_secs(5));
    let runs = crashes(&site);
    for run in &runs {
        let sent = runs.iter().filter(|it| it.attempt == run.attempt).count();
        assert!(sent <= MAX_ATTEMPTS, "one attempt was sent {sent} times");
    }
    assert!(
        later(&runs) <= MOST_LATER,
        "{} servers ended, {} of them late",
        runs.len(),
        later(&runs)
    );
    // The others are served by the same servers.
    let mut sequence = 1_000;
    thread::sleep(AWAY);
    beat(&site, &mut sequence);
    for member in &site.members {
        assert_eq!(member.status_of(&read("desk")), 200);
    }
}

#[test]
fn a_crashing_request_that_runs_once_at_most_is_contained_by_its_body() {
    let site = start("site-crashes-write");
    for member in &site.members[1..] {
        member.server.crash_under("/desk/write/", AWAY);
    }
    let crashing = || Request {
        method: "POST",
        target: "/desk/write/crashing".into(),
        key: Some(KEY.into()),
        body: b"a deposit that ends servers".to_vec(),
        ..Request::default()
    };
    send_again_and_again(&site, crashing, CONTACT + Duration::from_secs(3));
    let runs = runs_of(&site, "/desk/write/crashing");
    assert!(later(&runs) <= MOST_LATER, "{} servers ended", runs.len());
    let other_body = Request {
        body: b"another deposit".to_vec(),
        ..crashing()
    };
    let ran = |body: &[u8]| {
        runs_of(&site, "/desk/write/")
            .iter()
            .any(|it| it.body == body)
    };
    site.members[0].status_of(&other_body);
    assert!(ran(&other_body.body), "another body is another request");
}

#[test]
fn a_request_under_which_servers_fall_silent_is_contained_once_they_are_back() {
    let site = start("site-crashes-silent");
    for member in &site.members[1..] {
        member.server.fall_silent_under(CRASHING, SILENT);
    }
    send_again_and_again(&site, crashing, CONTACT + Duration::from_secs(9));
    let runs = crashes(&site);
    assert!(runs.len() >= 3, "{} servers ended", runs.len());
    assert!(
        later(&runs) <= MOST_LATER,
        "{} servers ended, {} of them late",
        runs.len(),
        later(&runs)
    );
}

#[test]
fn what_was_in_flight_beside_a_crashing_request_is_served_afterwards() {
    let site = start("site-crashes-beside");
    for member in &site.members[1..] {
        member
            .server
            .set_usual(Behaviour::Slow(Duration::from_millis(120)));
    }
    let beside: Vec<_> = (0..24).map(|_| read("desk")).collect();
    let members = &site.members;
    thread::scope(|scope| {
        for (at, request) in beside.iter().enumerate() {
            scope.spawn(move || {
                for _ in 0..20 {
                    // A run beside a crash fails, and is not told so for this test.
                    let _ = members[at % members.len()].ask(request);
                }
            });
        }
        send_again_and_again(&site, crashing, Duration::from_secs(2));
    });
    let mut sequence = 1_000;
    thread::sleep(AWAY);
    beat(&site, &mut sequence);
    for request in &beside {
        let request = Request {
            attempt: Request::default().attempt,
            ..request.clone()
        };
        // A suspect that is not to blame runs where no other suspect does, so it may have to come back.
        eventually("it is served", || members[0].status_of(&request) == 200);
    }
}

#[test]
fn a_crashing_request_stays_contained_over_a_restart_of_all_nodes() {
    let mut site = start("site-crashes-restart");
    send_again_and_again(&site, crashing, Duration::from_secs(3));
    restart_all(&mut site);
    expect_contained(&site);
}

#[test]
fn a_crashing_request_stays_contained_though_the_store_was_busy_before_the_restart() {
    let mut site = start("site-crashes-busy-store");
    site.store.set_fault(Fault::Busy);
    send_again_and_again(&site, crashing, Duration::from_secs(3));
    site.store.set_fault(Fault::None);
    thread::sleep(STORE_BACK);
    restart_all(&mut site);
    expect_contained(&site);
}

/// Kills all nodes and waits until they are back.
fn restart_all(site: &mut Site) {
    site.members.iter_mut().for_each(|it| it.node.kill());
    site.members.iter_mut().for_each(|it| it.restart());
    eventually("the nodes are back", || {
        site.members.iter().all(|it| it.is_ready())
    });
    thread::sleep(AWAY);
    beat(site, &mut 1_000);
    site.wait_until_serving();
}

fn expect_contained(site: &Site) {
    let before = crashes(site).len();
    send_again_and_again(site, crashing, Duration::from_secs(2));
    assert_eq!(crashes(site).len(), before, "no server ends under it again");
}

#[test]
fn a_request_whose_answers_are_lost_or_late_is_no_suspect() {
    let site = Site::start("site-crashes-lost", &["shop", "desk", "desk"]);
    let request = read("desk");
    for behaviour in [
        Behaviour::LoseAnswer,
        Behaviour::Slow(Duration::from_millis(1_600)),
    ] {
        for member in &site.members[1..] {
            member.server.set_usual(behaviour.clone());
        }
        for _ in 0..3 {
            assert_ne!(site.members[0].status_of(&request), 200);
        }
    }
    for member in &site.members[1..] {
        member.server.set_usual(Behaviour::Serve);
        assert!(!member.log().contains("server-died"), "no server died");
    }
    eventually("it is served", || {
        site.members[0].status_of(&request) == 200
    });
}
