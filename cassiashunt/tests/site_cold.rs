//! Backend servers that are cold, and failure domains that the operators evacuate.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Fault, Run};
use serde_json::{Value, json};
use support::{
    eventually,
    site::{Member, Site, WORKSPACE_KEY, read, table},
};

const COLD: Duration = Duration::from_secs(3);
const PER_SECOND: usize = 13;
const SECOND: Duration = Duration::from_secs(1);
/// The operators' bound on the time until an evacuation is in force.
const EVACUATE: Duration = Duration::from_secs(5);

/// A table that states how many requests a cold server tolerates.
fn cold_table() -> Value {
    let mut table = table(1, &[WORKSPACE_KEY]);
    let resources = table["resources"].as_array_mut();
    for resource in resources.expect("`resources` is not an array") {
        match resource["type"].as_str() {
            Some("services") => {
                resource["spec"]["warmup_s"] = json!(COLD.as_secs());
                resource["spec"]["warmup_per_s"] = json!(PER_SECOND);
            }
            Some("tenants") => resource["spec"]["rate_per_s"] = json!(0),
            _ => {}
        }
    }
    table
}

/// Sends requests for the shop to the first node from several clients for a while.
fn flood(site: &Site, time: Duration) -> Vec<u16> {
    thread::scope(|scope| {
        let clients: Vec<_> = (0..6)
            .map(|_| {
                scope.spawn(|| {
                    let until = Instant::now() + time;
                    let mut statuses = Vec::new();
                    while Instant::now() < until {
                        statuses.push(site.members[0].status_of(&read("shop")));
                    }
                    statuses
                })
            })
            .collect();
        let clients = clients.into_iter();
        let statuses = clients.flat_map(|it| it.join().expect("a client failed"));
        statuses.collect()
    })
}

/// The most of these runs that began within one second.
fn most_in_a_second(runs: &[Run]) -> usize {
    let counts = runs.iter().map(|first| {
        let within = |it: &&Run| it.at >= first.at && it.at < first.at + SECOND;
        runs.iter().filter(within).count()
    });
    counts.max().unwrap_or_default()
}

fn assert_held_to_the_rate(member: &Member) {
    let runs = member.server.runs();
    let most = most_in_a_second(&runs);
    assert!(most <= PER_SECOND, "{most} requests in one second");
    assert!(!runs.is_empty(), "the cold server was not used at all");
}

#[test]
fn a_cold_server_gets_no_more_than_it_tolerates_while_the_others_serve() {
    let site = Site::start_with_table("cold", &["shop", "shop"], &cold_table());
    let cold = &site.members[1];
    thread::sleep(2 * SECOND);
    cold.server.forget_runs();
    cold.server.set_cold_for(COLD);
    let beat = cold.server.beat(cold.heartbeats, "shop", "ready", 2);
    assert_eq!(beat.expect("no answer from the node"), 200);
    let statuses = flood(&site, COLD - SECOND / 2);
    assert_held_to_the_rate(cold);
    let served = statuses.iter().filter(|it| **it == 200).count();
    assert!(served > 10 * PER_SECOND, "{served} of {}", statuses.len());
    eventually("the warm server is used in full", || {
        cold.server.forget_runs();
        flood(&site, SECOND);
        most_in_a_second(&cold.server.runs()) > 2 * PER_SECOND
    });
}

#[test]
fn a_node_that_starts_beside_a_cold_server_asks_it() {
    let mut site = Site::start_with_table("cold-start", &["shop", "shop"], &cold_table());
    site.members[1].server.set_cold_for(2 * COLD);
    site.members[1].restart();
    // Its clients' requests are refused until then.
    eventually("the node serves", || {
        site.members[1].status_of(&read("shop")) == 200
    });
    site.members[1].server.forget_runs();
    flood(&site, COLD);
    assert_held_to_the_rate(&site.members[1]);
}

#[test]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back_cold() {
    let mut site = Site::start_with_table("evacuated", &["shop"], &cold_table());
    site.add_in("shop", "west");
    site.wait_until_serving();
    eventually("both servers are used", || {
        flood(&site, SECOND / 10);
        site.members.iter().all(|it| !it.server.runs().is_empty())
    });
    site.store.put("op/evacuate/nowhere", "{}");
    site.store.put("op/evacuate/west", "{}");
    thread::sleep(EVACUATE);
    site.members[1].server.forget_runs();
    assert!(flood(&site, SECOND).iter().all(|it| *it == 200));
    // Nor does one that starts meanwhile, or that the store does not answer.
    site.members[1].restart();
    site.members[0].door.set_fault(Fault::Away);
    site.store.put("op/evacuate/west", "not JSON");
    eventually("the node is ready", || site.members[1].is_ready());
    flood(&site, SECOND);
    assert!(site.members[1].server.runs().is_empty());
    site.members[0].door.set_fault(Fault::None);
    site.members[1].server.set_cold_for(COLD);
    site.store.delete("op/evacuate/west");
    flood(&site, COLD - SECOND / 2);
    assert_held_to_the_rate(&site.members[1]);
}

#[test]
fn where_all_domains_are_evacuated_requests_are_refused_as_not_run() {
    let site = Site::start_with_table("evacuated-all", &["shop"], &cold_table());
    site.store.put("op/evacuate/east", "{}");
    thread::sleep(EVACUATE);
    site.members[0].server.forget_runs();
    assert!(flood(&site, SECOND / 2).iter().all(|it| *it == 503));
    assert!(site.members[0].server.runs().is_empty());
    site.store.delete("op/evacuate/east");
    eventually("it is served again", || {
        site.members[0].status_of(&read("shop")) == 200
    });
}

/// The store is restored from a copy that lacks an evacuation, which the operators have not ended.
#[test]
fn a_restored_store_ends_no_evacuation() {
    let site = Site::start_with_table("evacuated-restored", &["shop"], &cold_table());
    let copy = site.store.snapshot();
    site.store.put("op/evacuate/east", "{}");
    eventually("it is evacuated", || {
        site.members[0].status_of(&read("shop")) == 503
    });
    site.store.restore(&copy);
    thread::sleep(EVACUATE);
    site.members[0].server.forget_runs();
    flood(&site, SECOND / 2);
    assert!(site.members[0].server.runs().is_empty());
}

/// Guards against an owner that acts on the first of several changes that one answer of the store holds.
#[test]
fn an_evacuation_that_is_taken_back_at_once_does_not_last() {
    let site = Site::start_with_table("evacuated-shortly", &["shop"], &cold_table());
    site.wait_until_serving();
    for _ in 0..5 {
        site.store.put("op/evacuate/east", "{}");
        site.store.delete("op/evacuate/east");
    }
    eventually("the server is used again", || {
        flood(&site, SECOND / 10).contains(&200)
    });
    thread::sleep(EVACUATE);
    assert!(flood(&site, SECOND).contains(&200));
}
