//! The Protobuf messages that nodes exchange.

use bytes::Bytes;
use cassiashunt_admit::chain_admission::Capacity;
use cassiashunt_mesh::{EvacuationChange, KnownTable, StoreRevision};
use cassiashunt_suspect::{Fingerprint, message::StrikeUpdate as Strikes};
use cassiashunt_types::prelude::*;

use crate::clock;

/// The envelope of every message.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Frame {
    #[prost(
        oneof = "Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20"
    )]
    pub(crate) kind: Option<Kind>,
}

/// The content of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Kind {
    /// Identifies the dialling node; the first message on a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A request for the owner's backend server.
    #[prost(message, tag = "2")]
    Request(WorkRequest),
    /// Cancels the request with this id. Its outcome is still sent.
    #[prost(uint64, tag = "3")]
    Cancel(u64),
    /// How a request ended.
    #[prost(message, tag = "4")]
    Ended(Ended),
    /// The load report of the sender.
    #[prost(message, tag = "5")]
    Load(Load),
    /// Asks for rate-limit tokens of a workspace.
    #[prost(message, tag = "6")]
    AskTokens(AskTokens),
    /// The tokens handed over in answer to `AskTokens`.
    #[prost(message, tag = "7")]
    GiveTokens(GiveTokens),
    /// Keepalive from the dialling node; true asks for a load report in return.
    #[prost(bool, tag = "8")]
    Ping(bool),
    /// Delegates the sender's shares of limits to their homes for a short time.
    #[prost(message, tag = "9")]
    Delegate(Delegate),
    /// Asks for the peer's proof that its table is the newest; holds the asker's time, in
    /// microseconds.
    #[prost(uint64, tag = "10")]
    AskProof(u64),
    /// The proof that `AskProof` asked for.
    #[prost(message, tag = "11")]
    Proof(Proof),
    /// Asks for the operators' table.
    #[prost(bool, tag = "12")]
    AskTable(bool),
    /// The operators' table as the sender read it from the store.
    #[prost(message, tag = "13")]
    Table(Table),
    /// Capacity and demand of the sender's subtree, sent to its parent or to other heads.
    #[prost(message, tag = "14")]
    Up(Up),
    /// The answer to `Up`, or an update sent without one.
    #[prost(message, tag = "15")]
    Down(Down),
    /// Asks for the changes of nodes' entries after this revision of the store's first era.
    #[prost(uint64, tag = "16")]
    AskEntries(u64),
    /// The changes that `AskEntries` asked for.
    #[prost(message, tag = "17")]
    Entries(EntryChanges),
    /// Strikes: server crashes that count against requests.
    #[prost(message, tag = "18")]
    Strikes(Strikes),
    /// The last frame of an accepting node that stops. A request without an outcome before it was
    /// not run and never will be.
    #[prost(bool, tag = "19")]
    GoAway(bool),
    /// Asks for the changes of nodes' entries after this position in a later era of the store.
    #[prost(message, tag = "20")]
    AskEntriesOfEra(StorePosition),
}

impl Kind {
    /// Asks for the changes of nodes' entries after this position of the store.
    pub(crate) fn ask_entries(since: StoreRevision) -> Self {
        match since {
            StoreRevision { era: 0, revision } => Self::AskEntries(revision.0),
            StoreRevision { era, revision } => Self::AskEntriesOfEra(StorePosition {
                era,
                revision: revision.0,
            }),
        }
    }
}

impl From<Kind> for Frame {
    fn from(kind: Kind) -> Self {
        Self { kind: Some(kind) }
    }
}

/// Identifies the sending node; the first frame on a connection, in both directions.
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
    /// The client's id of this attempt, for logs and to distinguish answers.
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
    /// The time remaining until the deadline, in microseconds.
    #[prost(uint64, tag = "7")]
    pub(crate) remaining_us: u64,
    /// Lower priorities are shed first.
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
    /// The time within which it starts or is refused, in microseconds; zero for its whole deadline.
    #[prost(uint64, tag = "13")]
    pub(crate) start_within_us: u64,
    /// Equal for all attempts of one request; zero where the sender does not give it.
    #[prost(fixed64, tag = "14")]
    pub(crate) fingerprint: u64,
    /// The run is a repeat, or a call of one: its calls count as repeats too.
    #[prost(bool, tag = "20")]
    pub(crate) is_repeat: bool,
}

impl WorkRequest {
    /// The fingerprint shared by all attempts; `None` where the sender does not give it.
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
    /// The owner's load and its server's failure rate, as the bits of an `OwnerReport`.
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

/// The load report of an owner, with the state of its backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Load {
    #[prost(uint32, tag = "1")]
    pub(crate) report: u32,
    /// Whether the owner accepts new requests.
    #[prost(bool, tag = "2")]
    pub(crate) is_serving: bool,
    #[prost(string, tag = "3")]
    pub(crate) service: String,
    #[prost(uint32, tag = "4")]
    pub(crate) slots: u32,
    /// Requests that run or are queued.
    #[prost(uint32, tag = "5")]
    pub(crate) busy: u32,
    /// The server's service time divided by the mean of its service; zero where unknown.
    #[prost(float, tag = "6")]
    pub(crate) pace: f32,
    /// The store's revision of the newest table that the node has read.
    #[prost(uint64, tag = "8")]
    pub(crate) table_revision: u64,
    /// The store's era of that revision.
    #[prost(uint64, tag = "9")]
    pub(crate) table_era: u64,
    /// The version of the table in force; zero before the first.
    #[prost(uint64, tag = "10")]
    pub(crate) table_version: u64,
}

impl Load {
    /// Which table the sender has.
    pub(crate) fn known_table(&self) -> KnownTable {
        KnownTable {
            at: StoreRevision::new(self.table_era, Revision(self.table_revision)),
            version: self.table_version,
            ..KnownTable::default()
        }
    }

    /// The server's slots and how many are busy; `None` where it accepts no requests.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        self.is_serving.then(|| Capacity {
            slots: f64::from(self.slots),
            busy: f64::from(self.busy),
        })
    }
}

/// Capacity and demand summed over some nodes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SumRow {
    #[prost(uint32, tag = "1")]
    pub(crate) nodes: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) capacities: Vec<CapacityEntry>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) demand: Vec<DemandEntry>,
    /// Cost and calls of runs; sent less often than the other fields.
    #[prost(message, optional, tag = "4")]
    pub(crate) uses: Option<UsesRow>,
    #[prost(message, repeated, tag = "20")]
    pub(crate) tries: Vec<TriesEntry>,
}

/// The tries at a service, and the repeats that the budgets of some nodes allow there.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct TriesEntry {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(float, tag = "2")]
    pub(crate) passed: f32,
    #[prost(float, tag = "3")]
    pub(crate) failed: f32,
    #[prost(float, tag = "4")]
    pub(crate) repeats_limit: f32,
    #[prost(float, tag = "5")]
    pub(crate) repeats_left: f32,
    /// In the window, half a window earlier and a window earlier.
    #[prost(float, repeated, tag = "6")]
    pub(crate) first_tries: Vec<f32>,
    #[prost(float, tag = "7")]
    pub(crate) most_first_tries: f32,
}

/// The slots of a service's owners, and how many are busy.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CapacityEntry {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(float, tag = "2")]
    pub(crate) slots: f32,
    #[prost(float, tag = "3")]
    pub(crate) busy: f32,
}

/// Cost and calls of the runs at each service.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsesRow {
    #[prost(message, repeated, tag = "1")]
    pub(crate) services: Vec<ServiceUses>,
}

/// Cost and calls of the runs at one service.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ServiceUses {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(message, repeated, tag = "2")]
    pub(crate) uses: Vec<RunUse>,
}

/// Capacity and demand of the sender's subtree; asks for a `Down` in return.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Up {
    /// `None` where the sender reports to another node from now on.
    #[prost(message, optional, tag = "1")]
    pub(crate) sum: Option<SumRow>,
    /// The sender's time, in microseconds; the answer returns it.
    #[prost(uint64, tag = "2")]
    pub(crate) asked_us: u64,
    /// The sender is the head of another failure domain, not a child.
    #[prost(bool, tag = "3")]
    pub(crate) is_head: bool,
    /// Sums that the sender received from heads of other failure domains.
    #[prost(message, repeated, tag = "4")]
    pub(crate) origins: Vec<OriginRow>,
    #[prost(message, optional, tag = "5")]
    pub(crate) known: Option<KnownState>,
    /// The last known changes of evacuations.
    #[prost(message, repeated, tag = "30")]
    pub(crate) evacuations: Vec<EvacuationRow>,
}

/// A relayed sum of another failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OriginRow {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) age_us: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) sum: Option<SumRow>,
}

/// The answer to `Up`, or an update sent without one.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Down {
    /// Capacity and demand outside the receiver's subtree; `None` for another head.
    #[prost(message, optional, tag = "1")]
    pub(crate) others: Option<SumRow>,
    /// Proof that the sender's table is the newest; only in an answer.
    #[prost(message, optional, tag = "2")]
    pub(crate) proof: Option<Proof>,
    #[prost(message, optional, tag = "3")]
    pub(crate) known: Option<KnownState>,
    /// The last known changes of evacuations.
    #[prost(message, repeated, tag = "30")]
    pub(crate) evacuations: Vec<EvacuationRow>,
}

/// The last change of the evacuation of a failure domain.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EvacuationRow {
    #[prost(string, tag = "1")]
    pub(crate) domain: String,
    #[prost(uint64, tag = "2")]
    pub(crate) era: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
    #[prost(bool, tag = "4")]
    pub(crate) is_evacuated: bool,
}

impl From<EvacuationChange> for EvacuationRow {
    fn from(change: EvacuationChange) -> Self {
        Self {
            domain: change.domain.to_string(),
            era: change.at.era,
            revision: change.at.revision.0,
            is_evacuated: change.is_evacuated,
        }
    }
}

impl From<&EvacuationRow> for EvacuationChange {
    fn from(row: &EvacuationRow) -> Self {
        Self {
            domain: FailureDomain::of_name(&row.domain),
            at: StoreRevision::new(row.era, Revision(row.revision)),
            is_evacuated: row.is_evacuated,
        }
    }
}

/// Which state a node holds, read from the store or received from peers. Nodes compare it to find
/// out which of them needs an update.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct KnownState {
    /// The store's revision of the newest table.
    #[prost(uint64, tag = "1")]
    pub(crate) table: u64,
    /// The store's revision up to which all changes of entries are known.
    #[prost(uint64, tag = "2")]
    pub(crate) entries: u64,
    /// A digest of the known strikes.
    #[prost(fixed64, tag = "3")]
    pub(crate) strikes: u64,
    /// The store's era of `table`.
    #[prost(uint64, tag = "4")]
    pub(crate) table_era: u64,
    /// The store's era of `entries`.
    #[prost(uint64, tag = "5")]
    pub(crate) entries_era: u64,
    /// The version of the table in force; zero before the first. The store may have lost it.
    #[prost(uint64, tag = "6")]
    pub(crate) table_version: u64,
}

impl KnownState {
    /// Which table the sender has.
    pub(crate) fn known_table(&self) -> KnownTable {
        KnownTable {
            at: StoreRevision::new(self.table_era, Revision(self.table)),
            version: self.table_version,
            ..KnownTable::default()
        }
    }

    /// The store's position up to which the sender knows all changes of entries.
    pub(crate) fn known_entries(&self) -> StoreRevision {
        StoreRevision::new(self.entries_era, Revision(self.entries))
    }
}

/// Changes of nodes' entries in the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryChanges {
    /// The store's revision after these changes.
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    /// The list is complete: entries that it does not name no longer exist.
    #[prost(bool, tag = "2")]
    pub(crate) is_full: bool,
    #[prost(message, repeated, tag = "3")]
    pub(crate) changes: Vec<EntryRow>,
    /// The store's era of all revisions of this message.
    #[prost(uint64, tag = "4")]
    pub(crate) era: u64,
}

/// A revision of the store in one of its eras.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct StorePosition {
    #[prost(uint64, tag = "1")]
    pub(crate) era: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
}

/// A change of one entry.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct EntryRow {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// `None` where the entry was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub(crate) value: Option<Bytes>,
}

/// Clients' demand on a service at one priority, in slots.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct DemandEntry {
    #[prost(uint32, tag = "1")]
    pub(crate) priority: u32,
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    #[prost(float, tag = "3")]
    pub(crate) slots: f32,
}

/// Cost and calls of the runs of one route.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RunUse {
    #[prost(string, tag = "1")]
    pub(crate) route: String,
    #[prost(float, tag = "2")]
    pub(crate) runs_per_s: f32,
    /// The time that a run holds a slot, in seconds.
    #[prost(float, tag = "3")]
    pub(crate) slot_s: f32,
    #[prost(message, repeated, tag = "4")]
    pub(crate) calls: Vec<CallCount>,
}

/// The mean number of calls that a run makes to a route.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CallCount {
    #[prost(string, tag = "1")]
    pub(crate) route: String,
    #[prost(float, tag = "2")]
    pub(crate) per_run: f32,
}

/// A node's shares of the limits of the workspaces whose home, among `homes`, is the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Delegate {
    #[prost(string, tag = "1")]
    pub(crate) node: String,
    #[prost(float, tag = "2")]
    pub(crate) share: f32,
    #[prost(string, repeated, tag = "3")]
    pub(crate) homes: Vec<String>,
}

/// States that the store had accepted no table newer than `revision` at `age_us` before the message
/// was sent.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Proof {
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) age_us: u64,
    /// The time that the request stated, by the asker's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) asked_us: u64,
    /// The store's era of `revision`.
    #[prost(uint64, tag = "4")]
    pub(crate) era: u64,
    /// The version of the sender's table in force. The store may have lost it.
    #[prost(uint64, tag = "5")]
    pub(crate) version: u64,
}

impl Proof {
    /// The table that the sender proves.
    pub(crate) fn known_table(&self) -> KnownTable {
        KnownTable {
            at: StoreRevision::new(self.era, Revision(self.revision)),
            version: self.version,
            ..KnownTable::default()
        }
    }
}

/// The operators' table as it was read from the store.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Table {
    /// The store had no newer table than this one up to this revision, unless it had lost this one.
    #[prost(uint64, tag = "1")]
    pub(crate) revision: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) value: Bytes,
    /// The store's era of `revision`.
    #[prost(uint64, tag = "3")]
    pub(crate) era: u64,
    /// The operators' version of the table; zero where it can't be decoded.
    #[prost(uint64, tag = "4")]
    pub(crate) version: u64,
}

impl Table {
    /// The store's position up to which the sender compared this table with the store's.
    pub(crate) fn at(&self) -> StoreRevision {
        StoreRevision::new(self.era, Revision(self.revision))
    }

    pub(crate) fn set_at(&mut self, at: StoreRevision) {
        (self.era, self.revision) = (at.era, at.revision.0);
    }
}

/// A node's request for rate-limit tokens that it lacks.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AskTokens {
    #[prost(string, tag = "1")]
    pub(crate) workspace: String,
    #[prost(uint32, tag = "2")]
    pub(crate) wanted: u32,
}

/// The tokens handed over; zero where the giver has none to spare.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GiveTokens {
    #[prost(string, tag = "1")]
    pub(crate) workspace: String,
    #[prost(uint32, tag = "2")]
    pub(crate) tokens: u32,
}

/// How a request ended at its owner.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    /// The backend server's answer.
    Answered(Answer),
    /// No answer; the refusal states whether the request may have run.
    Refused(Refusal),
}

impl Outcome {
    /// The message that reports this outcome of the request `id`.
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

    /// Reads an outcome from its message. An unknown reason number is read as `Reason::Lost`.
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
