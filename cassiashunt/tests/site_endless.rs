//! Servers, clients and peers that send bytes until the node closes the connection.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{ATTEMPT, Behaviour, Fault, Request, ask, open, table};
use support::{
    eventually,
    site::{Member, Site, WORKSPACE_KEY, read, write},
};

/// The memory target of a node.
const MAX_NODE_MEMORY_BYTES: u64 = 64 << 20;
/// The routes' timeout in the table of these tests, 1.5 s, and the 0.5 s after it that the node may take
/// to answer.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_500 + 500);
/// The start of an answer's head; [`ATTEMPT`] in it stands for the id of the attempt.
const ANSWER_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s\r\n";

/// Answers without an end: the place in the answer, the bytes sent once, and those repeated after them.
fn endless_answers() -> Vec<(&'static str, String, Vec<u8>)> {
    assert!(ANSWER_HEAD.contains(ATTEMPT));
    let piece = vec![b'x'; 64 * 1024];
    let chunk = [b"10000\r\n".as_slice(), &piece, b"\r\n"].concat();
    let body = |framing: &str| format!("{ANSWER_HEAD}{framing}\r\n");
    vec![
        ("no answer at all", String::new(), piece.clone()),
        ("a head", ANSWER_HEAD.into(), piece.clone()),
        (
            "fields",
            ANSWER_HEAD.into(),
            b"X-Field: value\r\n".repeat(512),
        ),
        ("empty lines", String::new(), b"\r\n".repeat(8_192)),
        (
            "interim answers",
            String::new(),
            b"HTTP/1.1 100 Continue\r\n\r\n".repeat(512),
        ),
        (
            "answers to others",
            String::new(),
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx".repeat(512),
        ),
        ("a body", body(""), piece.clone()),
        (
            "a long body",
            body("Content-Length: 99999999999\r\n"),
            piece.clone(),
        ),
        ("chunks", body("Transfer-Encoding: chunked\r\n"), chunk),
        (
            "a chunk's size",
            body("Transfer-Encoding: chunked\r\n"),
            b"0".repeat(64 * 1024),
        ),
        (
            "trailers",
            format!("{}0\r\n", body("Transfer-Encoding: chunked\r\n")),
            b"X-Trailer: value\r\n".repeat(512),
        ),
    ]
}

/// Sends `count` concurrent requests that get an endless answer, and other requests to another service.
/// Checks that only the former fail, that all are answered in time, and the node's memory.
fn check_endless(site: &Site, what: &str, behaviour: &Behaviour, count: usize) {
    let member = &site.members[0];
    let (_, before) = member.node.resource_usage();
    thread::scope(|scope| {
        for _ in 0..count {
            member.server.do_next(behaviour.clone());
            scope.spawn(|| {
                let sent = Instant::now();
                let status = member.status_of(&write("shop"));
                let elapsed = sent.elapsed();
                assert!(
                    matches!(status, 502 | 504),
                    "{what}: status {status} for a request with an endless answer"
                );
                assert!(
                    elapsed <= MAX_ANSWER_TIME,
                    "{what}: answered after {elapsed:?}"
                );
            });
        }
        thread::sleep(Duration::from_millis(50));
        for _ in 0..20 {
            let sent = Instant::now();
            assert_eq!(member.status_of(&read("desk")), 200, "{what}");
            let elapsed = sent.elapsed();
            assert!(
                elapsed < Duration::from_secs(1),
                "{what}: another request took {elapsed:?}"
            );
        }
    });
    eventually("the node closes endless answers", || {
        let runs = member.server.runs();
        let endless = runs.iter().rev().take(count);
        endless
            .into_iter()
            .all(|run| run.is_abandoned || !run.first_line.contains("/write/"))
    });
    let (peak, after) = member.node.resource_usage();
    println!(
        "{what}: peak memory {} KB, processor time {:?}",
        peak / 1024,
        after - before
    );
    assert!(
        peak <= MAX_NODE_MEMORY_BYTES,
        "{what}: peak memory of {peak} bytes"
    );
    eventually("the log names the cause", || {
        let log = member.log();
        log.contains("server-failed") || log.contains("\"deadline\"")
    });
}

fn site(name: &str) -> Site {
    Site::start(name, &["shop", "desk"])
}

#[test]
fn an_endless_answer_fails_only_its_own_request() {
    let site = site("endless-fast");
    for (what, first, then) in endless_answers() {
        check_endless(
            &site,
            what,
            &Behaviour::endless(&first, &then, Duration::ZERO),
            1,
        );
    }
    assert_eq!(
        site.members[0].status_of(&read("shop")),
        200,
        "the server does not serve requests again"
    );
}

#[test]
fn endless_answers_on_all_connections_stay_within_the_memory_target() {
    let site = site("endless-all");
    for (what, first, then) in endless_answers() {
        check_endless(
            &site,
            what,
            &Behaviour::endless(&first, &then, Duration::ZERO),
            7,
        );
    }
}

#[test]
fn slow_endless_answers_are_abandoned_at_the_timeout() {
    let site = site("endless-slow");
    for (what, first, then) in endless_answers() {
        let short_piece = &then[..then.len().min(16)];
        let pause = Duration::from_millis(20);
        check_endless(
            &site,
            what,
            &Behaviour::endless(&first, short_piece, pause),
            2,
        );
    }
}

#[test]
fn an_endless_answer_through_a_peer_fails_only_its_own_request() {
    let site = site("endless-peer");
    let (member, owner) = (&site.members[1], &site.members[0]);
    for (what, first, then) in endless_answers() {
        let behaviour = Behaviour::endless(&first, &then, Duration::ZERO);
        owner.server.do_next(behaviour);
        let status = member.status_of(&write("shop"));
        assert!(matches!(status, 502 | 504), "{what}: {status}");
        assert_eq!(member.status_of(&read("shop")), 200, "{what}");
    }
    let within = |it: &Member| it.node.resource_usage().0 <= MAX_NODE_MEMORY_BYTES;
    assert!(site.members.iter().all(within));
}

/// Sends bytes until the node closes the connection; returns whether it did so within the given time.
fn is_closed_within(stream: &mut TcpStream, first: &[u8], then: &[u8], within: Duration) -> bool {
    let until = Instant::now() + within;
    let write_timeout = Some(Duration::from_millis(200));
    stream
        .set_write_timeout(write_timeout)
        .expect("the timeout is zero");
    let mut is_closed = stream.write_all(first).is_err();
    while !is_closed && Instant::now() < until {
        match stream.write(then) {
            Ok(_) => {}
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => is_closed = true,
        }
    }
    is_closed
}

#[test]
fn endless_bytes_from_a_client_are_cut_off() {
    let site = site("endless-client");
    let member = &site.members[0];
    let piece = vec![b'x'; 16 * 1024];
    let start = "POST /shop/write/1 HTTP/1.1\r\nHost: shop.example\r\n";
    let cases = [
        ("no request", String::new(), piece.clone()),
        ("a head", start.to_owned(), piece.clone()),
        ("empty lines", String::new(), b"\r\n".repeat(8_192)),
        (
            "a body",
            format!("{start}Transfer-Encoding: chunked\r\n\r\n"),
            { [b"4000\r\n".as_slice(), &piece, b"\r\n"].concat() },
        ),
        (
            "trailers",
            format!("{start}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            b"X-Trailer: value\r\n".repeat(512),
        ),
    ];
    for (what, first, then) in cases {
        let mut stream = open(member.requests).expect("cannot connect to the node");
        // The limits in the table are 1 s for a head and 5 s for a body.
        let within = Duration::from_secs(7);
        assert!(
            is_closed_within(&mut stream, first.as_bytes(), &then, within),
            "{what}: the node did not close the connection"
        );
        assert_eq!(member.status_of(&read("desk")), 200, "{what}");
    }
    assert!(member.node.resource_usage().0 <= MAX_NODE_MEMORY_BYTES);
}

#[test]
fn endless_frames_from_a_peer_are_cut_off() {
    let site = site("endless-frames");
    let member = &site.members[0];
    let piece = vec![b'x'; 64 * 1024];
    let cases: [(&str, &[u8]); 2] = [
        ("a frame over the limit", &[0xff, 0xff, 0xff, 0xff]),
        ("a frame that is not a valid message", &[0, 0, 0, 16]),
    ];
    for (what, first) in cases {
        let mut stream = open(member.peers).expect("cannot connect to the node");
        let within = Duration::from_secs(5);
        assert!(
            is_closed_within(&mut stream, first, &piece, within),
            "{what}: the node did not close the connection"
        );
        assert_eq!(member.status_of(&read("desk")), 200, "{what}");
    }
    assert!(member.node.resource_usage().0 <= MAX_NODE_MEMORY_BYTES);
}

#[test]
fn a_late_duplicate_of_an_answer_is_discarded() {
    let site = site("late-copy");
    let member = &site.members[0];
    let span = Duration::from_millis(30);
    member.server.set_usual(Behaviour::LateCopy(span));
    let mut connection = open(member.requests).expect("cannot connect to the node");
    // The duplicate arrives while the connection to the server is idle or in use again.
    for at in 0..60 {
        let request = Request {
            attempt: format!("attempt-{at}"),
            ..read("shop")
        };
        let answer = ask(&mut connection, &request.encode()).expect("no answer from the node");
        assert_eq!(answer.status, 200, "request {at}");
        assert_eq!(
            answer.header("x-attempt-id"),
            Some(&*request.attempt),
            "request {at}"
        );
        let pause = [0, 5, 29, 31, 60][at % 5];
        thread::sleep(Duration::from_millis(pause));
    }
    let runs = member.server.runs();
    assert_eq!(
        runs.iter()
            .filter(|run| run.attempt.starts_with("attempt-"))
            .count(),
        60
    );
    // The client receives no further bytes.
    let wait = Some(Duration::from_millis(200));
    connection
        .set_read_timeout(wait)
        .expect("the timeout is zero");
    assert!(
        connection.read(&mut [0; 16]).is_err(),
        "the client received bytes after the last answer"
    );
}

/// Guards against short bodies that are exempt from the shared limit: on enough connections they exceed
/// the memory of a machine as well.
#[test]
fn endless_answers_just_below_the_limit_of_one_stay_within_the_memory_target() {
    const ANSWERS: usize = 300;
    let site = site("endless-many");
    // Without a rate limit.
    site.put_table_in_force(&table(2, &[WORKSPACE_KEY], 0));
    let member = &site.members[0];
    let mut report = member.report(1, 1_000);
    report["details"]["slots"] = ANSWERS.into();
    assert_eq!(member.send_report(&member.server.id, &report), 200);
    // It goes on so slowly that the answer does not exceed the limit of one body before its timeout.
    let first = format!(
        "{ANSWER_HEAD}Content-Length: 262000\r\n\r\n{}",
        "x".repeat(250_000)
    );
    let pause = Duration::from_millis(200);
    let endless = Behaviour::endless(&first, b"x", pause);
    member.server.set_usual(endless);
    let answered = thread::scope(|scope| {
        let clients: Vec<_> = (0..ANSWERS)
            .map(|_| scope.spawn(|| member.ask(&write("shop")).map(|it| it.status)))
            .collect();
        let answered = clients
            .into_iter()
            .map(|it| it.join().expect("a client panicked"));
        answered.collect::<Vec<_>>()
    });
    for status in answered {
        let status = status.expect("no answer from the node");
        assert!(matches!(status, 429 | 502 | 503 | 504), "{status}");
    }
    let runs = member.server.runs().len();
    assert!(runs > ANSWERS / 2, "{runs} requests reached the server");
    let (peak, _) = member.node.resource_usage();
    assert!(peak <= MAX_NODE_MEMORY_BYTES, "{} MiB", peak >> 20);
    member.server.set_usual(Behaviour::default());
    // So many connections at once may have found the server's backlog full, which counts as down until
    // its next report.
    report["status"]["sequence"] = 1_001.into();
    assert_eq!(member.send_report(&member.server.id, &report), 200);
    eventually("the server serves requests again", || {
        member.status_of(&read("shop")) == 200
    });
}

/// What the node itself calls may send bytes without end, too.
#[test]
fn endless_answers_of_the_store_stay_within_the_memory_target() {
    let site = site("endless-store");
    for fault in [Fault::EndlessHead, Fault::EndlessBody] {
        site.store.set_fault(fault);
        thread::sleep(Duration::from_secs(4));
        site.store.set_fault(Fault::None);
        site.wait_until_serving();
    }
    for member in &site.members {
        let (peak, _) = member.node.resource_usage();
        assert!(peak <= MAX_NODE_MEMORY_BYTES, "{} MiB", peak >> 20);
    }
}
