//! Messages between clients, homes and backups.

use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, ShardId, Time, Verdict};

use crate::{
    Answer, Attempt, Key,
    record::{Record, State},
};

/// The largest message that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// No message is larger, in bytes: an answer and its frame.
pub const MAX_MESSAGE_BYTES: usize = crate::MAX_ANSWER_BYTES + 512;

/// A message of one shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The shard.
    #[prost(uint64, tag = "1")]
    pub shard: u64,
    /// The shard's epoch, as the sender knows it.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// What it says.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// From a client to a home.
    #[prost(message, tag = "3")]
    Ask(Ask),
    /// From a home to a client.
    #[prost(message, tag = "4")]
    Reply(Reply),
    /// From a home to its backup.
    #[prost(message, tag = "5")]
    Copy(Copy),
    /// From a backup to its home.
    #[prost(message, tag = "6")]
    Copied(Copied),
}

/// A key on the wire.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireKey {
    /// The workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The key's digest.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The epoch under which it was issued.
    #[prost(uint64, optional, tag = "3")]
    pub issued: Option<u64>,
}

/// An attempt on the wire.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireAttempt {
    /// The node that would hand the request over.
    #[prost(fixed64, tag = "1")]
    pub owner: u64,
    /// That node's number of the attempt.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// A client's question or news.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The key.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// The attempt.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<WireAttempt>,
    /// A hash of what the request consists of.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// What it is about.
    #[prost(oneof = "AskBody", tags = "4, 5, 6")]
    pub body: Option<AskBody>,
}

/// What a client says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum AskBody {
    /// May the attempt run?
    #[prost(message, tag = "4")]
    Begin(Begin),
    /// The attempt did not run and never will.
    #[prost(message, tag = "5")]
    Release(Release),
    /// The attempt ended.
    #[prost(message, tag = "6")]
    Finish(WireAnswer),
}

/// May the attempt run?
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Begin {
    /// The client's clock in microseconds; comes back with the permit.
    #[prost(uint64, tag = "1")]
    pub asked_micros: u64,
    /// Microseconds until the request's deadline.
    #[prost(uint64, tag = "2")]
    pub remaining_micros: u64,
}

/// The attempt did not run and never will.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Release {}

/// What is known of an answer: `kept`, or too large, or (with neither) unknown.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireAnswer {
    /// The answer.
    #[prost(bytes = "vec", optional, tag = "1")]
    pub kept: Option<Vec<u8>>,
    /// There was one, too large to keep.
    #[prost(bool, tag = "2")]
    pub is_too_large: bool,
}

/// A home's answer to a client.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// The number of the attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What it says.
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5")]
    pub body: Option<ReplyBody>,
}

/// What a home answers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplyBody {
    /// The attempt may run.
    #[prost(message, tag = "2")]
    Permit(Permit),
    /// An earlier request with the key ran and got this answer.
    #[prost(bytes = "vec", tag = "3")]
    Stored(Vec<u8>),
    /// The attempt may not run.
    #[prost(message, tag = "4")]
    Refused(Refused),
    /// The news of the attempt has been taken in.
    #[prost(message, tag = "5")]
    Ack(Ack),
}

/// The attempt may run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Permit {
    /// The client's clock when it asked, in microseconds.
    #[prost(uint64, tag = "1")]
    pub asked_micros: u64,
    /// Microseconds on the client's clock, from when it asked, within which the run must begin.
    #[prost(uint64, tag = "2")]
    pub validity_micros: u64,
}

/// The attempt may not run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Refused {
    /// The number of the reason.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// Whether an earlier request with the key may have run.
    #[prost(bool, tag = "2")]
    pub may_have_run: bool,
    /// Microseconds after which coming back may help.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_micros: Option<u64>,
}

/// The news of the attempt has been taken in.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ack {}

/// A home's message to its backup.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Copy {
    /// The home's node.
    #[prost(fixed64, tag = "1")]
    pub primary: u64,
    /// What it says.
    #[prost(oneof = "CopyBody", tags = "2, 3")]
    pub body: Option<CopyBody>,
}

/// What a home tells its backup.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum CopyBody {
    /// A record.
    #[prost(message, tag = "2")]
    Record(WireRecord),
    /// Every record that the epoch began with has been copied.
    #[prost(message, tag = "3")]
    Complete(Complete),
}

/// A record on the wire.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireRecord {
    /// The home's number of this state of the record; grows.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The key.
    #[prost(message, optional, tag = "2")]
    pub key: Option<WireKey>,
    /// A hash of what the request consists of.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// The last attempt.
    #[prost(message, optional, tag = "4")]
    pub attempt: Option<WireAttempt>,
    /// Whether the attempt surely did not run.
    #[prost(bool, tag = "5")]
    pub is_released: bool,
    /// How the attempt ended.
    #[prost(message, optional, tag = "6")]
    pub finished: Option<WireAnswer>,
    /// Microseconds for which the attempt may go on running.
    #[prost(uint64, tag = "7")]
    pub running_micros: u64,
    /// Microseconds for which the record is to be kept.
    #[prost(uint64, tag = "8")]
    pub expiry_micros: u64,
}

/// Every record that the epoch began with has been copied.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Complete {
    /// The newest epoch that began without records.
    #[prost(uint64, tag = "1")]
    pub lossy: u64,
    /// Microseconds for which a key without record and date may have run.
    #[prost(uint64, tag = "2")]
    pub caller_keys_blocked_micros: u64,
}

/// A backup's answer to its home.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Copied {
    /// The home's node.
    #[prost(fixed64, tag = "1")]
    pub primary: u64,
    /// The backup's node.
    #[prost(fixed64, tag = "5")]
    pub backup: u64,
    /// What has become of the copy.
    #[prost(oneof = "CopiedBody", tags = "2, 3, 4")]
    pub body: Option<CopiedBody>,
}

/// What has become of a copy.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum CopiedBody {
    /// The record with this version is held.
    #[prost(uint64, tag = "2")]
    Held(u64),
    /// The copy is complete.
    #[prost(message, tag = "3")]
    Complete(Ack),
    /// This node is the home's backup no longer.
    #[prost(message, tag = "4")]
    Sealed(Ack),
}

impl Message {
    pub(crate) fn new(shard: ShardId, epoch: Epoch, body: Body) -> Self {
        Self {
            shard: shard.0,
            epoch: epoch.0,
            body: Some(body),
        }
    }

    /// Whether the message may go as one datagram. Only messages that carry an answer may not:
    /// `Finish`, `Stored` and the copy of a finished record.
    #[must_use]
    pub fn fits_datagram(&self) -> bool {
        prost::Message::encoded_len(self) <= MAX_DATAGRAM_BYTES
    }
}

impl From<Key> for WireKey {
    fn from(key: Key) -> Self {
        Self {
            workspace: key.workspace.as_str().to_owned(),
            digest: key.digest.to_vec(),
            issued: key.issued.map(|epoch| epoch.0),
        }
    }
}

impl WireKey {
    /// The key of this shard, where the message is well formed.
    #[must_use]
    pub fn key(&self, shard: ShardId) -> Option<Key> {
        Some(Key {
            workspace: self.workspace.parse().ok()?,
            digest: self.digest.as_slice().try_into().ok()?,
            shard,
            issued: self.issued.map(Epoch),
        })
    }
}

impl From<Attempt> for WireAttempt {
    fn from(attempt: Attempt) -> Self {
        Self {
            owner: attempt.owner.0,
            number: attempt.number,
        }
    }
}

impl From<WireAttempt> for Attempt {
    fn from(wire: WireAttempt) -> Self {
        Self {
            owner: NodeId(wire.owner),
            number: wire.number,
        }
    }
}

impl From<&Answer> for WireAnswer {
    fn from(answer: &Answer) -> Self {
        Self {
            kept: match answer {
                Answer::Kept(bytes) => Some(bytes.to_vec()),
                Answer::TooLarge | Answer::Unknown => None,
            },
            is_too_large: *answer == Answer::TooLarge,
        }
    }
}

impl From<&WireAnswer> for Answer {
    fn from(wire: &WireAnswer) -> Self {
        match &wire.kept {
            Some(bytes) if bytes.len() <= crate::MAX_ANSWER_BYTES => {
                Self::Kept(bytes.as_slice().into())
            }
            Some(_) => Self::TooLarge,
            None if wire.is_too_large => Self::TooLarge,
            None => Self::Unknown,
        }
    }
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            reason: refusal.reason.number(),
            may_have_run: refusal.verdict == Verdict::MayHaveRun,
            retry_after_micros: refusal.retry_after.map(micros),
        }
    }
}

impl From<&Refused> for Refusal {
    fn from(wire: &Refused) -> Self {
        let reason = Reason::from_number(wire.reason).unwrap_or(Reason::Repeated);
        Self {
            verdict: match wire.may_have_run {
                true => Verdict::MayHaveRun,
                false => Verdict::NotRun,
            },
            reason,
            retry_after: wire
                .retry_after_micros
                .map(std::time::Duration::from_micros),
        }
    }
}

impl WireRecord {
    pub(crate) fn new(now: Time, version: u64, key: Key, record: &Record) -> Self {
        Self {
            version,
            key: Some(key.into()),
            fingerprint: record.fingerprint,
            attempt: Some(record.attempt.into()),
            is_released: record.state == State::Released,
            finished: match &record.state {
                State::Finished(answer) => Some(answer.into()),
                State::Started | State::Released => None,
            },
            running_micros: micros(record.running_until.since(now)),
            expiry_micros: micros(record.expiry.since(now)),
        }
    }

    pub(crate) fn record(&self, now: Time) -> Option<Record> {
        let state = match &self.finished {
            Some(answer) => State::Finished(answer.into()),
            None if self.is_released => State::Released,
            None => State::Started,
        };
        let span = |micros| {
            cassiashunt_types::ClockDrift::default()
                .max_elapsed(std::time::Duration::from_micros(micros))
        };
        Some(Record {
            fingerprint: self.fingerprint,
            attempt: self.attempt.clone()?.into(),
            state,
            running_until: now + span(self.running_micros),
            expiry: now + span(self.expiry_micros),
        })
    }
}

pub(crate) fn micros(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
