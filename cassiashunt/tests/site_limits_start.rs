//! Limits of workspaces while nodes start that do not know each other yet.

mod support;

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::Fault;
use support::{
    eventually,
    site::{Site, WORKSPACE_KEY, read, set_field, table},
};

/// Requests a second of the workspace, and its burst.
const RATE: u64 = 60;
/// The platform's bound: requests in a window that exceed the limit by this fraction and this number.
const EXCESS: f64 = 0.1;
const EXCESS_SLACK: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
/// Longer than the windows that are played, so that no key lapses.
const KEY_WITHDRAWAL: Duration = Duration::from_secs(20);
/// The key of the state that nodes remember.
const REMEMBERED: &str = "cassiashunt/costs";
const NODE_ENTRIES: &str = "cassiashunt/nodes/";

/// Starts nodes with a limited workspace, and waits until they remember how many they are.
fn start(name: &str, services: &[&str]) -> Site {
    let site = Site::start_with_key_withdrawal(name, services, KEY_WITHDRAWAL);
    let mut table = table(2, &[WORKSPACE_KEY]);
    set_field(&mut table, "tenants", "rate_per_s", RATE);
    set_field(&mut table, "tenants", "burst", RATE);
    site.put_table_in_force(&table);
    let nodes = format!("\"nodes\":{}", services.len());
    eventually("the number of nodes is remembered", || {
        let value = site.store.value(REMEMBERED).unwrap_or_default();
        String::from_utf8_lossy(&value).contains(&nodes)
    });
    site
}

fn kill_all(site: &mut Site) {
    for member in &mut site.members {
        member.node.kill();
    }
}

fn restart_all(site: &mut Site) {
    for member in &mut site.members {
        member.restart();
    }
}

/// Sends more requests than the limit allows to all nodes for a window. Returns how many were served.
fn served_in_a_window(site: &Site) -> usize {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let clients: Vec<_> = site
            .members
            .iter()
            .map(|member| {
                let is_over = &is_over;
                scope.spawn(move || {
                    let mut served = 0;
                    while !is_over.load(Ordering::Relaxed) {
                        let answer = member.ask(&read("desk"));
                        served += usize::from(answer.is_ok_and(|it| it.status == 200));
                        thread::sleep(Duration::from_millis(4));
                    }
                    served
                })
            })
            .collect();
        thread::sleep(WINDOW);
        is_over.store(true, Ordering::Relaxed);
        let served = clients
            .into_iter()
            .map(|it| it.join().expect("a client panicked"));
        served.sum()
    })
}

fn assert_within_limit(served: usize) {
    let rate = RATE as f64;
    let allowed = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + EXCESS) + EXCESS_SLACK;
    assert!(served as f64 <= allowed, "{served} of {allowed} served");
}

/// Guards against a node that counts itself as the whole fleet while it has not read the others' entries:
/// each node took the whole limit.
#[test]
fn nodes_that_have_not_read_who_there_is_serve_nobody_over_the_limit() {
    let mut site = start("unread-entries", &["shop", "desk", "desk", "shop"]);
    kill_all(&mut site);
    site.store.set_fault(Fault::TableOnly);
    restart_all(&mut site);
    assert_within_limit(served_in_a_window(&site));
    // They are served again soon after the entries can be read.
    site.store.set_fault(Fault::None);
    let answered = Instant::now();
    for member in &site.members {
        eventually("the node serves", || member.status_of(&read("desk")) == 200);
    }
    assert!(answered.elapsed() < WINDOW, "{:?}", answered.elapsed());
    assert_within_limit(served_in_a_window(&site));
}

/// Guards against nodes that all start after their entries have expired, and that each count only those
/// which have written theirs again.
#[test]
fn nodes_whose_entries_have_all_expired_divide_the_limit_by_how_many_there_were() {
    let mut site = start(
        "expired-entries",
        &["desk", "shop", "shop", "shop", "shop", "shop"],
    );
    kill_all(&mut site);
    for key in site.store.keys(NODE_ENTRIES) {
        site.store.delete(&key);
    }
    // A node whose server it can't identify writes its entry seconds later.
    for member in &site.members[1..] {
        member.server.set_silent(true);
    }
    restart_all(&mut site);
    assert_within_limit(served_in_a_window(&site));
}

/// Guards against 429 within the limit at a node that has just started, or has just lost the home of the
/// limit: its own share begins without tokens, and a request did not wait for the next one.
#[test]
fn a_started_node_serves_requests_within_the_limit() {
    let mut site = Site::start("started-within-limit", &["shop", "desk"]);
    for _ in 0..5 {
        site.members[0].node.kill();
        site.members[0].restart();
        let member = &site.members[0];
        eventually("the node serves", || {
            let answer = member.ask(&read("desk"));
            answer.is_ok_and(|it| it.status == 200)
        });
        for _ in 0..10 {
            assert_eq!(member.status_of(&read("desk")), 200);
        }
    }
}
