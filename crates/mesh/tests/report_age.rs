//! The age of words between nodes whose clocks have nothing to do with each other.

use cassiashunt_mesh::ReportAge;
use cassiashunt_types::prelude::*;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn words_that_waited_while_the_reader_was_paused_are_old() {
    let mut age = ReportAge::default();
    for word in 0..10 {
        assert_eq!(
            age.observe(ms(50_000 + 200 * word), ms(7_000 + 200 * word)),
            Duration::ZERO
        );
    }
    // Sent 200 ms after the last, read 5 s later.
    let waited = age.observe(ms(56_800), ms(9_000));
    assert_eq!(waited, Duration::from_millis(4_800));
    assert_eq!(age.observe(ms(56_801), ms(13_801)), Duration::ZERO);
}

#[test]
fn another_start_of_the_sender_counts_as_new() {
    let mut age = ReportAge::default();
    age.observe(ms(50_000), ms(900_000));
    assert_eq!(age.observe(ms(50_200), ms(10)), Duration::ZERO);
}

#[test]
fn clocks_that_drift_do_not_make_words_old() {
    let mut age = ReportAge::default();
    let mut oldest = Duration::ZERO;
    for word in 0..500_000 {
        // The sender's clock loses 0.1 ms a second.
        let sent = Time::from_micros(200_000 * word - 20 * word);
        oldest = oldest.max(age.observe(Time::from_micros(1_000_000 + 200_000 * word), sent));
    }
    assert!(oldest <= Duration::from_millis(10), "{oldest:?}");
}
