//! Requests that end the servers that run them, on the users' platform.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, Run};
use support::site::{KEY, Site, read};

/// The users' contact time: within it the whole fleet has to know of a server's end.
const CONTACT: Duration = Duration::from_secs(3);
/// How often a request under which three servers ended may be sent later than that.
const MOST_LATER: usize = 3;
/// The `max_attempts` of the routes.
const MAX_ATTEMPTS: usize = 2;
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_millis(700);
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
    let runs = site.members.iter().flat_map(|it| it.server.runs());
    let mut runs: Vec<_> = runs.filter(|it| it.first_line.contains(CRASHING)).collect();
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
