//! The platform's store comes back from a copy some seconds old, with a higher era.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{self, Fault, Request, Snapshot};
use serde_json::{Value, json};
use support::{
    eventually,
    site::{Member, Site, WORKSPACE_KEY, read, read_with_key},
};

/// The bounds in the platform's deployments: on a withdrawn key, on a change of the table, and the
/// time after an outage of the store until nodes are in touch again.
const KEY_WITHDRAWAL: Duration = Duration::from_secs(5);
const CONVERGENCE: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// How long the store is away.
const ABSENCE: Duration = Duration::from_secs(2);
/// From when on a server that joined has to get requests, by the platform's rules.
const JOIN_BOUND: Duration = Duration::from_secs(4);
/// The lifetime of a node's entry without renewal, by the node's settings and constants.
const ENTRY_LEASE: Duration = Duration::from_secs(6);

const NODES: [&str; 4] = ["shop", "desk", "shop", "desk"];

fn start(name: &str) -> Site {
    Site::start_with_key_withdrawal(name, &NODES, KEY_WITHDRAWAL)
}

/// Takes the store away for a while and brings it back from a copy.
fn restore(site: &Site, snapshot: &Snapshot) {
    site.store.set_fault(Fault::Away);
    thread::sleep(ABSENCE);
    site.store.restore(snapshot);
    site.store.set_fault(Fault::None);
}

/// The operators' table with these keys, without a rate limit: how tokens are shared under load is
/// tested elsewhere.
fn table(version: u64, keys: &[&str]) -> Value {
    site::table(version, keys, 0)
}

fn key(version: u64) -> String {
    format!("key-{version}")
}

/// Writes a table whose only key is that of its version, and returns when it was accepted.
fn put_version(site: &Site, version: u64) -> Instant {
    site.put_table(&table(version, &[&key(version)]));
    Instant::now()
}

fn accepts(member: &Member, version: u64) -> bool {
    let request = read_with_key("shop", &key(version));
    member.ask(&request).is_ok_and(|it| it.status == 200)
}

/// Waits until the table of a version is in force at all nodes.
fn wait_in_force(site: &Site, version: u64) {
    for member in &site.members {
        eventually("the table is in force", || accepts(member, version));
    }
}

/// Fails unless the version is in force at all nodes in time, counted from when nodes are in touch
/// at the earliest.
fn assert_in_force_in_time(site: &Site, version: u64, accepted: Instant, returned: Instant) {
    let deadline = accepted.max(returned + CONTACT) + CONVERGENCE;
    for member in &site.members {
        while !accepts(member, version) {
            assert!(
                Instant::now() < deadline,
                "{}: version {version} is not in force {:?} after it was accepted",
                member.name,
                accepted.elapsed()
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Fails if a node accepts the key of an older version than `version`, or refuses that of `version`.
fn assert_stays_in_force(site: &Site, version: u64, older: &[&str], span: Duration) {
    let since = Instant::now();
    while since.elapsed() < span {
        for member in &site.members {
            let status = member.status_of(&read_with_key("shop", &key(version)));
            let after = since.elapsed();
            assert_eq!(
                status,
                200,
                "{}, version {version}, {after:?}: {}",
                member.name,
                last_failures(member)
            );
            for key in older {
                let status = member.status_of(&read_with_key("desk", key));
                assert_eq!(status, 401, "{}, older key {key}, {after:?}", member.name);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// The table with another route, to the service desk.
fn with_added_route(mut table: Value) -> Value {
    let route = json!({"type": "routes", "meta": {"name": "added"}, "spec": {
        "host": "shop.example", "prefix": "/added/", "kind": "idempotent", "timeout_ms": 1_500,
        "goal_ms": 800, "priority": 1, "service": "desk", "max_attempts": 2, "public": true,
    }});
    let resources = table["resources"].as_array_mut();
    resources.expect("a table has resources").push(route);
    table
}

/// The last lines of a node's log about requests that were not answered by a server.
fn last_failures(member: &Member) -> String {
    // The node writes its log with a delay.
    thread::sleep(Duration::from_secs(1));
    let log = member.log();
    let lines = log.lines().filter(|line| {
        let is_of_request = line.contains("\"request-ended\"") || line.contains("-retried\"");
        is_of_request && !line.contains("\"status\":200") && !line.contains("\"status\":401")
    });
    let lines: Vec<_> = lines.collect();
    lines[lines.len().saturating_sub(3)..].join("\n")
}

fn entry(name: &str) -> String {
    format!("cassiashunt/nodes/{name}")
}

#[test]
fn a_change_after_the_store_came_back_from_a_copy_is_in_force_in_time() {
    let site = start("restored-change");
    let snapshot = site.store.snapshot();
    for version in 2..8 {
        put_version(&site, version);
    }
    wait_in_force(&site, 7);
    restore(&site, &snapshot);
    let returned = Instant::now();
    let accepted = put_version(&site, 8);
    assert_in_force_in_time(&site, 8, accepted, returned);
    thread::sleep((CONTACT + CONVERGENCE).saturating_sub(returned.elapsed()));
    let accepted = put_version(&site, 9);
    assert_in_force_in_time(&site, 9, accepted, returned);
}

#[test]
fn a_route_added_after_the_store_came_back_from_a_copy_is_served() {
    let site = start("restored-route");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    put_version(&site, 3);
    wait_in_force(&site, 3);
    restore(&site, &snapshot);
    let returned = Instant::now();
    site.put_table(&with_added_route(table(4, &[WORKSPACE_KEY])));
    for member in &site.members {
        let added = || Request {
            key: None,
            target: "/added/1".into(),
            ..Request::default()
        };
        eventually("the added route is served", || {
            member.status_of(&added()) == 200
        });
        assert!(returned.elapsed() < CONTACT + CONVERGENCE);
    }
}

#[test]
fn a_withdrawn_key_that_is_back_in_the_copy_is_refused_by_nodes_that_knew_it_withdrawn() {
    let site = start("restored-key");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    wait_in_force(&site, 2);
    restore(&site, &snapshot);
    // Longer than any proof of before the restore holds.
    assert_stays_in_force(&site, 2, &[WORKSPACE_KEY], 2 * KEY_WITHDRAWAL);
    let (accepted, returned) = (put_version(&site, 3), Instant::now());
    assert_in_force_in_time(&site, 3, accepted, returned);
    assert_stays_in_force(&site, 3, &[WORKSPACE_KEY, &key(2)], CONVERGENCE);
}

#[test]
fn a_node_started_after_the_restore_gets_the_newest_table_from_its_peers() {
    let mut site = start("restored-start");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    wait_in_force(&site, 2);
    restore(&site, &snapshot);
    site.members[1].node.kill();
    site.members[1].restart();
    eventually("the new start has the newest table", || {
        accepts(&site.members[1], 2)
    });
    let started = Instant::now();
    while started.elapsed() < CONTACT {
        let status = site.members[1].status_of(&read("shop"));
        assert_ne!(status, 200, "older key, {:?}", started.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    assert_stays_in_force(&site, 2, &[WORKSPACE_KEY], KEY_WITHDRAWAL);
}

#[test]
fn a_node_started_after_the_restore_accepts_no_key_that_its_peers_know_to_be_withdrawn() {
    let mut site = start("restored-start-key");
    put_version(&site, 2);
    wait_in_force(&site, 2);
    let snapshot = site.store.snapshot();
    put_version(&site, 3);
    wait_in_force(&site, 3);
    thread::sleep(KEY_WITHDRAWAL);
    restore(&site, &snapshot);
    for member in &mut site.members {
        member.node.kill();
        member.restart();
        let (started, mut accepted) = (Instant::now(), Vec::new());
        while started.elapsed() < CONTACT {
            let answer = member.ask(&read_with_key(&member.service, &key(2)));
            if answer.is_ok_and(|answer| answer.status == 200) {
                accepted.push(started.elapsed());
            }
            thread::sleep(Duration::from_millis(2));
        }
        assert!(accepted.is_empty(), "{}: {accepted:?}", member.name);
        eventually("the new start serves", || accepts(member, 3));
    }
}

#[test]
fn an_invalid_table_after_the_restore_is_ignored() {
    let site = start("restored-invalid");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    wait_in_force(&site, 2);
    restore(&site, &snapshot);
    site.store
        .put("op/config", "{\"version\": 9, \"resources\": [");
    assert_stays_in_force(&site, 2, &[WORKSPACE_KEY], KEY_WITHDRAWAL + CONVERGENCE);
    let (accepted, returned) = (put_version(&site, 3), Instant::now());
    assert_in_force_in_time(&site, 3, accepted, returned);
}

#[test]
fn a_revision_given_out_again_for_another_table_proves_nothing() {
    let site = start("restored-revision");
    // No node writes between the copy and the change, so that the change after it gets the same
    // revision.
    let (mut snapshot, mut lost, mut version) = (site.store.snapshot(), 0, 1);
    eventually("only the change follows the copy", || {
        version += 1;
        snapshot = site.store.snapshot();
        let before = site.store.revision();
        put_version(&site, version);
        wait_in_force(&site, version);
        lost = before + 1;
        site.store.revision() == lost
    });
    site.store.set_fault(Fault::Away);
    thread::sleep(ABSENCE);
    site.store.restore(&snapshot);
    let accepted = put_version(&site, version + 1);
    assert_eq!(site.store.revision(), lost);
    site.store.set_fault(Fault::None);
    assert_in_force_in_time(&site, version + 1, accepted, Instant::now());
}

#[test]
fn keys_stay_accepted_and_the_next_table_applies_where_the_copy_has_no_table_at_all() {
    let site = start("restored-first");
    site.store.delete("op/config");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    wait_in_force(&site, 2);
    restore(&site, &snapshot);
    assert_stays_in_force(&site, 2, &[WORKSPACE_KEY], 2 * KEY_WITHDRAWAL);
    let (accepted, returned) = (put_version(&site, 3), Instant::now());
    assert_in_force_in_time(&site, 3, accepted, returned);
}

#[test]
fn two_restores_in_a_row_bring_back_nothing_older() {
    let site = start("restored-twice");
    let first = site.store.snapshot();
    put_version(&site, 2);
    wait_in_force(&site, 2);
    let second = site.store.snapshot();
    put_version(&site, 3);
    wait_in_force(&site, 3);
    restore(&site, &second);
    thread::sleep(Duration::from_millis(300));
    put_version(&site, 4);
    wait_in_force(&site, 4);
    restore(&site, &first);
    let returned = Instant::now();
    assert_stays_in_force(&site, 4, &[WORKSPACE_KEY, &key(2), &key(3)], CONVERGENCE);
    let accepted = put_version(&site, 5);
    assert_in_force_in_time(&site, 5, accepted, returned);
    assert_stays_in_force(&site, 5, &[WORKSPACE_KEY, &key(4)], KEY_WITHDRAWAL);
}

#[test]
fn a_copy_taken_between_two_changes_brings_back_neither_and_hides_neither() {
    let site = start("restored-between");
    put_version(&site, 2);
    wait_in_force(&site, 2);
    let snapshot = site.store.snapshot();
    put_version(&site, 3);
    wait_in_force(&site, 3);
    restore(&site, &snapshot);
    let returned = Instant::now();
    // The operator writes the lost version again, then the next one.
    put_version(&site, 3);
    assert_stays_in_force(&site, 3, &[WORKSPACE_KEY, &key(2)], CONVERGENCE);
    let accepted = put_version(&site, 4);
    assert_in_force_in_time(&site, 4, accepted, returned);
}

#[test]
fn nodes_that_know_different_eras_for_a_while_apply_the_newest_table() {
    let site = start("restored-eras");
    let snapshot = site.store.snapshot();
    for version in 2..6 {
        put_version(&site, version);
    }
    wait_in_force(&site, 5);
    let disconnected = [&site.members[0], &site.members[3]];
    for member in disconnected {
        member.door.set_fault(Fault::Silent);
    }
    restore(&site, &snapshot);
    let returned = Instant::now();
    let accepted = put_version(&site, 6);
    assert_in_force_in_time(&site, 6, accepted, returned);
    thread::sleep(KEY_WITHDRAWAL);
    assert_stays_in_force(&site, 6, &[WORKSPACE_KEY, &key(5)], CONVERGENCE);
    for member in disconnected {
        member.door.set_fault(Fault::None);
    }
    assert_stays_in_force(&site, 6, &[WORKSPACE_KEY, &key(5)], CONTACT);
    let (accepted, returned) = (put_version(&site, 7), Instant::now());
    assert_in_force_in_time(&site, 7, accepted, returned);
}

#[test]
fn a_late_answer_of_the_era_before_changes_nothing() {
    let site = start("restored-late");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    wait_in_force(&site, 2);
    // Answers from before the restore arrive after it.
    site.members[0]
        .door
        .set_fault(Fault::Slow(Duration::from_millis(900)));
    thread::sleep(Duration::from_millis(500));
    site.store.restore(&snapshot);
    let returned = Instant::now();
    let accepted = put_version(&site, 3);
    thread::sleep(CONVERGENCE);
    site.members[0].door.set_fault(Fault::None);
    assert_in_force_in_time(&site, 3, accepted, returned);
    assert_stays_in_force(&site, 3, &[WORKSPACE_KEY, &key(2)], CONTACT);
}

#[test]
fn a_server_that_joined_after_the_copy_is_used_and_its_entry_is_back() {
    let mut site = Site::start_with_key_withdrawal("restored-join", &["shop"; 3], KEY_WITHDRAWAL);
    let snapshot = site.store.snapshot();
    site.add("desk");
    site.wait_until_serving();
    let joined = entry(&site.members[3].name);
    restore(&site, &snapshot);
    let returned = Instant::now();
    eventually("the entry is back", || {
        site.store.keys("cassiashunt/nodes/").contains(&joined)
    });
    assert!(
        returned.elapsed() < CONTACT,
        "back after {:?}",
        returned.elapsed()
    );
    // A new start knows only what the store has.
    site.members[0].node.kill();
    site.members[0].restart();
    let started = Instant::now();
    for member in &site.members {
        eventually("the server that joined is used", || {
            let answer = member.ask(&read("desk"));
            answer.is_ok_and(|answer| answer.status == 200)
        });
        assert!(started.elapsed() < JOIN_BOUND, "{}", member.name);
    }
}

#[test]
fn a_server_that_left_after_the_copy_does_not_come_back() {
    let mut site = start("restored-left");
    let left = entry(&site.members[3].name);
    let snapshot = site.store.snapshot();
    site.members[3].node.signal("-TERM");
    site.members[3].node.wait();
    site.members.truncate(3);
    eventually("its entry is removed", || {
        !site.store.keys("cassiashunt/nodes/").contains(&left)
    });
    restore(&site, &snapshot);
    let returned = Instant::now();
    while returned.elapsed() < ENTRY_LEASE + CONVERGENCE {
        for member in &site.members {
            let status = member.status_of(&read("desk"));
            assert_eq!(
                status,
                200,
                "{}: {:?}: {}",
                member.name,
                returned.elapsed(),
                last_failures(member)
            );
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert!(!site.store.keys("cassiashunt/nodes/").contains(&left));
    let present = site.store.keys("cassiashunt/nodes/").len();
    assert_eq!(present, 3, "the entries of the others are there");
}

#[test]
fn a_lease_id_given_out_again_is_not_taken_for_the_own_lease() {
    let mut site = Site::start_with_key_withdrawal("restored-lease", &["shop"; 2], KEY_WITHDRAWAL);
    let snapshot = site.store.snapshot();
    site.add("desk");
    site.wait_until_serving();
    site.members[2].door.set_fault(Fault::Away);
    site.store.restore(&snapshot);
    // Another node gets the lease that the disconnected one had.
    site.add("shop");
    let other = entry(&site.members[3].name);
    eventually("the other entry is written", || {
        site.store.keys("cassiashunt/nodes/").contains(&other)
    });
    site.members[2].door.set_fault(Fault::None);
    thread::sleep(CONTACT);
    site.members[3].node.kill();
    thread::sleep(ENTRY_LEASE + CONTACT);
    let expected: Vec<_> = site.members[..3].iter().map(|it| entry(&it.name)).collect();
    assert_eq!(site.store.keys("cassiashunt/nodes/"), expected);
}

/// Longer than a stopping node takes to withdraw its entry.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(1_600);

/// A stopping node ended its lease by its id, which another writer had got since the restore.
#[test]
fn a_stop_that_crosses_a_restore_removes_no_entry_of_another_node() {
    let mut site = Site::start_with_key_withdrawal("restored-stop", &["shop"; 2], KEY_WITHDRAWAL);
    let snapshot = site.store.snapshot();
    site.add("desk");
    site.wait_until_serving();
    let (stopping, other) = (entry(&site.members[2].name), entry("other"));
    let lease = site.store.lease(&stopping);
    // What the node calls reaches the store after the restore.
    site.members[2]
        .door
        .set_fault(Fault::Late(Duration::from_secs(1)));
    site.members[2].node.signal("-TERM");
    thread::sleep(WITHDRAWAL_TIME);
    let granted = site.store.restore_and_grant(&snapshot, 2 * ENTRY_LEASE);
    assert_eq!(Some(granted), lease, "the lease is not given out again");
    site.store.put_leased(&other, "{}", granted);
    assert_eq!(site.members[2].node.wait(), Some(0));
    thread::sleep(CONTACT);
    assert!(site.store.keys(&other).contains(&other), "it was removed");
    assert!(site.store.keys(&stopping).is_empty());
}

#[test]
fn a_stopping_node_withdraws_its_entry_before_its_lease_ends() {
    let mut site = Site::start_with_key_withdrawal("withdrawal", &["shop"; 2], KEY_WITHDRAWAL);
    let stopping = entry(&site.members[1].name);
    assert!(site.store.keys(&stopping).contains(&stopping));
    site.members[1].node.signal("-TERM");
    thread::sleep(WITHDRAWAL_TIME);
    assert!(site.store.keys(&stopping).is_empty());
    assert_eq!(site.members[1].node.wait(), Some(0));
}

#[test]
fn a_restore_during_a_rolling_restart_leaves_all_nodes_in_force_and_in_reach() {
    let mut site = start("restored-rolling");
    let snapshot = site.store.snapshot();
    put_version(&site, 2);
    put_version(&site, 3);
    wait_in_force(&site, 3);
    let store = site.store.clone();
    let restoring = thread::spawn(move || {
        thread::sleep(Duration::from_secs(1));
        store.set_fault(Fault::Away);
        thread::sleep(ABSENCE);
        store.restore(&snapshot);
        store.set_fault(Fault::None);
        Instant::now()
    });
    for member in &mut site.members {
        member.node.signal("-TERM");
        member.node.wait();
        member.restart();
        thread::sleep(Duration::from_millis(300));
    }
    let returned = restoring.join().expect("the restore panicked");
    let accepted = put_version(&site, 4);
    assert_in_force_in_time(&site, 4, accepted, returned.max(accepted));
    eventually("all entries are back", || {
        site.store.keys("cassiashunt/nodes/").len() == NODES.len()
    });
    for member in &site.members {
        for service in ["shop", "desk"] {
            let request = || read_with_key(service, &key(4));
            eventually("every service is served", || {
                member.status_of(&request()) == 200
            });
        }
    }
    assert_stays_in_force(&site, 4, &[WORKSPACE_KEY, &key(3)], CONTACT);
}
