//! `cassiashunt explain`: where a request would go now, read from a running node.

mod support;

use support::{
    Folder, eventually, path, run, run_ok,
    site::{Site, WORKSPACE_KEY, read, write},
};

/// What the command prints of a request with the key in a file.
fn explain(metrics: &str, key_file: &str, target: &str) -> String {
    run_ok(&[
        "explain",
        metrics,
        "--host",
        "shop.example",
        "--path",
        target,
        "--key-file",
        key_file,
    ])
}

#[test]
fn a_request_is_explained_without_being_sent_or_counted() {
    let mut site = Site::start("explain", &["shop", "desk"]);
    let metrics = support::free_addr().to_string();
    let member = &mut site.members[0];
    member.write_settings("[bounds]", &format!("metrics = \"{metrics}\"\n[bounds]"));
    member.node.signal("-TERM");
    member.node.wait();
    member.restart();
    site.wait_until_serving();
    let folder = Folder::new("explain-keys");
    let key_file = folder.write("key", &format!("{WORKSPACE_KEY}\n"));
    let wrong_key_file = folder.write("wrong-key", "no-such-key");
    let node = &site.members[0].name;

    let request = read("desk");
    let served = explain(&metrics, path(&key_file), &request.target);
    assert!(served.contains("fate       sent to a server"), "{served}");
    assert!(
        served.contains("server     desk at node-1 in east"),
        "{served}"
    );
    assert!(
        served.contains(&format!("node       {node}, in touch")),
        "{served}"
    );
    let tokens = |text: &str| {
        let line = text.lines().find(|line| line.starts_with("workspace  "));
        line.map(str::to_owned).expect("no workspace")
    };
    eventually("the tokens are the same twice", || {
        let texts = [0, 1].map(|_| explain(&metrics, path(&key_file), &request.target));
        tokens(&texts[0]) == tokens(&texts[1])
    });
    assert_eq!(site.runs_of(&request), 0, "the request was sent");

    let refused = explain(&metrics, path(&wrong_key_file), &write("desk").target);
    assert!(refused.contains("refused with 401 bad-key"), "{refused}");
    let unknown = explain(&metrics, path(&key_file), "/nowhere/1");
    assert!(
        unknown.contains("refused with 404 unknown-route"),
        "{unknown}"
    );
    for text in [&served, &refused, &unknown] {
        println!("{text}");
    }

    let log = site.members[0].log();
    assert!(
        !log.contains(WORKSPACE_KEY) && !served.contains(WORKSPACE_KEY),
        "the key shows"
    );
    let malformed = run(&[
        "explain",
        &metrics,
        "--host",
        "shop.example",
        "--path",
        "nowhere",
    ]);
    assert!(
        !malformed.status.success(),
        "a path without a slash is accepted"
    );
    assert_eq!(site.members[0].status_of(&request), 200);
}
