//! The stand-in of the users' store, restored from a copy, as seen on the wire.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use cassiashunt_standin::site::{Fault, Store};
use serde_json::{Value, json};

struct Answer {
    status: u16,
    era: Option<u64>,
    body: Value,
}

fn call(store: &Store, method: &str, target: &str, body: &Value) -> Answer {
    try_call(store, method, target, body).expect("no answer from the store")
}

fn try_call(store: &Store, method: &str, target: &str, body: &Value) -> Option<Answer> {
    let mut stream = TcpStream::connect(store.address()).expect("cannot connect on loopback");
    let body = body.to_string();
    let length = body.len();
    let text = format!("{method} {target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut lines = BufReader::new(stream);
    let (mut line, mut status, mut era, mut length) = (String::new(), None, None, 0);
    loop {
        line.clear();
        if lines.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(": ") {
            Some(("Store-Era", value)) => era = value.parse().ok(),
            Some(("Content-Length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None if line.trim_end().is_empty() => break,
            None => status = line.split(' ').nth(1).and_then(|word| word.parse().ok()),
        }
    }
    let mut body = vec![0; length];
    lines.read_exact(&mut body).ok()?;
    Some(Answer {
        status: status?,
        era,
        body: serde_json::from_slice(&body).ok()?,
    })
}

fn get(store: &Store, key: &str) -> Answer {
    call(store, "GET", &format!("/-/kv-key?key={key}"), &json!({}))
}

fn watch(store: &Store, after: u64) -> Answer {
    let target = format!("/-/kv-watch?prefix=op/&after={after}&wait_ms=100");
    call(store, "GET", &target, &json!({}))
}

fn new_lease(store: &Store, ttl_ms: u64) -> u64 {
    let answer = call(store, "POST", "/-/kv-lease", &json!({"ttl_ms": ttl_ms}));
    answer.body["lease"].as_u64().expect("no lease")
}

fn renew(store: &Store, lease: u64) -> u16 {
    call(store, "POST", &format!("/-/kv-keep/{lease}"), &json!({})).status
}

fn put_with_lease(store: &Store, key: &str, lease: u64) -> Answer {
    let put = json!([{"key": key, "value": STANDARD.encode("here"), "lease": lease}]);
    let body = json!({"expected_rev": [], "put": put, "delete": []});
    call(store, "POST", "/-/kv-txn", &body)
}

#[test]
fn what_was_written_since_the_copy_is_gone_and_revisions_are_given_out_again() {
    let store = Store::start().expect("cannot bind a port on loopback");
    store.put("op/config", "first");
    store.put("op/deleted-later", "x");
    let snapshot = store.snapshot();
    store.put("op/config", "second");
    store.put("op/new", "x");
    store.delete("op/deleted-later");
    let lost = get(&store, "op/config").body["revision"].clone();
    store.restore(&snapshot);
    let first = get(&store, "op/config");
    assert_eq!(first.body["value"], STANDARD.encode("first"));
    assert_eq!(get(&store, "op/new").status, 404);
    assert_eq!(get(&store, "op/deleted-later").status, 200);
    store.put("op/config", "third");
    let third = get(&store, "op/config");
    assert_eq!(
        third.body["revision"], lost,
        "the revision is given out again"
    );
    assert_eq!(third.body["value"], STANDARD.encode("third"));
}

#[test]
fn the_era_in_every_answer_rises_by_one_with_each_restore() {
    let store = Store::start().expect("cannot bind a port on loopback");
    let snapshot = store.snapshot();
    for era in 0..3 {
        assert_eq!(get(&store, "op/none").era, Some(era));
        assert_eq!(watch(&store, 0).era, Some(era));
        assert_eq!(watch(&store, 999).era, Some(era));
        store.set_fault(Fault::Busy);
        let refused = get(&store, "op/none");
        assert_eq!((refused.status, refused.era), (503, Some(era)));
        store.set_fault(Fault::None);
        store.restore(&snapshot);
    }
}

#[test]
fn a_watch_after_a_revision_that_the_copy_lacks_gets_410() {
    let store = Store::start().expect("cannot bind a port on loopback");
    store.put("op/config", "first");
    let snapshot = store.snapshot();
    store.put("op/config", "second");
    let after = store.revision();
    assert_eq!(watch(&store, after).status, 200);
    store.restore(&snapshot);
    assert_eq!(watch(&store, after).status, 410);
    assert_eq!(watch(&store, after - 1).status, 200);
    store.put("op/config", "third");
    assert_eq!(
        watch(&store, after).status,
        200,
        "it has that revision again"
    );
}

#[test]
fn leases_granted_since_the_copy_are_gone_and_their_ids_are_given_out_again() {
    let store = Store::start().expect("cannot bind a port on loopback");
    let kept = new_lease(&store, 60_000);
    let snapshot = store.snapshot();
    let lost = new_lease(&store, 60_000);
    assert_eq!(put_with_lease(&store, "a/lost", lost).status, 200);
    store.restore(&snapshot);
    assert_eq!(renew(&store, kept), 200);
    assert_eq!(renew(&store, lost), 404);
    assert_eq!(get(&store, "a/lost").status, 404);
    assert_eq!(new_lease(&store, 60_000), lost);
    assert_eq!(renew(&store, lost), 200);
}

#[test]
fn a_lease_that_has_ended_since_the_copy_runs_again_for_its_rest() {
    let store = Store::start().expect("cannot bind a port on loopback");
    let lease = new_lease(&store, 400);
    assert_eq!(put_with_lease(&store, "a/leased", lease).status, 200);
    thread::sleep(Duration::from_millis(200));
    let snapshot = store.snapshot();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(get(&store, "a/leased").status, 404, "the lease has ended");
    store.restore(&snapshot);
    assert_eq!(get(&store, "a/leased").status, 200);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(get(&store, "a/leased").status, 404, "the rest has passed");
}

#[test]
fn a_store_that_is_away_closes_connections_and_answers_nothing() {
    let store = Store::start().expect("cannot bind a port on loopback");
    store.set_fault(Fault::Away);
    let answer = try_call(&store, "GET", "/-/kv-key?key=x", &json!({}));
    assert!(answer.is_none());
    store.set_fault(Fault::None);
    assert_eq!(get(&store, "op/none").status, 404);
}
