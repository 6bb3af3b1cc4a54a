//! What a stopping node takes.

use cassiashunt_mesh::StopSchedule;
use cassiashunt_types::prelude::*;

const GRACE: Duration = Duration::from_secs(6);

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn every_request_is_taken_while_readiness_checks_have_not_taken_the_node_out() {
    let stop = StopSchedule::new(ms(50_000), GRACE);
    // Two checks, a second apart.
    for now in [50_000, 51_000, 52_500] {
        assert!(stop.takes(ms(now), ms(now + 60_000)), "{now}");
    }
}

#[test]
fn a_request_that_is_taken_later_than_3_s_ends_before_the_stop() {
    let stop = StopSchedule::new(ms(50_000), GRACE);
    assert!(stop.ends(stop.gives_up()) < ms(50_000) + GRACE);
    for now in (53_000..60_000).step_by(10) {
        for limit in (0..8_000).step_by(50) {
            let deadline = ms(now + limit);
            let is_taken = stop.takes(ms(now), deadline);
            assert!(!is_taken || deadline < stop.gives_up(), "{now} {limit}");
        }
    }
    assert!(stop.takes(ms(53_000), ms(54_000)), "a short one is taken");
}

#[test]
fn requests_are_given_up_in_the_last_sixth_of_the_grace_time_and_before_the_end() {
    let stop = StopSchedule::new(ms(50_000), GRACE);
    assert!(stop.gives_up() > ms(55_000));
    let given_up = stop.gives_up();
    assert!(given_up < stop.recalls_end(given_up));
    assert!(stop.recalls_end(given_up) < stop.ends(given_up));
}

#[test]
fn a_short_grace_time_leaves_time_for_what_was_taken() {
    for grace in [500, 1_000, 2_000, 4_000] {
        let stop = StopSchedule::new(Time::ZERO, Duration::from_millis(grace));
        assert!(stop.notice_ends() <= ms(grace / 2), "{grace}");
        assert!(stop.ends(stop.gives_up()) < ms(grace), "{grace}");
    }
}

#[test]
fn an_end_that_is_noticed_late_leaves_time_for_answers_but_stays_within_the_grace_time() {
    let stop = StopSchedule::new(Time::ZERO, GRACE);
    for late in (5_400..5_800).step_by(10) {
        let answered = stop.ends(ms(late));
        assert!(answered >= ms(late + 80), "{late}");
        let closed = stop.closed_by(answered);
        assert!(closed >= answered && closed < ms(6_000), "{late}");
    }
}
