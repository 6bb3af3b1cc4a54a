//! Tests of which requests are counted as in flight when a server crashes.

use cassiashunt_suspect::{Fingerprint, InFlight};
use cassiashunt_types::prelude::*;

const FIRST: Fingerprint = Fingerprint(1);
const SECOND: Fingerprint = Fingerprint(2);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_crash_returns_running_requests_and_those_lost_since_the_last_answer() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    in_flight.on_unanswered(at(100), &1);
    assert_eq!(in_flight.on_server_crash(at(400)), [FIRST, SECOND]);
    assert!(in_flight.on_server_crash(at(400)).is_empty(), "only once");
}

#[test]
fn an_answer_clears_requests_lost_while_its_request_ran() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    in_flight.on_unanswered(at(100), &1);
    assert_eq!(in_flight.on_answered(at(300), &2), Some((SECOND, at(0))));
    assert!(!in_flight.is_in_doubt());
    assert!(in_flight.on_server_crash(at(400)).is_empty());
}

#[test]
fn an_answer_to_a_later_request_may_come_from_a_restarted_server_and_clears_nothing() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_unanswered(at(100), &1);
    in_flight.on_sent(at(200), 2, SECOND);
    in_flight.on_answered(at(300), &2);
    assert_eq!(in_flight.on_server_crash(at(400)), [FIRST]);
}

#[test]
fn a_crash_does_not_return_requests_lost_long_before() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_unanswered(at(100), &1);
    assert!(in_flight.on_server_crash(at(20_000)).is_empty());
}

#[test]
fn an_answer_read_just_after_a_crash_clears_nothing() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    in_flight.on_unanswered(at(100), &1);
    in_flight.on_answered(at(101), &2);
    assert_eq!(in_flight.on_server_crash(at(400)), [FIRST]);
}

#[test]
fn a_server_is_in_doubt_only_while_no_request_sent_before_the_loss_is_running() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    assert!(!in_flight.is_in_doubt());
    in_flight.on_unanswered(at(100), &1);
    assert!(
        !in_flight.is_in_doubt(),
        "the other request is still running"
    );
    in_flight.on_unanswered(at(101), &2);
    in_flight.on_sent(at(102), 3, FIRST);
    assert!(
        in_flight.is_in_doubt(),
        "a request sent later shows nothing about the server before"
    );
}

#[test]
fn a_request_that_never_reached_the_server_is_not_in_flight() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_not_sent(&1);
    assert!(in_flight.on_server_crash(at(400)).is_empty());
}

#[test]
fn requests_without_an_answer_are_bounded() {
    let mut in_flight = InFlight::default();
    for key in 0..10_000_u64 {
        in_flight.on_sent(at(key), key, Fingerprint(key));
        in_flight.on_unanswered(at(key), &key);
    }
    let in_flight_at_crash = in_flight.on_server_crash(at(10_000));
    assert!(in_flight_at_crash.len() <= 1_024);
    assert!(
        in_flight_at_crash.contains(&Fingerprint(9_999)),
        "the newest are kept"
    );
}
