//! The messages between nodes.

use bytes::Bytes;
use cassiashunt_types::prelude::*;

use crate::clock;

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Frame {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub(crate) kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Kind {
    /// Who dialled; the first message on a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A request for the owner's backend server.
    #[prost(message, tag = "2")]
    Request(WorkRequest),
    /// The request with this id is of no use any more.
    #[prost(uint64, tag = "3")]
    Cancel(u64),
    /// How a request ended.
    #[prost(message, tag = "4")]
    Ended(Ended),
    /// How loaded the owner is.
    #[prost(message, tag = "5")]
    Load(Load),
    /// A node is short of tokens of a workspace.
    #[prost(message, tag = "6")]
    AskTokens(AskTokens),
    /// Tokens handed over.
    #[prost(message, tag = "7")]
    GiveTokens(GiveTokens),
    /// The dialler is still there.
    #[prost(bool, tag = "8")]
    Ping(bool),
    /// A node's shares of limits are the home's for a moment.
    #[prost(message, tag = "9")]
    Delegate(Delegate),
    /// Asks for the peer's proof that its table is the newest; the asker's time, in microseconds.
    #[prost(uint64, tag = "10")]
    AskProof(u64),
    /// The peer's proof.
    #[prost(message, tag = "11")]
    Proof(Proof),
    /// Asks for the operators' table.
    #[prost(bool, tag = "12")]
    AskTable(bool),
    /// The operators' table as the peer has read it.
    #[prost(message, tag = "13")]
    Table(Table),
}

impl From<Kind> for Frame {
    fn from(kind: Kind) -> Self {
        Self { kind: Some(kind) }
    }
}

/// Who dialled.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Hello {
    #[prost(uint64, tag = "1")]
    pub(crate) incarnation: u64,
    #[prost(string, tag = "2")]
    pub(crate) name: String,
}

/// A header field.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Field {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(string, tag = "2")]
    pub(crate) value: String,
}

/// A request for the owner's backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WorkRequest {
    /// Unique on its connection.
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// The client's id of this attempt, for logs and to tell answers apart.
    #[prost(string, tag = "2")]
    pub(crate) attempt: String,
    #[prost(string, tag = "3")]
    pub(crate) method: String,
    #[prost(string, tag = "4")]
    pub(crate) target: String,
    #[prost(message, repeated, tag = "5")]
    pub(crate) headers: Vec<Field>,
    #[prost(bytes = "bytes", tag = "6")]
    pub(crate) body: Bytes,
    /// What is left of the deadline, in microseconds.
    #[prost(uint64, tag = "7")]
    pub(crate) left_us: u64,
    /// A higher one is shed later.
    #[prost(uint32, tag = "8")]
    pub(crate) priority: u32,
    /// Zero for a client's request, one for a backend server's own call.
    #[prost(uint32, tag = "9")]
    pub(crate) depth: u32,
    #[prost(string, tag = "10")]
    pub(crate) route: String,
    /// Empty for none.
    #[prost(string, tag = "11")]
    pub(crate) workspace: String,
    /// The service that the request is for.
    #[prost(string, tag = "12")]
    pub(crate) service: String,
    /// In which time it starts or is refused, in microseconds; zero for its whole deadline.
    #[prost(uint64, tag = "13")]
    pub(crate) start_left_us: u64,
}

/// How a request ended.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Ended {
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) answer: Option<Answer>,
    /// The number of the reason, where there is no answer.
    #[prost(uint32, tag = "3")]
    pub(crate) reason: u32,
    #[prost(bool, tag = "4")]
    pub(crate) may_have_run: bool,
    #[prost(uint64, tag = "5")]
    pub(crate) retry_after_us: u64,
    /// The owner's load, and how much its server fails.
    #[prost(uint32, tag = "6")]
    pub(crate) report: u32,
}

/// The backend server's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Answer {
    #[prost(uint32, tag = "1")]
    pub(crate) status: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) headers: Vec<Field>,
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) body: Bytes,
}

/// How loaded an owner is, and what its backend server is ready for.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Load {
    #[prost(uint32, tag = "1")]
    pub(crate) report: u32,
    /// Whether the owner takes new work.
    #[prost(bool, tag = "2")]
    pub(crate) is_serving: bool,
    #[prost(string, tag = "3")]
    pub(crate) service: String,
    #[prost(uint32, tag = "4")]
    pub(crate) slots: u32,
    /// Requests that run or wait.
    #[prost(uint32, tag = "5")]
    pub(crate) busy: u32,
    /// What the node's clients ask for.
    #[prost(message, repeated, tag = "6")]
    pub(crate) demand: Vec<DemandEntry>,
    /// What the server's runs take and call; only in one of several messages.
    #[prost(message, repeated, tag = "7")]
    pub(crate) uses: Vec<RunUse>,
    /// The store's revision of the newest table that the node has read.
    #[prost(uint64, tag = "8")]
    pub(crate) table_revision: u64,
}

/// What clients ask of a service at a priority.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DemandEntry {
    #[prost(uint32, tag = "1")]
    pub(crate) priority: u32,
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    #[prost(float, tag = "3")]
    pub(crate) slots: f32,
}

/// What the runs of a route take and call.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RunUse {
    #[prost(string, tag = "1")]
    pub(crate) route: String,
    #[prost(float, tag = "2")]
    pub(crate) runs_per_s: f32,
    #[prost(float, tag = "3")]
    pub(crate) slot_s: f32,
    #[prost(message, repeated, tag = "4")]
    pub(crate) calls: Vec<CallCount>,
}

/// How often a run calls a route.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CallCount {
    #[prost(string, tag = "1")]
    pub(crate) route: String,
    #[prost(float, tag = "2")]
    pub(crate) per_run: f32,
}

/// A node's shares of the limits of those workspaces whose home, among these, is the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Delegate {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(float, tag = "2")]
    pub(crate) share: f32,
    #[prost(string, repeated, tag = "3")]
    pub(crate) homes: Vec<String>,
}

/// That no table newer than this revision was accepted up to an age before the message was made.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Proof {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) age_us: u64,
    /// The time that came with the question, by the asker's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) asked_us: u64,
}

/// The operators' table as it was read from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Table {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) value: Bytes,
}

/// A node is short of tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AskTokens {
    #[prost(string, tag = "1")]
    pub(crate) workspace: String,
    #[prost(uint32, tag = "2")]
    pub(crate) wanted: u32,
}

/// Tokens handed over; none where the giver has none to spare.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GiveTokens {
    #[prost(string, tag = "1")]
    pub(crate) workspace: String,
    #[prost(uint32, tag = "2")]
    pub(crate) tokens: u32,
}

/// How a request ended, at its owner.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    /// The backend server's answer.
    Answered(Answer),
    /// It got none; the refusal tells whether the request may have run.
    Refused(Refusal),
}

impl Outcome {
    /// The message about the request with this id.
    pub(crate) fn into_ended(self, id: u64, report: u32) -> Ended {
        match self {
            Self::Answered(answer) => Ended {
                id,
                answer: Some(answer),
                report,
                ..Ended::default()
            },
            Self::Refused(refusal) => Ended {
                id,
                reason: refusal.reason.number(),
                may_have_run: refusal.verdict == Verdict::MayHaveRun,
                retry_after_us: refusal.retry_after.map_or(0, clock::micros),
                report,
                ..Ended::default()
            },
        }
    }

    /// What the message says. A reason that isn't known counts as lost.
    pub(crate) fn from_ended(ended: Ended) -> Self {
        if let Some(answer) = ended.answer {
            return Self::Answered(answer);
        }
        let reason = Reason::from_number(ended.reason).unwrap_or(Reason::Lost);
        let refusal = if ended.may_have_run {
            Refusal::may_have_run(reason)
        } else {
            Refusal::not_run(reason)
        };
        let after = Duration::from_micros(ended.retry_after_us);
        Self::Refused(if after.is_zero() {
            refusal
        } else {
            refusal.retry_after(after)
        })
    }
}
