//! The queue of due times.

use cassiashunt_property::check;
use std::collections::BTreeMap;

use cassiashunt_timer::{Due, Queue, TimerKey};
use cassiashunt_types::prelude::*;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_single_timer_is_due_once() {
    let mut queue = Queue::new();
    let key = queue.schedule(ms(5), None);
    assert_eq!(queue.next_due(), Some(ms(5)));
    assert!(queue.expire(ms(4)).is_empty());
    assert_eq!(queue.expire(ms(5)), [Due { key, at: ms(5) }]);
    assert!(queue.is_empty());
    assert_eq!(queue.next_due(), None);
}

#[test]
fn a_cancelled_timer_is_never_due() {
    let mut queue = Queue::new();
    let key = queue.schedule(ms(5), Some(Duration::from_millis(1)));
    assert!(queue.cancel(key));
    assert!(!queue.cancel(key));
    assert!(queue.expire(ms(50)).is_empty());
}

#[test]
fn a_late_periodic_timer_is_due_once_and_keeps_its_phase() {
    let mut queue = Queue::new();
    let key = queue.schedule(ms(10), Some(Duration::from_millis(10)));
    assert_eq!(queue.expire(ms(47)), [Due { key, at: ms(10) }]);
    assert_eq!(queue.next_due(), Some(ms(50)));
}

#[test]
fn a_period_of_zero_does_not_hang() {
    let mut queue = Queue::new();
    queue.schedule(ms(1), Some(Duration::ZERO));
    assert_eq!(queue.expire(ms(9)).len(), 1);
}

#[test]
fn the_queue_agrees_with_a_plain_list() {
    check(|u| {
        let mut queue = Queue::new();
        let mut model: BTreeMap<TimerKey, Time> = BTreeMap::new();
        let mut now = Time::ZERO;
        for _ in 0..u.int_in_range(0..=60)? {
            match u.int_in_range(0..=2)? {
                0 => {
                    let at = now + Duration::from_millis(u.int_in_range(0..=20)?);
                    model.insert(queue.schedule(at, None), at);
                }
                1 if !model.is_empty() => {
                    let keys: Vec<_> = model.keys().copied().collect();
                    let key = *u.choose(&keys)?;
                    model.remove(&key);
                    assert!(queue.cancel(key));
                }
                _ => {
                    now = now + Duration::from_millis(u.int_in_range(0..=10)?);
                    let mut due: Vec<_> = queue.expire(now).into_iter().map(|d| d.key).collect();
                    due.sort();
                    let expected: Vec<_> = model.extract_if(.., |_, at| *at <= now).collect();
                    assert_eq!(
                        due,
                        expected.into_iter().map(|(k, _)| k).collect::<Vec<_>>()
                    );
                }
            }
            assert_eq!(queue.next_due(), model.values().min().copied());
            assert_eq!(queue.len(), model.len());
        }
        Ok(())
    });
}
