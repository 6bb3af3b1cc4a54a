//! Token accounting of an authority: level + outstanding never exceeds the burst.

use cassiashunt_property::check;
use std::time::Duration;

use cassiashunt_limit::{
    Authority, InitialTokens, Key, Limit,
    authority::{self, TokenCounts},
    msg,
};
use cassiashunt_types::{ClockDrift, Epoch, Time};

const LIMIT: Limit = Limit::Rate {
    per_sec: 100,
    burst: 60,
};

fn key() -> Key {
    Key::workspace("lagos".parse().expect("the label is valid"))
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn authority(epoch: u64, at: Time, start: InitialTokens) -> Authority {
    let options = authority::Options::default();
    let mut authority = Authority::new(Epoch(epoch), millis(60_000), options);
    authority.set_limit(at, key(), LIMIT, start);
    authority
}

fn request(holder: u64, number: u64, required: u64) -> msg::HolderFrame {
    msg::HolderFrame {
        holder,
        epoch: 1,
        token_requests: vec![msg::TokenRequest {
            key: Some(key().into()),
            number,
            required,
            prefetch: 0,
            demand_milli: 1_000,
        }],
        reports: Vec::new(),
    }
}

fn report(holder: u64, number: u64, spent: u64, returned: u64) -> msg::HolderFrame {
    msg::HolderFrame {
        holder,
        epoch: 1,
        token_requests: Vec::new(),
        reports: vec![msg::Report {
            key: Some(key().into()),
            number,
            spent,
            returned,
        }],
    }
}

fn granted(authority: &mut Authority, at: Time, frame: &msg::HolderFrame) -> u64 {
    let answer = authority
        .handle_frame(at, frame)
        .expect("the frame contains a token request");
    answer.grants.iter().map(|grant| grant.amount).sum()
}

fn token_counts(authority: &mut Authority, at: Time) -> TokenCounts {
    authority
        .token_counts(at, &key())
        .expect("the key is known")
}

#[test]
fn a_repeated_token_request_is_granted_once() {
    let mut authority = authority(1, millis(0), InitialTokens::Full);
    assert_eq!(granted(&mut authority, millis(0), &request(1, 1, 10)), 10);
    assert_eq!(granted(&mut authority, millis(0), &request(1, 1, 10)), 10);
    let TokenCounts { level, outstanding } = token_counts(&mut authority, millis(0));
    assert_eq!((level, outstanding), (50, 10));
    assert_eq!(granted(&mut authority, millis(0), &request(1, 2, 10)), 10);
    assert!(
        authority
            .handle_frame(millis(0), &request(1, 1, 10))
            .is_none()
    );
}

#[test]
fn late_repeated_and_reordered_reports_are_applied_once() {
    let mut authority = authority(1, millis(0), InitialTokens::Full);
    granted(&mut authority, millis(0), &request(1, 1, 30));
    for (spent, returned) in [(20, 4), (5, 0), (20, 4), (21, 4)] {
        authority.handle_frame(millis(0), &report(1, 1, spent, returned));
    }
    let TokenCounts { level, outstanding } = token_counts(&mut authority, millis(0));
    assert_eq!((level, outstanding), (34, 5));
}

#[test]
fn a_report_above_the_granted_amount_creates_no_tokens() {
    let mut authority = authority(1, millis(0), InitialTokens::Full);
    granted(&mut authority, millis(0), &request(1, 1, 30));
    authority.handle_frame(millis(0), &report(1, 1, 20, 900));
    authority.handle_frame(millis(0), &report(1, 1, 900, 900));
    let TokenCounts { level, outstanding } = token_counts(&mut authority, millis(0));
    assert_eq!((level, outstanding), (40, 0));
}

#[test]
fn unreported_tokens_of_an_expired_grant_count_as_spent() {
    let mut authority = authority(1, millis(0), InitialTokens::Full);
    granted(&mut authority, millis(0), &request(1, 1, 60));
    let options = authority::Options::default();
    let expiry = millis(0) + options.clock_drift.max_elapsed(options.validity);
    let just_before = Time::from_micros(expiry.as_micros() - 1);
    assert_eq!(
        token_counts(&mut authority, just_before),
        TokenCounts {
            level: 0,
            outstanding: 60
        }
    );
    assert_eq!(
        token_counts(&mut authority, expiry),
        TokenCounts {
            level: 0,
            outstanding: 0
        }
    );
    authority.handle_frame(expiry, &report(1, 1, 0, 60));
    assert_eq!(token_counts(&mut authority, expiry).level, 0);
}

#[test]
fn frames_of_other_epochs_are_ignored() {
    let mut authority = authority(2, millis(0), InitialTokens::Full);
    assert!(
        authority
            .handle_frame(millis(0), &request(1, 1, 10))
            .is_none()
    );
    assert_eq!(token_counts(&mut authority, millis(0)).outstanding, 0);
}

#[test]
fn a_successor_counts_the_tokens_of_its_predecessor_until_they_expire() {
    let mut first = authority(1, millis(0), InitialTokens::Full);
    granted(&mut first, millis(0), &request(1, 1, 40));
    let handed_over = first.hand_over(millis(0));
    let mut second = authority(2, millis(0), handed_over.initial_tokens(&key()));
    for at in [0, 300, 900, 1_000] {
        let TokenCounts { level, outstanding } = token_counts(&mut second, millis(at));
        assert_eq!((level, outstanding), (20, 40), "at {at} ms");
    }
    assert_eq!(token_counts(&mut second, millis(1_100)).outstanding, 0);
    assert_eq!(
        handed_over.initial_tokens(&Key::workspace(
            "other".parse().expect("the label is valid")
        )),
        InitialTokens::Empty
    );
}

#[test]
fn a_lowered_burst_is_refilled_only_after_outstanding_tokens_are_spent() {
    let mut authority = authority(1, millis(0), InitialTokens::Full);
    granted(&mut authority, millis(0), &request(1, 1, 40));
    let lower = Limit::Rate {
        per_sec: 100,
        burst: 30,
    };
    authority.set_limit(millis(0), key(), lower, InitialTokens::Empty);
    assert_eq!(
        token_counts(&mut authority, millis(500)),
        TokenCounts {
            level: 0,
            outstanding: 40
        }
    );
    authority.handle_frame(millis(500), &report(1, 1, 40, 0));
    assert_eq!(
        token_counts(&mut authority, millis(2_000)),
        TokenCounts {
            level: 30,
            outstanding: 0
        }
    );
}

#[test]
fn an_empty_grant_states_the_time_until_the_next_token() {
    let mut authority = authority(1, millis(0), InitialTokens::Empty);
    let answer = authority
        .handle_frame(millis(0), &request(1, 1, 1))
        .expect("the frame contains a token request");
    assert_eq!(answer.grants[0].amount, 0);
    assert_eq!(answer.grants[0].retry_after_micros, 10_000);
}

#[test]
fn level_and_outstanding_never_exceed_the_burst() {
    check(|u| {
        let mut authority = authority(1, millis(0), InitialTokens::Full);
        let mut now = 0;
        for number in 1..=u.int_in_range(1..=60)? {
            now += u.int_in_range(0..=400)?;
            let holder = u.int_in_range(1..=4)?;
            let frame = match u.arbitrary()? {
                true => request(holder, number, u.int_in_range(0..=80)?),
                false => {
                    let reported_number = u.int_in_range(1..=number)?;
                    report(
                        holder,
                        reported_number,
                        u.int_in_range(0..=80)?,
                        u.int_in_range(0..=80)?,
                    )
                }
            };
            authority.handle_frame(millis(now), &frame);
            let TokenCounts { level, outstanding } = token_counts(&mut authority, millis(now));
            assert!(level + outstanding <= 60, "{level} + {outstanding}");
        }
        Ok(())
    });
}

#[test]
fn a_fast_clock_accrues_no_more_than_the_rate() {
    let mut authority = authority(1, millis(0), InitialTokens::Empty);
    let second = Duration::from_secs(1) / 2;
    let clock_drift = ClockDrift::default();
    let fast_clock = millis(0) + second + second * clock_drift.per_mille / 1_000;
    for at in (0..fast_clock.as_micros()).step_by(7) {
        token_counts(&mut authority, Time::from_micros(at));
    }
    let level = token_counts(&mut authority, fast_clock).level;
    assert!((49..=50).contains(&level), "{level}");
}
