//! Stops of nodes while requests wait in the queue of an owner.

mod support;

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Answer, Behaviour, Request, ask, open};
use support::{
    eventually,
    site::{Site, set_field, write},
    stop::{GRACE, table_with_timeout},
};

/// The time that the requests of these tests have.
const REQUEST_TIMEOUT_MS: u64 = 8_000;
/// An objective that lets a client's request wait in a queue for longer than a stop takes.
const PATIENT_OBJECTIVE_MS: u64 = 80_000;
/// The work of a server that outlasts a stop.
const LONG_WORK: Duration = Duration::from_millis(7_500);
/// The slots that are used of those that the stand-in of a server announces.
const USED_SLOTS: usize = 7;

/// Lets requests of all routes wait in a queue.
fn put_patient_table(site: &Site) {
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    let mut patient = table_with_timeout(timeout);
    set_field(&mut patient, "routes", "goal_ms", PATIENT_OBJECTIVE_MS);
    site.put_table_in_force(&patient);
}

/// A request whose client waits on a thread of its own.
struct Client {
    request: Request,
    thread: thread::JoinHandle<Answer>,
}

impl Client {
    fn send(site: &Site, at: usize) -> Self {
        let request = Request {
            timeout_ms: REQUEST_TIMEOUT_MS,
            ..write("desk")
        };
        let (address, bytes) = (site.members[at].requests, request.encode());
        let thread = thread::spawn(move || {
            let mut stream = open(address).expect("cannot connect to the node");
            ask(&mut stream, &bytes).expect("the connection was cut off")
        });
        Self { request, thread }
    }

    fn answer(self) -> (Request, Answer) {
        (
            self.request,
            self.thread.join().expect("the client panicked"),
        )
    }
}

/// Sends as many requests as the server of `owner` runs at a time, and then `waiting` more, from
/// clients of the nodes `at` in turn.
fn fill(site: &Site, owner: usize, at: &[usize], waiting: usize) -> Vec<Client> {
    let nodes = at.iter().cycle();
    let send = |count| nodes.clone().take(count).map(|at| Client::send(site, *at));
    let mut clients: Vec<_> = send(USED_SLOTS).collect();
    eventually("the slots are in use", || {
        let runs = site.members[owner].server.runs();
        let has_run = |it: &Client| runs.iter().any(|run| run.attempt == it.request.attempt);
        clients.iter().all(has_run)
    });
    clients.extend(send(waiting));
    // Nothing shows outside that a request waits.
    thread::sleep(Duration::from_millis(300));
    clients
}

/// The answers' statuses, with how often each request ran.
fn fates(site: &Site, answers: &[(Request, Answer)]) -> BTreeMap<(usize, u16), usize> {
    let mut fates = BTreeMap::new();
    for (request, answer) in answers {
        *fates
            .entry((site.runs_of(request), answer.status))
            .or_default() += 1;
    }
    fates
}

/// Requests in the queue of a peer were answered like those that may have run.
#[test]
fn a_request_that_waits_at_a_peer_when_a_stop_gives_it_up_is_reported_as_not_run() {
    const WAITING: usize = 4;
    let mut site = Site::start("queue-ingress", &["shop", "desk"]);
    put_patient_table(&site);
    site.members[1].server.set_usual(Behaviour::Slow(LONG_WORK));
    let clients = fill(&site, 1, &[0], WAITING);
    site.members[0].node.signal("-TERM");
    let answers: Vec<_> = clients.into_iter().map(Client::answer).collect();
    assert_eq!(site.members[0].node.wait(), Some(0));
    // A slot that a cancelled run frees may be taken before the next request is cancelled.
    let fates_at_end = fates(&site, &answers);
    let kinds: Vec<_> = fates_at_end.keys().copied().collect();
    assert_eq!(kinds, [(0, 503), (1, 502)], "{fates_at_end:?}");
    for (_, answer) in answers.iter().filter(|(_, it)| it.status == 503) {
        assert!(answer.header("retry-after").is_some(), "no time to retry");
    }
    // What was given up does not run later, either.
    thread::sleep(LONG_WORK.saturating_sub(GRACE));
    assert_eq!(fates(&site, &answers), fates_at_end);
}

/// In a short grace time, a stop noticed its end too late to hear of what waited at a peer.
#[test]
fn a_request_that_waits_at_a_peer_at_the_end_of_a_short_stop_is_reported_as_not_run() {
    const WAITING: usize = 4;
    let grace = Duration::from_secs(2);
    let mut site = Site::start_with_grace("queue-short", &["shop", "desk"], grace);
    put_patient_table(&site);
    site.members[1].server.set_usual(Behaviour::Slow(LONG_WORK));
    let clients = fill(&site, 1, &[0], WAITING);
    site.members[0].node.signal("-TERM");
    let answers: Vec<_> = clients.into_iter().map(Client::answer).collect();
    assert_eq!(site.members[0].node.wait(), Some(0));
    let fates = fates(&site, &answers);
    let kinds: Vec<_> = fates.keys().copied().collect();
    assert_eq!(kinds, [(0, 503), (1, 502)], "{fates:?}");
}

#[test]
fn requests_that_wait_at_an_owner_when_it_stops_run_elsewhere_at_once() {
    const WAITING: usize = 6;
    let mut site = Site::start("queue-owner", &["shop", "desk"]);
    put_patient_table(&site);
    site.members[1].server.set_usual(Behaviour::Slow(LONG_WORK));
    // Clients of another node and of the owner itself.
    let clients = fill(&site, 1, &[0, 1], WAITING);
    site.add("desk");
    for member in &site.members[..2] {
        eventually("the new owner is linked", || {
            let log = member.log();
            let mut links = log.lines().filter(|it| it.contains("\"link-up\""));
            links.any(|line| line.contains("\"peer\":\"node-2\""))
        });
    }
    thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    site.members[1].node.signal("-TERM");
    let answers: Vec<_> = clients.into_iter().map(Client::answer).collect();
    let expected = BTreeMap::from([((1, 502), USED_SLOTS), ((1, 200), WAITING)]);
    assert_eq!(fates(&site, &answers), expected);
    let runs = site.members[2].server.runs();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.at.saturating_duration_since(began) > Duration::from_secs(1))
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(site.members[1].node.wait(), Some(0));
}
