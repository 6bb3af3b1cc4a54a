//! Shedding at ingress by the owners' signals.

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

/// An ingress that has seen chains of `stock` call `stores`.
fn ingress() -> Ingress {
    let mut ingress = Ingress::new(Options::default());
    let stock = request("stock", "a").route;
    ingress.on_visit(Time::ZERO, stock, stores());
    ingress
}

fn stores() -> Service {
    "stores".parse().expect("a valid label")
}

/// Requests that pass of a thousand at one moment.
fn passed(ingress: &mut Ingress, now: Time, route: &str) -> usize {
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
    assert_eq!(passed(&mut ingress, Time::ZERO, "schedule"), 1_000);
    assert_eq!(passed(&mut ingress, Time::ZERO, "stock"), 1, "a probe");
}

#[test]
fn a_refusal_is_not_run_and_names_a_jittered_time_to_come_back() {
    let mut ingress = ingress();
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(100, 0));
    let mut rng = Rng::with_seed(1);
    let _probe = ingress.admit(Time::ZERO, request("stock", "a"), &mut rng);
    let mut refuse = || {
        let refusal = ingress.admit(Time::ZERO, request("stock", "a"), &mut rng);
        refusal.expect_err("it is below the threshold")
    };
    let (one, two) = (refuse(), refuse());
    assert_eq!((one.verdict, one.reason), (Verdict::NotRun, Reason::Shed));
    assert_ne!(one.retry_after, two.retry_after);
}

#[test]
fn a_probe_passes_each_interval_and_shedding_ends_with_the_signals() {
    let mut ingress = ingress();
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(100, 0));
    passed(&mut ingress, Time::ZERO, "stock");
    let later = Time::ZERO + Options::default().probe_interval;
    assert_eq!(passed(&mut ingress, later, "stock"), 1);
    let old = Time::from_millis(1) + Options::default().signal_age;
    assert_eq!(passed(&mut ingress, old, "stock"), 1_000);
}

#[test]
fn shedding_begins_and_ends_at_different_shares() {
    let mut ingress = ingress();
    let between = signal(50, 10);
    ingress.on_signal(Time::ZERO, stores(), OWNER, between);
    assert_eq!(passed(&mut ingress, Time::ZERO, "stock"), 1_000);
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(50, 128));
    assert!(passed(&mut ingress, Time::ZERO, "stock") < 600);
    ingress.on_signal(Time::ZERO, stores(), OWNER, between);
    assert!(passed(&mut ingress, Time::ZERO, "stock") < 1_000);
}

#[test]
fn one_server_out_of_step_does_not_shed_for_its_service() {
    let mut ingress = ingress();
    for owner in 1..=3 {
        ingress.on_signal(Time::ZERO, stores(), NodeId(owner), Signal::default());
    }
    ingress.on_signal(Time::ZERO, stores(), OWNER, signal(255, 200));
    assert_eq!(passed(&mut ingress, Time::ZERO, "stock"), 1_000);
}

#[test]
fn the_workspace_that_asks_for_most_by_its_weight_is_shed_first() {
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
