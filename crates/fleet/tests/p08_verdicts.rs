//! A request that was refused as not run was run nowhere.

mod support;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use cassiashunt_fleet::Fleet;
use support::{Caller, Done, KEY, Seen, callers, runs, start};

const FAULTS: usize = 24;
const SEEDS: [u64; 2] = [1, 2];
/// How long after the last answer a run is still looked for.
const AFTER: Duration = Duration::from_secs(2);

/// A request with what its caller was told.
#[derive(Debug, Clone)]
struct Told {
    id: String,
    is_not_run: bool,
    code: Option<String>,
}

/// Nothing that was refused as not run has run; gives the number of such refusals.
fn check(history: &[Told], ran: &BTreeSet<String>) -> Result<usize, String> {
    let refused: Vec<_> = history.iter().filter(|told| told.is_not_run).collect();
    match refused.iter().find(|told| ran.contains(&told.id)) {
        Some(told) => Err(format!("{told:?}, but it ran")),
        None => Ok(refused.len()),
    }
}

#[test]
fn p08_nothing_refused_as_not_run_runs_through_crashes_kills_and_cuts() {
    for seed in SEEDS {
        println!("seed {seed}");
        let fleet = start();
        let addrs = callers(&fleet);
        let is_done = AtomicBool::new(false);
        let history: Vec<Told> = thread::scope(|scope| {
            let threads: Vec<_> = (0..10)
                .map(|number| {
                    let (addrs, is_done) = (&addrs, &is_done);
                    scope.spawn(move || call(number, addrs, is_done))
                })
                .collect();
            let guard = Done(&is_done);
            let mut rng = fastrand::Rng::with_seed(seed);
            for _ in 0..FAULTS {
                fault(&fleet, &mut rng);
            }
            drop(guard);
            threads
                .into_iter()
                .flat_map(|t| t.join().expect("callers do not panic"))
                .collect()
        });
        thread::sleep(AFTER);
        let ran = runs(&fleet).into_iter().map(|record| record.id).collect();
        let refused = check(&history, &ran).unwrap_or_else(|err| panic!("seed {seed}: {err}"));
        let codes = history.iter().filter_map(|told| told.code.clone());
        println!("{:?}", support::counts(codes));
        println!("{} sent, {refused} refused as not run", history.len());
        assert!(refused > 0, "seed {seed}: nothing was refused");
    }
}

/// Brings one failure about, and ends it a while later.
fn fault(fleet: &Fleet, rng: &mut fastrand::Rng) {
    let number = rng.usize(..fleet.members.len());
    let member = &fleet.members[number];
    let span = Duration::from_millis(rng.u64(20..300));
    match rng.u8(..4) {
        0 => {
            member.server.crash();
            thread::sleep(span);
            member.server.restart().expect("its port is free");
        }
        1 => {
            fleet.kill_node(number);
            thread::sleep(span);
            // A caller's connection may have got the port: then the node stays away.
            if let Err(err) = fleet.replace_node(number) {
                println!("node {number} stays away: {err}");
            }
        }
        2 => {
            let peers: Vec<_> = fleet.members.iter().map(|m| m.addresses.peers).collect();
            fleet.cuts.cut(&[member.addresses.peers], &peers);
            thread::sleep(span);
            fleet.cuts.heal();
        }
        _ => {
            member.server.set(|opts| opts.shed_rate = 0.7);
            thread::sleep(span);
            member.server.set(|opts| opts.shed_rate = 0.0);
        }
    }
    thread::sleep(Duration::from_millis(rng.u64(0..100)));
}

fn call(number: usize, addrs: &[SocketAddr], is_done: &AtomicBool) -> Vec<Told> {
    let caller = Caller::new(KEY);
    let mut history = Vec::new();
    while !is_done.load(Ordering::Acquire) {
        let sent = history.len();
        let id = format!("caller-{number}-{sent}");
        let headers = [
            ("Standin-Id", id.as_str()),
            ("Idempotency-Key", id.as_str()),
            ("Cassiashunt-Timeout-Ms", "800"),
        ];
        let (method, target) = [
            ("GET", "/photos"),
            ("POST", "/sign-off"),
            ("GET", "/sections"),
        ][sent % 3];
        // A request like no other, so that it is not suspected for another's sake.
        let target = format!("{target}?id={id}");
        let addr = addrs[(number + sent) % addrs.len()];
        let seen = caller.send(addr, method, &target, &headers);
        let is_not_run = seen.as_ref().is_ok_and(Seen::is_not_run);
        let code = seen.ok().and_then(|seen| seen.code);
        history.push(Told {
            id,
            is_not_run,
            code,
        });
        thread::sleep(Duration::from_millis(2));
    }
    history
}

#[test]
fn p08_the_checker_rejects_a_run_of_a_request_that_was_refused_as_not_run() {
    let told = |id: &str, is_not_run| Told {
        id: id.into(),
        is_not_run,
        code: None,
    };
    let ran = BTreeSet::from(["a".to_owned()]);
    assert_eq!(check(&[told("a", false), told("b", true)], &ran), Ok(1));
    assert!(check(&[told("a", true)], &ran).is_err());
}
