//! Requests that crash the servers that run them, on the platform.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Fault, Request, Run};
use support::{
    eventually,
    site::{Site, WORKSPACE_KEY, read},
};

/// The platform's contact time: all nodes have to know of a server's crash within it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How often a request that has crashed three servers may run later than [`CONTACT_TIME`] after that.
const MAX_LATE_RUNS: usize = 3;
/// The `max_attempts` of the routes.
const MAX_ATTEMPTS: usize = 2;
/// How long a crashed server is down.
const CRASH_DOWNTIME: Duration = Duration::from_millis(700);
/// How long a server without power is down: longer than the timeout of requests to it.
const POWER_LOSS_DOWNTIME: Duration = Duration::from_secs(2);
/// How long the store works again before the nodes restart. In this time, the nodes check twice for state
/// that is not stored yet.
const STORE_RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Requests with this path crash the servers.
const CRASHING_PATH: &str = "/desk/read/crashing";

/// A new attempt of the crashing request.
fn crashing_request() -> Request {
    Request {
        target: CRASHING_PATH.into(),
        key: Some(WORKSPACE_KEY.into()),
        ..Request::default()
    }
}

fn start_site(name: &str) -> Site {
    let site = Site::start(name, &["shop", "desk", "desk", "desk", "desk"]);
    for member in &site.members[1..] {
        member.server.crash_under(CRASHING_PATH, CRASH_DOWNTIME);
    }
    site
}

/// Sends the request through all nodes in turn for `span`, with heartbeats of the servers that are up.
fn send_repeatedly(site: &Site, request: impl Fn() -> Request, span: Duration) {
    let began = Instant::now();
    let mut sequence = 1;
    while began.elapsed() < span {
        for member in &site.members {
            send_heartbeats(site, &mut sequence);
            assert_ne!(member.status_of(&request()), 200);
            thread::sleep(Duration::from_millis(30));
        }
    }
}

fn send_heartbeats(site: &Site, sequence: &mut u64) {
    *sequence += 1;
    for member in site.members.iter().filter(|it| !it.server.is_away()) {
        let status = member
            .server
            .beat(member.heartbeats, &member.service, "ready", *sequence);
        assert_eq!(status.expect("no answer from the node"), 200);
    }
}

/// The runs of the crashing request at all servers, by time.
fn crashing_runs(site: &Site) -> Vec<Run> {
    runs_of(site, CRASHING_PATH)
}

fn runs_of(site: &Site, path: &str) -> Vec<Run> {
    let runs = site.members.iter().flat_map(|it| it.server.runs());
    let mut runs: Vec<_> = runs.filter(|it| it.first_line.contains(path)).collect();
    runs.sort_by_key(|run| run.at);
    runs
}

/// How many runs began later than [`CONTACT_TIME`] after the third.
fn count_late(runs: &[Run]) -> usize {
    let third = runs.get(2).map(|run| run.at);
    let is_late = |run: &&Run| third.is_some_and(|third| run.at > third + CONTACT_TIME);
    runs.iter().filter(is_late).count()
}

#[test]
fn a_request_that_crashed_three_servers_runs_at_most_a_few_more_times() {
    let site = start_site("site-crashes");
    send_repeatedly(
        &site,
        crashing_request,
        CONTACT_TIME + Duration::from_secs(5),
    );
    let runs = crashing_runs(&site);
    for run in &runs {
        let run_count = runs.iter().filter(|it| it.attempt == run.attempt).count();
        assert!(
            run_count <= MAX_ATTEMPTS,
            "one attempt ran {run_count} times"
        );
    }
    assert!(
        count_late(&runs) <= MAX_LATE_RUNS,
        "{} servers crashed, {} of them late",
        runs.len(),
        count_late(&runs)
    );
    // Other requests are served by the same servers.
    let mut sequence = 1_000;
    thread::sleep(CRASH_DOWNTIME);
    send_heartbeats(&site, &mut sequence);
    for member in &site.members {
        assert_eq!(member.status_of(&read("desk")), 200);
    }
}

#[test]
fn a_crashing_non_idempotent_request_is_contained_by_its_body() {
    let site = start_site("site-crashes-write");
    for member in &site.members[1..] {
        member.server.crash_under("/desk/write/", CRASH_DOWNTIME);
    }
    let crashing_request = || Request {
        method: "POST",
        target: "/desk/write/crashing".into(),
        key: Some(WORKSPACE_KEY.into()),
        body: b"a deposit that ends servers".to_vec(),
        ..Request::default()
    };
    send_repeatedly(
        &site,
        crashing_request,
        CONTACT_TIME + Duration::from_secs(3),
    );
    let runs = runs_of(&site, "/desk/write/crashing");
    assert!(
        count_late(&runs) <= MAX_LATE_RUNS,
        "{} servers crashed",
        runs.len()
    );
    let other_body = Request {
        body: b"another deposit".to_vec(),
        ..crashing_request()
    };
    let has_run = |body: &[u8]| {
        runs_of(&site, "/desk/write/")
            .iter()
            .any(|it| it.body == body)
    };
    site.members[0].status_of(&other_body);
    assert!(
        has_run(&other_body.body),
        "a request with another body must not be contained"
    );
}

#[test]
fn a_request_under_which_servers_lose_power_is_contained_once_they_are_up_again() {
    let site = start_site("site-crashes-silent");
    for member in &site.members[1..] {
        member
            .server
            .fall_silent_under(CRASHING_PATH, POWER_LOSS_DOWNTIME);
    }
    send_repeatedly(
        &site,
        crashing_request,
        CONTACT_TIME + Duration::from_secs(9),
    );
    let runs = crashing_runs(&site);
    assert!(runs.len() >= 3, "{} servers crashed", runs.len());
    assert!(
        count_late(&runs) <= MAX_LATE_RUNS,
        "{} servers crashed, {} of them late",
        runs.len(),
        count_late(&runs)
    );
}

#[test]
fn requests_in_flight_with_a_crashing_one_are_served_afterwards() {
    let site = start_site("site-crashes-beside");
    for member in &site.members[1..] {
        member
            .server
            .set_usual(Behaviour::Slow(Duration::from_millis(120)));
    }
    let other_requests: Vec<_> = (0..24).map(|_| read("desk")).collect();
    let members = &site.members;
    thread::scope(|scope| {
        for (at, request) in other_requests.iter().enumerate() {
            scope.spawn(move || {
                for _ in 0..20 {
                    // A run on a server that crashes fails; this test ignores the answer.
                    let _ = members[at % members.len()].ask(request);
                }
            });
        }
        send_repeatedly(&site, crashing_request, Duration::from_secs(2));
    });
    let mut sequence = 1_000;
    thread::sleep(CRASH_DOWNTIME);
    send_heartbeats(&site, &mut sequence);
    for request in &other_requests {
        let request = Request {
            attempt: Request::default().attempt,
            ..request.clone()
        };
        // An innocent suspect runs only on a server without other suspects, so it may need retries.
        eventually("request served", || members[0].status_of(&request) == 200);
    }
}

#[test]
fn a_crashing_request_stays_contained_across_a_restart_of_all_nodes() {
    let mut site = start_site("site-crashes-restart");
    send_repeatedly(&site, crashing_request, Duration::from_secs(3));
    restart_all(&mut site);
    assert_contained(&site);
}

#[test]
fn a_crashing_request_stays_contained_although_the_store_was_busy_before_the_restart() {
    let mut site = start_site("site-crashes-busy-store");
    site.store.set_fault(Fault::Busy);
    send_repeatedly(&site, crashing_request, Duration::from_secs(3));
    site.store.set_fault(Fault::None);
    thread::sleep(STORE_RECOVERY_TIME);
    restart_all(&mut site);
    assert_contained(&site);
}

/// Kills and restarts all nodes, and waits until they serve requests.
fn restart_all(site: &mut Site) {
    site.members.iter_mut().for_each(|it| it.node.kill());
    site.members.iter_mut().for_each(|it| it.restart());
    eventually("all nodes are ready", || {
        site.members.iter().all(|it| it.is_ready())
    });
    thread::sleep(CRASH_DOWNTIME);
    send_heartbeats(site, &mut 1_000);
    site.wait_until_serving();
}

fn assert_contained(site: &Site) {
    let before = crashing_runs(site).len();
    send_repeatedly(site, crashing_request, Duration::from_secs(2));
    assert_eq!(
        crashing_runs(site).len(),
        before,
        "the contained request crashed another server"
    );
}

#[test]
fn a_request_whose_answers_are_lost_or_late_is_not_a_suspect() {
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
        assert!(
            !member.log().contains("server-died"),
            "the node reported a crash of a healthy server"
        );
    }
    eventually("request served", || {
        site.members[0].status_of(&request) == 200
    });
}
