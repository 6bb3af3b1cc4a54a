//! Requests to the backend server.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::Bytes;
use cassiashunt_resolve::IpResolver;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::HeaderLine;
use ureq::{
    Agent, Body, SendBody,
    http::{Request, Response, Uri},
    unversioned::transport::DefaultConnector,
};

use super::Job;
use crate::headers;

/// How long an unused connection to the server is kept.
const IDLE_AGE: Duration = Duration::from_secs(60);

/// The statuses of final answers (RFC 9110, section 15); after others, nobody knows what the server did.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// The backend server's HTTP side.
pub(crate) struct Backend {
    addr: SocketAddr,
    agent: Agent,
    connect: Duration,
}

/// What becomes of a request that got no answer from the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Failure {
    pub refusal: Refusal,
    /// Whether the server seems to have gone, rather than to be slow.
    pub is_broken: bool,
}

/// Headers that only the node sets.
pub(crate) struct Stamp {
    pub ticket: String,
    pub remaining: Duration,
}

impl Backend {
    pub(crate) fn new(addr: SocketAddr, connections: usize, connect: Duration) -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .user_agent("")
            .accept("")
            .accept_encoding("")
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .max_idle_age(IDLE_AGE)
            .timeout_connect(Some(connect))
            .build();
        Self {
            addr,
            agent: Agent::with_parts(cfg, DefaultConnector::default(), IpResolver),
            connect,
        }
    }

    /// Whether the server takes connections.
    pub(crate) fn is_listening(&self) -> bool {
        TcpStream::connect_timeout(&self.addr, self.connect).is_ok()
    }

    /// The status that the server's health endpoint gives.
    pub(crate) fn health(&self, path: &str) -> Option<u16> {
        let uri = format!("http://{}{path}", self.addr);
        let req = self
            .agent
            .get(uri)
            .config()
            .timeout_global(Some(self.connect))
            .build();
        req.call().ok().map(|answer| answer.status().as_u16())
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Not run only where no byte can have reached the server, or where the server says so.
    pub(crate) fn send(&self, job: &Job, stamp: &Stamp) -> Result<Response<Body>, Failure> {
        let req = self.request(job, stamp).map_err(|_| Failure {
            refusal: Refusal::not_run(Reason::BadRequest),
            is_broken: false,
        })?;
        let cfg = self.agent.configure_request(req);
        let req = cfg
            .timeout_global(Some(stamp.remaining))
            .allow_non_standard_methods(true)
            .build();
        let answer = self.agent.run(req).map_err(|err| failure(&err))?;
        if !FINAL_STATUSES.contains(&answer.status().as_u16()) {
            return Err(Failure {
                refusal: Refusal::may_have_run(Reason::Lost),
                is_broken: false,
            });
        }
        match own_refusal(&answer) {
            Some(refusal) => Err(Failure {
                refusal,
                is_broken: false,
            }),
            None => Ok(answer),
        }
    }

    fn request(
        &self,
        job: &Job,
        stamp: &Stamp,
    ) -> Result<Request<SendBody<'static>>, ureq::http::Error> {
        let uri: Uri = format!("http://{}{}", self.addr, job.target).parse()?;
        let mut req = Request::builder().method(job.method.as_str()).uri(uri);
        for line in &job.headers {
            req = req.header(&line.name, &line.value);
        }
        let remaining_ms = stamp.remaining.as_millis().to_string();
        req = req
            .header(headers::TIMEOUT, remaining_ms)
            .header(headers::CHAIN, job.chain.to_string())
            .header(headers::CLASS, job.class.as_str())
            .header(headers::TICKET, &stamp.ticket);
        if let Some(workspace) = job.workspace {
            req = req.header(headers::WORKSPACE, workspace.as_str());
        }
        if !job.idempotency_key.is_empty() {
            req = req.header(headers::IDEMPOTENCY_KEY, &job.idempotency_key);
        }
        req.body(send_body(&job.body))
    }
}

fn send_body(body: &Bytes) -> SendBody<'static> {
    if body.is_empty() {
        return SendBody::none();
    }
    SendBody::from_owned_reader(io::Cursor::new(body.clone()))
}

/// Headers of the server's answer that go on to the caller.
pub(crate) fn answer_headers(answer: &Response<Body>) -> Vec<HeaderLine> {
    let lines = answer.headers().iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(HeaderLine {
            name: name.as_str().to_owned(),
            value,
        })
    });
    let options = || {
        let values = answer.headers().get_all("connection").iter();
        let values = values.filter_map(|value| value.to_str().ok());
        values.flat_map(|value| value.split(','))
    };
    lines
        .filter(|line| !headers::is_for_connection(&line.name, options()))
        .collect()
}

/// Reads one piece of a body; an empty one is its end.
pub(crate) fn read_piece(reader: &mut impl Read, bytes: usize) -> io::Result<Bytes> {
    let mut buf = vec![0; bytes];
    let mut filled = 0;
    while filled < bytes {
        match reader.read(&mut buf[filled..])? {
            0 => break,
            len => filled += len,
        }
    }
    buf.truncate(filled);
    Ok(buf.into())
}

/// A refusal by the server itself, which it marks as not run.
fn own_refusal(answer: &Response<Body>) -> Option<Refusal> {
    let verdict = answer.headers().get(headers::VERDICT)?;
    let retry_after = answer.headers().get("retry-after");
    let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let refusal = Refusal::not_run(Reason::ServerRefused);
    let refusal = match seconds {
        Some(seconds) => refusal.retry_after(Duration::from_secs(seconds)),
        None => refusal,
    };
    (verdict == Verdict::NotRun.as_str()).then_some(refusal)
}

fn failure(err: &ureq::Error) -> Failure {
    let refused = |is_broken| Failure {
        refusal: Refusal::not_run(Reason::NoServer),
        is_broken,
    };
    match err {
        ureq::Error::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused => refused(true),
        ureq::Error::ConnectionFailed => refused(true),
        ureq::Error::Timeout(ureq::Timeout::Connect) => refused(false),
        ureq::Error::Timeout(_) => Failure {
            refusal: Refusal::may_have_run(Reason::Deadline),
            is_broken: false,
        },
        _ => Failure {
            refusal: Refusal::may_have_run(Reason::Lost),
            is_broken: true,
        },
    }
}
