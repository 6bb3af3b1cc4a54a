//! Stops of nodes whose backend server makes calls while it is at work.

mod support;

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Request, ask, open};
use support::{
    eventually,
    site::{Site, write},
    stop::{GRACE, table_with_timeout},
};

/// The time that the requests of these tests have.
const REQUEST_TIMEOUT_MS: u64 = 8_000;
/// The work of a server that outlasts a stop.
const LONG_WORK: Duration = Duration::from_millis(7_500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn put_patient_table(site: &Site) {
    let timeout = Duration::from_millis(REQUEST_TIMEOUT_MS);
    site.put_table_in_force(&table_with_timeout(timeout));
}

/// A call of a run, as its server saw it. Times count from the SIGTERM.
#[derive(Debug)]
struct Call {
    attempt: String,
    sent: Duration,
    ended: Duration,
    /// The answer's status; an error where the connection ended without one.
    status: io::Result<u16>,
}

fn call_of(parent: &str) -> Request {
    Request {
        target: format!("/desk/call/{:x}", fastrand::u32(..)),
        attempt: format!("{parent}.{:08x}", fastrand::u32(..)),
        timeout_ms: REQUEST_TIMEOUT_MS,
        ..Request::default()
    }
}

/// A connection that has had a call before `at`; `None` if the node takes none any more.
fn kept_connection(
    node: SocketAddr,
    parent: &str,
    at: Duration,
    began: Instant,
) -> Option<TcpStream> {
    const IDLE_TIME: Duration = Duration::from_secs(1);
    sleep_until(began, at.saturating_sub(IDLE_TIME));
    let mut stream = open(node).ok()?;
    let answer = ask(&mut stream, &call_of(parent).encode()).ok()?;
    (answer.header("connection") != Some("close")).then_some(stream)
}

fn sleep_until(began: Instant, at: Duration) {
    thread::sleep((began + at).saturating_duration_since(Instant::now()));
}

impl Call {
    /// Makes a call on a new connection, or on one that is kept for it.
    fn make(node: SocketAddr, parent: &str, at: Duration, is_kept: bool, began: Instant) -> Self {
        let request = call_of(parent);
        let bytes = request.encode();
        let kept = is_kept.then(|| kept_connection(node, parent, at, began));
        sleep_until(began, at);
        let mut sent = Duration::ZERO;
        let stream = kept.flatten().map_or_else(|| open(node), Ok);
        let status = stream.and_then(|mut stream| {
            stream.write_all(&bytes)?;
            sent = began.elapsed();
            Ok(ask(&mut stream, b"")?.status)
        });
        Self {
            attempt: request.attempt,
            sent,
            ended: began.elapsed(),
            status,
        }
    }

    /// Whether it was taken and ended without an answer. One that crossed the node's close and did not
    /// run was not taken.
    fn is_cut(&self, runs: usize) -> bool {
        const LOSS_SLACK: Duration = Duration::from_millis(200);
        let has_taken_time = self.sent > Duration::ZERO && self.ended > self.sent + LOSS_SLACK;
        self.status.is_err() && (runs > 0 || has_taken_time)
    }
}

/// A server calls every 30 ms up to the end of its node's stop, for a run for a client of `ingress`.
/// No call that was taken may end without an answer, nor be refused if it ran.
fn check_calls_in_a_stop(name: &str, ingress: usize) {
    let mut site = Site::start(name, &["shop", "desk"]);
    put_patient_table(&site);
    site.members[0].server.set_usual(Behaviour::Slow(LONG_WORK));
    let request = Request {
        timeout_ms: REQUEST_TIMEOUT_MS,
        ..write("shop")
    };
    let (address, bytes) = (site.members[ingress].requests, request.encode());
    let client = thread::spawn(move || ask(&mut open(address)?, &bytes));
    eventually("the run is at work", || site.runs_of(&request) == 1);
    site.members[1].server.set_usual(Behaviour::Slow(ms(40)));
    let node = site.members[0].requests;
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let calls: Vec<_> = (0..200)
        .map(|at| {
            let parent = request.attempt.clone();
            let is_kept = at % 2 == 0;
            thread::spawn(move || Call::make(node, &parent, ms(at * 30), is_kept, began))
        })
        .collect();
    let calls: Vec<_> = calls
        .into_iter()
        .map(|it| it.join().expect("a call panicked"))
        .collect();
    assert_eq!(site.members[0].node.wait(), Some(0));
    let answer = client.join().expect("the client panicked");
    assert_eq!(answer.expect("no answer to the client").status, 502);
    let runs: Vec<_> = site.members[1].server.runs();
    let runs_of = |call: &Call| runs.iter().filter(|it| it.attempt == call.attempt).count();
    let cut: Vec<_> = calls.iter().filter(|it| it.is_cut(runs_of(it))).collect();
    assert!(cut.is_empty(), "{cut:#?}");
    let is_refused = |it: &&Call| matches!(it.status, Ok(503));
    let refused: Vec<_> = calls.iter().filter(is_refused).collect();
    let ran: Vec<_> = refused.iter().filter(|it| runs_of(it) > 0).collect();
    assert!(ran.is_empty(), "refused as not run: {ran:#?}");
    let last = calls.iter().filter(|it| matches!(it.status, Ok(200)));
    let last = last.map(|it| it.ended).max();
    assert!(last.is_some_and(|it| it > GRACE / 2), "{last:?}");
}

#[test]
fn calls_of_a_run_for_a_peer_are_answered_up_to_the_end_of_a_stop() {
    check_calls_in_a_stop("calls-of-peer", 1);
}

#[test]
fn calls_of_a_run_for_an_own_client_are_answered_up_to_the_end_of_a_stop() {
    check_calls_in_a_stop("calls-of-client", 0);
}
