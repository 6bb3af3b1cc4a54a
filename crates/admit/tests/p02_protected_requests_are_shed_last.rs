//! P2: protected requests are the last to be shed.
//!
//! In the history of one queue, no protected request is shed while an unprotected one that was
//! waiting with it, or came later, is admitted before the shedding, or was waiting at the shedding
//! and is admitted later. A request that cannot finish in time any more is refused as late, which
//! is no shedding; while it waits nothing unprotected is admitted either.

mod queue_history;

use std::{cmp::Reverse, collections::BinaryHeap};

use cassiashunt_admit::{
    Action, Admission, Job, Level, Options, Priority, Signal,
    ingress::{self, Ingress},
};
use cassiashunt_types::prelude::*;
use fastrand::Rng;
use queue_history::{End, Entry, check};

const SEEDS: u64 = 300;
const RUN: Duration = Duration::from_secs(3);
const SLOTS: u32 = 10;
/// The mean service time of the slowed service.
const SERVICE_MS: f64 = 30.0;

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

/// Offers three times what the server can do, with changing slots, cancellations and a pause.
fn run(seed: u64) -> Vec<Entry> {
    let mut rng = Rng::with_seed(seed);
    let mut admission = Admission::new(
        Time::ZERO,
        Options {
            slots: SLOTS,
            ..Options::default()
        },
    );
    let mut history: Vec<Entry> = Vec::new();
    let mut ends: BinaryHeap<Reverse<(Time, u64, Duration)>> = BinaryHeap::new();
    let mut now = Time::ZERO;
    while now < Time::ZERO + RUN {
        let mean = SERVICE_MS / f64::from(SLOTS) / 3.0;
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
            note(&mut history, &mut ends, &mut rng, actions.drain(..));
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
            1 => actions.push((now, admission.set_slots(now, rng.u32(1..=SLOTS)))),
            2..20 => actions.push((now, admission.tick(now))),
            _ => {}
        }
        note(&mut history, &mut ends, &mut rng, actions.drain(..));
    }
    note(
        &mut history,
        &mut ends,
        &mut rng,
        [(now, admission.drain())].into_iter(),
    );
    history
}

fn note(
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
            let work = Duration::from_secs_f64(-SERVICE_MS * (1.0 - rng.f64()).ln() / 1e3);
            ends.push(Reverse((at + work, id.0, work)));
        }
    }
}

#[test]
fn p02_no_protected_request_is_shed_while_an_unprotected_one_is_admitted_later() {
    let mut shed = 0;
    for seed in 0..SEEDS {
        let history = run(seed);
        if let Err(why) = check(&history) {
            panic!("seed {seed}: {why}");
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
        "the surge was too small to shed protected requests"
    );
}

#[test]
fn p02_every_request_gets_one_action() {
    for seed in 0..SEEDS {
        assert!(run(seed).iter().all(|it| it.end.is_some()), "seed {seed}");
    }
}

#[test]
fn p02_ingress_refuses_no_protected_request_that_it_would_admit_unprotected() {
    let rota = label("rota");
    for seed in 0..SEEDS {
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
fn p02_the_checker_rejects_an_unprotected_request_that_goes_before_a_shed_protected_one() {
    let entry = |key, priority, offered, end| Entry {
        key: RequestId(key),
        priority,
        offered: Time::from_millis(offered),
        end: Some(end),
    };
    let at = Time::from_millis;
    let protected = entry(1, Priority::PROTECTED, 10, End::Shed(at(20)));
    let overtakes = entry(2, Priority(50), 12, End::Started(at(15)));
    let outlasts = entry(2, Priority(50), 5, End::Started(at(30)));
    let before = entry(2, Priority(50), 5, End::Started(at(9)));
    let after = entry(2, Priority(50), 21, End::Started(at(30)));
    assert!(check(&[protected, overtakes]).is_err());
    assert!(check(&[protected, outlasts]).is_err());
    assert!(check(&[protected, before]).is_ok());
    assert!(check(&[protected, after]).is_ok());
    let late = entry(1, Priority::PROTECTED, 10, End::Late(at(20)));
    assert!(check(&[late, overtakes]).is_err());
}
