//! The home of a shard of idempotency keys.

use std::{collections::HashMap, time::Duration};

use cassiashunt_types::{ClockDrift, Epoch, NodeId, Reason, Refusal, ShardId, Time};

use crate::{
    Answer, Attempt, Key, Send, Start,
    copies::{Copies, Due},
    msg::{
        Ask, AskBody, Begin, Body, Complete, Copied, CopiedBody, Copy, CopyBody, Message, Noted,
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
    pub window: Duration,
    /// How long a permit is good for, from when its client asked; the same as
    /// `cassiashunt_control::ClaimOptions::validity`.
    pub validity: Duration,
    /// How far the nodes' clocks may differ in rate.
    pub margin: ClockDrift,
    /// The most records that are kept; none that is live gives way to another.
    pub records: usize,
    /// The most answer bytes that are kept; further answers count as too large.
    pub answer_bytes: usize,
    /// The longest time that a run may take, from when its client asked.
    pub longest_run: Duration,
    /// Time after which a copy is sent again.
    pub copy_again: Duration,
    /// Time without an answer after which the backup counts as lost.
    pub backup_timeout: Duration,
    /// Copies that are under way at once.
    pub copies_under_way: usize,
    /// Whether no permit is given without a backup.
    pub needs_backup: bool,
    /// When a refused caller may come back.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            validity: Duration::from_secs(1),
            margin: ClockDrift::default(),
            records: 50_000,
            answer_bytes: 16 << 20,
            longest_run: Duration::from_secs(60),
            copy_again: Duration::from_millis(50),
            backup_timeout: Duration::from_secs(1),
            copies_under_way: 256,
            needs_backup: true,
            retry_after: Duration::from_millis(500),
        }
    }
}

impl Options {
    /// The longest time for which an earlier home may have kept a record.
    #[must_use]
    pub fn kept_for(&self) -> Duration {
        let longest = self.longest_run.max(self.validity) + self.window;
        self.margin.max_elapsed(self.margin.max_elapsed(longest))
    }
}

/// Whether a home may decide at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stance {
    /// The node is in touch, and the control value names it with this epoch and this backup.
    Acting,
    /// It may only copy its records.
    Waiting,
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
    undated_until: Time,
    /// Clients that wait for the backup to hold a record.
    waiting: HashMap<Key, Wait>,
}

/// What a client waits for.
#[derive(Debug, Clone)]
enum Wait {
    /// The permit that it asked for.
    Permit(Begin),
    /// Word that its news has been taken in.
    Noted,
}

impl Home {
    /// Prepares `epoch` with `backup`, which must be in another failure domain.
    #[must_use]
    pub fn new(
        me: NodeId,
        shard: ShardId,
        epoch: Epoch,
        backup: Option<NodeId>,
        start: Start,
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
            undated_until: start.undated_until,
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
    pub fn is_copied(&self) -> bool {
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
    pub fn stop(self) -> Start {
        Start {
            records: self.records.into_map(),
            lossy: self.lossy,
            undated_until: self.undated_until,
            version: self.copies.version(),
        }
    }

    /// Takes in a client's question or the backup's answer.
    pub fn on(&mut self, now: Time, msg: &Message, stance: Stance) -> Vec<Send> {
        match &msg.body {
            Some(Body::Ask(ask)) => self.on_ask(now, msg, ask, stance),
            Some(Body::Copied(copied)) => self.on_copied(now, msg, copied, stance),
            _ => Vec::new(),
        }
    }

    /// Forgets what has expired and sends copies, again where they were not answered.
    pub fn tick(&mut self, now: Time) -> Vec<Send> {
        self.expire(now);
        self.send_copies(now)
    }

    fn on_ask(&mut self, now: Time, msg: &Message, ask: &Ask, stance: Stance) -> Vec<Send> {
        let key = ask.key.as_ref().and_then(|key| key.key(self.shard));
        let attempt = ask.attempt.clone().map(Attempt::from);
        let (Some(key), Some(attempt), Some(body)) = (key, attempt, &ask.body) else {
            return Vec::new();
        };
        if stance == Stance::Waiting || msg.epoch > self.epoch.0 {
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
        let mut sends: Vec<Send> = reply.into_iter().collect();
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
            State::Started if is_same && now < record.lapse => self.permit(key, begin),
            State::Started if now < record.lapse => {
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
        if self.records.len() >= self.options.records {
            return Some(self.not_run(Reason::Full));
        }
        self.start(now, key, fingerprint, attempt, begin)
    }

    /// Whether a key without a record may have had one that was lost.
    fn may_be_lost(&self, now: Time, key: Key) -> bool {
        match key.issued {
            Some(issued) => issued < self.lossy,
            None => now < self.undated_until,
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
        if !self.is_copied() || self.backup_is_lost(now) {
            return Some(self.not_run(Reason::NotInTouch));
        }
        let remaining = Duration::from_micros(begin.remaining_micros);
        let run = remaining
            .min(self.options.longest_run)
            .max(self.options.validity);
        let lapse = now + self.options.margin.max_elapsed(run);
        let record = Record {
            fingerprint,
            attempt,
            state: State::Started,
            lapse,
            expiry: lapse + self.options.window,
        };
        self.put(key, record);
        self.permit(key, begin)
    }

    /// A permit where the backup holds the record; otherwise the client waits.
    fn permit(&mut self, key: Key, begin: &Begin) -> Option<ReplyBody> {
        if self.copies.is_under_way(key) || !self.is_copied() {
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
            None => !self.may_be_lost(now, key) && self.records.len() < self.options.records,
        };
        if is_its_own {
            let expiry = now + self.options.window;
            let record = Record {
                fingerprint,
                attempt,
                state: State::Released,
                lapse: now,
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
            None => self.records.len() < self.options.records,
        };
        if is_its_own {
            let has_room = self.records.answer_bytes() + answer.len() <= self.options.answer_bytes;
            let record = Record {
                fingerprint,
                attempt,
                state: State::Finished(if has_room { answer } else { Answer::TooLarge }),
                lapse: now,
                expiry: now + self.options.window,
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
        stance: Stance,
    ) -> Vec<Send> {
        let is_mine = msg.epoch == self.epoch.0 && copied.primary == self.me.0;
        if !is_mine || Some(NodeId(copied.backup)) != self.backup || self.copies.has_ended() {
            return Vec::new();
        }
        let mut sends = Vec::new();
        match &copied.body {
            Some(CopiedBody::Held(version)) => sends.extend(self.held(*version, stance)),
            Some(CopiedBody::Complete(_)) => self.copies.completed(),
            Some(CopiedBody::Sealed(_)) => self.copies.end(),
            None => {}
        }
        sends.extend(self.send_copies(now));
        sends
    }

    /// The backup holds the newest state of a record, so that its client may be answered.
    fn held(&mut self, version: u64, stance: Stance) -> Option<Send> {
        let key = self.copies.held(version)?;
        let wait = self.waiting.remove(&key)?;
        let record = self.records.get(key)?;
        let attempt = record.attempt;
        let has_started = record.state == State::Started;
        let reply = match wait {
            _ if stance == Stance::Waiting => return None,
            Wait::Permit(begin) if has_started => self.permit(key, &begin)?,
            Wait::Permit(_) => return None,
            Wait::Noted => ReplyBody::Noted(Noted {}),
        };
        Some(self.reply(attempt, reply))
    }

    /// Word to a client that its news has been taken in, once the backup holds it too.
    fn noted(&mut self, key: Key, attempt: Attempt) -> Option<ReplyBody> {
        let record = self.records.get(key);
        let is_its_own = record.is_some_and(|record| record.attempt == attempt);
        if is_its_own && self.copies.is_under_way(key) {
            self.waiting.insert(key, Wait::Noted);
            return None;
        }
        Some(ReplyBody::Noted(Noted {}))
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

    fn send_copies(&mut self, now: Time) -> Vec<Send> {
        let Some(backup) = self.backup else {
            return Vec::new();
        };
        let (again, most) = (self.options.copy_again, self.options.copies_under_way);
        let due = self.copies.due(now, again, most);
        let bodies = due.into_iter().filter_map(|due| self.copy(now, due));
        let primary = self.me.0;
        let send = |body| {
            let body = Some(body);
            let body = Body::Copy(Copy { primary, body });
            let msg = Message::new(self.shard, self.epoch, body);
            Send { to: backup, msg }
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
                undated_micros: micros(self.undated_until.since(now)),
            })),
        }
    }

    fn reply(&self, attempt: Attempt, body: ReplyBody) -> Send {
        let reply = Reply {
            number: attempt.number,
            body: Some(body),
        };
        Send {
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
