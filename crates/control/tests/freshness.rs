//! Tests of the freshness decision: which reports count, and for how long.

use cassiashunt_property::check;
use std::time::Duration;

use cassiashunt_control::{
    Basis, Control, Domain, FreshnessTracker, Heads, RelayEntry, freshness, msg,
};
use cassiashunt_types::{FailureDomain, NodeId, Reason, Revision, Time, Verdict};

const APPLIED_HEADS: Heads = Heads {
    table: Revision(7),
    control: Revision(3),
};

fn name(domain: &str) -> FailureDomain {
    domain.parse().expect("a lower-case word is a valid label")
}

fn control(domains: &[(&str, &[u64])]) -> Control {
    let entry = |node: &u64| RelayEntry {
        node: NodeId(*node),
        since: Revision(1),
    };
    let domain = |(domain, relays): &(&str, &[u64])| Domain {
        name: name(domain),
        relays: relays.iter().map(entry).collect(),
        previous: Vec::new(),
    };
    Control {
        revision: APPLIED_HEADS.control,
        domains: domains.iter().map(domain).collect(),
        shards: Vec::new(),
    }
}

fn tracker(domains: &[(&str, &[u64])]) -> FreshnessTracker {
    let mut tracker = FreshnessTracker::new(freshness::Options::default());
    tracker.apply_control(&control(domains));
    tracker.apply_table(APPLIED_HEADS.table);
    tracker
}

fn report(relay: u64, table: u64) -> msg::Report {
    msg::Report {
        relay,
        bearer: relay,
        table,
        control: APPLIED_HEADS.control.0,
        age_micros: 0,
        platform_age_micros: None,
        vouches: true,
    }
}

fn with_platform(relay: u64, table: u64) -> msg::Report {
    msg::Report {
        platform_age_micros: Some(0),
        ..report(relay, table)
    }
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_node_without_reports_is_out_of_touch() {
    let refusal = tracker(&[("ikeja", &[1])]).check(millis(0), APPLIED_HEADS);
    let refusal = refusal.expect_err("no report was received");
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::NotInTouch, Verdict::NotRun)
    );
    assert!(refusal.retry_after.is_some());
}

#[test]
fn one_relay_that_read_the_platform_suffices() {
    let mut tracker = tracker(&[("ikeja", &[1, 2, 3]), ("apapa", &[4, 5, 6])]);
    tracker.on_report(millis(100), millis(90), &with_platform(9, 7));
    let in_touch = tracker
        .check(millis(2_089), APPLIED_HEADS)
        .expect("a relay read the platform");
    assert_eq!(in_touch.basis, Basis::Platform);
    assert_eq!(in_touch.until, millis(2_090));
    assert!(tracker.check(millis(2_090), APPLIED_HEADS).is_err());
}

#[test]
fn without_the_platform_a_majority_of_every_failure_domain_is_needed() {
    let mut tracker = tracker(&[("ikeja", &[1, 2, 3]), ("apapa", &[4, 5])]);
    for relay in [1, 2, 4] {
        tracker.on_report(millis(10), millis(10), &report(relay, 7));
        assert!(
            tracker.check(millis(11), APPLIED_HEADS).is_err(),
            "after relay {relay}"
        );
    }
    tracker.on_report(millis(10), millis(10), &report(5, 7));
    let in_touch = tracker
        .check(millis(11), APPLIED_HEADS)
        .expect("majorities of both domains reported");
    assert_eq!(in_touch.basis, Basis::Relays);
}

#[test]
fn a_domain_with_one_relay_is_vouched_for_by_it_alone() {
    let mut tracker = tracker(&[("ikeja", &[1])]);
    tracker.on_report(millis(10), millis(10), &report(1, 7));
    assert!(tracker.check(millis(11), APPLIED_HEADS).is_ok());
}

#[test]
fn a_report_that_arrives_later_than_the_bound_does_not_count() {
    let mut tracker = tracker(&[("ikeja", &[1])]);
    tracker.on_report(millis(2_100), millis(50), &with_platform(1, 7));
    assert!(tracker.check(millis(2_100), APPLIED_HEADS).is_err());
}

#[test]
fn the_age_grows_while_a_report_is_forwarded() {
    let mut first = tracker(&[("ikeja", &[1])]);
    first.on_report(millis(100), millis(0), &report(1, 7));
    let forwarded = first.latest_reports(millis(700));
    assert_eq!(forwarded.len(), 1);
    assert!(forwarded[0].age_micros >= 700_000);
    let mut second = tracker(&[("ikeja", &[1])]);
    second.on_report(millis(5_010), millis(5_000), &forwarded[0]);
    let until = second
        .in_touch(APPLIED_HEADS)
        .map(|in_touch| in_touch.until);
    assert!(until <= Some(millis(5_000 + 2_000 - 700)), "{until:?}");
}

#[test]
fn a_relay_that_does_not_vouch_counts_only_for_the_platform() {
    let mut tracker = tracker(&[("ikeja", &[1])]);
    let new_relay = msg::Report {
        vouches: false,
        ..report(1, 7)
    };
    tracker.on_report(millis(10), millis(10), &new_relay);
    assert!(tracker.check(millis(11), APPLIED_HEADS).is_err());
}

#[test]
fn a_newer_revision_must_be_fetched_within_the_bound() {
    let mut tracker = tracker(&[("ikeja", &[1])]);
    tracker.on_report(millis(1_000), millis(1_000), &with_platform(1, 7));
    tracker.on_report(millis(1_500), millis(1_500), &with_platform(1, 8));
    assert_eq!(tracker.newest().table, Revision(8));
    assert!(tracker.check(millis(2_999), APPLIED_HEADS).is_ok());
    assert!(tracker.check(millis(3_000), APPLIED_HEADS).is_err());
    tracker.apply_table(Revision(8));
    let applied = Heads {
        table: Revision(8),
        ..APPLIED_HEADS
    };
    assert!(tracker.check(millis(3_000), applied).is_ok());
}

#[test]
fn a_platform_restored_to_an_older_state_does_not_keep_a_node_in_touch() {
    let mut tracker = tracker(&[("ikeja", &[1, 2, 3])]);
    tracker.on_report(millis(1_000), millis(1_000), &report(1, 8));
    for at in [1_500, 2_000, 2_500, 3_000] {
        tracker.on_report(millis(at), millis(at), &with_platform(2, 7));
    }
    assert!(tracker.check(millis(2_999), APPLIED_HEADS).is_ok());
    assert!(tracker.check(millis(3_000), APPLIED_HEADS).is_err());
}

#[test]
fn an_older_snapshot_than_the_applied_one_is_checked_by_its_own_revisions() {
    let mut tracker = tracker(&[("ikeja", &[1])]);
    tracker.on_report(millis(10), millis(10), &with_platform(1, 8));
    tracker.apply_table(Revision(8));
    assert!(tracker.check(millis(11), APPLIED_HEADS).is_err());
}

#[test]
fn reports_of_unknown_relays_take_bounded_memory() {
    let mut tracker = tracker(&[("ikeja", &[1])]);
    for unknown in 100..10_000 {
        tracker.on_report(millis(10), millis(10), &report(unknown, 7));
    }
    assert!(tracker.latest_reports(millis(10)).len() <= 128);
}

#[test]
fn in_touch_never_outlasts_the_bound_after_the_query() {
    check(|u| {
        let mut tracker = tracker(&[("ikeja", &[1, 2, 3])]);
        let mut last_asked = 0;
        for _ in 0..u.int_in_range(1..=20)? {
            let asked: u64 = u.int_in_range(0..=10_000)?;
            let delay: u64 = u.int_in_range(0..=3_000)?;
            last_asked = last_asked.max(asked);
            let report = match u.arbitrary()? {
                true => with_platform(u.int_in_range(1..=3)?, 7),
                false => report(u.int_in_range(1..=3)?, 7),
            };
            tracker.on_report(millis(asked + delay), millis(asked), &report);
        }
        let bound = millis(last_asked) + Duration::from_secs(2);
        assert!(tracker.check(bound, APPLIED_HEADS).is_err());
        Ok(())
    });
}

#[test]
fn a_summary_expires_with_the_observation_it_is_based_on() {
    let mut first = tracker(&[("ikeja", &[1])]);
    first.on_report(millis(100), millis(100), &report(1, 7));
    let summary = first
        .summary(millis(700))
        .expect("the first node is in touch");
    assert_eq!(summary.age_micros, 600_000);
    assert!(first.summary(millis(2_100)).is_none());
    let mut second = tracker(&[("ikeja", &[1])]);
    second.on_summary(millis(5_020), millis(5_010), &summary);
    let in_touch = second
        .check(millis(5_020), APPLIED_HEADS)
        .expect("the summary keeps the second node in touch");
    assert_eq!(in_touch.basis, Basis::Summary);
    assert!(in_touch.until <= millis(5_010 + 2_000 - 600));
    assert!(second.check(in_touch.until, APPLIED_HEADS).is_err());
}

#[test]
fn a_summary_of_newer_revisions_does_not_keep_a_node_in_touch() {
    let mut first = tracker(&[("ikeja", &[1])]);
    first.apply_table(Revision(8));
    first.on_report(millis(100), millis(100), &report(1, 8));
    let summary = first
        .summary(millis(100))
        .expect("the first node is in touch");
    let mut second = tracker(&[("ikeja", &[1])]);
    second.on_summary(millis(200), millis(200), &summary);
    assert!(second.check(millis(200), APPLIED_HEADS).is_err());
    assert_eq!(second.newest().table, Revision(8));
}
