//! The age of reports between nodes with unrelated clocks.

use cassiashunt_mesh::ReportAge;
use cassiashunt_types::prelude::*;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn reports_queued_while_the_receiver_was_paused_have_their_waiting_time_as_age() {
    let mut age = ReportAge::default();
    for index in 0..10 {
        assert_eq!(
            age.observe(ms(50_000 + 200 * index), ms(7_000 + 200 * index)),
            Duration::ZERO
        );
    }
    // Sent 200 ms after the last report, received 4.8 s late.
    let waited = age.observe(ms(56_800), ms(9_000));
    assert_eq!(waited, Duration::from_millis(4_800));
    assert_eq!(age.observe(ms(56_801), ms(13_801)), Duration::ZERO);
}

#[test]
fn the_first_report_after_a_restart_of_the_sender_has_age_zero() {
    let mut age = ReportAge::default();
    age.observe(ms(50_000), ms(900_000));
    assert_eq!(age.observe(ms(50_200), ms(10)), Duration::ZERO);
}

#[test]
fn clock_drift_adds_at_most_10_ms_to_the_age() {
    let mut age = ReportAge::default();
    let mut oldest = Duration::ZERO;
    for index in 0..500_000 {
        // The sender's clock is slow by 0.1 ms per second.
        let sent = Time::from_micros(200_000 * index - 20 * index);
        oldest = oldest.max(age.observe(Time::from_micros(1_000_000 + 200_000 * index), sent));
    }
    assert!(oldest <= Duration::from_millis(10), "{oldest:?}");
}
