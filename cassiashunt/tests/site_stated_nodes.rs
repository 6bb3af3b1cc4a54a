//! Nodes that only an entry of another writer states.

mod support;

use std::{thread, time::Duration};

use cassiashunt_standin::site::Addresses;
use serde_json::{Value, json};
use support::{
    eventually,
    site::{Site, WORKSPACE_KEY, read, set_field, table},
};

/// The prefix of the nodes' entries.
const NODES: &str = "cassiashunt/nodes/";
/// How many nodes are made up.
const MADE_UP: usize = 10;
/// The requests per second of the workspace, and its burst.
const RATE: u64 = 40;
/// The time between two requests, so that half the limit is used.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const REQUESTS: usize = 80;
/// The time after which a node that only an entry states no longer counts.
const MAX_STATED_TIME: Duration = Duration::from_secs(10);

/// The shortest time between two writes of an entry that others replace.
const REWRITE_INTERVAL: Duration = Duration::from_secs(1);
const REWRITES: u32 = 6;

/// Starts nodes with a limited workspace.
fn start(name: &str, services: &[&str]) -> Site {
    let site = Site::start(name, services);
    let mut table = table(2, &[WORKSPACE_KEY]);
    set_field(&mut table, "tenants", "rate_per_s", RATE);
    set_field(&mut table, "tenants", "burst", RATE);
    site.put_table_in_force(&table);
    site
}

fn entry(site: &Site, at: usize) -> Value {
    let mut value = None;
    eventually("the node has an entry", || {
        value = site.store.value(&format!("{NODES}node-{at}"));
        value.is_some()
    });
    serde_json::from_slice(&value.unwrap_or_default()).expect("the entry is not JSON")
}

/// Writes entries of made-up nodes, each with the address that `address` gives.
fn make_up(site: &Site, address: impl Fn(usize) -> String) {
    for at in 0..MADE_UP {
        let mut entry = entry(site, 0);
        entry["incarnation"] = json!(1_000 + at);
        entry["address"] = json!(address(at));
        entry["service"] = json!(["shop", "desk", "of-no-table"][at % 3]);
        entry["slots"] = json!(u32::MAX);
        site.store
            .put(&format!("{NODES}made-up-{at}"), &entry.to_string());
    }
}

/// How many of the requests to each node, at half the limit, were refused.
fn refused_within_limit(site: &Site) -> Vec<(u16, usize)> {
    let mut refused = Vec::new();
    for member in &site.members {
        for _ in 0..REQUESTS {
            let status = member.status_of(&read("desk"));
            match refused.iter_mut().find(|(it, _)| *it == status) {
                Some((_, count)) => *count += 1,
                None if status == 200 => {}
                None => refused.push((status, 1)),
            }
            thread::sleep(REQUEST_INTERVAL);
        }
    }
    refused
}

/// The last value of `key` in the lines of an event.
fn last_logged(log: &str, event: &str, key: &str) -> Option<Value> {
    let mut lines = log.lines().rev();
    let last = lines.find(|it| it.contains(&format!("\"{event}\"")))?;
    let last: Value = serde_json::from_str(last).expect("the line is not JSON");
    last.get(key).cloned()
}

fn assert_counted(site: &Site, what: &str) {
    let refused = refused_within_limit(site);
    for member in &site.members {
        let log = member.log();
        let whole = last_logged(&log, "sums-whole", "whole");
        assert_ne!(whole, Some(json!(false)), "{what}: {refused:?}");
    }
    assert_eq!(refused, [], "{what}");
}

/// Guards against nodes that nobody has reached but that divide the limits, and that are waited for
/// before load is shed.
#[test]
fn nodes_that_never_answer_take_no_limits_away_for_long() {
    let site = start("never-answer", &["shop", "desk"]);
    let dead: Vec<_> = (0..MADE_UP)
        .map(|_| {
            Addresses::free()
                .expect("cannot bind a port on loopback")
                .peers
        })
        .collect();
    make_up(&site, |at| dead[at].to_string());
    thread::sleep(MAX_STATED_TIME);
    assert_counted(&site, "dead addresses");
    assert!(site.members[0].log().contains("\"peer-counted\""));
}

/// Guards against a node that counts another once for each name that entries give to its address, and
/// asks it for what it doesn't run.
#[test]
fn a_node_counts_once_whatever_names_entries_give_to_its_address() {
    let site = start("many-names", &["shop", "desk", "desk"]);
    let addresses = [entry(&site, 0), entry(&site, 1), entry(&site, 2)];
    make_up(&site, |at| {
        addresses[at % 3]["address"]
            .as_str()
            .expect("no text")
            .to_owned()
    });
    thread::sleep(MAX_STATED_TIME);
    assert_counted(&site, "addresses of others");
    assert!(site.members[0].log().contains("\"peer-is-another\""));
}

/// Guards against two nodes that write each other's entry anew as fast as the store answers.
#[test]
fn two_nodes_of_one_name_write_their_entry_at_most_once_a_second() {
    let mut site = start("one-name", &["shop", "desk"]);
    site.members[1].write_settings("name = \"node-1\"", "name = \"node-0\"");
    site.members[1].node.kill();
    site.members[1].restart();
    eventually("each writes the entry", || {
        let log = site.members[0].log();
        log.contains("\"entry-replaced\"")
    });
    let writes = || site.store.revision();
    let before = writes();
    thread::sleep(REWRITES * REWRITE_INTERVAL);
    let written = writes() - before;
    // Both nodes, and the state that one of them remembers.
    let most = u64::from(2 * (REWRITES + 1) + 1);
    assert!(written <= most, "{written} writes, {most} allowed");
}

/// Guards against a node that is asked for the service that its name stood for before it started anew.
#[test]
fn a_node_that_starts_again_with_another_service_is_not_asked_for_the_old_one() {
    let mut site = start("new-service", &["shop", "desk", "desk"]);
    site.members[1].write_settings("service = \"desk\"", "service = \"shop\"");
    site.members[1].node.kill();
    site.members[1].server.forget_runs();
    site.members[1].restart();
    eventually("the node runs requests for its new service", || {
        for service in ["desk", "shop"] {
            for ingress in [0, 2] {
                // The node may be down, or found by its peers only later.
                let status = site.members[ingress].status_of(&read(service));
                assert!(matches!(status, 200 | 502 | 503), "{service}: {status}");
                thread::sleep(REQUEST_INTERVAL);
            }
        }
        let renewed = &site.members[1];
        let beat = renewed
            .server
            .beat(renewed.heartbeats, "shop", "ready", 100);
        let runs = renewed.server.runs();
        let is_old = |line: &str| line.contains("/desk/");
        let old = runs.iter().find(|run| is_old(&run.first_line));
        assert!(old.is_none(), "{old:?}");
        beat.is_ok() && !runs.is_empty()
    });
}

/// Guards against the name of a replaced machine that keeps the limits, since the node that now has its
/// address is taken for it.
#[test]
fn the_name_of_a_replaced_machine_is_forgotten_though_a_node_has_its_address() {
    let mut site = start("replaced", &["shop", "desk", "desk"]);
    for at in [1, 2] {
        let member = &mut site.members[at];
        let (name, next) = (format!("\"node-{at}\""), format!("\"next-{at}\""));
        member.write_settings(&name, &next);
        member.node.kill();
        member.restart();
        let (heartbeats, server) = (member.heartbeats, &member.server);
        eventually("the node listens", || {
            server.beat(heartbeats, "desk", "ready", 100).is_ok()
        });
    }
    // Their leases end first.
    thread::sleep(MAX_STATED_TIME);
    let refused = refused_within_limit(&site);
    assert_eq!(refused, [], "the limit is kept");
    for at in [1, 2] {
        let name = format!("\"peer\":\"node-{at}\"");
        let log = site.members[0].log();
        let mut lines = log.lines().filter(|it| it.contains("\"peer-gone\""));
        assert!(
            lines.any(|it| it.contains(&name)),
            "no peer-gone of node-{at}"
        );
    }
}
