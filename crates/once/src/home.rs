//! The home of a shard of idempotency keys.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use cassiashunt_types::{Epoch, NodeId, RateMargin, Reason, Refusal, ShardId, Time};

use crate::{
    Answer, Attempt, Key, Send, Start,
    msg::{
        Ask, AskBody, Begin, Body, Complete, Copied, CopiedBody, Copy, CopyBody, Message, Noted,
        Permit, Refused, Reply, ReplyBody, WireRecord, micros,
    },
    record::{Record, State},
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
    pub margin: RateMargin,
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
            margin: RateMargin::default(),
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
        self.margin.at_most(self.margin.at_most(longest))
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
    records: HashMap<Key, Record>,
    expiries: BTreeSet<(Time, Key)>,
    answer_bytes: usize,
    lossy: Epoch,
    undated_until: Time,
    version: u64,
    /// States that the backup is not known to hold, by version.
    copying: BTreeMap<u64, Copying>,
    versions: HashMap<Key, u64>,
    /// Clients that wait for the backup, with what they asked.
    waiting: HashMap<Key, Begin>,
    pairing: Pairing,
    complete_sent: Option<Time>,
}

/// How far the backup has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pairing {
    /// It is being sent the records that the epoch began with.
    Copying,
    /// It holds them and is to confirm that it knows.
    Completing,
    /// It holds everything but the newest states.
    Paired,
    /// It is the backup no longer.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Copying {
    key: Key,
    since: Option<Time>,
    sent: Option<Time>,
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
            expiries: BTreeSet::new(),
            answer_bytes: start.records.values().map(Record::answer_bytes).sum(),
            records: start.records,
            lossy: start.lossy,
            undated_until: start.undated_until,
            version: start.version,
            copying: BTreeMap::new(),
            versions: HashMap::new(),
            waiting: HashMap::new(),
            pairing: Pairing::Copying,
            complete_sent: None,
        };
        let entries = home.records.iter();
        home.expiries = entries.map(|(key, it)| (it.expiry, *key)).collect();
        let mut keys: Vec<Key> = home.records.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            home.copy_later(key);
        }
        home.advance();
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
        self.records.is_empty()
    }

    /// Whether the backup holds all that the epoch began with, so that it may be claimed.
    #[must_use]
    pub fn is_copied(&self) -> bool {
        match self.backup {
            Some(_) => self.pairing == Pairing::Paired,
            None => !self.options.needs_backup,
        }
    }

    /// Whether there is no backup, or it has stopped or not answered for too long; the node picks another.
    #[must_use]
    pub fn backup_is_lost(&self, now: Time) -> bool {
        let is_late = |since: Time| now.since(since) > self.options.backup_timeout;
        let oldest = self.copying.values().next().and_then(|it| it.since);
        let waits = oldest.into_iter().chain(self.complete_sent);
        let is_missing = self.backup.is_none() && self.options.needs_backup;
        is_missing || self.pairing == Pairing::Ended || waits.into_iter().any(is_late)
    }

    /// Ends the epoch at this node: what its successor here begins with.
    #[must_use]
    pub fn stop(self) -> Start {
        Start {
            records: self.records,
            lossy: self.lossy,
            undated_until: self.undated_until,
            version: self.version,
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
        if self.pairing == Pairing::Ended && !is_question {
            return Vec::new();
        }
        let reply = match body {
            AskBody::Begin(begin) => self.begin(now, key, ask.fingerprint, attempt, begin),
            AskBody::Release(_) => Some(self.release(now, key, ask.fingerprint, attempt)),
            AskBody::Finish(answer) => {
                Some(self.finish(now, key, ask.fingerprint, attempt, answer.into()))
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
        let Some(record) = self.records.get(&key) else {
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
        let lapse = now + self.options.margin.at_most(run);
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
        if self.versions.contains_key(&key) || !self.is_copied() {
            self.waiting.insert(key, begin.clone());
            return None;
        }
        Some(ReplyBody::Permit(Permit {
            asked_micros: begin.asked_micros,
            validity_micros: micros(self.options.validity),
        }))
    }

    /// The attempt never ran: another may. Only its owner may say so, and before this it made the
    /// permit useless at itself.
    fn release(&mut self, now: Time, key: Key, fingerprint: u64, attempt: Attempt) -> ReplyBody {
        let is_its_own = match self.records.get(&key) {
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
        ReplyBody::Noted(Noted {})
    }

    fn finish(
        &mut self,
        now: Time,
        key: Key,
        fingerprint: u64,
        attempt: Attempt,
        answer: Answer,
    ) -> ReplyBody {
        let is_its_own = match self.records.get(&key) {
            Some(it) => it.attempt == attempt && !matches!(it.state, State::Finished(_)),
            None => self.records.len() < self.options.records,
        };
        if is_its_own {
            let has_room = self.answer_bytes + answer.len() <= self.options.answer_bytes;
            let record = Record {
                fingerprint,
                attempt,
                state: State::Finished(if has_room { answer } else { Answer::TooLarge }),
                lapse: now,
                expiry: now + self.options.window,
            };
            self.put(key, record);
        }
        ReplyBody::Noted(Noted {})
    }

    fn on_copied(
        &mut self,
        now: Time,
        msg: &Message,
        copied: &Copied,
        stance: Stance,
    ) -> Vec<Send> {
        let is_mine = msg.epoch == self.epoch.0 && copied.primary == self.me.0;
        if !is_mine || Some(NodeId(copied.backup)) != self.backup || self.pairing == Pairing::Ended
        {
            return Vec::new();
        }
        let permit = match &copied.body {
            Some(CopiedBody::Held(version)) => self.held(*version, stance),
            Some(CopiedBody::Complete(_)) => self.completed(),
            Some(CopiedBody::Sealed(_)) => self.ended(),
            None => None,
        };
        let mut sends: Vec<Send> = permit.into_iter().collect();
        self.advance();
        sends.extend(self.send_copies(now));
        sends
    }

    fn held(&mut self, version: u64, stance: Stance) -> Option<Send> {
        let key = self.copying.remove(&version)?.key;
        self.versions.remove(&key);
        let begin = self.waiting.remove(&key)?;
        let record = self.records.get(&key)?;
        let attempt = record.attempt;
        let may_run = record.state == State::Started && stance == Stance::Acting;
        let reply = may_run.then(|| self.permit(key, &begin)).flatten()?;
        Some(self.reply(attempt, reply))
    }

    fn completed(&mut self) -> Option<Send> {
        if self.pairing == Pairing::Completing {
            self.pairing = Pairing::Paired;
            self.complete_sent = None;
        }
        None
    }

    fn ended(&mut self) -> Option<Send> {
        self.pairing = Pairing::Ended;
        None
    }

    fn advance(&mut self) {
        if self.pairing == Pairing::Copying && self.copying.is_empty() {
            self.pairing = Pairing::Completing;
        }
    }

    fn put(&mut self, key: Key, record: Record) {
        self.remove(&key);
        self.answer_bytes += record.answer_bytes();
        self.expiries.insert((record.expiry, key));
        self.records.insert(key, record);
        self.copy_later(key);
    }

    fn remove(&mut self, key: &Key) {
        if let Some(record) = self.records.remove(key) {
            self.answer_bytes -= record.answer_bytes();
            self.expiries.remove(&(record.expiry, *key));
        }
        if let Some(version) = self.versions.remove(key) {
            self.copying.remove(&version);
        }
        self.waiting.remove(key);
    }

    fn copy_later(&mut self, key: Key) {
        if self.backup.is_none() {
            return;
        }
        self.version += 1;
        self.versions.insert(key, self.version);
        let copying = Copying {
            key,
            since: None,
            sent: None,
        };
        self.copying.insert(self.version, copying);
    }

    fn expire(&mut self, now: Time) {
        while let Some((expiry, key)) = self.expiries.first().copied()
            && expiry <= now
        {
            self.remove(&key);
        }
        self.advance();
    }

    fn send_copies(&mut self, now: Time) -> Vec<Send> {
        let Some(backup) = self.backup.filter(|_| self.pairing != Pairing::Ended) else {
            return Vec::new();
        };
        let again = self.options.copy_again;
        let is_due = |sent: Option<Time>| sent.is_none_or(|sent| now.since(sent) >= again);
        let mut bodies = Vec::new();
        let under_way = self.copying.iter_mut().take(self.options.copies_under_way);
        for (version, copying) in under_way.filter(|(_, copying)| is_due(copying.sent)) {
            copying.sent = Some(now);
            copying.since.get_or_insert(now);
            let record = self.records.get(&copying.key);
            let record = record.expect("a record goes with its copying");
            let wire = WireRecord::new(now, *version, copying.key, record);
            bodies.push(CopyBody::Record(wire));
        }
        if self.pairing == Pairing::Completing && is_due(self.complete_sent) {
            self.complete_sent = Some(now);
            bodies.push(CopyBody::Complete(Complete {
                lossy: self.lossy.0,
                undated_micros: micros(self.undated_until.since(now)),
            }));
        }
        let primary = self.me.0;
        let send = |body| {
            let body = Some(body);
            let body = Body::Copy(Copy { primary, body });
            let msg = Message::new(self.shard, self.epoch, body);
            Send { to: backup, msg }
        };
        bodies.into_iter().map(send).collect()
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
