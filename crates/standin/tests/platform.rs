//! The stand-in of the platform, seen through the HTTP adapter.

use std::{net::SocketAddr, thread, time::Duration};

use cassiashunt_platform::{
    Error, Faults, Http, HttpOptions, MAX_VALUE_BYTES, Platform, swap, watch,
};
use cassiashunt_standin::platform::{Handle, Options, control, serve};

const LONG: Duration = Duration::from_secs(60);

fn start() -> (Handle, Http, control::Client) {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let handle = serve(addr, Options::default()).expect("loopback has a free port");
    let client = client(&handle, 1_000);
    let control = control::Client::new(handle.url());
    (handle, client, control)
}

fn client(handle: &Handle, calls_burst: u32) -> Http {
    Http::new(HttpOptions {
        url: handle.url(),
        timeout: Duration::from_secs(1),
        calls_per_second: 0,
        calls_burst,
        ..HttpOptions::default()
    })
}

fn put(platform: &Http, key: &str, expected: swap::Expected, value: &[u8]) -> swap::Outcome {
    let req = swap::Request {
        key,
        expected,
        value,
        lease: None,
    };
    platform.swap(req).expect("the stand-in is up")
}

fn applied(outcome: swap::Outcome) -> swap::Expected {
    match outcome {
        swap::Outcome::Applied { version } => swap::Expected::At(version),
        other => panic!("not applied: {other:?}"),
    }
}

#[test]
fn a_value_of_a_megabyte_comes_back_whole_and_a_larger_one_is_refused() {
    let (_handle, platform, _) = start();
    let value = vec![7; MAX_VALUE_BYTES];
    applied(put(
        &platform,
        "a key/with ?#%",
        swap::Expected::Absent,
        &value,
    ));
    let entry = platform.get("a key/with ?#%").expect("up").expect("there");
    assert_eq!(*entry.value, *value);
    let req = swap::Request {
        key: "big",
        expected: swap::Expected::Absent,
        value: &vec![7; MAX_VALUE_BYTES + 1],
        lease: None,
    };
    assert!(matches!(platform.swap(req), Err(Error::TooLarge { .. })));
}

#[test]
fn a_conflict_shows_the_current_value() {
    let (_handle, platform, _) = start();
    let first = applied(put(&platform, "k", swap::Expected::Absent, b"one"));
    applied(put(&platform, "k", first, b"two"));
    let outcome = put(&platform, "k", first, b"three");
    let swap::Outcome::Conflict { current } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(*current.expect("there is a value").value, *b"two");
    let outcome = put(&platform, "other", first, b"x");
    assert_eq!(outcome, swap::Outcome::Conflict { current: None });
}

#[test]
fn a_lost_answer_is_unknown_and_the_write_has_taken_effect() {
    let (_handle, platform, control) = start();
    let faults = Faults {
        lost_answers: 1,
        ..Faults::default()
    };
    control.set_faults(faults).expect("the stand-in is up");
    let outcome = put(&platform, "k", swap::Expected::Absent, b"one");
    assert_eq!(outcome, swap::Outcome::Unknown);
    let entry = platform.get("k").expect("up").expect("written");
    assert_eq!(*entry.value, *b"one");
}

#[test]
fn a_slow_or_stopped_service_is_told_apart_from_a_lost_answer() {
    let (handle, platform, control) = start();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    control
        .set_faults(down)
        .expect("control works in an outage");
    assert!(matches!(platform.get("k"), Err(Error::Down { .. })));
    let slow = Faults {
        slow_ms: 1_500,
        ..Faults::default()
    };
    control
        .set_faults(slow)
        .expect("control works in an outage");
    assert!(matches!(platform.get("k"), Err(Error::Lost { .. })));
    let outcome = put(&platform, "k", swap::Expected::Absent, b"one");
    assert_eq!(outcome, swap::Outcome::Unknown);
    handle.stop();
}

#[test]
fn nobody_listening_means_that_a_write_did_not_happen() {
    let platform = Http::new(HttpOptions {
        url: "http://127.0.0.1:1".into(),
        ..HttpOptions::default()
    });
    let req = swap::Request {
        key: "k",
        expected: swap::Expected::Absent,
        value: b"one",
        lease: None,
    };
    assert!(matches!(platform.swap(req), Err(Error::Down { .. })));
}

#[test]
fn a_lease_that_lapses_early_takes_its_keys_along() {
    let (_handle, platform, control) = start();
    let lease = platform.grant(LONG).expect("up");
    let req = swap::Request {
        key: "roster/a",
        expected: swap::Expected::Absent,
        value: b"here",
        lease: Some(lease),
    };
    applied(platform.swap(req).expect("up"));
    applied(put(
        &platform,
        "roster/b",
        swap::Expected::Absent,
        b"\n{}\n",
    ));
    assert_eq!(platform.keep_alive(lease), Ok(()));
    let listed = platform.list("roster/").expect("up");
    let keys: Vec<_> = listed.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["roster/a", "roster/b"]);
    assert_eq!(*listed[1].value, *b"\n{}\n");
    control.expire(lease).expect("the stand-in is up");
    assert_eq!(platform.get("roster/a"), Ok(None));
    assert_eq!(platform.keep_alive(lease), Err(Error::NoLease { lease }));
    assert_eq!(platform.revoke(lease), Err(Error::NoLease { lease }));
    assert_eq!(platform.swap(req), Err(Error::NoLease { lease }));
}

#[test]
fn a_watch_wakes_on_a_change_on_a_lapse_and_on_a_restoration() {
    let (_handle, platform, control) = start();
    let seen = applied(put(&platform, "k", swap::Expected::Absent, b"one"));
    let short = Duration::from_millis(10);
    assert_eq!(
        platform.watch("k", seen, short),
        Ok(watch::Outcome::Unchanged)
    );
    thread::scope(|scope| {
        let waiting = scope.spawn(|| platform.watch("k", seen, LONG));
        applied(put(&platform, "k", seen, b"two"));
        let outcome = waiting.join().expect("no panic").expect("up");
        assert!(matches!(outcome, watch::Outcome::Changed(entry) if *entry.value == *b"two"));
    });
    let later = swap::Expected::of(platform.get("k").expect("up").as_ref());
    thread::scope(|scope| {
        let waiting = scope.spawn(|| platform.watch("k", later, LONG));
        control.roll_back(2).expect("the stand-in is up");
        let outcome = waiting.join().expect("no panic").expect("up");
        assert_eq!(outcome, watch::Outcome::Gone);
    });
    let again = applied(put(&platform, "k", swap::Expected::Absent, b"three"));
    assert_ne!(again, seen, "a version is given once");
}

#[test]
fn calls_are_counted_and_the_budget_holds_them_back() {
    let (handle, platform, control) = start();
    let seen = applied(put(&platform, "k", swap::Expected::Absent, b"one"));
    platform.get("k").expect("up");
    platform.watch("k", seen, Duration::ZERO).expect("up");
    let calls = control.calls().expect("the stand-in is up");
    assert_eq!(calls, platform.calls());
    assert_eq!((calls.reads(), calls.writes()), (2, 1));
    let thrifty = client(&handle, 1);
    thrifty.get("k").expect("the first call is in the budget");
    assert_eq!(thrifty.get("k"), Err(Error::OverBudget));
    assert_eq!(thrifty.calls().over_budget, 1);
    assert_eq!(thrifty.calls().total(), 1);
}
