//! A planned stop cuts off no request.

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use cassiashunt_node::Stopped;
use support::{Caller, KEY, Seen, callers, start};

/// Every request got a whole answer or an honest refusal that says it was not run.
fn check(history: &[Result<Seen, String>]) -> Result<usize, String> {
    let mut served = 0;
    for seen in history {
        let seen = seen.as_ref().map_err(|err| format!("cut off: {err}"))?;
        if seen.is_ok() {
            served += 1;
        } else if !seen.is_not_run() {
            return Err(format!("neither whole nor refused: {seen:?}"));
        }
    }
    Ok(served)
}

#[test]
fn p11_a_rolling_restart_of_every_node_under_load_cuts_off_nothing() {
    let fleet = start();
    let addrs = callers(&fleet);
    let is_done = AtomicBool::new(false);
    let history: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..12)
            .map(|number| {
                let (addrs, is_done) = (&addrs, &is_done);
                scope.spawn(move || call_around(number, addrs, is_done))
            })
            .collect();
        let guard = Done(&is_done);
        for number in 0..fleet.members.len() {
            assert_eq!(
                fleet.stop_node(number),
                Some(Stopped::Drained),
                "node {number}"
            );
            fleet
                .replace_node(number)
                .expect("the addresses are free again");
            fleet.wait_ready().expect("the fleet is complete again");
        }
        drop(guard);
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("callers do not panic"))
            .collect()
    });
    let served = check(&history).expect("nothing is cut off");
    assert!(
        served * 10 >= history.len() * 9,
        "{served} of {} served",
        history.len()
    );
}

/// Ends the callers, also where the test fails.
struct Done<'a>(&'a AtomicBool);

impl Drop for Done<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Calls one node after another over kept-alive connections; a node that closes the connection
/// with its answer, and one that takes none, is left for a while.
fn call_around(
    number: usize,
    addrs: &[std::net::SocketAddr],
    is_done: &AtomicBool,
) -> Vec<Result<Seen, String>> {
    let mut caller = Caller::new(KEY);
    let mut history = Vec::new();
    let mut at = number;
    while !is_done.load(Ordering::Acquire) {
        let addr = addrs[at % addrs.len()];
        let target = if number.is_multiple_of(3) {
            "/photos?bytes=300000"
        } else {
            "/sections"
        };
        match caller.get(addr, target) {
            // A node that has stopped takes no connection: nothing of the request was sent.
            Err(err) if err.contains("refused") => at += 1,
            Ok(seen) if seen.closes => {
                history.push(Ok(without_body(seen)));
                caller = Caller::new(KEY);
                at += 1;
            }
            seen => history.push(seen.map(without_body)),
        }
        thread::sleep(Duration::from_millis(5));
    }
    history
}

/// The history of a long run is kept without the bodies.
fn without_body(seen: Seen) -> Seen {
    Seen {
        body: Vec::new(),
        ..seen
    }
}

#[test]
fn p11_the_checker_rejects_a_cut_connection_and_a_failure_that_may_have_run() {
    let seen = |status, verdict: Option<&str>| {
        Ok(Seen {
            status,
            verdict: verdict.map(str::to_owned),
            code: None,
            retry_after: None,
            closes: false,
            digest: None,
            body: Vec::new(),
        })
    };
    assert_eq!(check(&[seen(200, None), seen(503, Some("not-run"))]), Ok(1));
    assert!(check(&[seen(502, Some("may-have-run"))]).is_err());
    assert!(check(&[Err("reset".into())]).is_err());
}
