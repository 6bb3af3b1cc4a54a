//! The node lifecycle, and the guarantee that a leaving server gets no new work.

use cassiashunt_property::check;
use std::collections::BTreeMap;

use cassiashunt_chart::Chart;
use cassiashunt_member::{Lifecycle, MEMBER_CHART, Phase, Step};
use cassiashunt_types::prelude::*;

/// An event at one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerEvent {
    /// The owner started to drain, or its announced closing time passed.
    Closed(Time),
    /// A request started to run.
    Started(Time),
}

/// The first start of a request more than `bound` after the owner was closed.
fn late_start(history: &[OwnerEvent], bound: Duration) -> Option<Time> {
    let closed = history.iter().find_map(|entry| match entry {
        OwnerEvent::Closed(at) => Some(*at),
        OwnerEvent::Started(_) => None,
    })?;
    history.iter().find_map(|entry| match entry {
        OwnerEvent::Started(at) if *at > closed + bound => Some(*at),
        _ => None,
    })
}

/// Which node decides whether a request runs.
#[derive(Clone, Copy)]
enum Policy {
    /// The owner, by its lifecycle, when it is about to run the request.
    Owner,
    /// The ingress node, by its view of the owner; the owner runs every request it receives.
    Ingress,
}

/// Simulates one owner and several ingress nodes whose views of it are stale, frozen or current.
fn simulate(seed: u64, policy: Policy) -> Vec<OwnerEvent> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut owner = Lifecycle::new();
    owner
        .fire(Step::Joined)
        .expect("the chart does not allow this step");
    owner
        .fire(Step::Warm)
        .expect("the chart does not allow this step");
    let closes_at = Time::from_millis(rng.u64(1_000..5_000));
    let is_announced = rng.bool();
    if is_announced {
        owner.close_at(closes_at);
    }
    // When each ingress node learns of it; `None` for one that is partitioned or frozen.
    let learns_at: Vec<Option<Time>> = (0..4)
        .map(|_| {
            rng.bool()
                .then(|| closes_at + Duration::from_millis(rng.u64(100..3_000)))
        })
        .collect();
    let pause_from = Time::from_millis(rng.u64(0..6_000));
    let pause_until = pause_from + Duration::from_millis(rng.u64(0..4_000));
    let mut arrivals: BTreeMap<(Time, u32), Option<Time>> = BTreeMap::new();
    for number in 0..400 {
        let sent_at = Time::from_millis(rng.u64(0..10_000));
        let learns_at = learns_at[rng.usize(..learns_at.len())];
        let arrives_at = sent_at + Duration::from_millis(rng.u64(0..2_000));
        let is_paused = (pause_from..pause_until).contains(&arrives_at);
        // A request that arrives while the owner is paused waits in its socket.
        let handled_at = if is_paused { pause_until } else { arrives_at };
        let ingress_knows = learns_at.filter(|at| *at <= sent_at);
        arrivals.insert((handled_at, number), ingress_knows);
    }
    let mut history = Vec::new();
    for ((now, _), ingress_knows) in arrivals {
        if now >= closes_at && !history.iter().any(|e| matches!(e, OwnerEvent::Closed(_))) {
            history.push(OwnerEvent::Closed(closes_at));
            if !is_announced {
                owner
                    .fire(Step::Drain)
                    .expect("the chart does not allow this step");
            }
        }
        let runs = match policy {
            Policy::Owner => owner.may_accept(now),
            Policy::Ingress => ingress_knows.is_none(),
        };
        if runs {
            history.push(OwnerEvent::Started(now));
        }
    }
    history
}

#[test]
fn p10_a_leaving_owner_starts_nothing_whatever_views_the_ingress_nodes_hold() {
    let mut ran = 0;
    for seed in 0..500 {
        let history = simulate(seed, Policy::Owner);
        let started = history
            .iter()
            .filter(|e| matches!(e, OwnerEvent::Started(_)));
        ran += started.count();
        assert_eq!(late_start(&history, Duration::ZERO), None, "seed {seed}");
    }
    assert!(ran > 10_000, "only {ran} requests ran");
}

#[test]
fn p10_the_checker_rejects_owners_that_rely_on_the_views_of_ingress_nodes() {
    let bound = Duration::from_secs(3);
    let late =
        (0..500).filter(|seed| late_start(&simulate(*seed, Policy::Ingress), bound).is_some());
    assert!(late.count() > 100);
}

#[test]
fn p10_the_checker_rejects_a_late_start() {
    let at = Time::from_millis;
    let history = [
        OwnerEvent::Started(at(1)),
        OwnerEvent::Closed(at(2)),
        OwnerEvent::Started(at(4)),
    ];
    assert_eq!(late_start(&history, Duration::from_millis(1)), Some(at(4)));
    assert_eq!(late_start(&history, Duration::from_millis(2)), None);
}

#[test]
fn the_chart_agrees_with_phases_and_steps() {
    let chart = Chart::parse(MEMBER_CHART).expect("the embedded member chart does not parse");
    let states: Vec<_> = chart.states().map(|s| chart.state_name(s)).collect();
    assert_eq!(states, Phase::ALL.map(Phase::as_str));
    let events: Vec<_> = chart.events().map(|e| chart.event_name(e)).collect();
    assert_eq!(events, Step::ALL.map(Step::as_str));
}

#[test]
fn phases_have_numbers_and_names() {
    for phase in Phase::ALL {
        assert_eq!(Phase::from_number(phase.number()), Some(phase));
        assert_eq!(Phase::from_name(phase.as_str()), Some(phase));
    }
    assert_eq!(Phase::from_number(6), None);
}

#[test]
fn a_node_accepts_from_joined_until_it_drains() {
    let mut lifecycle = Lifecycle::new();
    assert!(!lifecycle.may_accept(Time::ZERO));
    assert_eq!(lifecycle.fire(Step::Joined), Ok(Phase::Warming));
    assert!(lifecycle.may_accept(Time::ZERO));
    assert_eq!(lifecycle.fire(Step::Warm), Ok(Phase::Serving));
    assert_eq!(lifecycle.fire(Step::Cool), Ok(Phase::Warming));
    assert!(lifecycle.may_accept(Time::ZERO));
    assert_eq!(lifecycle.fire(Step::Drain), Ok(Phase::Draining));
    assert!(!lifecycle.may_accept(Time::ZERO));
    assert_eq!(lifecycle.fire(Step::Drained), Ok(Phase::Leaving));
    assert_eq!(lifecycle.fire(Step::Left), Ok(Phase::Gone));
    assert!(lifecycle.fire(Step::Joined).is_err());
}

#[test]
fn an_announced_closing_time_cannot_be_postponed() {
    let mut lifecycle = Lifecycle::new();
    lifecycle
        .fire(Step::Joined)
        .expect("the chart does not allow this step");
    lifecycle.close_at(Time::from_millis(10));
    lifecycle.close_at(Time::from_millis(20));
    assert!(lifecycle.may_accept(Time::from_millis(9)));
    assert!(!lifecycle.must_drain(Time::from_millis(9)));
    assert!(!lifecycle.may_accept(Time::from_millis(10)));
    assert!(lifecycle.must_drain(Time::from_millis(10)));
}

#[test]
fn no_sequence_of_steps_accepts_work_in_a_phase_that_takes_none() {
    check(|u| {
        let mut lifecycle = Lifecycle::new();
        for _ in 0..12 {
            let _ = lifecycle.fire(*u.choose(&Step::ALL)?);
            assert_eq!(
                lifecycle.may_accept(Time::ZERO),
                lifecycle.phase().takes_work()
            );
        }
        Ok(())
    });
}
