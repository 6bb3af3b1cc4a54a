//! Backend servers that are cold, and failure domains that the operators evacuate.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Fault, Run};
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

/// How long a request runs at its server.
const WORK: Duration = Duration::from_millis(60);
/// Together they ask for more than the first node's server can run.
const CLIENTS: usize = 12;
const BEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A site whose servers report all the while, as the platform's do.
fn start(name: &str, services: &[&str]) -> Site {
    let site = Site::start_with_table(name, services, &cold_table());
    site.members.iter().for_each(prepare);
    site
}

fn prepare(member: &Member) {
    member.server.set_usual(Behaviour::Slow(WORK));
    let (server, heartbeats) = (member.server.clone(), member.heartbeats);
    thread::spawn(move || {
        for sequence in 10.. {
            // The node may be starting.
            let _ = server.beat(heartbeats, "shop", "ready", sequence);
            thread::sleep(BEAT_INTERVAL);
        }
    });
}

/// Sends requests for the shop to the first node from several clients for a while.
fn flood(site: &Site, time: Duration) -> Vec<u16> {
    let until = Instant::now() + time;
    let client = || {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            statuses.push(site.members[0].status_of(&read("shop")));
        }
        statuses
    };
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(client)).collect();
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
    let site = start("cold", &["shop", "shop"]);
    let cold = &site.members[1];
    thread::sleep(2 * SECOND);
    cold.server.forget_runs();
    cold.server.set_cold_for(COLD);
    // Its node learns of it by the next heartbeat.
    thread::sleep(BEAT_INTERVAL + SECOND / 5);
    let statuses = flood(&site, COLD - SECOND);
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
    let mut site = start("cold-start", &["shop", "shop"]);
    site.members[1].server.set_cold_for(2 * COLD);
    site.members[1].node.kill();
    site.members[1].restart();
    // Its clients' requests are refused until then.
    eventually("the node serves", || {
        site.members[1]
            .ask(&read("shop"))
            .is_ok_and(|it| it.status == 200)
    });
    site.members[1].server.forget_runs();
    flood(&site, COLD);
    assert_held_to_the_rate(&site.members[1]);
}

#[test]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back_cold() {
    let mut site = start("evacuated", &["shop"]);
    site.add_in("shop", "west");
    prepare(&site.members[1]);
    site.wait_until_serving();
    eventually("both servers are used", || {
        flood(&site, SECOND / 10);
        site.members.iter().all(|it| !it.server.runs().is_empty())
    });
    site.store.put("op/evacuate/nowhere", "{}");
    site.store.put("op/evacuate/west", "{}");
    thread::sleep(EVACUATE);
    site.members[1].server.forget_runs();
    let statuses = flood(&site, SECOND);
    // The other server can't run all of them.
    assert!(
        statuses.iter().all(|it| matches!(it, 200 | 503)),
        "{statuses:?}"
    );
    assert!(statuses.iter().filter(|it| **it == 200).count() > PER_SECOND);
    assert!(site.members[1].server.runs().is_empty());
    // Nor does one that starts meanwhile, or that the store does not answer.
    site.members[1].node.kill();
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
    let site = start("evacuated-all", &["shop"]);
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
    let site = start("evacuated-restored", &["shop"]);
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
