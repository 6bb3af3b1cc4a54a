//! The primary of a shard of idempotency keys: stores records and gives permits.

use std::{collections::HashMap, time::Duration};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, Reason, Refusal, ShardId, Time};

use crate::{
    Answer, Attempt, InitialState, Key, Outgoing,
    msg::{
        Ack, Ask, AskBody, Begin, Body, Complete, Copied, CopiedBody, Copy, CopyBody, Message,
        Permit, Refused, Reply, ReplyBody, WireRecord, micros,
    },
    record::{Record, State},
    records::Records,
    replication::{DueMessage, Replication},
};

/// Settings of [`Home`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a record is kept after its attempt has ended. Many times `validity`, so that no
    /// permit outlives its record.
    pub retention: Duration,
    /// How long a permit is valid, from when its client asked; must equal
    /// `cassiashunt_control::ClaimOptions::validity`.
    pub validity: Duration,
    /// Bound on the difference in rate between the nodes' clocks.
    pub clock_drift: ClockDrift,
    /// Maximum number of records. A live record is never evicted; new keys are refused instead.
    pub max_records: usize,
    /// Maximum total size of stored answers, in bytes; further answers count as too large.
    pub max_answer_bytes: usize,
    /// The longest time a run may take, from when its client asked.
    pub max_run_time: Duration,
    /// Interval after which an unacknowledged copy is sent again.
    pub copy_resend_interval: Duration,
    /// The backup counts as lost when a message to it is unacknowledged for longer than this.
    pub backup_timeout: Duration,
    /// Maximum number of unacknowledged copies in flight.
    pub max_copies_in_flight: usize,
    /// Whether permits are refused while there is no backup.
    pub needs_backup: bool,
    /// Retry-after delay for refused callers.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            validity: Duration::from_secs(1),
            clock_drift: ClockDrift::default(),
            max_records: 50_000,
            max_answer_bytes: 16 << 20,
            max_run_time: Duration::from_secs(60),
            copy_resend_interval: Duration::from_millis(50),
            backup_timeout: Duration::from_secs(1),
            max_copies_in_flight: 256,
            needs_backup: true,
            retry_after: Duration::from_millis(500),
        }
    }
}

impl Options {
    /// The longest time for which an earlier home may have kept a record, allowing for clock drift.
    #[must_use]
    pub fn max_record_lifetime(&self) -> Duration {
        let longest = self.max_run_time.max(self.validity) + self.retention;
        self.clock_drift
            .max_elapsed(self.clock_drift.max_elapsed(longest))
    }
}

/// Whether a home may give permits and answer clients at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The node is in touch, and the control value names it as primary under the home's epoch with
    /// the home's backup.
    Active,
    /// The home may only copy its records.
    Standby,
}

/// Stores the records of a shard under one epoch and gives permits to run.
#[derive(Debug, Clone)]
pub struct Home {
    me: NodeId,
    shard: ShardId,
    epoch: Epoch,
    backup: Option<NodeId>,
    options: Options,
    records: Records,
    replication: Replication,
    last_lossy_epoch: Epoch,
    caller_keys_blocked_until: Time,
    /// Clients that wait for the backup to acknowledge a record.
    waiting_clients: HashMap<Key, Wait>,
}

/// The reply that a client waits for.
#[derive(Debug, Clone)]
enum Wait {
    /// The permit it requested.
    Permit(Begin),
    /// The acknowledgement of its report.
    Ack,
}

impl Home {
    /// Prepares a home for `epoch` with `backup`, which must be in another failure domain.
    #[must_use]
    pub fn new(
        me: NodeId,
        shard: ShardId,
        epoch: Epoch,
        backup: Option<NodeId>,
        start: InitialState,
        options: Options,
    ) -> Self {
        let mut home = Self {
            me,
            shard,
            epoch,
            backup: backup.filter(|backup| *backup != me),
            options,
            records: Records::new(start.records),
            replication: Replication::new(start.version),
            last_lossy_epoch: start.last_lossy_epoch,
            caller_keys_blocked_until: start.caller_keys_blocked_until,
            waiting_clients: HashMap::new(),
        };
        for key in home.records.keys() {
            home.enqueue_copy(key);
        }
        home
    }

    /// The epoch for which this home was created.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The node that holds copies of the records; `None` without a backup.
    #[must_use]
    pub fn backup(&self) -> Option<NodeId> {
        self.backup
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the backup holds all records with which the epoch began, so that the epoch may be
    /// claimed.
    #[must_use]
    pub fn is_replicated(&self) -> bool {
        match self.backup {
            Some(_) => self.replication.is_in_sync(),
            None => !self.options.needs_backup,
        }
    }

    /// Whether the backup is missing, has stopped or has not acknowledged in time; the node then
    /// chooses another.
    #[must_use]
    pub fn backup_is_lost(&self, now: Time) -> bool {
        let is_missing = self.backup.is_none() && self.options.needs_backup;
        let timeout = self.options.backup_timeout;
        is_missing || self.replication.has_ended() || self.replication.is_ack_overdue(now, timeout)
    }

    /// Ends the epoch at this node; returns the initial state of its next home here.
    #[must_use]
    pub fn stop(self) -> InitialState {
        InitialState {
            records: self.records.into_map(),
            last_lossy_epoch: self.last_lossy_epoch,
            caller_keys_blocked_until: self.caller_keys_blocked_until,
            version: self.replication.version(),
        }
    }

    /// Handles a client's message or the backup's reply; returns the messages to send.
    pub fn handle_message(&mut self, now: Time, msg: &Message, role: Role) -> Vec<Outgoing> {
        match &msg.body {
            Some(Body::Ask(ask)) => self.on_ask(now, msg, ask, role),
            Some(Body::Copied(copied)) => self.on_copied(now, msg, copied, role),
            _ => Vec::new(),
        }
    }

    /// Removes expired records; returns the copies to send, unacknowledged ones again.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        self.expire(now);
        self.send_copies(now)
    }

    fn on_ask(&mut self, now: Time, msg: &Message, ask: &Ask, role: Role) -> Vec<Outgoing> {
        let key = ask.key.as_ref().and_then(|key| key.key(self.shard));
        let attempt = ask.attempt.clone().map(Attempt::from);
        let (Some(key), Some(attempt), Some(body)) = (key, attempt, &ask.body) else {
            return Vec::new();
        };
        if role == Role::Standby || msg.epoch > self.epoch.0 {
            return Vec::new();
        }
        self.expire(now);
        let is_permit_request = matches!(body, AskBody::Begin(_));
        if self.replication.has_ended() && !is_permit_request {
            return Vec::new();
        }
        let reply = match body {
            AskBody::Begin(begin) => self.begin(now, key, ask.fingerprint, attempt, begin),
            AskBody::Release(_) => self.release(now, key, ask.fingerprint, attempt),
            AskBody::Finish(answer) => {
                self.finish(now, key, ask.fingerprint, attempt, answer.into())
            }
        };
        let reply = reply.map(|body| self.reply(attempt, body));
        let mut sends: Vec<Outgoing> = reply.into_iter().collect();
        sends.extend(self.send_copies(now));
        sends
    }

    fn begin(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
        begin: &Begin,
    ) -> Option<ReplyBody> {
        let Some(record) = self.records.get(key) else {
            return self.begin_new(now, key, fingerprint, attempt, begin);
        };
        if record.fingerprint != fingerprint {
            return Some(refused(Refusal::not_run(Reason::KeyReused)));
        }
        let is_same = record.attempt == attempt;
        match &record.state {
            State::Started if is_same && now < record.running_until => self.permit(key, begin),
            State::Started if now < record.running_until => {
                let refusal = Refusal::may_have_run(Reason::StillRunning);
                Some(refused(refusal.retry_after(self.options.retry_after)))
            }
            State::Finished(Answer::Kept(bytes)) => Some(ReplyBody::Stored(bytes.to_vec())),
            State::Started | State::Finished(_) => Some(repeated()),
            State::Released if is_same => None,
            State::Released => self.start(now, key, fingerprint, attempt, begin),
        }
    }

    fn begin_new(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
        begin: &Begin,
    ) -> Option<ReplyBody> {
        if self.may_have_lost_record(now, key) {
            return Some(repeated());
        }
        if key.issued.is_some_and(|issued| issued > self.epoch) {
            return Some(self.not_run(Reason::NotInTouch));
        }
        if self.records.len() >= self.options.max_records {
            return Some(self.not_run(Reason::Full));
        }
        self.start(now, key, fingerprint, attempt, begin)
    }

    /// Whether a key without a record may have had one that was lost.
    fn may_have_lost_record(&self, now: Time, key: Key) -> bool {
        match key.issued {
            Some(issued) => issued < self.last_lossy_epoch,
            None => now < self.caller_keys_blocked_until,
        }
    }

    fn start(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
        begin: &Begin,
    ) -> Option<ReplyBody> {
        if !self.is_replicated() || self.backup_is_lost(now) {
            return Some(self.not_run(Reason::NotInTouch));
        }
        let remaining = Duration::from_micros(begin.remaining_micros);
        let run = remaining
            .min(self.options.max_run_time)
            .max(self.options.validity);
        let running_until = now + self.options.clock_drift.max_elapsed(run);
        let record = Record {
            fingerprint,
            attempt,
            state: State::Started,
            running_until,
            expiry: running_until + self.options.retention,
        };
        self.put(key, record);
        self.permit(key, begin)
    }

    /// Returns a permit if the backup holds the record; otherwise the client waits for it.
    fn permit(&mut self, key: Key, begin: &Begin) -> Option<ReplyBody> {
        if self.replication.is_unacked(key) || !self.is_replicated() {
            self.waiting_clients
                .insert(key, Wait::Permit(begin.clone()));
            return None;
        }
        Some(ReplyBody::Permit(Permit {
            asked_micros: begin.asked_micros,
            validity_micros: micros(self.options.validity),
        }))
    }

    /// Records that the attempt never ran, so that another may. Only its owner may report this, and
    /// it has discarded its permit before.
    fn release(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
    ) -> Option<ReplyBody> {
        let may_record = match self.records.get(key) {
            Some(record) => record.attempt == attempt && record.state == State::Started,
            None => {
                !self.may_have_lost_record(now, key)
                    && self.records.len() < self.options.max_records
            }
        };
        if may_record {
            let expiry = now + self.options.retention;
            let record = Record {
                fingerprint,
                attempt,
                state: State::Released,
                running_until: now,
                expiry,
            };
            self.put(key, record);
        }
        self.acknowledge(key, attempt)
    }

    fn finish(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
        answer: Answer,
    ) -> Option<ReplyBody> {
        let may_record = match self.records.get(key) {
            Some(record) => {
                record.attempt == attempt && !matches!(record.state, State::Finished(_))
            }
            None => self.records.len() < self.options.max_records,
        };
        if may_record {
            let fits = self.records.answer_bytes() + answer.len() <= self.options.max_answer_bytes;
            let record = Record {
                fingerprint,
                attempt,
                state: State::Finished(if fits { answer } else { Answer::TooLarge }),
                running_until: now,
                expiry: now + self.options.retention,
            };
            self.put(key, record);
        }
        self.acknowledge(key, attempt)
    }

    fn on_copied(
        &mut self,
        now: Time,
        msg: &Message,
        copied: &Copied,
        role: Role,
    ) -> Vec<Outgoing> {
        let is_for_this_home = msg.epoch == self.epoch.0 && copied.primary == self.me.0;
        if !is_for_this_home
            || Some(NodeId(copied.backup)) != self.backup
            || self.replication.has_ended()
        {
            return Vec::new();
        }
        let mut sends = Vec::new();
        match &copied.body {
            Some(CopiedBody::Held(version)) => sends.extend(self.on_copy_held(*version, role)),
            Some(CopiedBody::Complete(_)) => self.replication.acknowledge_complete(),
            Some(CopiedBody::Sealed(_)) => self.replication.end(),
            None => {}
        }
        sends.extend(self.send_copies(now));
        sends
    }

    /// Replies to the client that waited for the backup to hold the newest state of its record.
    fn on_copy_held(&mut self, version: u64, role: Role) -> Option<Outgoing> {
        let key = self.replication.acknowledge(version)?;
        let wait = self.waiting_clients.remove(&key)?;
        let record = self.records.get(key)?;
        let attempt = record.attempt;
        let has_started = record.state == State::Started;
        let reply = match wait {
            _ if role == Role::Standby => return None,
            Wait::Permit(begin) if has_started => self.permit(key, &begin)?,
            Wait::Permit(_) => return None,
            Wait::Ack => ReplyBody::Ack(Ack {}),
        };
        Some(self.reply(attempt, reply))
    }

    /// Acknowledges a client's report, once the backup holds it too.
    fn acknowledge(&mut self, key: Key, attempt: Attempt) -> Option<ReplyBody> {
        let record = self.records.get(key);
        let is_own_attempt = record.is_some_and(|record| record.attempt == attempt);
        if is_own_attempt && self.replication.is_unacked(key) {
            self.waiting_clients.insert(key, Wait::Ack);
            return None;
        }
        Some(ReplyBody::Ack(Ack {}))
    }

    fn put(&mut self, key: Key, record: Record) {
        self.waiting_clients.remove(&key);
        self.records.put(key, record);
        self.enqueue_copy(key);
    }

    fn enqueue_copy(&mut self, key: Key) {
        if self.backup.is_some() {
            self.replication.enqueue(key);
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(key) = self.records.pop_expired(now) {
            self.replication.remove(key);
            self.waiting_clients.remove(&key);
        }
    }

    fn send_copies(&mut self, now: Time) -> Vec<Outgoing> {
        let Some(backup) = self.backup else {
            return Vec::new();
        };
        let (resend_interval, max_in_flight) = (
            self.options.copy_resend_interval,
            self.options.max_copies_in_flight,
        );
        let due = self.replication.due(now, resend_interval, max_in_flight);
        let bodies = due.into_iter().filter_map(|due| self.copy(now, due));
        let primary = self.me.0;
        let send = |body| {
            let body = Some(body);
            let body = Body::Copy(Copy { primary, body });
            let msg = Message::new(self.shard, self.epoch, body);
            Outgoing { to: backup, msg }
        };
        bodies.map(send).collect()
    }

    fn copy(&self, now: Time, due: DueMessage) -> Option<CopyBody> {
        match due {
            DueMessage::Record { version, key } => {
                let record = self.records.get(key)?;
                Some(CopyBody::Record(WireRecord::new(now, version, key, record)))
            }
            DueMessage::Complete => Some(CopyBody::Complete(Complete {
                last_lossy_epoch: self.last_lossy_epoch.0,
                caller_keys_blocked_micros: micros(self.caller_keys_blocked_until.since(now)),
            })),
        }
    }

    fn reply(&self, attempt: Attempt, body: ReplyBody) -> Outgoing {
        let reply = Reply {
            number: attempt.number,
            body: Some(body),
        };
        Outgoing {
            to: attempt.owner,
            msg: Message::new(self.shard, self.epoch, Body::Reply(reply)),
        }
    }

    fn not_run(&self, reason: Reason) -> ReplyBody {
        refused(Refusal::not_run(reason).retry_after(self.options.retry_after))
    }
}

fn repeated() -> ReplyBody {
    refused(Refusal::may_have_run(Reason::Repeated))
}

fn refused(refusal: Refusal) -> ReplyBody {
    ReplyBody::Refused(Refused::from(refusal))
}
