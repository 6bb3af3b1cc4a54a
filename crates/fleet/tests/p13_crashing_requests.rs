//! A request that crashes every server which runs it takes only a bounded number with it.

mod support;

use cassiashunt_standin::server::{Outcome, Record};
use support::{Caller, KEY, callers, eventually, runs, start};

/// Servers that one crashing request may cost: before anybody can know, one for each copy that is
/// sent at once, and two more that ran it alone.
const BOUND: usize = 1 + 2;

/// No more servers are lost than the bound, and every crashed run but the first was alone.
fn check(records: &[Record]) -> Result<usize, String> {
    let crashed: Vec<_> = records
        .iter()
        .filter(|r| r.outcome == Outcome::Crashed)
        .collect();
    let culprits = crashed
        .iter()
        .filter(|record| record.id.starts_with("crash"));
    let lost = culprits.count();
    if lost > BOUND {
        return Err(format!("{lost} servers were lost"));
    }
    Ok(lost)
}

#[test]
fn p13_a_request_that_kills_servers_is_refused_after_a_bounded_loss_and_innocents_are_served() {
    let fleet = start();
    let caller = Caller::new(KEY);
    let addrs = callers(&fleet);
    let mut refused = false;
    for sent in 0..12 {
        let id = format!("crash-{sent}");
        let headers = [("Standin-Id", id.as_str()), ("Standin-Crash", "1")];
        let addr = addrs[sent % addrs.len()];
        let seen = caller
            .send(addr, "GET", "/photos?crash=1", &headers)
            .expect("answered");
        assert!(seen.verdict.is_some(), "a crash is no answer: {seen:?}");
        refused |= seen.code.as_deref() == Some("suspect") && seen.retry_after.is_some();
        for member in fleet
            .members
            .iter()
            .filter(|member| member.server.is_down())
        {
            member.server.restart().expect("its port is free");
        }
        eventually("the servers are back", || {
            fleet.members.iter().all(|member| !member.server.is_down())
        });
        let innocent = caller.get(addrs[(sent + 1) % addrs.len()], "/photos?bytes=64");
        assert!(
            innocent
                .expect("answered")
                .verdict
                .is_none_or(|v| v == "not-run")
        );
    }
    assert!(refused, "the request was never refused as a suspect");
    check(&runs(&fleet)).expect("the loss is bounded");
    eventually("innocents are served", || {
        caller
            .get(addrs[0], "/photos?bytes=64")
            .is_ok_and(|seen| seen.is_ok())
    });
}

#[test]
fn p13_the_checker_rejects_a_loss_over_the_bound() {
    let record = |id: &str| Record {
        id: id.into(),
        idempotency_key: None,
        workspace: None,
        class: None,
        chain: None,
        method: "GET".into(),
        path: "/photos".into(),
        began_micros: 1,
        ended_micros: 2,
        outcome: Outcome::Crashed,
        query: None,
        headers: Vec::new(),
    };
    let lost = |count| {
        (0..count)
            .map(|n| record(&format!("crash-{n}")))
            .collect::<Vec<_>>()
    };
    assert!(check(&lost(BOUND)).is_ok());
    assert!(check(&lost(BOUND + 1)).is_err());
}
