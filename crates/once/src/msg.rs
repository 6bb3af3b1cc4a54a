//! Messages between clients, homes and backups.

use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, ShardId, Time, Verdict};

use crate::{
    Answer, Attempt, Key,
    record::{Record, State},
};

/// The largest message sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Upper bound on the size of a message, in bytes: an answer and the fields around it.
pub const MAX_MESSAGE_BYTES: usize = crate::MAX_ANSWER_BYTES + 512;

/// A message about one shard of idempotency keys.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The shard's id.
    #[prost(uint64, tag = "1")]
    pub shard: u64,
    /// The shard's epoch as known to the sender.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The payload; `None` where it is missing or of an unknown kind.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6")]
    pub body: Option<Body>,
}

/// The payload of a [`Message`].
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

/// The wire form of a [`Key`]; its shard is that of the message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireKey {
    /// The workspace's name.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// The key's digest.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The epoch under which a node issued the key; `None` for a key chosen by the caller.
    #[prost(uint64, optional, tag = "3")]
    pub issued: Option<u64>,
}

/// The wire form of an [`Attempt`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireAttempt {
    /// The node that is to hand the request over.
    #[prost(fixed64, tag = "1")]
    pub owner: u64,
    /// Numbers the attempts of this owner; never reused.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// A client's request or report about one attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The key; a message without one is ignored.
    #[prost(message, optional, tag = "1")]
    pub key: Option<WireKey>,
    /// The attempt; a message without one is ignored.
    #[prost(message, optional, tag = "2")]
    pub attempt: Option<WireAttempt>,
    /// Hash of the request's content; a repeat has the same.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// What the client requests or reports.
    #[prost(oneof = "AskBody", tags = "4, 5, 6")]
    pub body: Option<AskBody>,
}

/// What a client requests or reports.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum AskBody {
    /// Requests a permit to run the attempt.
    #[prost(message, tag = "4")]
    Begin(Begin),
    /// Reports that the attempt did not run and never will.
    #[prost(message, tag = "5")]
    Release(Release),
    /// Reports that the run has ended, and its answer.
    #[prost(message, tag = "6")]
    Finish(WireAnswer),
}

/// Requests a permit to run an attempt.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Begin {
    /// The client's clock when it asked, in microseconds; the permit returns it.
    #[prost(uint64, tag = "1")]
    pub asked_micros: u64,
    /// Microseconds until the request's deadline.
    #[prost(uint64, tag = "2")]
    pub remaining_micros: u64,
}

/// Reports that an attempt did not run and never will.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Release {}

/// The wire form of an [`Answer`]: `kept` or too large; with neither it is unknown.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireAnswer {
    /// The encoded answer.
    #[prost(bytes = "vec", optional, tag = "1")]
    pub kept: Option<Vec<u8>>,
    /// There was an answer, but too large to store.
    #[prost(bool, tag = "2")]
    pub is_too_large: bool,
}

/// A home's reply to a client.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// The number of the client's attempt.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The payload of the reply.
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5")]
    pub body: Option<ReplyBody>,
}

/// The payload of a [`Reply`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplyBody {
    /// The attempt is permitted to run.
    #[prost(message, tag = "2")]
    Permit(Permit),
    /// An earlier request with the same key ran and got this answer.
    #[prost(bytes = "vec", tag = "3")]
    Stored(Vec<u8>),
    /// The attempt is not permitted to run.
    #[prost(message, tag = "4")]
    Refused(Refused),
    /// Acknowledges the report about the attempt. If the home recorded it, its backup holds it too.
    #[prost(message, tag = "5")]
    Ack(Ack),
}

/// Permits an attempt to run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Permit {
    /// The client's clock when it asked, in microseconds.
    #[prost(uint64, tag = "1")]
    pub asked_micros: u64,
    /// Time from `asked_micros`, on the client's clock, within which the run must begin, in
    /// microseconds.
    #[prost(uint64, tag = "2")]
    pub validity_micros: u64,
}

/// Refuses an attempt.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Refused {
    /// The number of the [`Reason`].
    #[prost(uint32, tag = "1")]
    pub reason: u32,
    /// Whether an earlier request with the same key may have run.
    #[prost(bool, tag = "2")]
    pub may_have_run: bool,
    /// Delay after which a retry may succeed, in microseconds; `None` where a retry does not help.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_micros: Option<u64>,
}

/// An acknowledgement without content.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ack {}

/// A home's message to its backup.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Copy {
    /// The node of the home.
    #[prost(fixed64, tag = "1")]
    pub primary: u64,
    /// The payload of the message.
    #[prost(oneof = "CopyBody", tags = "2, 3")]
    pub body: Option<CopyBody>,
}

/// The payload of a `Copy`.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum CopyBody {
    /// The newest state of a record.
    #[prost(message, tag = "2")]
    Record(WireRecord),
    /// The backup has acknowledged every record with which the epoch began.
    #[prost(message, tag = "3")]
    Complete(Complete),
}

/// The wire form of a record. Its times are relative to when it is sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireRecord {
    /// The home's version number of this state of the record; increases with each change.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The key; a message without one is not stored.
    #[prost(message, optional, tag = "2")]
    pub key: Option<WireKey>,
    /// Hash of the request's content; a repeat has the same.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// The latest attempt.
    #[prost(message, optional, tag = "4")]
    pub attempt: Option<WireAttempt>,
    /// Whether the attempt did not run and never will.
    #[prost(bool, tag = "5")]
    pub is_released: bool,
    /// The answer of the finished run; `None` where the attempt has not ended with a run.
    #[prost(message, optional, tag = "6")]
    pub finished: Option<WireAnswer>,
    /// Time for which the attempt may still be running, in microseconds.
    #[prost(uint64, tag = "7")]
    pub running_micros: u64,
    /// Time until the record expires, in microseconds.
    #[prost(uint64, tag = "8")]
    pub expiry_micros: u64,
}

/// Reports that the backup has acknowledged every record with which the epoch began.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Complete {
    /// The newest epoch that began without the records of the epoch before it.
    #[prost(uint64, tag = "1")]
    pub last_lossy_epoch: u64,
    /// Time for which a caller-chosen key without a record may have run before, in microseconds.
    #[prost(uint64, tag = "2")]
    pub caller_keys_blocked_micros: u64,
}

/// A backup's reply to its home.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Copied {
    /// The node of the home.
    #[prost(fixed64, tag = "1")]
    pub primary: u64,
    /// The node of the backup.
    #[prost(fixed64, tag = "5")]
    pub backup: u64,
    /// The result of the copy.
    #[prost(oneof = "CopiedBody", tags = "2, 3, 4")]
    pub body: Option<CopiedBody>,
}

/// The result of a `Copy`.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum CopiedBody {
    /// The backup holds the record with this version.
    #[prost(uint64, tag = "2")]
    Held(u64),
    /// The backup has noted that its copy is complete.
    #[prost(message, tag = "3")]
    Complete(Ack),
    /// The sender is no longer a backup of the home.
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

    /// Whether the message may be sent as one datagram. Only messages that carry an answer can be
    /// too large: `Finish`, `Stored` and the copy of a finished record.
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
    /// The key, in this shard; `None` where the message is malformed.
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
        let max_elapsed = |micros| {
            cassiashunt_types::ClockDrift::default()
                .max_elapsed(std::time::Duration::from_micros(micros))
        };
        Some(Record {
            fingerprint: self.fingerprint,
            attempt: self.attempt.clone()?.into(),
            state,
            running_until: now + max_elapsed(self.running_micros),
            expiry: now + max_elapsed(self.expiry_micros),
        })
    }
}

pub(crate) fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
