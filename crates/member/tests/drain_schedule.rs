//! What a draining node takes from callers.

use cassiashunt_member::DrainSchedule;
use cassiashunt_types::prelude::*;

const NOTICE: Duration = Duration::from_secs(2);
const LONGEST: Duration = Duration::from_secs(30);

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn every_request_is_taken_during_the_notice() {
    let drain = DrainSchedule::new(ms(50_000), NOTICE, LONGEST);
    for now in [50_000, 51_000, 51_999] {
        assert!(drain.takes(ms(now), ms(now + 60_000)), "{now}");
    }
}

#[test]
fn a_request_that_is_taken_after_the_notice_ends_before_the_node() {
    let drain = DrainSchedule::new(ms(50_000), NOTICE, LONGEST);
    for now in (52_000..82_000).step_by(50) {
        for limit in (0..40_000).step_by(500) {
            let deadline = ms(now + limit);
            let is_taken = drain.takes(ms(now), deadline);
            assert!(!is_taken || deadline < drain.ends(), "{now} {limit}");
        }
    }
}

#[test]
fn a_request_after_the_notice_is_taken_where_there_is_time_for_it() {
    let drain = DrainSchedule::new(ms(50_000), NOTICE, LONGEST);
    assert!(drain.takes(ms(52_000), ms(62_000)));
    assert!(drain.takes(ms(78_000), ms(79_000)));
    assert!(!drain.takes(ms(78_000), ms(88_000)));
}

#[test]
fn a_stop_without_a_notice_takes_only_what_ends_before_it() {
    let drain = DrainSchedule::new(ms(50_000), Duration::ZERO, Duration::from_millis(100));
    assert!(!drain.takes(ms(50_000), ms(50_050)));
}
