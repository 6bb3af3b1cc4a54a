//! Planned stops of one entry node of a fleet at rest, with clients that hold its connections.

mod support;

use std::{
    io::{self, ErrorKind, Read as _, Write as _},
    net::{Shutdown, TcpStream},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Request, ask, open};
use support::{
    eventually,
    site::{Site, read, set_field, write},
    stop::{
        End, Fate, broken_rules_within, kept_connection, ms, send_whole, sleep_until,
        table_with_timeout, with_runs,
    },
};

/// Longer than all grace times of these tests.
const LONG_TIMEOUT: Duration = Duration::from_secs(40);
/// The fraction of the grace time after which a stop gives up what is pending.
const GIVE_UP_FRACTION: f64 = 0.9;
/// The fraction of the grace time after which a stop waits for no answer.
const END_FRACTION: f64 = 0.93;

/// Starts a fleet whose routes and idle connections have [`LONG_TIMEOUT`].
fn start_patient(name: &str, grace: Duration) -> Site {
    let site = Site::start_with_grace(name, &["shop", "desk"], grace);
    let mut patient = table_with_timeout(LONG_TIMEOUT);
    let timeout_ms = u64::try_from(LONG_TIMEOUT.as_millis()).expect("a short timeout");
    set_field(&mut patient, "limits", "idle_timeout_ms", timeout_ms);
    site.put_table_in_force(&patient);
    site
}

/// When the clients send: over all of the grace time, and densely where the stop changes its course.
fn sending_times(grace: Duration) -> Vec<Duration> {
    let notice_ends = ms(2_600).min(grace.mul_f64(0.45));
    let spread = (1..=24).map(|at| grace.mul_f64(f64::from(at) / 24.0));
    let turns = [
        notice_ends,
        grace.mul_f64(GIVE_UP_FRACTION),
        grace.mul_f64(END_FRACTION),
    ];
    let dense = turns
        .into_iter()
        .flat_map(|turn| (0..14).map(move |step| (turn + ms(step * 12)).saturating_sub(ms(60))));
    spread.chain(dense).collect()
}

/// Whether the node has closed a connection, as a client sees it that looks before it sends.
fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("cannot set the socket");
    let peeked = stream.peek(&mut [0]);
    stream
        .set_nonblocking(false)
        .expect("cannot set the socket");
    !matches!(peeked, Err(err) if err.kind() == ErrorKind::WouldBlock)
}

/// The request of a client: every other one may not be repeated, and time limits differ.
fn request_of(client: usize) -> Request {
    let request = if client.is_multiple_of(2) {
        write("desk")
    } else {
        read("desk")
    };
    Request {
        timeout_ms: [1_500, 300, 700][client % 3],
        ..request
    }
}

/// Stops the entry node, with one pending request that outlasts the stop if `is_held`, and returns
/// what broke a rule.
fn stop_with_late_clients(grace: Duration, work: Duration, is_held: bool) -> Vec<String> {
    let name = format!("calm-{}-{}-{is_held}", grace.as_millis(), work.as_millis());
    let mut site = start_patient(&name, grace);
    let node = site.members[0].requests;
    let clients: Vec<_> = sending_times(grace)
        .into_iter()
        .map(|at| (at, kept_connection(node)))
        .collect();
    let mut holder = kept_connection(node);
    let server = &site.members[1].server;
    if is_held {
        server.do_next(Behaviour::Slow(LONG_TIMEOUT));
        let held = Request {
            timeout_ms: 2 * u64::try_from(grace.as_millis()).expect("a short grace time"),
            ..write("desk")
        };
        holder
            .write_all(&held.encode())
            .expect("cannot send to the node");
        eventually("the request runs", || site.runs_of(&held) == 1);
    }
    server.set_usual(Behaviour::Slow(work));
    let fates = Mutex::new(Vec::new());
    let began = Instant::now();
    let process = &mut site.members[0].node;
    process.signal("-TERM");
    let stopped = thread::scope(|scope| {
        let stopped = scope.spawn(|| {
            assert_eq!(process.wait(), Some(0));
            began.elapsed()
        });
        for (client, (at, mut stream)) in clients.into_iter().enumerate() {
            let fates = &fates;
            scope.spawn(move || {
                sleep_until(began, at);
                if is_closed(&stream) {
                    return;
                }
                let request = request_of(client);
                let fate = Fate {
                    limit: ms(request.timeout_ms),
                    ..send_whole(&mut stream, &request, began)
                };
                let is_reset = matches!(stream.take_error(), Ok(Some(_)))
                    || matches!(stream.read(&mut [0]), Err(err) if err.kind() == ErrorKind::ConnectionReset);
                fates
                    .lock()
                    .expect("a client panicked")
                    .push((fate, is_reset));
            });
        }
        stopped.join().expect("the node did not end by itself")
    });
    assert!(stopped < grace, "stopped after {stopped:?}");
    if is_held {
        let answer = ask(&mut holder, b"").expect("no answer to the pending request");
        assert_eq!(answer.status, 502);
    }
    let (fates, resets): (Vec<_>, Vec<_>) = fates
        .into_inner()
        .expect("a client panicked")
        .into_iter()
        .unzip();
    println!(
        "{name}: {} requests, stopped after {stopped:?}",
        fates.len()
    );
    let reset = fates.iter().zip(resets).filter(|(_, is_reset)| *is_reset);
    let reset: Vec<_> = reset.map(|(fate, _)| format!("RESET: {fate:?}")).collect();
    let fates = with_runs(&site, fates, work, began);
    assert!(
        fates.iter().any(|it| it.end == End::Answered(200)),
        "no request was served: {fates:?}"
    );
    let mut broken = broken_rules_within(grace, &fates);
    broken.extend(reset);
    broken
}

/// Stops with quick and slow servers, at rest and with a pending request, side by side.
fn check_late_requests(grace: Duration) {
    let cases = [(20, false), (900, false), (20, true), (900, true)];
    let broken: Vec<_> = thread::scope(|scope| {
        let stops = cases.map(|(work, is_held)| {
            scope.spawn(move || stop_with_late_clients(grace, ms(work), is_held))
        });
        stops
            .into_iter()
            .flat_map(|it| it.join().expect("a stop's check panicked"))
            .collect()
    });
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn a_request_sent_late_to_an_entry_node_stopped_in_calm_is_answered_or_never_read() {
    check_late_requests(Duration::from_secs(6));
}

#[test]
fn a_request_sent_late_in_a_short_grace_time_is_answered_or_never_read() {
    check_late_requests(Duration::from_secs(2));
}

#[test]
fn a_request_sent_late_in_a_long_grace_time_is_answered_or_never_read() {
    check_late_requests(Duration::from_secs(20));
}

/// A request that was still on its way when a stop gave up what was pending heard nothing, and lost
/// its connection at the end of the process.
#[test]
fn a_request_that_arrives_in_part_after_a_stop_gave_up_is_refused() {
    let grace = Duration::from_secs(6);
    let mut site = start_patient("calm-partial", grace);
    let node = site.members[0].requests;
    let gives_up = grace.mul_f64(GIVE_UP_FRACTION);
    let clients: Vec<_> = [20, 50, 80, 110]
        .map(|after| (gives_up + ms(after), kept_connection(node)))
        .into();
    let mut holder = kept_connection(node);
    site.members[1]
        .server
        .do_next(Behaviour::Slow(LONG_TIMEOUT));
    let held = Request {
        timeout_ms: 20_000,
        ..write("desk")
    };
    holder
        .write_all(&held.encode())
        .expect("cannot send to the node");
    eventually("the request runs", || site.runs_of(&held) == 1);
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let clients = clients.into_iter().map(|(at, mut stream)| {
        thread::spawn(move || {
            sleep_until(began, at);
            let is_sent = !is_closed(&stream);
            let bytes = write("desk").encode();
            is_sent.then(|| ask(&mut stream, &bytes[..bytes.len() - 3]))
        })
    });
    let clients: Vec<_> = clients.collect();
    let answers = clients
        .into_iter()
        .filter_map(|it| it.join().expect("a client panicked"));
    let answers: Vec<_> = answers.collect();
    assert!(!answers.is_empty(), "the connections were closed before");
    for answer in answers {
        let answer = answer.expect("no answer to a partial request");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "no time to retry");
    }
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// The end of the process closed idle connections at once, so that a request that crossed the close met
/// a reset.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_meets_no_reset() {
    let mut site = Site::start("calm-idle", &["shop", "desk"]);
    let mut stream = kept_connection(site.members[0].requests);
    site.members[0].node.signal("-TERM");
    let end = stream.read(&mut [0]);
    assert_eq!(end.expect("the connection was reset"), 0);
    let request = write("desk");
    stream
        .write_all(&request.encode())
        .expect("cannot send to the node");
    thread::sleep(ms(50));
    let error = stream.take_error().expect("cannot read the socket's error");
    assert!(error.is_none(), "{error:?}");
    let end: io::Result<usize> = stream.read(&mut [0]);
    assert_eq!(end.expect("the connection was reset"), 0);
    drop(stream);
    assert_eq!(site.runs_of(&request), 0);
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// A client that shut its sending side down behind a whole request got no answer.
#[test]
fn a_client_that_closes_its_sending_side_is_told_whether_its_request_may_have_run() {
    let mut site = Site::start("calm-half", &["shop", "desk"]);
    let node = site.members[0].requests;
    site.members[1].server.set_usual(Behaviour::Slow(ms(1_200)));
    let send = |at: &str| {
        let mut stream = open(node).expect("cannot connect to the node");
        let request = write("desk");
        let sent = stream.write_all(&request.encode());
        sent.expect("cannot send to the node");
        eventually("the request runs", || site.runs_of(&request) == 1);
        let shut = stream.shutdown(Shutdown::Write);
        shut.expect("cannot shut the sending side down");
        let answer = ask(&mut stream, b"");
        assert_eq!(answer.expect(at).status, 502);
        let is_abandoned = || {
            let runs = site.members[1].server.runs();
            let mut own = runs.iter().filter(|it| it.attempt == request.attempt);
            own.all(|it| it.is_abandoned)
        };
        eventually("the work is cancelled", is_abandoned);
    };
    send("no answer before a stop");
    site.members[0].node.signal("-TERM");
    send("no answer in a stop");
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// Reads to the end of a connection, so many bytes at a time with a pause between.
fn read_slowly(stream: &mut TcpStream, bytes: usize, pause: Duration) -> io::Result<Vec<u8>> {
    let (mut all, mut piece) = (Vec::new(), vec![0; bytes]);
    loop {
        thread::sleep(pause);
        match stream.read(&mut piece)? {
            0 => return Ok(all),
            count => all.extend_from_slice(&piece[..count]),
        }
    }
}

#[test]
fn a_large_answer_that_a_stop_cuts_does_not_look_whole() {
    const ANSWER_BYTES: usize = 12 << 20;
    let grace = Duration::from_secs(6);
    let mut site = start_patient("calm-large", grace);
    let node = site.members[0].requests;
    let server = &site.members[1].server;
    server.set_usual(Behaviour::Long(Duration::ZERO, ANSWER_BYTES));
    let send = |request: Request| {
        let mut stream = open(node).expect("cannot connect to the node");
        let sent = stream.write_all(&request.encode());
        sent.expect("cannot send to the node");
        eventually("the request runs", || site.runs_of(&request) == 1);
        stream
    };
    let [mut slow, mut too_slow] = [write("desk"), write("desk")].map(send);
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let (whole, cut) = thread::scope(|scope| {
        let whole = scope.spawn(|| read_slowly(&mut slow, 1 << 20, ms(40)));
        let cut = scope.spawn(|| {
            sleep_until(began, grace);
            read_slowly(&mut too_slow, 1 << 20, Duration::ZERO)
        });
        (whole.join(), cut.join())
    });
    let whole = whole.expect("a client panicked").expect("a cut answer");
    assert!(whole.len() > ANSWER_BYTES, "{} bytes", whole.len());
    let length = format!("Content-Length: {ANSWER_BYTES}\r\n");
    assert!(String::from_utf8_lossy(&whole[..1_000]).contains(&length));
    // A reset says the same as an early end.
    if let Ok(cut) = cut.expect("a client panicked") {
        println!("{} bytes of {ANSWER_BYTES}", cut.len());
        assert!(String::from_utf8_lossy(&cut[..1_000]).contains(&length));
        assert!(cut.len() < ANSWER_BYTES, "{} bytes", cut.len());
    }
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// The same at the idle timeout of a connection.
#[test]
fn a_request_that_crosses_the_idle_timeout_meets_no_reset() {
    let site = Site::start("calm-timeout", &["shop"]);
    let mut stream = open(site.members[0].requests).expect("cannot connect to the node");
    let end = stream.read(&mut [0]);
    assert_eq!(end.expect("the connection was reset"), 0);
    stream
        .write_all(&read("shop").encode())
        .expect("cannot send to the node");
    thread::sleep(ms(50));
    let error = stream.take_error().expect("cannot read the socket's error");
    assert!(error.is_none(), "{error:?}");
}
