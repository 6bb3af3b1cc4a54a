//! Names of workspaces and services on which the platform's documents set no bound.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{
    eventually,
    site::{Site, WORKSPACE_KEY, read, read_with_key, table},
};

/// A name of more than 31 bytes.
const LONG: &str = "lagos-railings-maintenance-agency";
/// How long a new table may take to be in force at all nodes.
const CONVERGENCE_TIME: Duration = Duration::from_secs(2);

fn with_workspace(mut table: Value, name: &str, key: &str) -> Value {
    let resources = table["resources"].as_array_mut();
    resources
        .expect("`resources` is not an array")
        .push(json!({"type": "tenants", "meta": {"name": name}, "spec": {"api_keys": [key]}}));
    table
}

/// Guards against a manifest that is refused as a whole for a long name: the key that it took away was
/// accepted without end, and the one that it added was refused.
#[test]
fn a_table_with_any_name_of_a_workspace_is_in_force_in_time() {
    let site = Site::start("long-names", &["shop", "desk"]);
    let names = [LONG, "Thợ sơn, Lagos", "a name with spaces"];
    for (version, name) in (2..).zip(names) {
        let key = format!("key-{version}");
        site.put_table(&with_workspace(table(version, &[]), name, &key));
        let put = Instant::now();
        for member in &site.members {
            eventually("the added key is accepted", || {
                member.status_of(&read_with_key("desk", &key)) == 200
            });
            assert!(put.elapsed() < CONVERGENCE_TIME, "{:?}", put.elapsed());
            assert_eq!(member.status_of(&read("desk")), 401, "the withdrawn key");
            let request = read_with_key("desk", &key);
            assert_eq!(member.status_of(&request), 200);
            assert_eq!(
                site.run_of(&request)
                    .expect("the request did not run")
                    .header("x-tenant"),
                Some(name)
            );
        }
    }
}

#[test]
fn a_service_with_a_long_name_is_served_and_named_in_full_to_other_servers() {
    let text = table(1, &[WORKSPACE_KEY]).to_string();
    let text = text
        .replace("/shop/", &format!("/{LONG}/"))
        .replace("\"shop\"", &format!("\"{LONG}\""));
    let table: Value = serde_json::from_str(&text).expect("the table is not JSON");
    let site = Site::start_with_table("long-service", &[LONG, "desk"], &table);
    let request = read("desk");
    assert_eq!(site.members[0].status_of(&request), 200);
    let run = site.run_of(&request).expect("the request did not run");
    assert_eq!(run.header("x-caller-service"), Some(LONG));
    let request = read(LONG);
    assert_eq!(site.members[1].status_of(&request), 200);
    let run = site.run_of(&request).expect("the request did not run");
    assert_eq!(run.header("x-caller-service"), Some("desk"));
}
