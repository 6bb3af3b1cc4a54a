//! What clients see of a node that is asked to stop, judged by the users' rules.

mod support;

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Fault, Request, ask, open};
use support::{
    eventually,
    site::{Site, read, write},
    stop::{
        End, Fate, GRACE, Work, broken_rules, kept_connection, ms, send, send_whole, sleep_until,
        table_with_timeout, with_runs,
    },
};

/// Connections that have been idle for longer than this may be closed: four fifths of the time in the
/// table.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// A connection to send on at this time: one that was kept before the stop, or a new one.
fn connection_for(at: Duration, node: SocketAddr) -> Option<TcpStream> {
    (at < MAX_IDLE).then(|| kept_connection(node))
}

/// Clients that send on new connections, one request after the other, until the node is gone.
fn send_constantly(node: SocketAddr, began: Instant, fates: &Mutex<Vec<Fate>>) {
    while began.elapsed() < GRACE {
        if let Ok(mut stream) = open(node) {
            let fate = send_whole(&mut stream, &read("desk"), began);
            fates.lock().expect("a client panicked").push(fate);
        }
        thread::sleep(ms(20));
    }
}

/// A node that was asked to stop took requests from kept connections up to its end, and gave up
/// those that were at work then.
#[test]
fn a_request_that_is_read_late_in_a_stop_is_not_given_up() {
    let mut site = Site::start("stop-late", &["shop", "desk", "desk", "desk"]);
    let node = site.members[0].requests;
    let late: Vec<_> = (0..22_u64).map(|at| ms(600 + at * 230)).collect();
    let connections: Vec<_> = late.iter().map(|at| connection_for(*at, node)).collect();
    let work = ms(900);
    for member in &site.members[1..] {
        member.server.set_usual(Behaviour::Slow(work));
    }
    let fates = Mutex::new(Vec::new());
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| send_constantly(node, began, &fates));
        }
        for (kind, (at, kept)) in late.into_iter().zip(connections).enumerate() {
            let fates = &fates;
            scope.spawn(move || {
                sleep_until(began, at);
                let Some(mut stream) = kept.or_else(|| open(node).ok()) else {
                    return;
                };
                let request = if kind % 2 == 0 {
                    read("desk")
                } else {
                    write("desk")
                };
                let bytes = request.encode();
                let (start, end) = bytes.split_at(bytes.len() - 2);
                let fate = match kind % 3 {
                    0 => send(&mut stream, &request, &[start, end], ms(700), began),
                    _ => send_whole(&mut stream, &request, began),
                };
                fates.lock().expect("a client panicked").push(fate);
            });
        }
    });
    assert_eq!(site.members[0].node.wait(), Some(0));
    let fates = fates.into_inner().expect("a client panicked");
    let fates = with_runs(&site, fates, work, began);
    let broken = broken_rules(&fates);
    assert!(
        broken.is_empty(),
        "{} of {} requests:\n{}",
        broken.len(),
        fates.len(),
        broken.join("\n")
    );
    assert!(
        fates.iter().any(|it| it.end == End::Answered(200)),
        "no request was served: {fates:?}"
    );
}

/// The process of a stopping node ended as soon as the last answer was written, and the next bytes of
/// its client met a reset.
#[test]
fn the_last_answer_of_a_stop_is_not_followed_by_a_reset() {
    let mut site = Site::start("stop-reset", &["shop", "desk"]);
    let mut stream = kept_connection(site.members[0].requests);
    let work = ms(1_300);
    site.members[1].server.set_usual(Behaviour::Slow(work));
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    sleep_until(began, ms(1_450));
    let request = read("desk");
    stream
        .write_all(&request.encode())
        .expect("cannot send to the node");
    eventually("the request runs", || site.runs_of(&request) == 1);
    thread::sleep(work + ms(200));
    // Sent before the answer was read, as by a client that does not know yet of the close.
    stream
        .write_all(&read("desk").encode())
        .expect("cannot send to the node");
    thread::sleep(ms(100));
    let error = stream.take_error().expect("cannot read the socket's error");
    assert!(error.is_none(), "{error:?}");
    let answer = ask(&mut stream, b"").expect("no answer from the node");
    assert_eq!(answer.status, 200);
    drop(stream);
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// Requests that a client had sent behind another one were read, and dropped with the connection when
/// the first was answered in a stop.
#[test]
fn pipelined_requests_are_all_answered_in_a_stop() {
    let mut site = Site::start("stop-pipelined", &["shop", "desk"]);
    let node = site.members[0].requests;
    let connections: Vec<_> = (0..2).map(|_| kept_connection(node)).collect();
    let work = ms(400);
    site.members[1].server.set_usual(Behaviour::Slow(work));
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let clients = connections.into_iter().zip([ms(300), ms(2_100)]);
    let clients: Vec<_> = clients
        .map(|(mut stream, at)| {
            thread::spawn(move || {
                sleep_until(began, at);
                let requests: Vec<_> = (0..3).flat_map(|_| read("desk").encode()).collect();
                stream.write_all(&requests)?;
                let mut answers = String::new();
                stream.read_to_string(&mut answers)?;
                io::Result::Ok(answers)
            })
        })
        .collect();
    for client in clients {
        let answers = client.join().expect("the client panicked");
        let answers = answers.expect("the connection was reset");
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 3, "{answers}");
    }
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// A node that was paused when SIGTERM came counted its grace time from its resumption, and was
/// killed with the requests that it had taken.
#[test]
fn a_stop_that_is_asked_of_a_paused_node_ends_within_its_grace_time() {
    let mut site = Site::start("stop-paused", &["shop", "desk", "desk"]);
    let node = site.members[0].requests;
    let late: Vec<_> = (0..8_u64).map(|at| ms(2_300 + at * 400)).collect();
    let connections: Vec<_> = late.iter().map(|at| connection_for(*at, node)).collect();
    let work = ms(900);
    for member in &site.members[1..] {
        member.server.set_usual(Behaviour::Slow(work));
    }
    site.members[0].node.signal("-STOP");
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let clients: Vec<_> = late
        .into_iter()
        .zip(connections)
        .map(|(at, kept)| {
            thread::spawn(move || {
                sleep_until(began, at);
                // The node may have ended.
                let mut stream = kept.or_else(|| open(node).ok())?;
                Some(send_whole(&mut stream, &read("desk"), began))
            })
        })
        .collect();
    sleep_until(began, ms(2_000));
    site.members[0].node.signal("-CONT");
    sleep_until(began, GRACE);
    let has_ended = site.members[0].node.has_exited();
    site.members[0].node.kill();
    let fates = clients.into_iter().map(|it| it.join());
    let fates = fates.filter_map(|it| it.expect("a client panicked"));
    let fates = fates.collect();
    let broken = broken_rules(&with_runs(&site, fates, work, began));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    assert!(has_ended, "the process had to be killed");
}

/// Requests that were still pending at the end of a stop got a closed connection.
#[test]
fn what_is_pending_at_the_end_of_a_stop_is_answered() {
    let mut site = Site::start("stop-pending", &["shop", "desk"]);
    site.put_table(&table_with_timeout(ms(8_000)));
    thread::sleep(ms(1_500));
    let node = site.members[0].requests;
    let kept: Vec<_> = (0..3).map(|_| kept_connection(node)).collect();
    let [mut early, mut late, mut partial] =
        <[TcpStream; 3]>::try_from(kept).expect("three connections were opened");
    let server = &site.members[1].server;
    server.set_usual(Behaviour::Slow(ms(7_500)));
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let long = |request| Request {
        timeout_ms: 8_000,
        ..request
    };
    let (ran, refused, incomplete) = (long(write("desk")), long(write("desk")), write("desk"));
    let sent_ran = ran.encode();
    let sent_refused = refused.encode();
    let sent_incomplete = incomplete.encode();
    let (early, late, partial) = thread::scope(|scope| {
        let early = scope.spawn(move || ask(&mut early, &sent_ran));
        let late = scope.spawn(move || {
            sleep_until(began, ms(3_500));
            let answer = ask(&mut late, &sent_refused);
            (answer, began.elapsed())
        });
        let partial = scope.spawn(move || {
            sleep_until(began, ms(2_800));
            ask(&mut partial, &sent_incomplete[..sent_incomplete.len() - 3])
        });
        let early = early.join().expect("the client panicked");
        let late = late.join().expect("the client panicked");
        (early, late, partial.join().expect("the client panicked"))
    });
    assert_eq!(site.members[0].node.wait(), Some(0));
    assert!(began.elapsed() < GRACE, "{:?}", began.elapsed());
    // It was still at work in the last sixth of the grace time, and may have run.
    assert_eq!(early.expect("no answer to the first request").status, 502);
    let (late, answered) = late;
    let late = late.expect("no answer to the late request");
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    assert!(answered < GRACE - GRACE / 6, "refused after {answered:?}");
    let partial = partial.expect("no answer to a partial request");
    assert_eq!(partial.status, 503);
    assert!(partial.header("retry-after").is_some(), "no time to retry");
    assert_eq!(site.runs_of(&ran), 1);
    assert_eq!(site.runs_of(&refused) + site.runs_of(&incomplete), 0);
}

/// The lines of a stop were dropped like those of requests where a node logged more than its limit.
#[test]
fn a_stop_under_load_is_logged() {
    let mut site = Site::start("stop-logged", &["shop"]);
    let node = site.members[0].requests;
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let mut stream = open(node).expect("cannot connect to the node");
                let request = read("unknown").encode();
                while !is_over.load(Ordering::Relaxed) {
                    if ask(&mut stream, &request).is_err() {
                        return;
                    }
                }
            });
        }
        thread::sleep(ms(1_500));
        site.members[0].node.signal("-TERM");
        assert_eq!(site.members[0].node.wait(), Some(0));
        is_over.store(true, Ordering::Relaxed);
    });
    let log = site.members[0].log();
    assert!(
        log.contains("lines-dropped-before"),
        "too few lines were logged"
    );
    for event in ["\"stopping\"", "\"stopped\"", "\"node-stop\""] {
        assert!(log.contains(event), "{event} is not in the log");
    }
}

#[test]
fn further_signals_and_a_silent_store_do_not_disturb_a_stop() {
    let mut site = Site::start("stop-signals", &["shop", "desk"]);
    site.members[1].server.set_usual(Behaviour::Slow(ms(1_300)));
    let node = site.members[0].requests;
    let mut partial = open(node).expect("cannot connect to the node");
    partial
        .write_all(b"GET /desk")
        .expect("cannot send to the node");
    let client = thread::spawn(move || ask(&mut open(node)?, &write("desk").encode()));
    thread::sleep(ms(300));
    site.store.set_fault(Fault::Silent);
    let began = Instant::now();
    for signal in ["-HUP", "-TERM", "-HUP", "-TERM", "-INT"] {
        site.members[0].node.signal(signal);
    }
    sleep_until(began, ms(2_000));
    site.members[0].node.signal("-TERM");
    let answer = client.join().expect("the client panicked");
    assert_eq!(answer.expect("no answer from the node").status, 200);
    assert_eq!(site.members[0].node.wait(), Some(0));
    assert!(began.elapsed() < GRACE, "{:?}", began.elapsed());
}

#[test]
fn the_check_of_fates_rejects_bad_histories() {
    let work = |from, until| Work {
        from: ms(from),
        until: ms(until),
    };
    let fate = |sent, end, ended, runs: &[Work]| Fate {
        attempt: "a".into(),
        is_repeatable: false,
        sent: ms(sent),
        limit: ms(2_000),
        end,
        ended: ms(ended),
        is_kept: false,
        runs: runs.to_vec(),
    };
    let allowed = [
        fate(100, End::Answered(200), 900, &[work(100, 900)]),
        fate(5_000, End::Answered(503), 5_010, &[]),
        // Not read before the connection closed.
        fate(5_500, End::Closed, 5_550, &[]),
        // At work in the last sixth, sent within 3 s.
        fate(2_900, End::Closed, 5_300, &[work(3_500, 7_000)]),
        fate(3_900, End::Answered(504), 5_900, &[work(3_900, 7_000)]),
    ];
    assert_eq!(broken_rules(&allowed), Vec::<String>::new());
    let broken = [
        // Sent later than 3 s, or broken off before the last sixth.
        (
            "LOST",
            fate(3_100, End::Closed, 5_050, &[work(3_100, 6_000)]),
        ),
        (
            "LOST",
            fate(3_900, End::Answered(502), 5_500, &[work(3_900, 7_000)]),
        ),
        (
            "LOST",
            fate(2_900, End::Closed, 4_800, &[work(2_900, 7_000)]),
        ),
        (
            "LOST",
            Fate {
                is_repeatable: true,
                ..fate(3_900, End::Answered(503), 5_500, &[work(3_900, 7_000)])
            },
        ),
        // The server had answered.
        (
            "LOST",
            fate(4_000, End::Closed, 5_500, &[work(4_000, 4_500)]),
        ),
        ("LOST", fate(5_000, End::Closed, 5_500, &[])),
        (
            "REFUSED",
            fate(100, End::Answered(503), 900, &[work(100, 900)]),
        ),
        (
            "TWICE",
            fate(
                100,
                End::Answered(200),
                900,
                &[work(100, 300), work(400, 900)],
            ),
        ),
    ];
    for (rule, fate) in broken {
        let found = broken_rules(std::slice::from_ref(&fate));
        assert_eq!(found.len(), 1, "{fate:?}");
        assert!(found[0].starts_with(rule), "{found:?}");
    }
}

#[test]
fn calls_of_a_run_are_served_while_its_node_stops() {
    let mut site = Site::start("stop-calls", &["shop", "desk"]);
    site.put_table(&table_with_timeout(ms(8_000)));
    thread::sleep(ms(1_500));
    let call = |target| ("shop.example", target);
    let calls = [
        "/desk/call/1",
        "/desk/call/2",
        "/desk/call/3",
        "/desk/call/4",
    ];
    let calls: Vec<_> = calls
        .into_iter()
        .chain(["/desk/call/last"])
        .map(call)
        .collect();
    site.members[0].server.set_calls(&calls);
    // The last call is made 3.4 s after SIGTERM.
    for _ in 0..4 {
        site.members[1].server.do_next(Behaviour::Slow(ms(850)));
    }
    let request = Request {
        timeout_ms: 8_000,
        ..write("shop")
    };
    let (ingress, bytes) = (site.members[1].requests, request.encode());
    let client = thread::spawn(move || ask(&mut open(ingress)?, &bytes));
    eventually("the request runs", || site.runs_of(&request) == 1);
    let began = Instant::now();
    site.members[0].node.signal("-TERM");
    let answer = client.join().expect("the client panicked");
    assert_eq!(answer.expect("no answer from the node").status, 200);
    let runs = site.members[1].server.runs();
    let call = runs
        .iter()
        .find(|it| it.first_line.contains("/desk/call/last"));
    let call = call.expect("the last call did not run");
    let limit = call.header("x-timeout-ms").and_then(|it| it.parse().ok());
    let limit = ms(limit.expect("no valid x-timeout-ms header"));
    let stops_by = call.at.saturating_duration_since(began) + limit;
    assert!(
        stops_by < GRACE,
        "its server may work on it for {stops_by:?}"
    );
    assert_eq!(site.members[0].node.wait(), Some(0));
}

/// A client that sends one request, at a random time and in random pieces.
struct RandomClient {
    node: usize,
    at: Duration,
    request: Request,
    /// The request arrives in this many pieces, with a pause between them.
    pieces: usize,
    pause: Duration,
}

impl RandomClient {
    fn new(rng: &mut fastrand::Rng) -> Self {
        let request = if rng.bool() {
            read("desk")
        } else {
            write("desk")
        };
        Self {
            node: rng.usize(..2),
            at: ms(rng.u64(..6_800)),
            request: Request {
                timeout_ms: rng.u64(200..4_000),
                ..request
            },
            pieces: rng.usize(1..4),
            pause: ms(rng.u64(..600)),
        }
    }

    fn send(self, node: SocketAddr, began: Instant) -> Option<Fate> {
        sleep_until(began, self.at);
        // The node may have ended.
        let mut stream = open(node).ok()?;
        let bytes = self.request.encode();
        let pieces: Vec<_> = bytes.chunks(bytes.len().div_ceil(self.pieces)).collect();
        Some(Fate {
            limit: ms(self.request.timeout_ms),
            ..send(&mut stream, &self.request, &pieces, self.pause, began)
        })
    }
}

/// The seed of the schedule where none is set.
const DEFAULT_SEED: u64 = 1;

/// Two nodes stop at nearly the same time, one of them the owner of a server that the other uses. The
/// variable `SEED` sets the schedule.
#[test]
fn overlapping_stops_lose_no_request_of_random_clients() {
    let seed = std::env::var("SEED").ok().and_then(|it| it.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut site = Site::start("stop-random", &["shop", "desk", "desk", "desk"]);
    // Longer than any client's time limit.
    site.put_table(&table_with_timeout(ms(4_000)));
    thread::sleep(ms(1_500));
    let work = ms(rng.u64(50..1_400));
    for member in &site.members[1..] {
        member.server.set_usual(Behaviour::Slow(work));
    }
    let first = Instant::now();
    let began = [first, first + ms(rng.u64(..900))];
    let nodes = [site.members[0].requests, site.members[1].requests];
    let clients: Vec<_> = (0..120)
        .map(|_| {
            let client = RandomClient::new(&mut rng);
            let at = client.node;
            thread::spawn(move || (at, client.send(nodes[at], began[at])))
        })
        .collect();
    for (member, began) in site.members.iter().zip(began) {
        sleep_until(began, Duration::ZERO);
        member.node.signal("-TERM");
    }
    for member in &mut site.members[..2] {
        assert_eq!(member.node.wait(), Some(0));
    }
    let fates = clients.into_iter().map(|it| it.join());
    let fates: Vec<_> = fates.map(|it| it.expect("a client panicked")).collect();
    let broken = began.into_iter().enumerate().flat_map(|(at, began)| {
        let own = fates.iter().filter(|(node, _)| *node == at);
        let own = own.filter_map(|(_, fate)| fate.clone()).collect();
        broken_rules(&with_runs(&site, own, work, began))
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "SEED={seed}:\n{}", broken.join("\n"));
}
