//! When a signal was sent to a process that was paused.

use cassiashunt_mesh::PauseWatch;
use cassiashunt_types::prelude::*;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn ticking_until(last: u64) -> PauseWatch {
    let mut watch = PauseWatch::new(Time::ZERO);
    for at in (0..=last).step_by(100) {
        watch.on_tick(ms(at));
    }
    watch
}

#[test]
fn a_signal_to_a_running_process_was_sent_when_it_is_handled() {
    let watch = ticking_until(5_000);
    for now in [5_000, 5_050, 5_180] {
        assert_eq!(watch.earliest_signal(ms(now)), ms(now));
    }
}

#[test]
fn a_signal_that_is_handled_after_a_pause_may_have_been_sent_at_its_start() {
    let mut watch = ticking_until(5_000);
    assert_eq!(watch.earliest_signal(ms(7_030)), ms(5_000));
    // The timer may fire before the signal is handled.
    watch.on_tick(ms(7_030));
    assert_eq!(watch.earliest_signal(ms(7_031)), ms(5_000));
}

#[test]
fn a_pause_that_ended_before_does_not_count() {
    let mut watch = ticking_until(5_000);
    watch.on_tick(ms(7_030));
    assert_eq!(watch.earliest_signal(ms(7_131)), ms(7_131));
    watch.on_tick(ms(7_130));
    assert_eq!(watch.earliest_signal(ms(7_131)), ms(7_131));
}
