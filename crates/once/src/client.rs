//! The side of the node that hands requests to its backend server.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, ShardId, Time};

use crate::{
    Answer, Attempt, Key, MAX_ANSWER_BYTES, Outgoing,
    msg::{Ask, AskBody, Begin, Body, Message, Permit, Release, ReplyBody, micros},
};

/// Settings of [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time after which an unanswered message is sent again.
    pub resend_interval: Duration,
    /// How long an attempt that has ended is told to the home.
    pub report_timeout: Duration,
    /// The most attempts at once, those included that are still being told.
    pub max_attempts: usize,
    /// When a refused caller may come back.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            resend_interval: Duration::from_millis(100),
            report_timeout: Duration::from_secs(20),
            max_attempts: 4_096,
            retry_after: Duration::from_millis(500),
        }
    }
}

/// A request that is to run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its key.
    pub key: Key,
    /// A hash of what it consists of; a repeat has the same.
    pub fingerprint: u64,
    /// When its caller gives up.
    pub deadline: Time,
}

/// What is to be done with a request at this very moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to the server now; the permit is used up.
    Run,
    /// Ask again when a message has come or a few milliseconds have passed.
    Wait,
    /// An earlier request with the key got this answer.
    Answered(Vec<u8>),
    /// It is not to run.
    Refused(Refusal),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer; one larger than [`MAX_ANSWER_BYTES`] is not kept.
    Answered(Arc<[u8]>),
    /// With an answer that is too large to keep.
    TooLarge,
    /// The server itself refused to run it.
    NotRun,
    /// Nobody knows.
    Unknown,
}

/// Asks homes for permits, for the requests of one node.
///
/// A permit never leaves the client: the attempt that it was given to lives here only, is handed
/// over at most once, and is dead here before its home hears that it did not run.
#[derive(Debug, Clone)]
pub struct Client {
    me: NodeId,
    options: Options,
    last: u64,
    homes: BTreeMap<ShardId, Holder>,
    attempts: BTreeMap<u64, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    epoch: Epoch,
    primary: NodeId,
}

#[derive(Debug, Clone)]
struct Entry {
    req: Request,
    stage: Stage,
    asked: u32,
    sent: Option<Time>,
}

#[derive(Debug, Clone)]
enum Stage {
    Asking,
    Permitted { until: Time },
    Running,
    Answered(Vec<u8>),
    Refused(Refusal),
    Releasing { until: Time },
    Telling { answer: Answer, until: Time },
}

impl Client {
    /// Knows no home yet.
    #[must_use]
    pub fn new(me: NodeId, options: Options) -> Self {
        Self {
            me,
            options,
            last: 0,
            homes: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// The control value names this home; an older epoch is ignored.
    pub fn follow_home(&mut self, shard: ShardId, epoch: Epoch, primary: NodeId) {
        let known = self.homes.get(&shard).map(|holder| holder.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        self.homes.insert(shard, Holder { epoch, primary });
        let moved = |entry: &&mut Entry| entry.req.key.shard() == shard;
        for entry in self.attempts.values_mut().filter(moved) {
            entry.sent = None;
        }
    }

    /// Opens an attempt at running this request.
    ///
    /// # Errors
    ///
    /// Not run, where there are too many attempts.
    pub fn begin(&mut self, req: Request) -> Result<Attempt, Refusal> {
        if self.attempts.len() >= self.options.max_attempts {
            let refusal = Refusal::not_run(Reason::Full);
            return Err(refusal.retry_after(self.options.retry_after));
        }
        self.last += 1;
        let entry = Entry {
            req,
            stage: Stage::Asking,
            asked: 0,
            sent: None,
        };
        self.attempts.insert(self.last, entry);
        Ok(Attempt {
            owner: self.me,
            number: self.last,
        })
    }

    /// What is to be done with the request, at the moment of handing it over.
    ///
    /// Any answer but [`Decision::Wait`] is given once; the attempt is then unknown, or running
    /// until [`Client::finish`].
    pub fn hand_over(&mut self, now: Time, attempt: Attempt) -> Decision {
        let Some(entry) = self.attempts.get_mut(&attempt.number) else {
            return Decision::Refused(Refusal::may_have_run(Reason::Repeated));
        };
        let is_late = now >= entry.req.deadline;
        match &entry.stage {
            Stage::Asking | Stage::Permitted { .. } if is_late => {
                Decision::Refused(self.give_up(now, attempt, Reason::Deadline))
            }
            Stage::Permitted { until } if now < *until => {
                entry.stage = Stage::Running;
                Decision::Run
            }
            Stage::Permitted { .. } => {
                entry.stage = Stage::Asking;
                entry.sent = None;
                Decision::Wait
            }
            Stage::Asking => Decision::Wait,
            Stage::Answered(bytes) => {
                let decision = Decision::Answered(bytes.clone());
                self.attempts.remove(&attempt.number);
                decision
            }
            Stage::Refused(refusal) => {
                let refusal = *refusal;
                self.refuse(now, attempt);
                Decision::Refused(refusal)
            }
            Stage::Running | Stage::Releasing { .. } | Stage::Telling { .. } => {
                Decision::Refused(Refusal::may_have_run(Reason::Repeated))
            }
        }
    }

    /// Drops an attempt that has not been handed over: the request is not run.
    pub fn give_up(&mut self, now: Time, attempt: Attempt, reason: Reason) -> Refusal {
        let stage = self
            .attempts
            .get(&attempt.number)
            .map(|entry| entry.stage.clone());
        match stage {
            Some(Stage::Refused(refusal)) => {
                self.refuse(now, attempt);
                refusal
            }
            Some(Stage::Asking | Stage::Permitted { .. } | Stage::Answered(_)) => {
                self.release(now, attempt);
                Refusal::not_run(reason).retry_after(self.options.retry_after)
            }
            Some(Stage::Running | Stage::Releasing { .. } | Stage::Telling { .. }) | None => {
                Refusal::may_have_run(reason)
            }
        }
    }

    /// The run of a request that was handed over has ended.
    pub fn finish(&mut self, now: Time, attempt: Attempt, outcome: Outcome) {
        let until = now + self.options.report_timeout;
        let Some(entry) = self.attempts.get_mut(&attempt.number) else {
            return;
        };
        if !matches!(entry.stage, Stage::Running) {
            return;
        }
        entry.sent = None;
        let answer = match outcome {
            Outcome::Answered(bytes) if bytes.len() <= MAX_ANSWER_BYTES => Answer::Kept(bytes),
            Outcome::Answered(_) | Outcome::TooLarge => Answer::TooLarge,
            Outcome::Unknown => Answer::Unknown,
            Outcome::NotRun => {
                entry.stage = Stage::Releasing { until };
                return;
            }
        };
        entry.stage = Stage::Telling { answer, until };
    }

    /// Takes in a home's answer.
    pub fn handle_message(&mut self, now: Time, msg: &Message) {
        let Some(Body::Reply(reply)) = &msg.body else {
            return;
        };
        let Some(entry) = self.attempts.get_mut(&reply.number) else {
            return;
        };
        match (&entry.stage, &reply.body) {
            (Stage::Asking, Some(body)) => entry.answered(now, body),
            (Stage::Releasing { .. } | Stage::Telling { .. }, Some(ReplyBody::Ack(_))) => {
                self.attempts.remove(&reply.number);
            }
            _ => {}
        }
    }

    /// What is to be sent now.
    pub fn poll(&mut self, now: Time) -> Vec<Outgoing> {
        let is_over = |entry: &Entry| match &entry.stage {
            Stage::Releasing { until } | Stage::Telling { until, .. } => now >= *until,
            _ => false,
        };
        self.attempts.retain(|_, entry| !is_over(entry));
        let (me, again) = (self.me, self.options.resend_interval);
        let mut sends = Vec::new();
        for (number, entry) in &mut self.attempts {
            let is_due = entry.sent.is_none_or(|sent| now.since(sent) >= again);
            let home = self.homes.get(&entry.req.key.shard());
            let (Some(home), true) = (home, is_due) else {
                continue;
            };
            let Some(body) = entry.ask(now) else { continue };
            entry.sent = Some(now);
            entry.asked += 1;
            let attempt = Attempt {
                owner: me,
                number: *number,
            };
            let ask = Ask {
                key: Some(entry.req.key.into()),
                attempt: Some(attempt.into()),
                fingerprint: entry.req.fingerprint,
                body: Some(body),
            };
            let msg = Message::new(entry.req.key.shard(), home.epoch, Body::Ask(ask));
            let to = home.primary;
            sends.push(Outgoing { to, msg });
        }
        sends
    }

    /// Makes the attempt's permit useless, then lets the home know.
    fn release(&mut self, now: Time, attempt: Attempt) {
        let until = now + self.options.report_timeout;
        if let Some(entry) = self.attempts.get_mut(&attempt.number) {
            entry.stage = Stage::Releasing { until };
            entry.sent = None;
        }
    }

    /// Ends an attempt that the home refused; a copy of its question may still be under way.
    fn refuse(&mut self, now: Time, attempt: Attempt) {
        let asked_once = self
            .attempts
            .get(&attempt.number)
            .is_some_and(|entry| entry.asked <= 1);
        match asked_once {
            true => {
                self.attempts.remove(&attempt.number);
            }
            false => {
                self.release(now, attempt);
            }
        }
    }
}

impl Entry {
    fn answered(&mut self, now: Time, body: &ReplyBody) {
        self.stage = match body {
            ReplyBody::Permit(permit) => match permitted_until(permit) {
                until if now < until => Stage::Permitted { until },
                _ => return,
            },
            ReplyBody::Stored(bytes) => Stage::Answered(bytes.clone()),
            ReplyBody::Refused(refused) => Stage::Refused(refused.into()),
            ReplyBody::Ack(_) => return,
        };
    }

    fn ask(&self, now: Time) -> Option<AskBody> {
        match &self.stage {
            Stage::Asking => Some(AskBody::Begin(Begin {
                asked_micros: now.as_micros(),
                remaining_micros: micros(self.req.deadline.since(now)),
            })),
            Stage::Releasing { .. } => Some(AskBody::Release(Release {})),
            Stage::Telling { answer, .. } => Some(AskBody::Finish(answer.into())),
            Stage::Permitted { .. } | Stage::Running | Stage::Answered(_) | Stage::Refused(_) => {
                None
            }
        }
    }
}

fn permitted_until(permit: &Permit) -> Time {
    Time::from_micros(permit.asked_micros) + Duration::from_micros(permit.validity_micros)
}
