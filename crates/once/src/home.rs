//! The home of a shard of idempotency keys.

use std::{collections::HashMap, time::Duration};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, Reason, Refusal, ShardId, Time};

use crate::{
    Answer, Attempt, InitialState, Key, Outgoing,
    copies::{Copies, Due},
    msg::{
        Ack, Ask, AskBody, Begin, Body, Complete, Copied, CopiedBody, Copy, CopyBody, Message,
        Permit, Refused, Reply, ReplyBody, WireRecord, micros,
    },
    record::{Record, State},
    records::Records,
};

/// Settings of [`Home`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a record is kept after its attempt ended; many times the validity, so that no
    /// permit outlives its record.
    pub retention: Duration,
    /// How long a permit is good for, from when its client asked; the same as
    /// `cassiashunt_control::ClaimOptions::validity`.
    pub validity: Duration,
    /// How far the nodes' clocks may differ in rate.
    pub clock_drift: ClockDrift,
    /// The most records that are kept; none that is live gives way to another.
    pub max_records: usize,
    /// The most answer bytes that are kept; further answers count as too large.
    pub max_answer_bytes: usize,
    /// The longest time that a run may take, from when its client asked.
    pub max_run_time: Duration,
    /// Time after which a copy is sent again.
    pub copy_resend_interval: Duration,
    /// Time without an answer after which the backup counts as lost.
    pub backup_timeout: Duration,
    /// Copies that are under way at once.
    pub max_copies_in_flight: usize,
    /// Whether no permit is given without a backup.
    pub needs_backup: bool,
    /// When a refused caller may come back.
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
    /// The longest time for which an earlier home may have kept a record.
    #[must_use]
    pub fn max_record_lifetime(&self) -> Duration {
        let longest = self.max_run_time.max(self.validity) + self.retention;
        self.clock_drift
            .max_elapsed(self.clock_drift.max_elapsed(longest))
    }
}

/// Whether a home may decide at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The node is in touch, and the control value names it with this epoch and this backup.
    Active,
    /// It may only copy its records.
    Standby,
}

/// Keeps the records of a shard under one epoch and gives permits to run.
#[derive(Debug, Clone)]
pub struct Home {
    me: NodeId,
    shard: ShardId,
    epoch: Epoch,
    backup: Option<NodeId>,
    options: Options,
    records: Records,
    copies: Copies,
    lossy: Epoch,
    caller_keys_blocked_until: Time,
    /// Clients that wait for the backup to hold a record.
    waiting: HashMap<Key, Wait>,
}

/// What a client waits for.
#[derive(Debug, Clone)]
enum Wait {
    /// The permit that it asked for.
    Permit(Begin),
    /// Word that its news has been taken in.
    Ack,
}

impl Home {
    /// Prepares `epoch` with `backup`, which must be in another failure domain.
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
            copies: Copies::new(start.version),
            lossy: start.lossy,
            caller_keys_blocked_until: start.caller_keys_blocked_until,
            waiting: HashMap::new(),
        };
        for key in home.records.keys() {
            home.copy_later(key);
        }
        home
    }

    /// The epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The node that keeps copies.
    #[must_use]
    pub fn backup(&self) -> Option<NodeId> {
        self.backup
    }

    /// How many records are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the backup holds all that the epoch began with, so that it may be claimed.
    #[must_use]
    pub fn is_replicated(&self) -> bool {
        match self.backup {
            Some(_) => self.copies.is_paired(),
            None => !self.options.needs_backup,
        }
    }

    /// Whether there is no backup, or it has stopped or not answered for too long; the node picks another.
    #[must_use]
    pub fn backup_is_lost(&self, now: Time) -> bool {
        let is_missing = self.backup.is_none() && self.options.needs_backup;
        let timeout = self.options.backup_timeout;
        is_missing || self.copies.has_ended() || self.copies.is_late(now, timeout)
    }

    /// Ends the epoch at this node: what its successor here begins with.
    #[must_use]
    pub fn stop(self) -> InitialState {
        InitialState {
            records: self.records.into_map(),
            lossy: self.lossy,
            caller_keys_blocked_until: self.caller_keys_blocked_until,
            version: self.copies.version(),
        }
    }

    /// Takes in a client's question or the backup's answer.
    pub fn handle_message(&mut self, now: Time, msg: &Message, role: Role) -> Vec<Outgoing> {
        match &msg.body {
            Some(Body::Ask(ask)) => self.on_ask(now, msg, ask, role),
            Some(Body::Copied(copied)) => self.on_copied(now, msg, copied, role),
            _ => Vec::new(),
        }
    }

    /// Forgets what has expired and sends copies, again where they were not answered.
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
        let is_question = matches!(body, AskBody::Begin(_));
        if self.copies.has_ended() && !is_question {
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
        if self.may_be_lost(now, key) {
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
    fn may_be_lost(&self, now: Time, key: Key) -> bool {
        match key.issued {
            Some(issued) => issued < self.lossy,
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

    /// A permit where the backup holds the record; otherwise the client waits.
    fn permit(&mut self, key: Key, begin: &Begin) -> Option<ReplyBody> {
        if self.copies.is_under_way(key) || !self.is_replicated() {
            self.waiting.insert(key, Wait::Permit(begin.clone()));
            return None;
        }
        Some(ReplyBody::Permit(Permit {
            asked_micros: begin.asked_micros,
            validity_micros: micros(self.options.validity),
        }))
    }

    /// The attempt never ran: another may. Only its owner may say so, and before this it made the
    /// permit useless at itself.
    fn release(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
    ) -> Option<ReplyBody> {
        let is_its_own = match self.records.get(key) {
            Some(record) => record.attempt == attempt && record.state == State::Started,
            None => !self.may_be_lost(now, key) && self.records.len() < self.options.max_records,
        };
        if is_its_own {
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
        self.noted(key, attempt)
    }

    fn finish(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
        answer: Answer,
    ) -> Option<ReplyBody> {
        let is_its_own = match self.records.get(key) {
            Some(it) => it.attempt == attempt && !matches!(it.state, State::Finished(_)),
            None => self.records.len() < self.options.max_records,
        };
        if is_its_own {
            let has_room =
                self.records.answer_bytes() + answer.len() <= self.options.max_answer_bytes;
            let record = Record {
                fingerprint,
                attempt,
                state: State::Finished(if has_room { answer } else { Answer::TooLarge }),
                running_until: now,
                expiry: now + self.options.retention,
            };
            self.put(key, record);
        }
        self.noted(key, attempt)
    }

    fn on_copied(
        &mut self,
        now: Time,
        msg: &Message,
        copied: &Copied,
        role: Role,
    ) -> Vec<Outgoing> {
        let is_mine = msg.epoch == self.epoch.0 && copied.primary == self.me.0;
        if !is_mine || Some(NodeId(copied.backup)) != self.backup || self.copies.has_ended() {
            return Vec::new();
        }
        let mut sends = Vec::new();
        match &copied.body {
            Some(CopiedBody::Held(version)) => sends.extend(self.held(*version, role)),
            Some(CopiedBody::Complete(_)) => self.copies.completed(),
            Some(CopiedBody::Sealed(_)) => self.copies.end(),
            None => {}
        }
        sends.extend(self.send_copies(now));
        sends
    }

    /// The backup holds the newest state of a record, so that its client may be answered.
    fn held(&mut self, version: u64, role: Role) -> Option<Outgoing> {
        let key = self.copies.held(version)?;
        let wait = self.waiting.remove(&key)?;
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

    /// Word to a client that its news has been taken in, once the backup holds it too.
    fn noted(&mut self, key: Key, attempt: Attempt) -> Option<ReplyBody> {
        let record = self.records.get(key);
        let is_its_own = record.is_some_and(|record| record.attempt == attempt);
        if is_its_own && self.copies.is_under_way(key) {
            self.waiting.insert(key, Wait::Ack);
            return None;
        }
        Some(ReplyBody::Ack(Ack {}))
    }

    fn put(&mut self, key: Key, record: Record) {
        self.waiting.remove(&key);
        self.records.put(key, record);
        self.copy_later(key);
    }

    fn copy_later(&mut self, key: Key) {
        if self.backup.is_some() {
            self.copies.add(key);
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(key) = self.records.pop_expired(now) {
            self.copies.remove(key);
            self.waiting.remove(&key);
        }
    }

    fn send_copies(&mut self, now: Time) -> Vec<Outgoing> {
        let Some(backup) = self.backup else {
            return Vec::new();
        };
        let (again, most) = (
            self.options.copy_resend_interval,
            self.options.max_copies_in_flight,
        );
        let due = self.copies.due(now, again, most);
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

    fn copy(&self, now: Time, due: Due) -> Option<CopyBody> {
        match due {
            Due::Record { version, key } => {
                let record = self.records.get(key)?;
                Some(CopyBody::Record(WireRecord::new(now, version, key, record)))
            }
            Due::Complete => Some(CopyBody::Complete(Complete {
                lossy: self.lossy.0,
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
