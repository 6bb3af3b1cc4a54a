//! The backend-server stand-in: whole answers, slots, child calls, and faults on request.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use cassiashunt_standin::server::{
    self, Child, Endpoint, Handle, Load, Options, Order, Outcome, Peer, Report, ServiceTime,
    Spread,
    http::{Answer, Connection},
};

/// How long a test waits for a state before it fails.
const PATIENCE: Duration = Duration::from_secs(10);

fn start(options: Options) -> Handle {
    server::serve(options).expect("loopback has a free port")
}

fn one_endpoint(mean_ms: f64) -> Vec<Endpoint> {
    vec![Endpoint {
        service_time: ServiceTime {
            mean_ms,
            ..Default::default()
        },
        ..Default::default()
    }]
}

fn connect(addr: SocketAddr) -> Connection {
    let stream = TcpStream::connect(addr).expect("the server listens");
    Connection::new(stream).expect("a fresh stream takes its options")
}

fn ask(connection: &mut Connection, head: &str, body: &str) -> std::io::Result<Answer> {
    let message = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    connection.write(message.as_bytes())?;
    connection.read_answer()
}

fn once(addr: SocketAddr, head: &str, body: &str) -> Answer {
    ask(&mut connect(addr), head, body).expect("the server answers")
}

fn eventually(what: &str, is_so: impl Fn() -> bool) {
    let until = std::time::Instant::now() + PATIENCE;
    while !is_so() {
        assert!(std::time::Instant::now() < until, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn an_answer_has_the_id_the_size_asked_for_and_the_digest_of_its_body() {
    let server = start(Options::default());
    let answer = once(
        server.addr,
        "GET /x?bytes=5000 HTTP/1.1\r\nStandin-Id: a7",
        "",
    );
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, server::body("a7", 5_000));
    let digest = format!("{:016x}", server::digest(&answer.body));
    assert_eq!(answer.header("standin-digest"), Some(digest.as_str()));
    let runs = server.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(
        (runs[0].id.as_str(), runs[0].outcome),
        ("a7", Outcome::Done)
    );
}

#[test]
fn a_body_in_chunks_is_read_whole() {
    let server = start(Options::default());
    let mut connection = connect(server.addr);
    let head = "POST /x HTTP/1.1\r\nStandin-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n";
    let message = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    connection
        .write(message.as_bytes())
        .expect("the server reads");
    assert_eq!(connection.read_answer().expect("it answers").status, 200);
    let again = ask(&mut connection, "GET /y HTTP/1.1", "").expect("the connection is kept");
    assert_eq!(again.status, 200);
}

#[test]
fn no_more_requests_run_at_once_than_there_are_slots_and_the_rest_is_shed_past_the_queue() {
    let server = start(Options {
        slots: 2,
        queue: 1,
        endpoints: one_endpoint(300.0),
        ..Default::default()
    });
    let addr = server.addr;
    let answers: Vec<_> = thread::scope(|scope| {
        let ask = || scope.spawn(move || once(addr, "GET /x HTTP/1.1", ""));
        let running = [ask(), ask()];
        eventually("two requests run", || server.stats().running == 2);
        let waiting = ask();
        eventually("one request waits", || server.stats().waiting == 1);
        let shed = ask();
        [running.into_iter().collect(), vec![waiting, shed]]
            .into_iter()
            .flat_map(|part: Vec<_>| part)
            .map(|thread| thread.join().expect("no caller panics"))
            .collect()
    });
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [200, 200, 200, 503]);
    assert_eq!(answers[3].header("cassiashunt-verdict"), Some("not-run"));
    assert_eq!(server.stats().peak_running, 2);
    assert_eq!(server.runs().len(), 3, "what was shed did not run");
}

#[test]
fn child_calls_carry_the_ticket_a_derived_id_and_a_derived_idempotency_key() {
    let leaf = start(Options {
        capture: true,
        ..Default::default()
    });
    for order in [Order::Sequence, Order::Parallel] {
        let child = Child {
            path: "/leaf/part".into(),
            ..Default::default()
        };
        let root = start(Options {
            node: Some(leaf.addr),
            endpoints: vec![Endpoint {
                children: vec![child.clone(), child],
                order,
                ..Default::default()
            }],
            ..Default::default()
        });
        let head = "POST /x HTTP/1.1\r\nStandin-Id: r\r\nIdempotency-Key: k\r\n\
                    Cassiashunt-Ticket: t9";
        assert_eq!(once(root.addr, head, "").status, 200);
    }
    let mut ids: Vec<_> = leaf.runs().iter().map(|run| run.id.clone()).collect();
    ids.sort();
    assert_eq!(ids, ["r.0", "r.0", "r.1", "r.1"]);
    for run in leaf.runs() {
        let ticket = server::http::header(&run.headers, "cassiashunt-ticket");
        assert_eq!(ticket, Some("t9"));
        assert!(run.idempotency_key.is_some_and(|key| key.starts_with("k.")));
    }
}

#[test]
fn a_failing_child_fails_its_parent_after_the_set_number_of_tries() {
    let leaf = start(Options {
        failure_rate: 1.0,
        ..Default::default()
    });
    let peer = Peer {
        addr: leaf.addr,
        one_way_ms: 0.0,
    };
    let root = start(Options {
        peers: [("leaf".to_owned(), vec![peer])].into(),
        child_retries: 2,
        endpoints: vec![Endpoint {
            children: vec![Child {
                path: "/leaf".into(),
                ..Default::default()
            }],
            ..Default::default()
        }],
        ..Default::default()
    });
    assert_eq!(once(root.addr, "GET /x HTTP/1.1", "").status, 502);
    assert_eq!(leaf.stats().began, 3);
    assert_eq!(root.runs()[0].outcome, Outcome::Failed);
}

#[test]
fn a_marked_request_drops_every_connection_and_the_server_refuses_until_it_restarts() {
    let server = start(Options {
        endpoints: one_endpoint(5_000.0),
        ..Default::default()
    });
    let addr = server.addr;
    let innocent = thread::spawn(move || ask(&mut connect(addr), "GET /x HTTP/1.1", ""));
    eventually("the innocent request runs", || server.stats().running == 1);
    let mut guilty = connect(addr);
    let marked = ask(&mut guilty, "GET /x HTTP/1.1\r\nStandin-Crash: 1", "");
    assert!(marked.is_err());
    assert!(innocent.join().expect("no caller panics").is_err());
    assert!(server.is_down());
    assert!(TcpStream::connect(addr).is_err());
    assert_eq!(server.stats().crashes, 1);
    server.set(|options| options.endpoints = one_endpoint(0.0));
    server.restart().expect("the port is free again");
    assert_eq!(once(addr, "GET /x HTTP/1.1", "").status, 200);
    let by_body = ask(&mut connect(addr), "POST /x HTTP/1.1", "a standin-crash b");
    assert!(by_body.is_err());
    eventually("the second crash shows", || server.stats().crashes == 2);
}

#[test]
fn a_crashed_server_with_a_restart_time_comes_back_by_itself_unless_it_was_stopped() {
    let server = start(Options {
        restart_ms: Some(1),
        ..Default::default()
    });
    let marked = "GET /x HTTP/1.1\r\nStandin-Crash: 1";
    assert!(ask(&mut connect(server.addr), marked, "").is_err());
    eventually("it listens again", || {
        TcpStream::connect(server.addr).is_ok()
    });
    server.stop();
    assert!(server.restart().is_err());
}

#[test]
fn work_stops_at_its_deadline_and_a_wait_past_it_did_not_run() {
    let server = start(Options {
        slots: 1,
        endpoints: one_endpoint(10_000.0),
        ..Default::default()
    });
    let addr = server.addr;
    let first =
        thread::spawn(move || once(addr, "GET /x HTTP/1.1\r\nCassiashunt-Timeout-Ms: 400", ""));
    eventually("the first runs", || server.stats().running == 1);
    let second = once(addr, "GET /x HTTP/1.1\r\nCassiashunt-Timeout-Ms: 20", "");
    assert_eq!(
        (second.status, second.header("cassiashunt-verdict")),
        (504, Some("not-run"))
    );
    let first = first.join().expect("no caller panics");
    assert_eq!(
        (first.status, first.header("cassiashunt-verdict")),
        (504, None)
    );
    assert_eq!(server.runs().len(), 1);
    assert_eq!(server.runs()[0].outcome, Outcome::Deadline);
}

#[test]
fn a_cancelled_request_stops() {
    let server = start(Options {
        endpoints: one_endpoint(60_000.0),
        ..Default::default()
    });
    let addr = server.addr;
    let head = "GET /x HTTP/1.1\r\nStandin-Id: q1\r\nCassiashunt-Ticket: t1";
    for cancel in ["DELETE /cancel/q1 HTTP/1.1", "DELETE /cancel/t1 HTTP/1.1"] {
        let caller = thread::spawn(move || once(addr, head, ""));
        eventually("it runs", || server.stats().running == 1);
        assert_eq!(once(addr, cancel, "").status, 200);
        assert_eq!(caller.join().expect("no caller panics").status, 499);
        assert_eq!(once(addr, cancel, "").status, 404);
    }
    assert_eq!(server.runs()[0].outcome, Outcome::Cancelled);
}

#[test]
fn the_load_and_health_endpoints_lie_and_lag_as_set() {
    let server = start(Options {
        endpoints: one_endpoint(60_000.0),
        report: Report {
            load_factor: 10.0,
            health: Some(true),
            ..Default::default()
        },
        ..Default::default()
    });
    let addr = server.addr;
    let load = || -> Load {
        let body = once(addr, "GET /load HTTP/1.1", "").body;
        serde_json::from_slice(&body).expect("the load is JSON")
    };
    assert_eq!(load().running, 0);
    server.set(|options| options.report.lag_ms = 3_600_000);
    let kept = load().running;
    let caller = thread::spawn(move || ask(&mut connect(addr), "GET /x HTTP/1.1", ""));
    eventually("it runs", || server.stats().running == 1);
    assert_eq!(
        load().running,
        kept,
        "the answer is allowed to be an hour old"
    );
    server.set(|options| options.report.lag_ms = 0);
    assert_eq!(load().running, 10);
    server.set(|options| options.draining = true);
    assert_eq!(
        once(addr, "GET /health HTTP/1.1", "").status,
        200,
        "it lies"
    );
    server.set(|options| options.report.health = None);
    assert_eq!(once(addr, "GET /health HTTP/1.1", "").status, 503);
    assert_eq!(
        once(addr, "GET /x HTTP/1.1", "").status,
        503,
        "a leaving server refuses"
    );
    server.stop();
    assert!(caller.join().expect("no caller panics").is_err());
}

#[test]
fn settings_change_over_http_and_unknown_ones_are_refused() {
    let server = start(Options::default());
    let path = "POST /standin/set HTTP/1.1";
    let changed = once(
        server.addr,
        path,
        r#"{"slow-factor":7.5,"report":{"lag-ms":3}}"#,
    );
    assert_eq!(changed.status, 200);
    assert_eq!(server.options().slow_factor, 7.5);
    assert_eq!(server.options().report.lag_ms, 3);
    let unknown = once(server.addr, path, r#"{"slow-fact":1}"#);
    assert_eq!(unknown.status, 400);
    assert!(String::from_utf8_lossy(&unknown.body).contains("slow-fact"));
}

#[test]
fn connections_past_the_limit_are_closed_at_once() {
    let server = start(Options {
        connections: 1,
        ..Default::default()
    });
    let mut first = connect(server.addr);
    assert!(ask(&mut first, "GET /x HTTP/1.1", "").is_ok());
    let mut second = connect(server.addr);
    assert!(ask(&mut second, "GET /x HTTP/1.1", "").is_err());
    assert!(ask(&mut first, "GET /x HTTP/1.1", "").is_ok());
    assert_eq!(server.stats().over_connections, 1);
}

#[test]
fn a_cold_server_is_slower_by_its_factor_and_only_while_it_is_cold() {
    let options = |cold_ms| Options {
        endpoints: one_endpoint(5.0),
        cold_ms,
        cold_factor: 10_000.0,
        ..Default::default()
    };
    let head = "GET /x HTTP/1.1\r\nCassiashunt-Timeout-Ms: 1000";
    let cold = start(options(3_600_000));
    assert_eq!(once(cold.addr, head, "").status, 504);
    let warm = start(options(0));
    assert_eq!(once(warm.addr, head, "").status, 200);
}

#[test]
fn an_address_outside_loopback_is_refused() {
    let refused = server::serve(Options {
        listen: SocketAddr::from(([0, 0, 0, 0], 0)),
        ..Default::default()
    });
    let err = refused.err().expect("only loopback is allowed");
    assert!(err.to_string().contains("no loopback address"));
}

#[test]
fn drawn_service_times_have_the_mean_that_was_set() {
    for spread in [Spread::Fixed, Spread::Exponential, Spread::Lognormal] {
        let time = ServiceTime {
            mean_ms: 8.0,
            spread,
            sigma: 0.6,
        };
        let mut rng = fastrand::Rng::with_seed(3);
        let draws = 20_000;
        let total: f64 = (0..draws).map(|_| time.draw(&mut rng).as_secs_f64()).sum();
        let mean = total * 1_000.0 / f64::from(draws);
        assert!((mean - 8.0).abs() < 0.25, "{spread:?} has the mean {mean}");
    }
}
