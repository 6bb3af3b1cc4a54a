//! Callers: kept connections per workspace, one try at a time.

use std::{
    collections::VecDeque,
    io,
    net::TcpStream,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use cassiashunt_standin::server::{self, http::Answer, http::Connection};
use cassiashunt_types::prelude::*;
use eyre::ensure;
use serde_json::Value;

use crate::{
    Experiment, Outcome,
    experiment::{RequestKind, Variant, WorkspaceOptions},
    fleet::Ingress,
};

/// How many instances one try looks for that take its connection.
const INSTANCES_PER_TRY: usize = 3;

/// The error number of a process without file descriptors left (Linux).
const EMFILE: i32 = 24;
/// The error number of a system without file descriptors left (Linux).
const ENFILE: i32 = 23;
/// The error number of a system without local ports left (Linux).
const EADDRNOTAVAIL: i32 = 99;

/// The callers of an experiment.
pub struct Client<'a> {
    experiment: &'a Experiment,
    ingress: Vec<Ingress>,
    /// Idle connections by workspace, the longest idle first.
    idle: Vec<Mutex<VecDeque<Idle>>>,
    one_way: Duration,
    deadlines: bool,
    /// The bytes of a whole answer, by kind, where known.
    answer_bytes: Vec<Option<usize>>,
}

/// A connection that waits for its next use.
struct Idle {
    instance: usize,
    connection: Connection,
}

/// One try of a request.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The id that the answer must carry; the same for all tries of a request.
    pub id: &'a str,
    /// The index of its workspace.
    pub workspace: usize,
    /// The index of its kind.
    pub kind: usize,
    /// When the caller gives this try up.
    pub deadline: Instant,
}

/// What came of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tried {
    /// How it ended.
    pub outcome: Outcome,
    /// The time after which coming back may help, where the answer says so.
    pub retry_after: Option<Duration>,
}

impl From<Outcome> for Tried {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }
}

impl<'a> Client<'a> {
    /// The callers of an experiment, who send to these instances.
    ///
    /// # Errors
    ///
    /// Fails where an address is not a loopback address, or where a kind has no instance.
    pub fn new(
        experiment: &'a Experiment,
        variant: &Variant,
        ingress: Vec<Ingress>,
    ) -> eyre::Result<Self> {
        for instance in &ingress {
            let is_loopback = instance.addr.ip().is_loopback();
            ensure!(is_loopback, crate::experiment::not_loopback(instance.addr));
        }
        for kind in &experiment.requests {
            let serves = ingress.iter().any(|instance| instance.serves(kind));
            ensure!(serves, "no instance serves {}", kind.path);
        }
        Ok(Self {
            experiment,
            idle: experiment
                .workspaces
                .iter()
                .map(|_| Mutex::default())
                .collect(),
            one_way: Duration::from_secs_f64(experiment.client_one_way_ms / 1_000.0),
            deadlines: variant.deadlines,
            answer_bytes: answer_bytes(experiment),
            ingress,
        })
    }

    /// Makes one try and waits for its end.
    pub fn send(&self, call: &Call<'_>, rng: &mut fastrand::Rng) -> Tried {
        thread::sleep(self.one_way);
        let (instance, mut connection) = match self.connect(call, rng) {
            Ok(connected) => connected,
            Err(outcome) => return outcome.into(),
        };
        let answer = self.exchange(&mut connection, call);
        thread::sleep(self.one_way);
        match answer {
            Ok(answer) => {
                let tried = self.judge(call, &answer);
                if !answer.closes() {
                    self.keep(call.workspace, instance, connection);
                }
                tried
            }
            Err(err) => failed(&err).into(),
        }
    }

    /// A connection to an instance drawn evenly; another one where that takes none.
    fn connect(
        &self,
        call: &Call<'_>,
        rng: &mut fastrand::Rng,
    ) -> Result<(usize, Connection), Outcome> {
        let kind = &self.experiment.requests[call.kind];
        let serving = |index: &usize| self.ingress[*index].serves(kind);
        let mut instances: Vec<_> = (0..self.ingress.len()).filter(serving).collect();
        rng.shuffle(&mut instances);
        for instance in instances.into_iter().take(INSTANCES_PER_TRY) {
            if let Some(connection) = self.reuse(call.workspace, instance) {
                return Ok((instance, connection));
            }
            match self.open(instance, call.deadline) {
                Ok(connection) => return Ok((instance, connection)),
                Err(err) if is_own_bound(&err) => return Err(Outcome::Unsent),
                Err(_) => {}
            }
        }
        Err(Outcome::Unreachable)
    }

    fn open(&self, instance: usize, deadline: Instant) -> io::Result<Connection> {
        let left = deadline.saturating_duration_since(Instant::now());
        let addr = self.ingress[instance].addr;
        let stream = TcpStream::connect_timeout(&addr, left.max(Duration::from_millis(1)))?;
        Connection::new(stream)
    }

    fn reuse(&self, workspace: usize, instance: usize) -> Option<Connection> {
        loop {
            let mut idle = lock(&self.idle[workspace]);
            let last = idle.iter().rposition(|idle| idle.instance == instance)?;
            let kept = idle.remove(last)?;
            drop(idle);
            if !kept.connection.is_stale() {
                return Some(kept.connection);
            }
        }
    }

    fn keep(&self, workspace: usize, instance: usize, connection: Connection) {
        let most = self.experiment.client.idle_connections;
        let mut idle = lock(&self.idle[workspace]);
        idle.push_back(Idle {
            instance,
            connection,
        });
        let closed = if idle.len() > most {
            idle.pop_front()
        } else {
            None
        };
        drop(idle);
        drop(closed);
    }

    fn exchange(&self, connection: &mut Connection, call: &Call<'_>) -> io::Result<Answer> {
        let limit = call
            .deadline
            .checked_sub(self.one_way)
            .unwrap_or(call.deadline);
        connection.set_deadline(limit);
        let kind = &self.experiment.requests[call.kind];
        let workspace = &self.experiment.workspaces[call.workspace];
        let left = limit.saturating_duration_since(Instant::now());
        let left = self.deadlines.then_some(left);
        connection.write(&message(call.id, kind, workspace, left))?;
        connection.read_answer()
    }

    fn judge(&self, call: &Call<'_>, answer: &Answer) -> Tried {
        if (200..300).contains(&answer.status) {
            return self.judge_body(call, &answer.body).into();
        }
        let seconds = answer
            .header("retry-after")
            .and_then(|value| value.parse().ok());
        let reason = reason(&answer.body);
        let is_not_run = answer.header(server::VERDICT_HEADER) == Some("not-run");
        Tried {
            outcome: match is_not_run {
                true => Outcome::NotRun(reason),
                false => Outcome::MayHaveRun(reason),
            },
            retry_after: seconds.map(Duration::from_secs),
        }
    }

    fn judge_body(&self, call: &Call<'_>, body: &[u8]) -> Outcome {
        let is_length = self.answer_bytes[call.kind].is_none_or(|bytes| body.len() >= bytes);
        if is_length && body == server::body(call.id, body.len()) {
            return Outcome::Whole;
        }
        Outcome::Corrupt
    }
}

impl Ingress {
    fn serves(&self, kind: &RequestKind) -> bool {
        self.service
            .is_none_or(|service| service.as_str() == kind.service())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

fn answer_bytes(experiment: &Experiment) -> Vec<Option<usize>> {
    let of_endpoint = |kind: &RequestKind| {
        let endpoint = experiment.endpoint(&kind.path);
        endpoint.map(|endpoint| endpoint.bytes)
    };
    let kinds = experiment.requests.iter();
    kinds
        .map(|kind| kind.bytes.or_else(|| of_endpoint(kind)))
        .collect()
}

/// The request as it goes over the wire.
fn message(
    id: &str,
    kind: &RequestKind,
    workspace: &WorkspaceOptions,
    left: Option<Duration>,
) -> Vec<u8> {
    let query = kind
        .bytes
        .map_or_else(String::new, |bytes| format!("?bytes={bytes}"));
    let mut head = format!("{} {}{query} HTTP/1.1\r\n", kind.method, kind.path);
    let mut add = |name: &str, value: &str| head += &format!("{name}: {value}\r\n");
    add("Host", "load");
    add(server::ID_HEADER, id);
    if let Some(left) = left {
        add(server::TIMEOUT_HEADER, &left.as_millis().max(1).to_string());
    }
    if !kind.open {
        add("Authorization", &format!("Bearer {}", workspace.key));
    }
    if !kind.idempotent {
        add("Idempotency-Key", id);
    }
    add("Content-Length", &kind.body_bytes.to_string());
    let mut buf = (head + "\r\n").into_bytes();
    buf.resize(buf.len() + kind.body_bytes, b'x');
    buf
}

/// The reason code in a problem document, whichever member carries it.
fn reason(body: &[u8]) -> Option<Reason> {
    let problem: Value = serde_json::from_slice(body).ok()?;
    let members = ["reason", "code", "type"].into_iter();
    members
        .filter_map(|member| problem.get(member)?.as_str())
        .find_map(known_reason)
}

fn known_reason(text: &str) -> Option<Reason> {
    let code = text.rsplit(['/', ':']).next()?;
    Reason::ALL
        .iter()
        .copied()
        .find(|reason| reason.code() == code)
}

/// Whether this machine has no descriptor or port left for the callers.
fn is_own_bound(err: &io::Error) -> bool {
    matches!(err.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL))
}

fn failed(err: &io::Error) -> Outcome {
    match err.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Outcome::TimedOut,
        io::ErrorKind::InvalidData => Outcome::Corrupt,
        _ => Outcome::MayHaveRun(Some(Reason::Lost)),
    }
}
