//! Servers, clients and peers that send bytes without end, until the other side closes.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{ATTEMPT, Behaviour, Request, ask, open};
use support::{
    eventually,
    site::{Member, Site, read, write},
};

/// The target for a node's memory.
const MEMORY: u64 = 64 << 20;
/// The requests' time limit in the table of these tests, and what a node may take to answer after it.
const ANSWERED_WITHIN: Duration = Duration::from_millis(1_500 + 500);
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: s\r\n";

/// The ways in which a server sends without end: where, what first and what then.
fn endless() -> Vec<(&'static str, String, Vec<u8>)> {
    assert!(HEAD.contains(ATTEMPT));
    let piece = vec![b'x'; 64 * 1024];
    let chunk = [b"10000\r\n".as_slice(), &piece, b"\r\n"].concat();
    let body = |framing: &str| format!("{HEAD}{framing}\r\n");
    vec![
        ("no answer at all", String::new(), piece.clone()),
        ("a head", HEAD.into(), piece.clone()),
        ("fields", HEAD.into(), b"X-Field: value\r\n".repeat(512)),
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

/// Sends `count` requests at once that are answered without end, and others beside them.
fn check(site: &Site, what: &str, behaviour: &Behaviour, count: usize) {
    let member = &site.members[0];
    let (_, before) = member.node.spent();
    thread::scope(|scope| {
        for _ in 0..count {
            member.server.do_next(behaviour.clone());
            scope.spawn(|| {
                let sent = Instant::now();
                let status = member.status_of(&write("shop"));
                let spent = sent.elapsed();
                assert!(
                    matches!(status, 502 | 504),
                    "{what}: {status} for a run without an answer"
                );
                assert!(spent <= ANSWERED_WITHIN, "{what}: answered after {spent:?}");
            });
        }
        thread::sleep(Duration::from_millis(50));
        for _ in 0..20 {
            let sent = Instant::now();
            assert_eq!(member.status_of(&read("desk")), 200, "{what}");
            let spent = sent.elapsed();
            assert!(
                spent < Duration::from_secs(1),
                "{what}: another waited {spent:?}"
            );
        }
    });
    eventually("the node closes", || {
        let runs = member.server.runs();
        let endless = runs.iter().rev().take(count);
        endless
            .into_iter()
            .all(|run| run.is_abandoned || !run.first_line.contains("/write/"))
    });
    let (peak, after) = member.node.spent();
    println!(
        "{what}: peak {} KB, {:?} of processor",
        peak / 1024,
        after - before
    );
    assert!(peak <= MEMORY, "{what}: {peak} bytes at peak");
    eventually("the log names the cause", || {
        let log = member.log();
        log.contains("server-failed") || log.contains("\"deadline\"")
    });
}

fn site(name: &str) -> Site {
    Site::start(name, &["shop", "desk"])
}

#[test]
fn bytes_without_end_from_a_server_end_one_request_and_no_other() {
    let site = site("endless-fast");
    for (what, first, then) in endless() {
        check(
            &site,
            what,
            &Behaviour::endless(&first, &then, Duration::ZERO),
            1,
        );
    }
    assert_eq!(
        site.members[0].status_of(&read("shop")),
        200,
        "the server is well again"
    );
}

#[test]
fn bytes_without_end_on_all_connections_at_once_stay_within_the_memory_of_a_node() {
    let site = site("endless-all");
    for (what, first, then) in endless() {
        check(
            &site,
            what,
            &Behaviour::endless(&first, &then, Duration::ZERO),
            7,
        );
    }
}

#[test]
fn bytes_that_come_slowly_without_end_are_given_up_at_the_time_limit() {
    let site = site("endless-slow");
    for (what, first, then) in endless() {
        let few = &then[..then.len().min(16)];
        let pause = Duration::from_millis(20);
        check(&site, what, &Behaviour::endless(&first, few, pause), 2);
    }
}

#[test]
fn an_endless_answer_through_a_peer_is_the_same() {
    let site = site("endless-peer");
    let (member, owner) = (&site.members[1], &site.members[0]);
    for (what, first, then) in endless() {
        let behaviour = Behaviour::endless(&first, &then, Duration::ZERO);
        owner.server.do_next(behaviour);
        let status = member.status_of(&write("shop"));
        assert!(matches!(status, 502 | 504), "{what}: {status}");
        assert_eq!(member.status_of(&read("shop")), 200, "{what}");
    }
    let within = |it: &Member| it.node.spent().0 <= MEMORY;
    assert!(site.members.iter().all(within));
}

/// Sends bytes until the node closes; tells whether it did so within a time.
fn closes(stream: &mut TcpStream, first: &[u8], then: &[u8], within: Duration) -> bool {
    let until = Instant::now() + within;
    let patience = Some(Duration::from_millis(200));
    stream.set_write_timeout(patience).expect("not zero");
    let mut failed = stream.write_all(first).is_err();
    while !failed && Instant::now() < until {
        match stream.write(then) {
            Ok(_) => {}
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => failed = true,
        }
    }
    failed
}

#[test]
fn bytes_without_end_from_a_client_are_cut_off() {
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
        let mut stream = open(member.requests).expect("the node listens");
        // The node's limits of the table in force are 1 s for a head and 5 s for a body.
        let within = Duration::from_secs(7);
        assert!(
            closes(&mut stream, first.as_bytes(), &then, within),
            "{what}: goes on"
        );
        assert_eq!(member.status_of(&read("desk")), 200, "{what}");
    }
    assert!(member.node.spent().0 <= MEMORY);
}

#[test]
fn bytes_without_end_from_a_peer_are_cut_off() {
    let site = site("endless-frames");
    let member = &site.members[0];
    let piece = vec![b'x'; 64 * 1024];
    let cases: [(&str, &[u8]); 2] = [
        ("a frame over the limit", &[0xff, 0xff, 0xff, 0xff]),
        ("a frame that is none", &[0, 0, 0, 16]),
    ];
    for (what, first) in cases {
        let mut stream = open(member.peers).expect("the node listens");
        let within = Duration::from_secs(5);
        assert!(
            closes(&mut stream, first, &piece, within),
            "{what}: goes on"
        );
        assert_eq!(member.status_of(&read("desk")), 200, "{what}");
    }
    assert!(member.node.spent().0 <= MEMORY);
}

#[test]
fn a_late_second_copy_of_an_answer_reaches_nobody() {
    let site = site("late-copy");
    let member = &site.members[0];
    let span = Duration::from_millis(30);
    member.server.set_usual(Behaviour::LateCopy(span));
    let mut connection = open(member.requests).expect("the node listens");
    // The copy comes while the connection to the server is idle, or in use again.
    for at in 0..60 {
        let request = Request {
            attempt: format!("attempt-{at}"),
            ..read("shop")
        };
        let answer = ask(&mut connection, &request.encode()).expect("the node answers");
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
    // Nothing more comes on the client's connection.
    let wait = Some(Duration::from_millis(200));
    connection.set_read_timeout(wait).expect("not zero");
    assert!(
        connection.read(&mut [0; 16]).is_err(),
        "bytes that nobody asked for"
    );
}
