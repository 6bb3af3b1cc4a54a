//! A failing leaf is tried at most once and as often again as the chain's allowance says.

mod support;

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use cassiashunt_fleet::Fleet;
use cassiashunt_standin::server::{Child, Endpoint, Record};
use support::{Caller, Done, KEY, Seen, callers, options, runs, start_with};

/// Retries along a whole chain, by the table.
const ALLOWANCE: usize = 2;
/// Calls above the leaf.
const LEVELS: usize = 6;
const ONE_BY_ONE: usize = 100;
const KILLS: usize = 12;
/// The first member beside a leaf's server.
const LEAVES_FROM: usize = 3;
const SEED: u64 = 1;

/// A chain of calls through six levels of one service down to the leaf of the other.
fn start() -> Fleet {
    let mut opts = options();
    for spec in &mut opts.servers {
        for level in 0..LEVELS {
            let below = match level + 1 {
                LEVELS => "/stock".to_owned(),
                below => format!("/level-{below}"),
            };
            spec.standin.endpoints.push(Endpoint {
                path: format!("/level-{level}"),
                children: vec![Child {
                    path: below,
                    ..Child::default()
                }],
                ..Endpoint::default()
            });
        }
    }
    let fleet = start_with(opts);
    for level in 0..LEVELS {
        let name = format!("level-{level}");
        let endpoint = format!("GET /{name}");
        fleet
            .bind(&endpoint, &name, "read", "rota")
            .expect("accepted");
    }
    let allowance = ALLOWANCE.to_string();
    fleet.set("*,*,*", "retries", &allowance).expect("accepted");
    fleet
}

/// Requests that reached the leaf's servers, also those that they shed.
fn leaf_attempts(fleet: &Fleet) -> usize {
    let members = fleet.members.iter();
    let leaves = members.filter(|member| member.server.options().service == "stores");
    leaves
        .map(|member| member.server.stats())
        .map(|stats| stats.began + stats.shed)
        .map(|count| usize::try_from(count).expect("small"))
        .sum()
}

/// No chain tried the leaf more often than its allowance lets it; gives the most tries.
fn check(attempts: &[usize], allowance: usize) -> Result<usize, String> {
    let most = attempts.iter().copied().max().unwrap_or_default();
    if most > 1 + allowance {
        return Err(format!("{most} tries of the leaf in one chain"));
    }
    Ok(most)
}

/// The runs of the leaf by their chain.
fn by_chain(records: &[Record]) -> Vec<usize> {
    let mut chains: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records.iter().filter(|record| record.path == "/stock") {
        let chain = record.chain.as_deref().expect("each run has its chain");
        *chains.entry(chain).or_default() += 1;
    }
    chains.into_values().collect()
}

#[test]
fn p01_a_leaf_that_sheds_everything_is_tried_within_the_allowance_of_its_chain() {
    let fleet = start();
    let caller = Caller::new(KEY);
    for member in &fleet.members {
        if member.server.options().service == "stores" {
            member.server.set(|opts| opts.shed_rate = 1.0);
        }
    }
    let addrs = callers(&fleet);
    let mut attempts = Vec::new();
    for number in 0..ONE_BY_ONE {
        let before = leaf_attempts(&fleet);
        let seen = caller.get(addrs[number % addrs.len()], "/level-0");
        assert!(!seen.expect("answered").is_ok());
        attempts.push(leaf_attempts(&fleet) - before);
    }
    let most = check(&attempts, ALLOWANCE).expect("bounded");
    println!("tries of the leaf in one chain: at most {most}");
    assert!(most > 1, "nothing was ever tried again: {attempts:?}");
}

#[test]
fn p01_nodes_killed_in_mid_chain_cause_no_more_tries_than_the_allowance() {
    let fleet = start();
    for member in &fleet.members {
        member.server.set(|opts| {
            let is_leaf = opts.service == "stores";
            opts.slow_factor = if is_leaf { 75.0 } else { 5.0 };
            opts.shed_rate = if is_leaf { 0.1 } else { 0.0 };
        });
    }
    let addrs = callers(&fleet);
    let is_done = AtomicBool::new(false);
    let mut rng = fastrand::Rng::with_seed(SEED);
    println!("seed {SEED}");
    let sent: Vec<Option<String>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|number| {
                let (addrs, is_done) = (&addrs, &is_done);
                scope.spawn(move || call(number, addrs, is_done))
            })
            .collect();
        let guard = Done(&is_done);
        for round in 0..KILLS {
            thread::sleep(Duration::from_millis(rng.u64(200..400)));
            let first = if round % 3 == 0 { 0 } else { LEAVES_FROM };
            let number = rng.usize(first..fleet.members.len());
            fleet.kill_node(number);
            thread::sleep(Duration::from_millis(200));
            fleet.replace_node(number).expect("the addresses are free");
        }
        drop(guard);
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("callers do not panic"))
            .collect()
    });
    let roots = sent.len();
    println!(
        "refusals: {:?}",
        support::counts(sent.into_iter().flatten())
    );
    let attempts = by_chain(&runs(&fleet));
    let most = check(&attempts, ALLOWANCE).expect("bounded");
    let total = leaf_attempts(&fleet);
    println!(
        "{roots} roots, {} chains reached the leaf, at most {most} runs, {total} tries",
        attempts.len()
    );
    assert!(total > attempts.len(), "nothing was ever tried again");
    assert!(total <= roots * (1 + ALLOWANCE), "{total} tries");
}

/// Calls, and calls again at another node where that failed; gives each call's reason code.
fn call(
    number: usize,
    addrs: &[std::net::SocketAddr],
    is_done: &AtomicBool,
) -> Vec<Option<String>> {
    let caller = Caller::new(KEY);
    let mut sent = Vec::new();
    while !is_done.load(Ordering::Acquire) {
        for again in 0..3 {
            let addr = addrs[(number + sent.len() + again) % addrs.len()];
            let target = format!("/level-0?caller={number}&sent={}", sent.len());
            let seen = caller.get(addr, &target);
            let is_ok = seen.as_ref().is_ok_and(Seen::is_ok);
            sent.push(seen.ok().and_then(|seen| seen.code));
            if is_ok {
                break;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    sent
}

#[test]
fn p01_the_checker_rejects_a_chain_that_tried_the_leaf_too_often() {
    assert_eq!(check(&[1, 3, 2], 2), Ok(3));
    assert!(check(&[1, 4, 1], 2).is_err());
}
