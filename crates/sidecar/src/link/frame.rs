//! The messages between nodes.

use bytes::Bytes;
use cassiashunt_admit::chain_admission::Capacity;
use cassiashunt_suspect::{Fingerprint, message::News as Strikes};
use cassiashunt_types::prelude::*;

use crate::clock;

/// One message.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Frame {
    #[prost(
        oneof = "Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
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
    /// The dialler is still there; whether it wants a word in return.
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
    /// What the sender and those below it in the tree have and ask for.
    #[prost(message, tag = "14")]
    Up(Up),
    /// The answer to it.
    #[prost(message, tag = "15")]
    Down(Down),
    /// Asks for the changes of nodes' entries after this revision of the store.
    #[prost(uint64, tag = "16")]
    AskNews(u64),
    /// These changes.
    #[prost(message, tag = "17")]
    News(EntryNews),
    /// Deaths of servers, held against requests.
    #[prost(message, tag = "18")]
    Strikes(Strikes),
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
    /// The same for all attempts of one request.
    #[prost(fixed64, tag = "14")]
    pub(crate) fingerprint: u64,
}

impl WorkRequest {
    /// What it has in common with other attempts; nothing where the sender does not tell.
    pub(crate) fn fingerprint(&self) -> Option<Fingerprint> {
        (self.fingerprint != 0).then_some(Fingerprint(self.fingerprint))
    }
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
    /// The time that the server takes for its requests, over the mean of its service; zero where
    /// that is not known.
    #[prost(float, tag = "6")]
    pub(crate) pace: f32,
    /// The store's revision of the newest table that the node has read.
    #[prost(uint64, tag = "8")]
    pub(crate) table_revision: u64,
}

impl Load {
    /// What the server has and does; nothing where it takes no work.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        self.is_serving.then(|| Capacity {
            slots: f64::from(self.slots),
            busy: f64::from(self.busy),
        })
    }
}

/// What some nodes have and ask for.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SumRow {
    #[prost(uint32, tag = "1")]
    pub(crate) nodes: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) capacities: Vec<CapacityEntry>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) demand: Vec<DemandEntry>,
    /// What runs take and call, told less often than the rest.
    #[prost(message, optional, tag = "4")]
    pub(crate) uses: Option<UsesRow>,
}

/// What the owners of a service have and do.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CapacityEntry {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(float, tag = "2")]
    pub(crate) slots: f32,
    #[prost(float, tag = "3")]
    pub(crate) busy: f32,
}

/// What the runs at each service take and call.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsesRow {
    #[prost(message, repeated, tag = "1")]
    pub(crate) services: Vec<ServiceUses>,
}

/// What the runs at one service take and call.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ServiceUses {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) uses: Vec<RunUse>,
}

/// What the sender and those below it in the tree have and ask for, and a question.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Up {
    /// Nothing where the sender tells another node from now on.
    #[prost(message, optional, tag = "1")]
    pub(crate) sum: Option<SumRow>,
    /// The sender's time, in microseconds; it comes back with the answer.
    #[prost(uint64, tag = "2")]
    pub(crate) asked_us: u64,
    /// The sender is the head of another failure domain, and no child.
    #[prost(bool, tag = "3")]
    pub(crate) is_head: bool,
    /// Sums of heads of other failure domains that were told to the sender.
    #[prost(message, repeated, tag = "4")]
    pub(crate) origins: Vec<OriginRow>,
    #[prost(message, optional, tag = "5")]
    pub(crate) known: Option<Known>,
}

/// A sum of another failure domain, passed on.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OriginRow {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) age_us: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) sum: Option<SumRow>,
}

/// The answer to what a node told, or news without a question.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Down {
    /// What all but the receiver and those below it have and ask for; nothing for another head.
    #[prost(message, optional, tag = "1")]
    pub(crate) rest: Option<SumRow>,
    /// That the sender's table is the newest; only with an answer.
    #[prost(message, optional, tag = "2")]
    pub(crate) proof: Option<Proof>,
    #[prost(message, optional, tag = "3")]
    pub(crate) known: Option<Known>,
}

/// What a node has read in the store or heard from others, by the store's revisions.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Known {
    /// Of the newest table.
    #[prost(uint64, tag = "1")]
    pub(crate) table: u64,
    /// Up to which it knows all changes of entries.
    #[prost(uint64, tag = "2")]
    pub(crate) entries: u64,
    /// A digest of the strikes that it knows of.
    #[prost(fixed64, tag = "3")]
    pub(crate) strikes: u64,
}

/// Changes of nodes' entries.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryNews {
    #[prost(uint64, tag = "1")]
    pub(crate) at: u64,
    /// These are all entries; names that are not among them are gone.
    #[prost(bool, tag = "2")]
    pub(crate) is_all: bool,
    #[prost(message, repeated, tag = "3")]
    pub(crate) changes: Vec<EntryRow>,
}

/// A change of one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryRow {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// Nothing where the entry is gone.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub(crate) value: Option<Bytes>,
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
