//! The time to recover, from counts per window.

use std::time::Duration;

use cassiashunt_load::recovery::{Options, Series};

/// A series of 250 ms windows.
fn series(whole: &[u64]) -> Series {
    Series {
        window: Duration::from_millis(250),
        whole: whole.to_vec(),
    }
}

fn recovery(whole: &[u64], cause_end_ms: u64, before: f64) -> Option<Duration> {
    let until = Duration::from_millis(250) * u32::try_from(whole.len()).expect("a short series");
    let cause_end = Duration::from_millis(cause_end_ms);
    series(whole).recovery(cause_end, until, before, &Options::default())
}

#[test]
fn recovery_is_counted_to_the_start_of_the_first_second_at_95_in_100() {
    let whole = [25, 25, 25, 25, 5, 5, 5, 5, 10, 10, 24, 24, 24, 24, 25, 25];
    assert_eq!(
        recovery(&whole, 2_000, 100.0),
        Some(Duration::from_millis(500))
    );
}

#[test]
fn goodput_that_never_fell_has_recovered_at_once() {
    assert_eq!(recovery(&[25; 12], 1_000, 100.0), Some(Duration::ZERO));
}

#[test]
fn goodput_that_stays_low_has_not_recovered() {
    let mut whole = [25; 16];
    whole[4..].fill(23);
    assert_eq!(recovery(&whole, 1_000, 100.0), None);
}

#[test]
fn a_single_good_window_in_a_bad_second_is_no_recovery() {
    let whole = [25, 25, 25, 25, 0, 60, 0, 0, 25, 25, 25, 25];
    assert_eq!(
        recovery(&whole, 1_000, 100.0),
        Some(Duration::from_millis(1_000))
    );
}

#[test]
fn a_second_that_reaches_past_the_end_does_not_count() {
    assert_eq!(recovery(&[0, 0, 0, 0, 0, 25, 25, 25], 0, 100.0), None);
}

#[test]
fn answers_are_counted_in_the_window_in_which_they_came() {
    let at = [0, 249, 250, 999, 1_000].map(Duration::from_millis);
    let counted = Series::count(Duration::from_millis(250), Duration::from_secs(1), at);
    assert_eq!(counted.whole, [2, 1, 0, 1, 1]);
    let second = counted.per_second(Duration::ZERO, Duration::from_secs(1));
    assert!((second - 4.0).abs() < 1e-9);
}
