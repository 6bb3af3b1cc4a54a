//! Experiment files: what is wrong is named with its file, key and reason.

mod common;

use cassiashunt_load::Experiment;

fn refusal(from: &str, to: &str) -> String {
    let text = common::TEXT.replacen(from, to, 1);
    assert_ne!(text, common::TEXT, "{from:?} stands in the text");
    let refused = Experiment::parse("bad.toml", &text);
    refused.expect_err("the file has a bad value").to_string()
}

#[test]
fn each_bad_value_is_told_with_its_file_key_and_reason() {
    let cases = [
        (
            "slots = 10",
            "slots = 0",
            "services.root.slots: must be above 0",
        ),
        (
            "share = 3",
            "share = -1",
            "workspaces.large.share: must be a number above 0",
        ),
        (
            "rate = 30",
            "rate = nan",
            "workspaces.small.rate: must be a number above 0",
        ),
        (
            "key-small",
            "key-large",
            "workspaces.key: key-large stands twice",
        ),
        (
            "key-small",
            "key small",
            "workspaces.small.key: must be printable ASCII",
        ),
        (
            "path = \"/leaf/part\" }] }",
            "path = \"/lost/part\" }] }",
            "no service \"lost\"",
        ),
        (
            "path = \"/root/read\"",
            "path = \"root/read\"",
            "must begin with /",
        ),
        (
            "seconds = 2",
            "seconds = 0",
            "phases.calm.seconds: must be a number above 0",
        ),
        ("seconds = 2", "seconds = 9000", "at most 900 s are allowed"),
        (
            "requests-per-second = 100",
            "requests-per-second = 1e9",
            "2000000 are allowed",
        ),
        (
            "workspace = \"small\"",
            "workspace = \"tiny\"",
            "there is no workspace tiny",
        ),
        (
            "method = \"POST\"",
            "method = \"PUT\"",
            "requests[1].method: must be GET or POST",
        ),
        (
            "launch = \"direct\"",
            "launch = \"running\"",
            "variants.direct.ingress: belongs to",
        ),
        (
            "demand = 2\n",
            "demand = 2\nspeed = 3\n",
            "unknown field `speed`",
        ),
        (
            "name = \"direct\"",
            "name = \"direct\"\nlaunch = \"sideways\"",
            "bad.toml",
        ),
    ];
    for (from, to, expected) in cases {
        let told = refusal(from, to);
        assert!(told.starts_with("bad.toml: "), "{told}");
        assert!(told.contains(expected), "{told} does not tell {expected:?}");
    }
}

#[test]
fn an_address_outside_loopback_is_refused() {
    let told = refusal(
        "launch = \"direct\"",
        "launch = \"running\"\ningress = [\"192.0.2.1:80\"]",
    );
    assert!(
        told.contains("192.0.2.1:80 is no loopback address"),
        "{told}"
    );
}

#[test]
fn a_call_graph_with_a_cycle_is_refused() {
    let told = refusal(
        "{ path = \"/leaf/part\", service-time = { mean-ms = 30.0 } }",
        "{ path = \"/leaf/part\", children = [{ path = \"/root/read\" }] }",
    );
    assert!(told.contains("calls itself"), "{told}");
}

#[test]
fn a_fault_must_name_a_service_a_server_and_a_time_that_exist() {
    let cases = [
        (
            "{ kind = \"slow\", service = \"far\", factor = 2.0 }",
            0,
            "there is no service far",
        ),
        (
            "{ kind = \"kill-server\", service = \"leaf\", server = 1 }",
            0,
            "the servers 0 to 0",
        ),
        (
            "{ kind = \"fail\", service = \"leaf\", rate = 2.0 }",
            0,
            "the rate must be 0 to 1",
        ),
        (
            "{ kind = \"cut-domain\", domain = \"c\" }",
            0,
            "there is no failure domain c",
        ),
        (
            "{ kind = \"platform-down\" }",
            2_000,
            "is past the end of the phase",
        ),
        ("{ kind = \"explode\" }", 0, "unknown variant `explode`"),
    ];
    for (fault, at, expected) in cases {
        let faults = format!("seconds = 2\nfaults = [{{ at-ms = {at}, fault = {fault} }}]");
        let told = refusal("seconds = 2", &faults);
        assert!(told.contains(expected), "{told} does not tell {expected:?}");
    }
}

#[test]
fn a_missing_file_is_told_by_its_name() {
    let refused = Experiment::read("/nowhere/at-all.toml".as_ref());
    let told = refused.expect_err("there is no such file").to_string();
    assert!(told.starts_with("/nowhere/at-all.toml: "), "{told}");
}

#[test]
fn the_experiments_of_both_deployments_are_well_formed() {
    let sizes = [
        (
            "lagos",
            vec![(5, 70, 500), (3, 90, 600), (3, 90, 600), (3, 30, 300)],
        ),
        (
            "saigon",
            vec![(4, 100, 700), (3, 140, 900), (3, 140, 900), (3, 30, 300)],
        ),
    ];
    for (file, expected) in sizes {
        let path = format!(
            "{}/../../experiments/{file}.toml",
            env!("CARGO_MANIFEST_DIR")
        );
        let experiment = Experiment::read(path.as_ref()).expect("the file is checked in");
        let services = experiment.services.iter();
        let told: Vec<_> = services
            .map(|s| (s.servers, s.slots, s.connections))
            .collect();
        assert_eq!(told, expected);
        assert_eq!(experiment.workspaces.len(), 8);
        assert_eq!(experiment.failure_domains.len(), 3);
    }
}
