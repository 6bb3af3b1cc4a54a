//! Callers' connections while their node stops.

mod support;

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    ops::Range,
    thread,
    time::Duration,
};

use cassiashunt_fleet::{Fleet, Options};
use cassiashunt_node::{Stopped, settings::Times};
use support::{Caller, KEY, Seen, callers, eventually, options, start, start_with};

/// A node beside a server of `stores`.
const STOPPING: usize = 3;
const CALLERS: usize = 8;
const STOPS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(10);
/// When a late request is sent: after `drain-accept-ms`, while a run still keeps the node.
const LATE: Duration = Duration::from_millis(1_000);

/// Sends one request on each new connection until the node takes none; gives the connections that
/// were taken and ended without an answer.
fn call_until_refused(addr: SocketAddr) -> Vec<String> {
    let mut cut = Vec::new();
    let mut sent = 0;
    loop {
        let mut stream = match TcpStream::connect(addr) {
            Ok(stream) => stream,
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => return cut,
            Err(err) => {
                cut.push(format!("connection {sent}: {err}"));
                return cut;
            }
        };
        sent += 1;
        if let Err(err) = exchange(&mut stream) {
            cut.push(format!("connection {sent}: {err}"));
        }
    }
}

fn exchange(stream: &mut TcpStream) -> Result<(), String> {
    let text = |err: std::io::Error| err.to_string();
    stream.set_read_timeout(Some(PATIENCE)).map_err(text)?;
    let head = format!("GET /photos HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {KEY}\r\n");
    let req = format!("{head}Connection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).map_err(text)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).map_err(text)?;
    match answer.starts_with(b"HTTP/1.1 ") {
        true => Ok(()),
        false => Err(format!("{} bytes, then an end", answer.len())),
    }
}

#[test]
fn every_connection_that_a_stopping_node_takes_gets_an_answer() {
    let fleet = start();
    let addr = callers(&fleet)[STOPPING];
    for _ in 0..STOPS {
        let cut: Vec<_> = thread::scope(|scope| {
            let calling: Vec<_> = (0..CALLERS)
                .map(|_| scope.spawn(move || call_until_refused(addr)))
                .collect();
            thread::sleep(Duration::from_millis(100));
            assert_eq!(fleet.stop_node(STOPPING), Some(Stopped::Drained));
            let calling = calling.into_iter();
            calling
                .flat_map(|calling| calling.join().expect("callers do not panic"))
                .collect()
        });
        assert_eq!(cut, Vec::<String>::new());
        fleet
            .replace_node(STOPPING)
            .expect("the addresses are free");
        fleet.wait_ready().expect("the fleet is complete again");
    }
}

/// A fleet with these servers of [`options`], whose nodes stop in a short time.
fn start_few(numbers: Range<usize>) -> Fleet {
    let opts = options();
    start_with(Options {
        servers: opts.servers[numbers].to_vec(),
        times: Times {
            drain_accept_ms: 300,
            drain_ms: 4_000,
            ..opts.times
        },
        ..opts
    })
}

/// Stops the node beside the only server of `stores` while a run keeps it, and sends a request late
/// over a connection that was open before.
fn call_late(slow_factor: f64, headers: &[(&str, &str)]) -> (Result<Seen, String>, Stopped) {
    let fleet = start_few(0..STOPPING + 1);
    fleet.set("*,*,*", "retries", "0").expect("accepted");
    let addr = callers(&fleet)[STOPPING];
    let (servers, server) = fleet.members.split_at(STOPPING);
    let caller = Caller::new(KEY);
    let before = caller.get(addr, "/photos").expect("answered");
    assert!(before.is_ok(), "{before:?}");
    for member in servers {
        member.server.set(|opts| opts.slow_factor = slow_factor);
    }
    let server = &server[0].server;
    server.set(|opts| opts.slow_factor = 1_250.0);
    thread::scope(|scope| {
        let long = scope.spawn(|| Caller::new(KEY).get(addr, "/stock"));
        eventually("a run keeps the node", || server.stats().began > 0);
        let stopping = scope.spawn(|| fleet.stop_node(STOPPING));
        thread::sleep(LATE);
        let late = caller.send(addr, "GET", "/photos", headers);
        let long = long.join().expect("no panic").expect("answered");
        assert!(long.is_ok(), "{long:?}");
        let stopped = stopping.join().expect("no panic");
        (late, stopped.expect("the node ran"))
    })
}

#[test]
fn a_late_request_with_a_time_limit_beyond_the_stop_is_not_cut_off() {
    let (late, stopped) = call_late(6_000.0, &[]);
    let is_kept = late
        .as_ref()
        .is_ok_and(|it| it.is_ok() || it.is_not_run() && it.retry_after.is_some());
    assert!(is_kept, "{late:?}, {stopped:?}");
    assert_eq!(stopped, Stopped::Drained);
}

#[test]
fn a_late_request_with_a_time_limit_within_the_stop_is_served() {
    let (late, stopped) = call_late(1.0, &[("Cassiashunt-Timeout-Ms", "1500")]);
    assert!(late.as_ref().is_ok_and(Seen::is_ok), "{late:?}");
    assert_eq!(stopped, Stopped::Drained);
}

#[test]
fn a_late_call_of_a_run_with_a_time_limit_beyond_the_stop_is_served() {
    const PARENT: usize = 0;
    let fleet = start_few(2..6);
    let addr = callers(&fleet)[PARENT];
    let server = &fleet.members[PARENT].server;
    // Its call comes after its own work.
    server.set(|opts| opts.slow_factor = 200.0);
    let (seen, stopped) = thread::scope(|scope| {
        let seen = scope.spawn(|| Caller::new(KEY).get(addr, "/sections"));
        eventually("the parent runs", || server.stats().began > 0);
        let stopped = fleet.stop_node(PARENT);
        (seen.join().expect("no panic"), stopped)
    });
    assert!(seen.as_ref().is_ok_and(Seen::is_ok), "{seen:?}");
    assert_eq!(stopped, Some(Stopped::Drained));
}
