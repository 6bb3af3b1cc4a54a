//! The limit on starts at a cold backend server.

use cassiashunt_admit::{Action, Admission, Job, Options, Priority, StartLimit};
use cassiashunt_types::prelude::*;

const PER_SECOND: u32 = 20;
const COLD: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
/// How late a start may reach the server.
const ON_THE_WAY: Duration = Duration::from_millis(100);

fn job(key: u64, deadline: Time) -> Job {
    Job {
        key: RequestId(key),
        workspace: "large".parse().expect("a valid label"),
        weight: 1,
        priority: Priority(100),
        depth: 0,
        deadline,
        route: "stock".parse().expect("a valid label"),
    }
}

fn admission(now: Time, warm_up: Duration) -> Admission {
    let opts = Options {
        slots: 50,
        warm_up,
        start_limit: Some(StartLimit {
            per_second: PER_SECOND,
            cold_time: COLD,
        }),
        ..Options::default()
    };
    Admission::new(now, opts)
}

/// What a server gets that is offered requests each 2 ms from `from` to `until` and runs each for
/// `work`: the times of the starts. Everything offered has one outcome, and refusals are true.
fn herd(admission: &mut Admission, (from, until): (u64, u64), work: Duration) -> Vec<Time> {
    let mut running: Vec<(Time, RequestId)> = Vec::new();
    let mut starts = Vec::new();
    for ms in (from..until).step_by(2) {
        let now = Time::from_millis(ms);
        let mut actions = Vec::new();
        running.retain(|(end, id)| {
            let is_over = *end <= now;
            if is_over {
                actions.extend(admission.done(now, *id, work, true));
            }
            !is_over
        });
        actions.extend(admission.offer(now, job(ms, now + SECOND)));
        for action in actions {
            match action {
                Action::Start(id) => {
                    starts.push(now);
                    running.push((now + work, id));
                }
                Action::Refuse(_, refusal) => assert_eq!(refusal.verdict, Verdict::NotRun),
            }
        }
    }
    starts
}

/// The most starts that may arrive within one second.
fn most_in_a_second(starts: &[Time]) -> usize {
    let window = SECOND + ON_THE_WAY;
    let counts = starts.iter().map(|from| {
        let within = |at: &&Time| **at >= *from && at.since(*from) < window;
        starts.iter().filter(within).count()
    });
    counts.max().unwrap_or_default()
}

#[test]
fn a_herd_at_a_server_that_comes_back_cold_is_held_to_its_rate_and_then_served() {
    for work_ms in [5, 40, 400] {
        let work = Duration::from_millis(work_ms);
        let mut admission = admission(Time::ZERO, COLD);
        let cold = herd(&mut admission, (0, 3_000), work);
        let most = most_in_a_second(&cold);
        assert!(most <= PER_SECOND as usize, "{most} with {work_ms} ms");
        assert!(cold.len() >= 45, "only {} with {work_ms} ms", cold.len());
        let warm = herd(&mut admission, (3_000, 4_000), work);
        assert!(warm.len() > 2 * PER_SECOND as usize, "{}", warm.len());
    }
}

#[test]
fn starts_before_the_server_turned_cold_count() {
    let mut admission = admission(Time::ZERO, Duration::ZERO);
    let work = Duration::from_millis(5);
    assert!(herd(&mut admission, (0, 1_000), work).len() > 400);
    admission.set_cold(Time::from_millis(1_000), COLD);
    let starts = herd(&mut admission, (1_000, 1_950), work);
    assert!(starts.is_empty(), "{starts:?}");
}

#[test]
fn a_node_that_started_anew_does_not_spend_the_second_again() {
    let mut admission = admission(Time::ZERO, COLD);
    admission.spend_starts(Time::ZERO);
    let work = Duration::from_millis(5);
    assert!(herd(&mut admission, (0, 1_000), work).is_empty());
    assert!(!herd(&mut admission, (1_000, 2_000), work).is_empty());
}

#[test]
fn a_cold_server_states_the_capacity_that_its_rate_comes_to() {
    let mut admission = admission(Time::ZERO, Duration::ZERO);
    let work = Duration::from_millis(100);
    herd(&mut admission, (0, 500), work);
    let now = Time::from_millis(500);
    assert_eq!(admission.capacity(now), 50);
    admission.set_cold(now, COLD);
    assert_eq!(admission.capacity(now), 2);
    assert!(admission.signal(now).load >= 128, "its second is spent");
    assert_eq!(admission.capacity(now + COLD), 50);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut admission = admission(Time::ZERO, COLD);
    admission.spend_starts(Time::ZERO);
    let short = job(1, Time::from_millis(700));
    let actions = admission.offer(Time::from_millis(10), short);
    assert!(matches!(actions[..], [Action::Refuse(..)]), "{actions:?}");
    let long = job(2, Time::from_millis(1_900));
    assert!(admission.offer(Time::from_millis(10), long).is_empty());
}
