//! Requests through callers, nodes and backend servers that run as separate processes.

mod support;

use support::{Fleet, ServiceSpec, call, eventually, run, run_ok};

const ROTA: &str = r#"
[[endpoints]]
path = "/sections"
bytes = 300
[[endpoints.children]]
path = "/stock"
"#;

const STORES: &str = r#"
[[endpoints]]
path = "/stock"
"#;

fn fleet(name: &str) -> Fleet {
    let rota = ServiceSpec {
        name: "rota",
        domains: &["ikeja", "apapa"],
        endpoints: ROTA,
    };
    let stores = ServiceSpec {
        name: "stores",
        domains: &["ikeja", "apapa"],
        endpoints: STORES,
    };
    let fleet = Fleet::start(name, &[rota, stores]);
    fleet.table(&["bind", "GET /sections", "sections", "read", "rota"]);
    fleet.table(&["bind", "GET /stock", "stock", "read", "stores"]);
    fleet
}

#[test]
fn a_request_goes_through_its_chain_and_a_withdrawn_key_is_refused_and_sigterm_drains() {
    let mut fleet = fleet("path");
    let key = fleet.give_key("ward-7");
    let bearer = format!("Bearer {key}");
    for member in &fleet.members {
        let answer = call(
            member.callers,
            "GET",
            "/sections",
            &[("Authorization", &bearer)],
        );
        let text = String::from_utf8_lossy(&answer.body);
        assert_eq!((answer.status, answer.body.len()), (200, 300), "{text}");
    }
    let run_count = |from, to| {
        let members: &[support::Member] = &fleet.members[from..to];
        let counts = members
            .iter()
            .map(|m| fleet.runs(m).as_array().map_or(0, Vec::len));
        counts.sum::<usize>()
    };
    assert_eq!(run_count(0, 2), 4, "each request ran once at rota");
    assert_eq!(run_count(2, 4), 4, "each request made one call to stores");

    fleet.table(&["set", "*,*,*", "retries", "3"]);
    for member in &fleet.members {
        let node = member.operators.to_string();
        assert!(run_ok(&["table", "--node", &node, "export"]).contains(",3\n"));
    }

    fleet.withdraw_key("ward-7");
    for member in &fleet.members {
        eventually("the key is refused", || {
            let answer = call(
                member.callers,
                "GET",
                "/sections",
                &[("Authorization", &bearer)],
            );
            answer.status == 403 && answer.verdict.as_deref() == Some("not-run")
        });
    }

    let draining = &mut fleet.members[0].node;
    draining.signal("-TERM");
    assert_eq!(draining.wait(), Some(0), "a drained node exits with 0");
}

#[test]
fn bad_input_of_operators_gets_a_clear_error_and_an_exit_code() {
    let output = run(&["check", "/nowhere/node.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/node.toml"));
    let output = run(&["status", "--node", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("is it running?"));
}
