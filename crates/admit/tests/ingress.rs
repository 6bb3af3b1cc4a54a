//! Shedding at ingress by the overload signals of owners.

use cassiashunt_admit::{
    Level, Priority, Signal,
    ingress::{Ingress, Options, Request},
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;

const OWNER: NodeId = NodeId(1);

fn request(route: &str, workspace: &str) -> Request {
    Request {
        route: route.parse().expect("a valid label"),
        priority: Priority(50),
        workspace: workspace.parse().expect("a valid label"),
        weight: 1,
    }
}

fn signal(threshold: u8, share: u8) -> Signal {
    let level = Level {
        threshold: Priority(threshold),
        share,
    };
    Signal { level, load: 200 }
}

/// An ingress that knows that chains of `stock` call `stores`.
fn ingress() -> Ingress {
    let mut ingress = Ingress::new(Options::default());
    let stock = request("stock", "a").route;
    ingress.on_visit(Time::ZERO, stock, stores());
    ingress
}

fn stores() -> Service {
    "stores".parse().expect("a valid label")
}

/// The number of admitted requests of a thousand that are sent at `now`.
fn admitted(ingress: &mut Ingress, now: Time, route: &str) -> usize {
    let mut rng = Rng::with_seed(3);
    let req = request(route, "a");
    (0..1_000)
        .filter(|_| ingress.admit(now, req, &mut rng).is_ok())
        .count()
}

#[test]
fn only_routes_that_use_the_overloaded_service_are_shed() {
    let mut ingress = ingress();
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(100, 0));
    assert_eq!(admitted(&mut ingress, Time::ZERO, "schedule"), 1_000);
    assert_eq!(admitted(&mut ingress, Time::ZERO, "stock"), 1, "a probe");
}

#[test]
fn a_refusal_is_not_run_and_has_a_jittered_retry_after_delay() {
    let mut ingress = ingress();
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(100, 0));
    let mut rng = Rng::with_seed(1);
    let _probe = ingress.admit(Time::ZERO, request("stock", "a"), &mut rng);
    let mut refuse = || {
        let refusal = ingress.admit(Time::ZERO, request("stock", "a"), &mut rng);
        refusal.expect_err("a request below the threshold is refused")
    };
    let (one, two) = (refuse(), refuse());
    assert_eq!((one.verdict, one.reason), (Verdict::NotRun, Reason::Shed));
    assert_ne!(one.retry_after, two.retry_after);
}

#[test]
fn one_probe_is_admitted_per_interval_and_shedding_ends_when_the_signals_expire() {
    let mut ingress = ingress();
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(100, 0));
    admitted(&mut ingress, Time::ZERO, "stock");
    let next_probe = Time::ZERO + Options::default().probe_interval;
    assert_eq!(admitted(&mut ingress, next_probe, "stock"), 1);
    let expired = Time::from_millis(1) + Options::default().signal_age;
    assert_eq!(admitted(&mut ingress, expired, "stock"), 1_000);
}

#[test]
fn shedding_begins_and_ends_at_different_shares() {
    let mut ingress = ingress();
    let between = signal(50, 10);
    ingress.on_signal(Time::ZERO, stores(), OWNER, between);
    assert_eq!(admitted(&mut ingress, Time::ZERO, "stock"), 1_000);
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(50, 128));
    assert!(admitted(&mut ingress, Time::ZERO, "stock") < 600);
    ingress.on_signal(Time::ZERO, stores(), OWNER, between);
    assert!(admitted(&mut ingress, Time::ZERO, "stock") < 1_000);
}

#[test]
fn a_single_outlier_among_the_owners_causes_no_shedding() {
    let mut ingress = ingress();
    for owner in 1..=3 {
        ingress.on_signal(Time::ZERO, stores(), NodeId(owner), Signal::default());
    }
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(255, 200));
    assert_eq!(admitted(&mut ingress, Time::ZERO, "stock"), 1_000);
}

#[test]
fn the_workspace_with_the_largest_demand_for_its_weight_is_shed_first() {
    let mut ingress = ingress();
    let mut rng = Rng::with_seed(1);
    let (mut large, mut small) = (0, 0);
    for n in 0..10_000_u64 {
        let now = Time::from_millis(n);
        ingress.on_visit(now, request("stock", "a").route, stores());
        ingress.on_signal(now, stores(), OWNER, signal(50, 128));
        large += u32::from(
            ingress
                .admit(now, request("stock", "large"), &mut rng)
                .is_ok(),
        );
        if n % 10 == 0 {
            small += u32::from(
                ingress
                    .admit(now, request("stock", "small"), &mut rng)
                    .is_ok(),
            );
        }
    }
    assert!(small > 980, "{small} of 1000");
    assert!((4_000..5_000).contains(&large), "{large} of 10000");
}
