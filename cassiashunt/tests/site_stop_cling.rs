//! Clients that keep coming to a node that was asked to stop, until its process is gone.

mod support;

use std::{
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Behaviour, Request, open};
use support::{
    site::{Site, read, write},
    stop::{
        End, Fate, broken_rules, kept_connection, ms, send_whole, table_with_timeout, with_runs,
    },
};

/// How long the servers work on a request.
const WORK: Duration = Duration::from_millis(700);
/// The timeout of all routes.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The time limits of the clients: one is shorter than the servers' work, one is longer than what is
/// left of a stop after its notice.
const TIME_LIMITS_MS: [u64; 4] = [300, 1_200, 2_500, 4_000];
/// The pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Later than the notice of a stop, in which all requests are taken.
const LATE: Duration = Duration::from_millis(2_700);

/// A client that sends one request after the other to the same node.
struct ClingingClient {
    node: SocketAddr,
    /// What it sends to a service.
    request_to: fn(&str) -> Request,
    time_limit_ms: u64,
    /// Whether it sends on the same connection as long as that is kept.
    is_keeping: bool,
    kept: Option<TcpStream>,
}

impl ClingingClient {
    /// Clients of each time limit that read or write, with and without kept connections.
    fn start_all(node: SocketAddr) -> Vec<Self> {
        let mut clients = Vec::new();
        for request_to in [read as fn(&str) -> Request, write] {
            for time_limit_ms in TIME_LIMITS_MS {
                for is_keeping in [false, true] {
                    clients.push(Self {
                        node,
                        request_to,
                        time_limit_ms,
                        is_keeping,
                        kept: is_keeping.then(|| kept_connection(node)),
                    });
                }
            }
        }
        clients
    }

    /// Sends until the node is gone.
    fn send_until(mut self, is_gone: &AtomicBool, began: Instant) -> Vec<Fate> {
        let mut services = ["shop", "desk"].into_iter().cycle();
        let mut fates = Vec::new();
        while !is_gone.load(Ordering::Relaxed) {
            let service = services.next().expect("a cycle does not end");
            fates.extend(self.send((self.request_to)(service), began));
            thread::sleep(PAUSE);
        }
        fates
    }

    /// Sends one request; `None` if the node accepts no connection.
    fn send(&mut self, request: Request, began: Instant) -> Option<Fate> {
        let mut stream = self.kept.take().or_else(|| open(self.node).ok())?;
        let request = Request {
            timeout_ms: self.time_limit_ms,
            ..request
        };
        let fate = send_whole(&mut stream, &request, began);
        self.kept = (self.is_keeping && fate.is_kept).then_some(stream);
        Some(Fate {
            limit: ms(self.time_limit_ms).min(ROUTE_TIMEOUT),
            ..fate
        })
    }
}

/// Requests of clients that kept coming to a stopping node were taken up to its end, and cut there
/// without an answer.
#[test]
fn clients_that_cling_to_a_stopping_node_lose_no_request() {
    let mut site = Site::start("stop-cling", &["shop", "shop", "desk", "desk"]);
    site.put_table(&table_with_timeout(ROUTE_TIMEOUT));
    thread::sleep(ms(1_500));
    let clients = ClingingClient::start_all(site.members[0].requests);
    for member in &site.members {
        member.server.set_usual(Behaviour::Slow(WORK));
    }
    let leaving = &mut site.members[0];
    let is_gone = AtomicBool::new(false);
    let began = Instant::now();
    let fates: Vec<_> = thread::scope(|scope| {
        let is_gone = &is_gone;
        let clients = clients.into_iter();
        let clients: Vec<_> = clients
            .map(|client| scope.spawn(move || client.send_until(is_gone, began)))
            .collect();
        let beat = leaving
            .server
            .beat(leaving.heartbeats, "shop", "draining", 2);
        assert_eq!(beat.expect("no answer from the node"), 200);
        leaving.node.signal("-TERM");
        assert_eq!(leaving.node.wait(), Some(0));
        is_gone.store(true, Ordering::Relaxed);
        let fates = clients.into_iter().map(|it| it.join());
        fates
            .flat_map(|it| it.expect("a client panicked"))
            .collect()
    });
    let fates = with_runs(&site, fates, WORK, began);
    let broken = broken_rules(&fates);
    assert!(
        broken.is_empty(),
        "{} of {} requests:\n{}",
        broken.len(),
        fates.len(),
        broken.join("\n")
    );
    assert_clung(&fates);
}

/// Panics unless late requests of both kinds were served, and some were refused.
fn assert_clung(fates: &[Fate]) {
    let late: Vec<_> = fates.iter().filter(|it| it.sent > LATE).collect();
    let has = |end| late.iter().any(|it| it.end == end);
    for is_repeatable in [true, false] {
        let mut served = late.iter().filter(|it| it.is_repeatable == is_repeatable);
        assert!(
            served.any(|it| it.end == End::Answered(200)),
            "no late request with is_repeatable={is_repeatable} was served: {late:?}"
        );
    }
    assert!(
        has(End::Answered(503)),
        "no late request was refused: {late:?}"
    );
}
