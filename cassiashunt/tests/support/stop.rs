//! Clients of a node that stops, and the users' rules for what they see. All times count from the
//! SIGTERM.

use std::{
    io::Write as _,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::site::{Request, ask, open};

use super::site::{Site, WORKSPACE_KEY, read, set_field, table};

/// The grace time of the platform's deployments.
pub const GRACE: Duration = Duration::from_secs(6);
/// Requests sent up to then may still be at work when the grace time ends.
const LAST_EXCUSED_SENDING: Duration = Duration::from_secs(3);
/// A whole request that was not passed on may lose its connection up to this long after it was sent.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How a request ended at its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a complete answer of this status.
    Answered(u16),
    /// Its connection was closed or reset before that.
    Closed,
}

/// One request as its client and the servers saw it.
#[derive(Debug, Clone)]
pub struct Fate {
    pub attempt: String,
    pub is_repeatable: bool,
    /// When its last byte was sent.
    pub sent: Duration,
    /// The lesser of the client's and the route's time limit, from its sending on.
    pub limit: Duration,
    pub end: End,
    pub ended: Duration,
    /// Whether its connection may be used again.
    pub is_kept: bool,
    /// When each server that ran it was at work on it.
    pub runs: Vec<Work>,
}

/// A server's work on a request.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub from: Duration,
    /// When it would have answered by itself.
    pub until: Duration,
}

impl Fate {
    /// Whether the request ended without an answer of its server that was to come in time.
    fn is_lost(&self, grace: Duration) -> bool {
        let last_run = self.runs.last();
        let is_at_work = last_run.is_some_and(|run| run.until > self.ended);
        let is_broken_off = match self.end {
            End::Answered(408 | 421 | 429 | 502..=504) => is_at_work,
            End::Answered(_) => false,
            End::Closed => last_run.is_some() || self.ended > self.sent + LOSS_SLACK,
        };
        let is_limit_reached = self.ended >= self.sent + self.limit;
        let last_sixth = grace - grace / 6;
        let is_excused =
            self.sent <= LAST_EXCUSED_SENDING && is_at_work && self.ended >= last_sixth;
        is_broken_off && !is_limit_reached && !is_excused
    }

    /// Whether the client was promised that a request did not run that did.
    fn is_falsely_refused(&self) -> bool {
        matches!(self.end, End::Answered(408 | 421 | 429 | 503))
            && !self.is_repeatable
            && !self.runs.is_empty()
    }
}

/// The requests that break a rule, as text.
pub fn broken_rules(fates: &[Fate]) -> Vec<String> {
    broken_rules_within(GRACE, fates)
}

/// The requests that break a rule in a stop with this grace time, as text.
pub fn broken_rules_within(grace: Duration, fates: &[Fate]) -> Vec<String> {
    let broken = fates.iter().filter_map(|fate| {
        let rule = if fate.is_lost(grace) {
            "LOST"
        } else if fate.is_falsely_refused() {
            "REFUSED"
        } else if !fate.is_repeatable && fate.runs.len() > 1 {
            "TWICE"
        } else {
            return None;
        };
        Some(format!("{rule}: {fate:?}"))
    });
    broken.collect()
}

/// The timeout of all routes in the table of [`Site::start`].
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends the pieces of a request with a pause between them, and reads its answer.
pub fn send(
    stream: &mut TcpStream,
    request: &Request,
    pieces: &[&[u8]],
    pause: Duration,
    began: Instant,
) -> Fate {
    let mut fate = Fate {
        attempt: request.attempt.clone(),
        is_repeatable: request.method == "GET",
        sent: Duration::ZERO,
        limit: ms(request.timeout_ms).min(ROUTE_TIMEOUT),
        end: End::Closed,
        ended: Duration::ZERO,
        is_kept: false,
        runs: Vec::new(),
    };
    for (at, piece) in pieces.iter().enumerate() {
        if at > 0 {
            thread::sleep(pause);
        }
        fate.sent = began.elapsed();
        if stream.write_all(piece).is_err() {
            fate.ended = began.elapsed();
            return fate;
        }
    }
    if let Ok(answer) = ask(stream, b"") {
        fate.end = End::Answered(answer.status);
        fate.is_kept = answer.header("connection") != Some("close");
    }
    fate.ended = began.elapsed();
    fate
}

pub fn send_whole(stream: &mut TcpStream, request: &Request, began: Instant) -> Fate {
    send(stream, request, &[&request.encode()], Duration::ZERO, began)
}

/// Adds what the servers ran, each run taking `work`.
pub fn with_runs(site: &Site, fates: Vec<Fate>, work: Duration, began: Instant) -> Vec<Fate> {
    let runs: Vec<_> = site
        .members
        .iter()
        .flat_map(|it| it.server.runs())
        .collect();
    let add_runs = |fate: Fate| {
        let own = runs.iter().filter(|run| run.attempt == fate.attempt);
        let runs = own.map(|run| {
            let from = run.at.saturating_duration_since(began);
            let until = from + work;
            Work { from, until }
        });
        Fate {
            runs: runs.collect(),
            ..fate
        }
    };
    fates.into_iter().map(add_runs).collect()
}

/// A kept connection: one that has had an answer.
pub fn kept_connection(node: SocketAddr) -> TcpStream {
    let mut stream = open(node).expect("cannot connect to the node");
    let answer = ask(&mut stream, &read("desk").encode()).expect("no answer from the node");
    assert_eq!(answer.header("connection"), None);
    stream
}

pub fn sleep_until(began: Instant, at: Duration) {
    thread::sleep((began + at).saturating_duration_since(Instant::now()));
}

/// The table of [`Site::start`] with another timeout for all routes.
pub fn table_with_timeout(timeout: Duration) -> serde_json::Value {
    let mut table = table(2, &[WORKSPACE_KEY]);
    let timeout_ms = u64::try_from(timeout.as_millis()).expect("a short timeout");
    set_field(&mut table, "routes", "timeout_ms", timeout_ms);
    table
}
