//! The in-memory double and the form of values on the wire.

use cassiashunt_property::check;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cassiashunt_platform::{
    Budget, Entry, Error, LeaseId, MAX_VALUE_BYTES, Memory, MemoryOptions, Platform, Version, swap,
    watch, wire,
};
use cassiashunt_types::Time;

const TTL: Duration = Duration::from_secs(10);

fn put(
    platform: &Memory,
    key: &str,
    expected: swap::Expected,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<swap::Outcome, Error> {
    platform.swap(swap::Request {
        key,
        expected,
        value,
        lease,
    })
}

#[track_caller]
fn assert_applied(outcome: &Result<swap::Outcome, Error>) {
    assert!(
        matches!(outcome, Ok(swap::Outcome::Applied { .. })),
        "{outcome:?}"
    );
}

#[test]
fn values_up_to_the_limit_are_kept_and_larger_ones_change_nothing() {
    check(|u| {
        let platform = Memory::default();
        let bytes = u.int_in_range(MAX_VALUE_BYTES - 2..=MAX_VALUE_BYTES + 2)?;
        let outcome = put(
            &platform,
            "k",
            swap::Expected::Absent,
            &vec![b'x'; bytes],
            None,
        );
        if bytes > MAX_VALUE_BYTES {
            let key = "k".into();
            assert_eq!(outcome, Err(Error::TooLarge { key, bytes }));
            assert_eq!(platform.get("k"), Ok(None));
        } else {
            assert!(matches!(outcome, Ok(swap::Outcome::Applied { .. })));
        }
        Ok(())
    });
}

#[test]
fn a_swap_takes_effect_only_on_the_version_it_expects() {
    check(|u| {
        let platform = Memory::default();
        let mut current = swap::Expected::Absent;
        for _ in 0..u.int_in_range(1..=20)? {
            let expected = match u.int_in_range(0..=2)? {
                0 => swap::Expected::Absent,
                1 => swap::Expected::At(Version(u.int_in_range(0..=20)?)),
                _ => current,
            };
            let outcome = put(&platform, "k", expected, b"v", None);
            match outcome.expect("up and small") {
                swap::Outcome::Applied { version } => {
                    assert_eq!(expected, current);
                    current = swap::Expected::At(version);
                }
                swap::Outcome::Conflict { current: found } => {
                    assert_ne!(expected, current);
                    assert_eq!(swap::Expected::of(found.as_ref()), current);
                }
                swap::Outcome::Unknown => panic!("no answer is lost"),
            }
        }
        Ok(())
    });
}

#[test]
fn a_lease_that_is_not_renewed_lapses_with_its_keys() {
    let now = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&now);
    let platform = Memory::new(MemoryOptions {
        clock: Arc::new(move || Time::from_millis(seen.load(Ordering::SeqCst))),
        ..MemoryOptions::default()
    });
    let lease = platform.grant(TTL).expect("up");
    let outcome = put(&platform, "k", swap::Expected::Absent, b"v", Some(lease));
    assert_applied(&outcome);
    now.store(9_999, Ordering::SeqCst);
    platform.keep_alive(lease).expect("still held");
    now.store(19_998, Ordering::SeqCst);
    assert!(platform.get("k").expect("up").is_some());
    now.store(19_999, Ordering::SeqCst);
    assert_eq!(platform.get("k"), Ok(None));
    assert_eq!(platform.keep_alive(lease), Err(Error::NoLease { lease }));
}

#[test]
fn a_restored_state_gives_no_version_twice() {
    let platform = Memory::default();
    let outcome = put(&platform, "k", swap::Expected::Absent, b"one", None);
    assert_applied(&outcome);
    let first = swap::Expected::of(platform.get("k").expect("up").as_ref());
    assert_applied(&put(&platform, "k", first, b"two", None));
    let second = swap::Expected::of(platform.get("k").expect("up").as_ref());
    platform.roll_back(1);
    assert_applied(&put(&platform, "k", first, b"other", None));
    let third = swap::Expected::of(platform.get("k").expect("up").as_ref());
    assert_ne!(second, third);
    let outcome = platform.watch("k", third, Duration::ZERO);
    assert_eq!(outcome, Ok(watch::Outcome::Unchanged));
}

#[test]
fn a_list_and_its_keys_survive_the_wire_and_damage_is_refused() {
    check(|u| {
        let mut entries = Vec::new();
        for _ in 0..u.int_in_range(0..=5)? {
            let value: &[u8] = u.arbitrary()?;
            entries.push(Entry {
                key: u.arbitrary()?,
                version: Version(u.arbitrary()?),
                lease: u.arbitrary::<Option<u64>>()?.map(LeaseId),
                value: value.into(),
            });
        }
        let bytes = wire::encode_list(&entries);
        assert_eq!(wire::decode_list(&bytes), Ok(entries.clone()));
        for entry in &entries {
            let text = wire::encode_key(&entry.key);
            assert_eq!(wire::decode_key(&text).as_ref(), Some(&entry.key));
        }
        if !bytes.is_empty() {
            let cut = u.choose_index(bytes.len())?;
            let decoded = wire::decode_list(&bytes[..cut]);
            assert!(decoded.is_err() || decoded.is_ok_and(|kept| kept.len() < entries.len()));
        }
        let noise: String = u.arbitrary()?;
        // Only that it does not panic counts here.
        let _ = wire::decode_key(&noise);
        Ok(())
    });
}

#[test]
fn a_budget_gives_its_burst_at_once_and_its_rate_over_time() {
    let mut budget = Budget::new(2, 3);
    let taken = |budget: &mut Budget, now| (0..10).filter(|_| budget.take(now)).count();
    assert_eq!(taken(&mut budget, Time::ZERO), 3);
    assert_eq!(taken(&mut budget, Time::from_millis(499)), 0);
    assert_eq!(taken(&mut budget, Time::from_millis(1_000)), 2);
    assert_eq!(taken(&mut budget, Time::from_millis(60_000)), 3);
}
