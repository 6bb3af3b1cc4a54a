//! What a server's death is held against.

use cassiashunt_suspect::{Fingerprint, InFlight};
use cassiashunt_types::prelude::*;

const FIRST: Fingerprint = Fingerprint(1);
const SECOND: Fingerprint = Fingerprint(2);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_death_is_held_against_all_that_ran_and_all_that_was_lost_since_the_last_answer() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    in_flight.on_unanswered(at(100), &1);
    assert_eq!(in_flight.on_server_crash(at(400)), [FIRST, SECOND]);
    assert!(in_flight.on_server_crash(at(400)).is_empty(), "once");
}

#[test]
fn an_answer_shows_that_what_was_lost_before_did_not_kill_the_server() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    in_flight.on_unanswered(at(100), &1);
    assert_eq!(in_flight.on_answered(at(300), &2), Some((SECOND, at(0))));
    assert!(!in_flight.is_in_doubt());
    assert!(in_flight.on_server_crash(at(400)).is_empty());
}

#[test]
fn an_answer_to_a_later_request_may_come_from_a_new_start_and_does_not_hide_the_death() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_unanswered(at(100), &1);
    in_flight.on_sent(at(200), 2, SECOND);
    in_flight.on_answered(at(300), &2);
    assert_eq!(in_flight.on_server_crash(at(400)), [FIRST]);
}

#[test]
fn a_death_is_not_held_against_what_was_lost_long_before() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_unanswered(at(100), &1);
    assert!(in_flight.on_server_crash(at(20_000)).is_empty());
}

#[test]
fn an_answer_that_is_read_just_after_a_death_does_not_hide_it() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    in_flight.on_unanswered(at(100), &1);
    in_flight.on_answered(at(101), &2);
    assert_eq!(in_flight.on_server_crash(at(400)), [FIRST]);
}

#[test]
fn a_loss_is_in_doubt_only_while_nothing_sent_before_it_runs_on() {
    let mut in_flight = InFlight::default();
    in_flight.on_sent(at(0), 1, FIRST);
    in_flight.on_sent(at(0), 2, SECOND);
    assert!(!in_flight.is_in_doubt());
    in_flight.on_unanswered(at(100), &1);
    assert!(!in_flight.is_in_doubt(), "the other one runs on");
    in_flight.on_unanswered(at(101), &2);
    in_flight.on_sent(at(102), 3, FIRST);
    assert!(
        in_flight.is_in_doubt(),
        "what was sent later tells nothing yet"
    );
}

#[test]
fn a_request_that_never_reached_the_server_has_no_part_in_its_death() {
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
    let died = in_flight.on_server_crash(at(10_000));
    assert!(died.len() <= 1_024);
    assert!(died.contains(&Fingerprint(9_999)), "the newest are kept");
}
