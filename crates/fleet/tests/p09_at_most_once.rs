//! A non-idempotent request runs at most once for its idempotency key.

mod support;

use std::{collections::BTreeMap, thread, time::Duration};

use cassiashunt_standin::server::Record;
use support::{Caller, KEY, Seen, callers, eventually, runs, start};

/// What a caller was told of a sending with a key.
#[derive(Debug)]
struct Told {
    key: String,
    seen: Seen,
}

/// No key ran twice, and every whole answer to a key is the answer of its one run.
fn check(records: &[Record], told: &[Told]) -> Result<usize, String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records.iter().filter(|record| record.path == "/sign-off") {
        let key = record.idempotency_key.as_deref().unwrap_or_default();
        *counts.entry(key).or_default() += 1;
    }
    if let Some((key, count)) = counts.iter().find(|(_, count)| **count > 1) {
        return Err(format!("{key} ran {count} times"));
    }
    let mut answers: BTreeMap<&str, &[u8]> = BTreeMap::new();
    for told in told.iter().filter(|told| told.seen.is_ok()) {
        if !counts.contains_key(told.key.as_str()) {
            return Err(format!("{} was answered and never ran", told.key));
        }
        let first = answers.entry(&told.key).or_insert(&told.seen.body);
        if *first != told.seen.body.as_slice() {
            return Err(format!("{} has two answers", told.key));
        }
    }
    Ok(answers.len())
}

/// Sends a request with `key` through several nodes at once, then again.
fn send_around(addrs: &[std::net::SocketAddr], key: &str) -> Vec<Told> {
    let headers = [("Idempotency-Key", key)];
    // Requests that differ by their key only are one request to the containment of crashes, and the
    // deaths below would be held against it.
    let target = format!("/sign-off?of={key}");
    let send = |addr| {
        let caller = Caller::new(KEY);
        let seen = caller.send(addr, "POST", &target, &headers);
        let key = key.to_owned();
        seen.ok().map(|seen| Told { key, seen })
    };
    let at_once: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = addrs
            .iter()
            .take(3)
            .map(|addr| scope.spawn(|| send(*addr)))
            .collect();
        threads
            .into_iter()
            .filter_map(|t| t.join().expect("callers do not panic"))
            .collect()
    });
    let again = addrs.iter().rev().filter_map(|addr| send(*addr));
    at_once.into_iter().chain(again).collect()
}

/// The outcomes of every sending, a line each.
fn summary(told: &[Told]) -> String {
    let line = |told: &Told| {
        let Seen { status, code, .. } = &told.seen;
        format!(
            "\n{} {status} {}",
            told.key,
            code.as_deref().unwrap_or("whole")
        )
    };
    told.iter().map(line).collect()
}

#[test]
fn p09_repeats_through_all_nodes_run_once_while_homes_and_servers_are_killed() {
    let fleet = start();
    let addrs = callers(&fleet);
    let mut told = Vec::new();
    for number in 0..12 {
        told.extend(send_around(&addrs, &format!("calm-{number}")));
    }
    let answered = check(&runs(&fleet), &told).expect("no key runs twice");
    assert_eq!(
        answered,
        12,
        "not every key is answered in calm times: {}",
        summary(&told)
    );
    for number in 0..30 {
        match number {
            4 => fleet.kill_node(4),
            10 => fleet.members[0].server.crash(),
            12 => fleet.members[0].server.restart().expect("its port is free"),
            16 => fleet.replace_node(4).expect("the addresses are free"),
            20 => fleet.kill_node(2),
            _ => {}
        }
        let up: Vec<_> = fleet
            .members
            .iter()
            .filter(|member| member.is_up())
            .collect();
        let addrs: Vec<_> = up.iter().map(|member| member.addresses.callers).collect();
        told.extend(send_around(&addrs, &format!("storm-{number}")));
        thread::sleep(Duration::from_millis(50));
    }
    check(&runs(&fleet), &told).expect("no key runs twice");
    let mut number = 0;
    eventually("new keys go on", || {
        number += 1;
        let sent = send_around(&addrs[..2], &format!("after-{number}"));
        println!("{}", summary(&sent));
        let is_ok = sent.iter().any(|told| told.seen.is_ok());
        told.extend(sent);
        is_ok
    });
    check(&runs(&fleet), &told).expect("no key runs twice");
}

#[test]
fn p09_a_key_cannot_be_used_for_another_request_and_is_required() {
    let fleet = start();
    let addr = callers(&fleet)[0];
    let caller = Caller::new(KEY);
    let keyed = [("Idempotency-Key", "one")];
    let first = caller.send(addr, "POST", "/sign-off", &keyed);
    let first = first.expect("answered");
    assert!(first.is_ok(), "{first:?}");
    let other = caller
        .send(addr, "POST", "/sign-off?other=1", &keyed)
        .expect("answered");
    assert_eq!(
        (other.status, other.code.as_deref()),
        (422, Some("idempotency-key-reused"))
    );
    let without = caller
        .send(addr, "POST", "/sign-off", &[])
        .expect("answered");
    assert_eq!(
        (without.status, without.code.as_deref()),
        (400, Some("idempotency-key-required"))
    );
    assert!(without.is_not_run());
}
