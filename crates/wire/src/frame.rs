//! The messages of one request between an ingress node and an owning node.

use cassiashunt_types::{Reason, Refusal, Verdict, prelude::Duration};
use prost::{Message, Oneof};

/// One message about one request.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The request's number, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// What is said about it.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A request starts.
    #[prost(message, tag = "2")]
    Begin(Box<Begin>),
    /// A piece of a body, of the request or of the answer.
    #[prost(message, tag = "3")]
    Chunk(Chunk),
    /// The body is complete.
    #[prost(message, tag = "4")]
    End(End),
    /// The answer's status and headers.
    #[prost(message, tag = "5")]
    Head(Head),
    /// The request is refused or failed.
    #[prost(message, tag = "6")]
    Refused(Refused),
    /// The asking side no longer wants the answer.
    #[prost(message, tag = "7")]
    Cancel(Cancel),
    /// The asking side wants a value of the configuration.
    #[prost(message, tag = "8")]
    Fetch(Fetch),
    /// The accepting side reads no further request on this connection.
    #[prost(message, tag = "9")]
    GoAway(GoAway),
}

/// A request as its owning node needs it.
#[derive(Clone, PartialEq, Message)]
pub struct Begin {
    /// The chain that the request belongs to.
    #[prost(uint64, tag = "1")]
    pub chain: u64,
    /// Calls between the caller's request and this one.
    #[prost(uint32, tag = "2")]
    pub depth: u32,
    /// The workspace that the key belongs to; empty on an open route without a key.
    #[prost(string, tag = "3")]
    pub workspace: String,
    /// The route's name.
    #[prost(string, tag = "4")]
    pub route: String,
    /// The class of the request.
    #[prost(string, tag = "5")]
    pub class: String,
    /// Time left until the deadline, in microseconds.
    #[prost(uint64, tag = "6")]
    pub remaining_us: u64,
    /// Retries that the request's own calls may use.
    #[prost(uint32, tag = "7")]
    pub retries: u32,
    /// The HTTP method.
    #[prost(string, tag = "8")]
    pub method: String,
    /// Path and query, without any key.
    #[prost(string, tag = "9")]
    pub target: String,
    /// Headers to hand on.
    #[prost(message, repeated, tag = "10")]
    pub headers: Vec<HeaderLine>,
    /// The caller's key id; zero on an open route without a key.
    #[prost(uint64, tag = "11")]
    pub key: u64,
    /// The table revision that the ingress node decided by.
    #[prost(uint64, tag = "12")]
    pub revision: u64,
    /// The caller's idempotency key; empty where none came.
    #[prost(string, tag = "13")]
    pub idempotency_key: String,
    /// Whether the request is to run at most once.
    #[prost(bool, tag = "14")]
    pub runs_once: bool,
    /// Fingerprint of workspace, route and body.
    #[prost(uint64, tag = "16")]
    pub fingerprint: u64,
    /// Whether the ingress node suspects the request of crashing servers.
    #[prost(bool, tag = "17")]
    pub is_suspect: bool,
    /// The priority of the chain; a call is never shed before what it is a part of.
    #[prost(uint32, tag = "18")]
    pub priority: u32,
}

/// One HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderLine {
    /// The header's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The header's value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// A piece of a body.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: bytes::Bytes,
}

/// The end of a body.
#[derive(Clone, PartialEq, Message)]
pub struct End {
    /// Bytes in the whole body.
    #[prost(uint64, tag = "1")]
    pub body_len: u64,
    /// Retries that were handed along and not used.
    #[prost(uint32, tag = "2")]
    pub unused_retries: u32,
    /// The owner's shedding level and load after the request, packed.
    #[prost(uint32, tag = "3")]
    pub signal: u32,
    /// Services that the request's own calls went to, at any depth.
    #[prost(string, repeated, tag = "4")]
    pub visited: Vec<String>,
    /// With the table: the newest line of its history that is known to have been accepted.
    #[prost(fixed64, optional, tag = "5")]
    pub accepted_line: Option<u64>,
    /// With the table: whether the body holds only the records after the known line.
    #[prost(bool, tag = "6")]
    pub is_records: bool,
}

/// Status and headers of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderLine>,
}

/// A refusal or a failure.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// [`Reason::number`] of the reason.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// Whether the request may have run.
    #[prost(bool, tag = "2")]
    pub may_have_run: bool,
    /// Milliseconds after which coming back may help; zero for none.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Retries that were handed along and not used.
    #[prost(uint32, tag = "4")]
    pub unused_retries: u32,
    /// The owner's shedding level and load, packed; `None` where there is no owner to tell it.
    #[prost(uint32, optional, tag = "5")]
    pub signal: Option<u32>,
    /// Where the server died with the request in flight: the strike against it, encoded.
    #[prost(bytes = "vec", tag = "6")]
    pub strike: Vec<u8>,
}

/// The asking side has given the request up.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Cancel {}

/// The last frame of an accepting side that stops: what it has not answered before, it has not read.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct GoAway {}

/// A value of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ValueKind {
    /// The table's head.
    Table = 0,
    /// The control value.
    Control = 1,
}

/// The question for a value of the configuration; the answer is a body without a head.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Fetch {
    /// Which value.
    #[prost(enumeration = "ValueKind", tag = "1")]
    pub kind: i32,
    /// The line of history that the asking side has; absent where it wants the whole value.
    #[prost(fixed64, optional, tag = "2")]
    pub known_line: Option<u64>,
}

impl Frame {
    /// A frame about `request`.
    #[must_use]
    pub fn new(request: u64, body: Body) -> Self {
        Self {
            request,
            body: Some(body),
        }
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        let retry_after = refusal.retry_after.unwrap_or_default();
        Self {
            reason: refusal.reason.number(),
            may_have_run: refusal.verdict == Verdict::MayHaveRun,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            unused_retries: 0,
            signal: None,
            strike: Vec::new(),
        }
    }
}

impl From<&Refused> for Refusal {
    /// A reason that this version does not know reads as [`Reason::Lost`].
    fn from(refused: &Refused) -> Self {
        let verdict = if refused.may_have_run {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        let retry_after = Duration::from_millis(refused.retry_after_ms);
        Self {
            verdict,
            reason: Reason::from_number(refused.reason).unwrap_or(Reason::Lost),
            retry_after: Some(retry_after).filter(|span| !span.is_zero()),
        }
    }
}
