//! Tables that the store accepted and that the nodes cannot use.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use support::{
    eventually,
    site::{Site, WORKSPACE_KEY, read_with_key, table},
};

const KEPT: &str = WORKSPACE_KEY;
const WITHDRAWN: &str = "key-that-is-withdrawn";
/// The longest time for which a withdrawn key may be accepted at these nodes.
const KEY_WITHDRAWAL: Duration = Duration::from_millis(2_500);
/// How long requests are sent after that.
const WATCHED: Duration = Duration::from_secs(3);

/// Starts two nodes whose table has both keys.
fn start(name: &str) -> Site {
    let site = Site::start_with_key_withdrawal(name, &["shop", "desk"], KEY_WITHDRAWAL);
    site.put_table_in_force(&table(2, &[KEPT, WITHDRAWN]));
    site
}

/// A table without the withdrawn key, which no node can use: one of its routes has no host.
fn unusable_table() -> Value {
    let mut table = table(3, &[KEPT]);
    let resources = table["resources"].as_array_mut();
    resources.expect("`resources` is not an array").push(
        json!({"type": "routes", "meta": {"name": "odd"}, "spec": {
            "host": "", "prefix": "/", "kind": "idempotent", "service": "desk",
        }}),
    );
    table
}

/// Asserts that requests with the withdrawn key do not run and are refused as not run.
fn assert_withdrawn_key_does_not_run(site: &Site, watched: Duration) {
    let began = Instant::now();
    while began.elapsed() < watched {
        for member in &site.members {
            let request = read_with_key("desk", WITHDRAWN);
            let status = member.status_of(&request);
            let name = &member.name;
            assert_eq!(site.runs_of(&request), 0, "{name} answered {status}");
            assert_eq!(status, 503, "{name}");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// A table without any key whose only row cannot be read.
fn unreadable_row() -> Value {
    json!({"version": 3, "resources": [{"meta": {"name": "odd"}}]})
}

/// Guards against a node that takes an item of the store which it could not use as proof that its
/// older table is the newest: withdrawn keys were accepted without end.
#[test]
fn a_key_withdrawn_by_a_table_that_cannot_be_used_stops_within_the_bound() {
    for (name, item) in [
        ("refused-table", unusable_table()),
        ("unreadable-row", unreadable_row()),
    ] {
        let site = start(name);
        site.put_table(&item);
        let put = Instant::now();
        thread::sleep(KEY_WITHDRAWAL.saturating_sub(put.elapsed()));
        assert_withdrawn_key_does_not_run(&site, WATCHED);

        site.put_table_in_force(&table(4, &[KEPT]));
        for member in &site.members {
            eventually("the kept key is accepted again", || {
                member.status_of(&read_with_key("desk", KEPT)) == 200
            });
            let status = member.status_of(&read_with_key("desk", WITHDRAWN));
            assert_eq!(status, 401, "{name}");
        }
    }
}

/// Guards against a restarted node that receives the older table from a peer and has it proven by the
/// item that both could not use.
#[test]
fn a_node_restarted_after_a_table_that_cannot_be_used_does_not_accept_the_withdrawn_key() {
    let mut site = start("refused-table-restart");
    site.put_table(&unusable_table());
    thread::sleep(KEY_WITHDRAWAL);
    site.members[0].node.kill();
    site.members[0].restart();
    let restarted = &site.members[0];
    eventually("the restarted node has the table of its peer", || {
        restarted.log().contains("\"table-in-force\"")
    });
    assert_withdrawn_key_does_not_run(&site, WATCHED);
}
