//! P2: protected requests are shed last.
//!
//! In the history of one queue, a protected request is shed only if no unprotected request starts
//! while it waits, and none that waits at the time of shedding starts later. A request that cannot
//! meet its deadline is refused as late, which does not count as shedding; no unprotected request
//! may start while it waits either.

mod queue_history;

use std::{cmp::Reverse, collections::BinaryHeap};

use cassiashunt_admit::{
    Action, Admission, Job, Level, Options, Priority, Signal,
    ingress::{self, Ingress},
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;
use queue_history::{End, Entry, check};

const SEED_COUNT: u64 = 300;
const RUN_TIME: Duration = Duration::from_secs(3);
const SERVER_SLOTS: u32 = 10;
const MEAN_SERVICE_MS: f64 = 30.0;

fn label<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("a valid label")
}

fn job(key: u64, now: Time, rng: &mut Rng) -> Job {
    let priority = [Priority::PROTECTED, Priority(100), Priority(50)][rng.usize(..3)];
    Job {
        key: RequestId(key),
        workspace: label(["small", "middle", "large"][rng.usize(..3)]),
        weight: rng.u32(1..20),
        priority,
        depth: rng.u8(..6),
        deadline: now + Duration::from_millis(rng.u64(20..800)),
        route: label(["sign-off", "stock"][rng.usize(..2)]),
    }
}

/// Offers three times the capacity of the server, with changing slots, cancellations and gaps of
/// 200 ms without calls.
fn run(seed: u64) -> Vec<Entry> {
    let mut rng = Rng::with_seed(seed);
    let mut admission = Admission::new(
        Time::ZERO,
        Options {
            slots: SERVER_SLOTS,
            ..Options::default()
        },
    );
    let mut history: Vec<Entry> = Vec::new();
    let mut ends: BinaryHeap<Reverse<(Time, u64, Duration)>> = BinaryHeap::new();
    let mut now = Time::ZERO;
    while now < Time::ZERO + RUN_TIME {
        let mean = MEAN_SERVICE_MS / f64::from(SERVER_SLOTS) / 3.0;
        now = now + Duration::from_secs_f64(-mean * (1.0 - rng.f64()).ln() / 1e3);
        if rng.u32(..2_000) == 0 {
            now = now + Duration::from_millis(200);
        }
        let mut actions = Vec::new();
        while let Some(Reverse((at, key, work))) = ends.peek().copied().filter(|it| it.0.0 <= now) {
            ends.pop();
            actions.push((
                at,
                admission.done(at, RequestId(key), work, rng.u32(..50) > 0),
            ));
            record(&mut history, &mut ends, &mut rng, actions.drain(..));
        }
        let job = job(history.len() as u64, now, &mut rng);
        history.push(Entry {
            key: job.key,
            priority: job.priority,
            offered: now,
            end: None,
        });
        actions.push((now, admission.offer(now, job)));
        match rng.u32(..100) {
            0 => actions.push((now, admission.cancel(now, RequestId(rng.u64(..=job.key.0))))),
            1 => actions.push((now, admission.set_slots(now, rng.u32(1..=SERVER_SLOTS)))),
            2..20 => actions.push((now, admission.tick(now))),
            _ => {}
        }
        record(&mut history, &mut ends, &mut rng, actions.drain(..));
    }
    record(
        &mut history,
        &mut ends,
        &mut rng,
        [(now, admission.drain())].into_iter(),
    );
    history
}

fn record(
    history: &mut [Entry],
    ends: &mut BinaryHeap<Reverse<(Time, u64, Duration)>>,
    rng: &mut Rng,
    actions: impl Iterator<Item = (Time, Vec<Action>)>,
) {
    for (at, action) in actions.flat_map(|(at, list)| list.into_iter().map(move |it| (at, it))) {
        let (id, end) = match action {
            Action::Start(id) => (id, End::Started(at)),
            Action::Refuse(id, refusal) => (id, End::of_refusal(at, &refusal)),
        };
        let entry = &mut history[id.0 as usize];
        assert_eq!(entry.end, None, "{id} got a second action");
        entry.end = Some(end);
        if matches!(end, End::Started(_)) {
            let work = Duration::from_secs_f64(-MEAN_SERVICE_MS * (1.0 - rng.f64()).ln() / 1e3);
            ends.push(Reverse((at + work, id.0, work)));
        }
    }
}

#[test]
fn p02_no_protected_request_is_shed_while_an_unprotected_one_is_admitted_later() {
    let mut shed = 0;
    for seed in 0..SEED_COUNT {
        let history = run(seed);
        if let Err(violation) = check(&history) {
            panic!("seed {seed}: {violation}");
        }
        let is_shed = |it: &&Entry| matches!(it.end, Some(End::Shed(_)));
        shed += history
            .iter()
            .filter(is_shed)
            .filter(|it| it.priority.is_protected())
            .count();
    }
    assert!(
        shed > 0,
        "no protected request was shed: the load is too small for this test"
    );
}

#[test]
fn p02_every_request_gets_one_action() {
    for seed in 0..SEED_COUNT {
        assert!(run(seed).iter().all(|it| it.end.is_some()), "seed {seed}");
    }
}

#[test]
fn p02_ingress_refuses_no_protected_request_that_it_would_admit_unprotected() {
    let rota = label("rota");
    for seed in 0..SEED_COUNT {
        let mut rng = Rng::with_seed(seed);
        let mut ingress = Ingress::new(ingress::Options::default());
        let mut now = Time::ZERO;
        let request = |priority| ingress::Request {
            route: label("stock"),
            priority,
            workspace: label("small"),
            weight: 1,
        };
        for _ in 0..300 {
            now = now + Duration::from_millis(rng.u64(..100));
            ingress.on_visit(now, label("stock"), rota);
            let threshold = [Priority(50), Priority(100), Priority::PROTECTED][rng.usize(..3)];
            let level = Level {
                threshold,
                share: rng.u8(..),
            };
            let signal = Signal { level, load: 200 };
            ingress.on_signal(now, rota, NodeId(rng.u64(..3)), signal);
            let mut priorities = [Priority::PROTECTED, Priority(100)];
            rng.shuffle(&mut priorities);
            let results = priorities.map(|it| ingress.admit(now, request(it), &mut rng));
            let result_of = |priority| results[usize::from(priorities[1] == priority)];
            let protected = result_of(Priority::PROTECTED);
            let unprotected = result_of(Priority(100));
            assert!(
                protected.is_ok() || unprotected.is_err(),
                "seed {seed} at {now}"
            );
        }
    }
}

#[test]
fn p02_the_checker_rejects_an_unprotected_request_that_starts_before_a_shed_protected_one() {
    let entry = |key, priority, offered, end| Entry {
        key: RequestId(key),
        priority,
        offered: Time::from_millis(offered),
        end: Some(end),
    };
    let at = Time::from_millis;
    let protected = entry(1, Priority::PROTECTED, 10, End::Shed(at(20)));
    let starts_first = entry(2, Priority(50), 12, End::Started(at(15)));
    let stays_queued = entry(2, Priority(50), 5, End::Started(at(30)));
    let started_before_offer = entry(2, Priority(50), 5, End::Started(at(9)));
    let offered_after_shed = entry(2, Priority(50), 21, End::Started(at(30)));
    assert!(check(&[protected, starts_first]).is_err());
    assert!(check(&[protected, stays_queued]).is_err());
    assert!(check(&[protected, started_before_offer]).is_ok());
    assert!(check(&[protected, offered_after_shed]).is_ok());
    let late = entry(1, Priority::PROTECTED, 10, End::Late(at(20)));
    assert!(check(&[late, starts_first]).is_err());
}
