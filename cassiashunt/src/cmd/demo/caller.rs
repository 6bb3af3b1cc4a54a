//! A caller of the demo's fleet.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde_json::Value;
use ureq::{Agent, Body, http::Response};

/// The longest time that a caller waits.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Numbers the idempotency keys of this process.
static NEXT_KEY: AtomicU64 = AtomicU64::new(1);

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// `GET /sections`.
    Read,
    /// `POST /sign-off`, which may run only once.
    SignOff,
}

impl Kind {
    /// Every third request is a sign-off.
    pub fn of(number: usize) -> Self {
        if number.is_multiple_of(3) {
            Self::SignOff
        } else {
            Self::Read
        }
    }

    /// The name of the class.
    pub const fn class(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::SignOff => "sign-off",
        }
    }
}

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Served,
    /// An answer by the system that says why.
    Refused {
        /// The reason code.
        reason: String,
        /// `not-run` or `may-have-run`.
        verdict: String,
        /// Whether it says when to come back.
        has_retry_after: bool,
    },
    /// An answer of the backend server that is no success.
    Failed(u16),
    /// The node takes no connections.
    NotConnected,
    /// The connection was cut or the answer not whole.
    CutOff(String),
}

/// One answer.
#[derive(Debug)]
pub struct Seen {
    /// What came of the request.
    pub outcome: Outcome,
    /// Whether the node closes the connection, so that the caller moves to another.
    pub closes: bool,
}

/// A caller with one key and connections of its own.
pub struct Caller {
    agent: Agent,
    credential: String,
}

impl Caller {
    /// A caller with `key`.
    pub fn new(key: &str) -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT));
        Self {
            agent: cfg.build().new_agent(),
            credential: format!("Bearer {key}"),
        }
    }

    /// Sends one request to a node.
    pub fn send(&self, addr: SocketAddr, kind: Kind) -> Seen {
        let sent = match kind {
            Kind::Read => self.read(addr),
            Kind::SignOff => self.sign_off(addr),
        };
        match sent {
            Ok(answer) => seen(answer),
            Err(err) => Seen {
                outcome: not_answered(&err),
                closes: true,
            },
        }
    }

    fn read(&self, addr: SocketAddr) -> Result<Response<Body>, ureq::Error> {
        let req = self.agent.get(format!("http://{addr}/sections"));
        req.header("Authorization", &self.credential).call()
    }

    fn sign_off(&self, addr: SocketAddr) -> Result<Response<Body>, ureq::Error> {
        let number = NEXT_KEY.fetch_add(1, Ordering::Relaxed);
        let req = self.agent.post(format!("http://{addr}/sign-off"));
        req.header("Authorization", &self.credential)
            .header("Idempotency-Key", format!("demo-{number}"))
            .send("section 7 is painted")
    }
}

fn not_answered(err: &ureq::Error) -> Outcome {
    match err {
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            Outcome::NotConnected
        }
        ureq::Error::ConnectionFailed => Outcome::NotConnected,
        err => Outcome::CutOff(err.to_string()),
    }
}

fn seen(mut answer: Response<Body>) -> Seen {
    let header = |name| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let closes = header("connection").as_deref() == Some("close");
    let verdict = header("cassiashunt-verdict");
    let has_retry_after = header("retry-after").is_some();
    let status = answer.status().as_u16();
    let outcome = match (answer.body_mut().read_to_vec(), verdict) {
        (Err(err), _) => Outcome::CutOff(err.to_string()),
        (Ok(body), Some(verdict)) => Outcome::Refused {
            reason: reason(&body),
            verdict,
            has_retry_after,
        },
        (Ok(_), None) if status == 200 => Outcome::Served,
        (Ok(_), None) => Outcome::Failed(status),
    };
    Seen { outcome, closes }
}

/// The reason code of a problem document.
fn reason(body: &[u8]) -> String {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    problem["code"].as_str().unwrap_or("unnamed").to_owned()
}
