//! One request: its wait, its own work, its child calls and its answer.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{
    answer::{body, digest},
    http::{Answer, Request},
    options::{Child, Endpoint, Options, Order},
    record::Outcome,
    state::{JobKey, State, Stop},
};

/// The header with a run's identity; a child call's is its parent's with a dot and its number.
pub const ID_HEADER: &str = "Standin-Id";
/// The header of an answer with the hexadecimal digest of its body.
pub const DIGEST_HEADER: &str = "Standin-Digest";
/// The header that marks a request that crashes the server.
pub const CRASH_HEADER: &str = "Standin-Crash";
/// A body with these bytes crashes the server as well.
pub const CRASH_MARK: &[u8] = b"standin-crash";
/// The header with the remaining time of a request in milliseconds.
pub const TIMEOUT_HEADER: &str = "Cassiashunt-Timeout-Ms";
/// The header that binds a child call to its parent.
pub const TICKET_HEADER: &str = "Cassiashunt-Ticket";
/// The header that says whether a refused request ran.
pub const VERDICT_HEADER: &str = "Cassiashunt-Verdict";
/// The time that a request without a deadline may take.
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// What came of a request.
pub(super) enum Reply {
    /// An answer to write.
    Answer(Answer),
    /// The server crashed; nothing is written.
    Crash,
    /// The server crashed, or was told to, by another request.
    Gone,
}

/// The parts of a request that its child calls inherit.
struct Call<'a> {
    state: &'a State,
    agent: &'a ureq::Agent,
    req: &'a Request,
    id: &'a str,
    options: &'a Options,
    deadline: Instant,
}

/// Runs one request.
pub(super) fn run(state: &Arc<State>, agent: &ureq::Agent, req: &Request) -> Reply {
    let options = state.options();
    let id = req
        .header(ID_HEADER)
        .map_or_else(|| fresh_id(state), str::to_owned);
    let deadline = Instant::now() + time_left(req);
    sleep_ms(options.delay_ms);
    let Some(job) = state.arrive(&id, req.header(TICKET_HEADER)) else {
        return Reply::Answer(not_run(503));
    };
    if let Err(stop) = state.take_slot(job, deadline) {
        state.give_up(job, stop);
        return stopped_before(stop);
    }
    let record = state.record(&id, req);
    let call = Call {
        state,
        agent,
        req,
        id: &id,
        options: &options,
        deadline,
    };
    if is_crash(req) {
        state.end_record(record, Outcome::Crashed);
        return Reply::Crash;
    }
    let (outcome, reply) = call.serve(job);
    state.end_record(record, outcome);
    state.finish(job, outcome);
    reply
}

fn fresh_id(state: &State) -> String {
    format!("{:016x}", state.draw(|rng| rng.u64(..)))
}

fn is_crash(req: &Request) -> bool {
    let marked = req.header(CRASH_HEADER).is_some_and(|value| value != "0");
    marked
        || req
            .body
            .windows(CRASH_MARK.len())
            .any(|part| part == CRASH_MARK)
}

fn time_left(req: &Request) -> Duration {
    let millis = req
        .header(TIMEOUT_HEADER)
        .and_then(|value| value.trim().parse().ok());
    millis
        .map_or(NO_DEADLINE, Duration::from_millis)
        .min(NO_DEADLINE)
}

fn sleep_ms(millis: f64) {
    if millis > 0.0 {
        thread::sleep(Duration::from_secs_f64(millis / 1_000.0));
    }
}

fn not_run(status: u16) -> Answer {
    Answer::new(status, Vec::new()).with(VERDICT_HEADER, "not-run")
}

fn stopped_before(stop: Stop) -> Reply {
    match stop {
        Stop::Cancelled => Reply::Answer(not_run(499)),
        Stop::Deadline => Reply::Answer(not_run(504)),
        Stop::Crashed => Reply::Gone,
    }
}

fn stopped_during(stop: Stop) -> (Outcome, Reply) {
    match stop {
        Stop::Cancelled => (
            Outcome::Cancelled,
            Reply::Answer(Answer::new(499, Vec::new())),
        ),
        Stop::Deadline => (
            Outcome::Deadline,
            Reply::Answer(Answer::new(504, Vec::new())),
        ),
        Stop::Crashed => (Outcome::Crashed, Reply::Gone),
    }
}

impl Call<'_> {
    fn serve(&self, job: JobKey) -> (Outcome, Reply) {
        let endpoint = self.options.endpoint(&self.req.path);
        let drawn = self.state.draw(|rng| endpoint.service_time.draw(rng));
        let span = drawn.mul_f64(self.state.factor().max(0.0));
        if let Err(stop) = self.state.work(job, span, self.deadline) {
            return stopped_during(stop);
        }
        let children_ok = self.call_children(&endpoint);
        if let Err(stop) = self.state.check(job, self.deadline) {
            return stopped_during(stop);
        }
        let rate = self.options.failure_rate;
        if rate > 0.0 && self.state.draw(|rng| rng.f64() < rate) {
            return (Outcome::Failed, Reply::Answer(Answer::new(500, Vec::new())));
        }
        if !children_ok {
            return (Outcome::Failed, Reply::Answer(Answer::new(502, Vec::new())));
        }
        (Outcome::Done, Reply::Answer(self.whole_answer(&endpoint)))
    }

    fn whole_answer(&self, endpoint: &Endpoint) -> Answer {
        let asked = self
            .req
            .parameter("bytes")
            .and_then(|bytes| bytes.parse().ok());
        let body = body(self.id, asked.unwrap_or(endpoint.bytes));
        let digest = format!("{:016x}", digest(&body));
        Answer::new(200, body)
            .with(ID_HEADER, self.id)
            .with(DIGEST_HEADER, &digest)
            .with("Content-Type", "application/octet-stream")
    }

    /// Makes the child calls; says whether each required one was answered well.
    fn call_children(&self, endpoint: &Endpoint) -> bool {
        let children: Vec<_> = endpoint.children.iter().enumerate().collect();
        match (endpoint.order, children.as_slice()) {
            (Order::Sequence, _) | (_, [] | [_]) => children
                .into_iter()
                .all(|(index, child)| self.call_child(index, child) || !child.required),
            (Order::Parallel, [first, rest @ ..]) => self.call_together(*first, rest),
        }
    }

    /// Calls all children at once, the first of them on this thread.
    fn call_together(&self, first: (usize, &Child), rest: &[(usize, &Child)]) -> bool {
        thread::scope(|scope| {
            let run =
                |(index, child): (usize, &Child)| self.call_child(index, child) || !child.required;
            let others: Vec<_> = rest
                .iter()
                .map(|part| scope.spawn(move || run(*part)))
                .collect();
            let mut ok = run(first);
            for other in others {
                ok &= other.join().unwrap_or(false);
            }
            ok
        })
    }

    fn call_child(&self, index: usize, child: &Child) -> bool {
        let tries = 1 + self.options.child_retries;
        (0..tries).any(|_| Instant::now() < self.deadline && self.try_child(index, child))
    }

    fn try_child(&self, index: usize, child: &Child) -> bool {
        let Some((addr, one_way_ms)) = self.target(child) else {
            return false;
        };
        self.state.count(|stats| stats.child_calls += 1);
        sleep_ms(one_way_ms);
        let ok = self.send_child(index, child, addr).unwrap_or(false);
        sleep_ms(one_way_ms);
        ok
    }

    fn target(&self, child: &Child) -> Option<(SocketAddr, f64)> {
        if let Some(node) = self.options.node {
            return Some((node, 0.0));
        }
        let service = child
            .path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()?;
        let peers = self
            .options
            .peers
            .get(service)
            .filter(|peers| !peers.is_empty())?;
        let peer = peers[self.state.draw(|rng| rng.usize(..peers.len()))];
        Some((peer.addr, peer.one_way_ms))
    }

    fn send_child(
        &self,
        index: usize,
        child: &Child,
        addr: SocketAddr,
    ) -> Result<bool, ureq::Error> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(self.options.child_timeout_ms));
        let uri = format!("http://{addr}/{}", child.path.trim_start_matches('/'));
        let id = format!("{}.{index}", self.id);
        let mut req = ureq::http::Request::builder()
            .method(child.method.as_str())
            .uri(uri)
            .header(ID_HEADER, id.as_str());
        if self.options.child_deadlines {
            req = req.header(TIMEOUT_HEADER, limit.as_millis().to_string());
        }
        if let Some(ticket) = self.req.header(TICKET_HEADER) {
            req = req.header(TICKET_HEADER, ticket);
        }
        if let Some(key) = self.req.header("Idempotency-Key") {
            req = req.header("Idempotency-Key", format!("{key}.{index}"));
        }
        let req = self
            .agent
            .configure_request(req.body(()).map_err(ureq::Error::Http)?);
        let req = req
            .timeout_global(Some(limit.max(Duration::from_millis(1))))
            .build();
        let mut answer = self.agent.run(req)?;
        let is_success = answer.status().is_success();
        let body = answer.body_mut().read_to_vec()?;
        Ok(is_success && is_whole(&id, &answer, &body))
    }
}

/// Whether the answer is the one to this id, with its whole body.
fn is_whole(id: &str, answer: &ureq::http::Response<ureq::Body>, body: &[u8]) -> bool {
    let told = answer
        .headers()
        .get(DIGEST_HEADER)
        .and_then(|value| value.to_str().ok());
    let is_digest = told.is_none_or(|told| told == format!("{:016x}", digest(body)));
    let start = format!("id={id}\n");
    is_digest && body.starts_with(start.as_bytes())
}
