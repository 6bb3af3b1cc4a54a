//! The timer thread.

use std::sync::mpsc::sync_channel;

use cassiashunt_timer::{
    Clock, Service,
    service::{Options, Tick},
};
use cassiashunt_types::prelude::*;

const PERIOD: Duration = Duration::from_millis(1);

fn service() -> Service {
    Service::start(Clock::new()).expect("a thread can be started")
}

#[test]
fn ticks_come_in_order_and_not_early() {
    let service = service();
    let (_subscription, rx) = service.ticks(Options::every(PERIOD), 8).expect("it runs");
    let ticks: Vec<Tick> = rx.iter().take(5).collect();
    assert!(ticks.iter().all(|tick| tick.now >= tick.at));
    assert!(ticks.is_sorted_by(|a, b| a.at < b.at));
    service.stop();
}

#[test]
fn a_single_tick_closes_its_ring() {
    let service = service();
    let (_subscription, rx) = service.ticks(Options::once(PERIOD), 8).expect("it runs");
    assert_eq!(rx.iter().count(), 1);
}

#[test]
fn a_full_ring_skips_ticks_and_counts_them() {
    let service = service();
    let (subscription, rx) = service.ticks(Options::every(PERIOD), 1).expect("it runs");
    while subscription.skipped() < 3 {
        std::thread::yield_now();
    }
    drop(service);
    assert_eq!(rx.iter().count(), 1);
}

#[test]
fn two_subscriptions_share_one_ring_of_typed_events() {
    #[derive(Debug, PartialEq)]
    enum Event {
        Fast,
        Slow,
    }
    let service = service();
    let (tx, rx) = sync_channel(8);
    let _fast = service.subscribe(Options::every(PERIOD), tx.clone(), |_| Event::Fast);
    let _slow = service.subscribe(Options::every(3 * PERIOD), tx, |_| Event::Slow);
    let mut seen: Vec<Event> = Vec::new();
    while !(seen.contains(&Event::Fast) && seen.contains(&Event::Slow)) {
        seen.push(rx.recv().expect("the service runs"));
    }
}

#[test]
fn dropping_the_subscription_closes_the_ring() {
    let service = service();
    let (subscription, rx) = service.ticks(Options::every(PERIOD), 8).expect("it runs");
    drop(subscription);
    // Bounded by the ring: what was sent before the drop may still be there.
    assert!(rx.iter().count() <= 8 + 1);
    service.stop();
}

#[test]
fn stopping_closes_every_ring() {
    let service = service();
    let (_a, first) = service.ticks(Options::every(PERIOD), 1).expect("it runs");
    let (_b, second) = service
        .ticks(Options::once(Duration::from_secs(3_600)), 1)
        .expect("it runs");
    service.stop();
    assert!(first.iter().count() <= 1);
    assert_eq!(second.iter().count(), 0);
}
