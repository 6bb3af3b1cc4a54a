//! Settings that change while a node runs.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::Fault;
use support::site::{Site, WORKSPACE_KEY, read_with_key, table};

const WITHDRAWN: &str = "key-that-is-withdrawn";
const LONG_BOUND: Duration = Duration::from_millis(5_000);
const SHORT_BOUND: Duration = Duration::from_millis(2_000);

/// Guards against a node that goes on by the bound on withdrawn keys that it started with.
#[test]
fn a_shorter_bound_on_withdrawn_keys_applies_from_the_reload_on() {
    let site = Site::start_with_key_withdrawal("shorter-bound", &["shop", "desk"], LONG_BOUND);
    site.put_table_in_force(&table(2, &[WORKSPACE_KEY, WITHDRAWN]));
    for member in &site.members {
        let setting = |bound: Duration| format!("key-withdrawal-ms = {}", bound.as_millis());
        member.change_settings(&setting(LONG_BOUND), &setting(SHORT_BOUND));
    }
    // No node learns of the table.
    site.store.set_fault(Fault::Silent);
    site.put_table(&table(3, &[WORKSPACE_KEY]));
    let put = Instant::now();
    thread::sleep(SHORT_BOUND);
    while put.elapsed() < LONG_BOUND {
        for member in &site.members {
            let request = read_with_key("desk", WITHDRAWN);
            let status = member.status_of(&request);
            assert_eq!(site.runs_of(&request), 0, "{:?}", put.elapsed());
            assert_eq!(status, 503);
        }
        thread::sleep(Duration::from_millis(50));
    }
}
