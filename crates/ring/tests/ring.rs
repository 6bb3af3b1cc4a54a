//! Bounds, order and closing of a ring.

use std::{thread, time::Duration};

use cassiashunt_ring::{PopError, PushError, Ring};

#[test]
fn a_full_ring_gives_the_item_back() {
    let ring = Ring::new(1);
    assert_eq!(ring.push(1), Ok(()));
    assert_eq!(ring.push(2), Err(PushError::Full(2)));
    assert_eq!(
        ring.push_within(3, Duration::from_millis(1)),
        Err(PushError::Full(3))
    );
    assert_eq!(ring.pop(), Ok(1));
    assert_eq!(ring.push(4), Ok(()));
}

#[test]
fn a_closed_ring_hands_out_what_it_holds_and_takes_nothing() {
    let ring = Ring::new(2);
    assert_eq!(ring.push(1), Ok(()));
    ring.close();
    assert_eq!(ring.push(2), Err(PushError::Closed(2)));
    assert_eq!(ring.pop(), Ok(1));
    assert_eq!(ring.pop(), Err(PopError::Closed));
    assert_eq!(ring.pop_within(Duration::ZERO), Err(PopError::Closed));
}

#[test]
fn an_empty_ring_times_out() {
    let ring = Ring::<u8>::new(1);
    assert_eq!(
        ring.pop_within(Duration::from_millis(1)),
        Err(PopError::Timeout)
    );
    assert_eq!(ring.try_pop(), None);
    assert!(ring.is_empty());
}

#[test]
fn every_item_is_taken_once_by_one_of_several_receivers() {
    const ITEMS: u64 = 1_000;
    let ring = Ring::new(4);
    let takers: Vec<_> = (0..4)
        .map(|_| {
            let ring = ring.clone();
            thread::spawn(move || {
                let mut sum = 0;
                while let Ok(item) = ring.pop() {
                    sum += item;
                }
                sum
            })
        })
        .collect();
    for item in 0..ITEMS {
        ring.push_within(item, Duration::from_secs(10))
            .expect("receivers make room");
    }
    ring.close();
    let sum: u64 = takers
        .into_iter()
        .map(|t| t.join().expect("receivers do not panic"))
        .sum();
    assert_eq!(sum, ITEMS * (ITEMS - 1) / 2);
}
