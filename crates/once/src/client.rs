//! Requests permits on the node that hands requests to its backend server.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cassiashunt_types::{Epoch, NodeId, Reason, Refusal, ShardId, Time};

use crate::{
    Answer, Attempt, Key, MAX_ANSWER_BYTES, Outgoing,
    msg::{Ask, AskBody, Begin, Body, Message, Permit, Release, ReplyBody, micros},
};

/// Settings of [`Client`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Interval after which an unanswered message is sent again.
    pub resend_interval: Duration,
    /// How long the end of an attempt is reported to the home without an acknowledgement.
    pub report_timeout: Duration,
    /// Maximum number of attempts at once, including those that are still being reported.
    pub max_attempts: usize,
    /// Retry-after delay for refused callers.
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

/// A request that must run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its idempotency key.
    pub key: Key,
    /// Hash of its content; a repeat has the same.
    pub fingerprint: u64,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// What to do with a request at this moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to the server now; the permit is spent.
    Run,
    /// Call again when a message has arrived or a few milliseconds have passed.
    Wait,
    /// An earlier request with the same key got this answer.
    Answered(Vec<u8>),
    /// It must not be run.
    Refused(Refusal),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer; one larger than [`MAX_ANSWER_BYTES`] is not stored.
    Answered(Arc<[u8]>),
    /// With an answer that is too large to store.
    TooLarge,
    /// The server itself refused to run it.
    NotRun,
    /// It is unknown whether it ran.
    Unknown,
}

/// Requests permits from homes, for the requests of one node.
///
/// A permit never leaves the client: its attempt exists only here, is handed over at most once, and
/// is closed here before its home receives the report that it did not run.
#[derive(Debug, Clone)]
pub struct Client {
    me: NodeId,
    options: Options,
    last_number: u64,
    homes: BTreeMap<ShardId, KnownHome>,
    attempts: BTreeMap<u64, AttemptState>,
}

#[derive(Debug, Clone, Copy)]
struct KnownHome {
    epoch: Epoch,
    primary: NodeId,
}

#[derive(Debug, Clone)]
struct AttemptState {
    req: Request,
    stage: Stage,
    times_asked: u32,
    last_sent: Option<Time>,
}

#[derive(Debug, Clone)]
enum Stage {
    Asking,
    Permitted { until: Time },
    Running,
    Answered(Vec<u8>),
    Refused(Refusal),
    Releasing { until: Time },
    Reporting { answer: Answer, until: Time },
}

impl Client {
    /// Creates a client that knows no home yet.
    #[must_use]
    pub fn new(me: NodeId, options: Options) -> Self {
        Self {
            me,
            options,
            last_number: 0,
            homes: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Sets the home of a shard as named by the control value; an epoch that is not newer is
    /// ignored. Messages about the shard's attempts are due again at once.
    pub fn follow_home(&mut self, shard: ShardId, epoch: Epoch, primary: NodeId) {
        let known = self.homes.get(&shard).map(|home| home.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        self.homes.insert(shard, KnownHome { epoch, primary });
        let is_affected = |entry: &&mut AttemptState| entry.req.key.shard() == shard;
        for entry in self.attempts.values_mut().filter(is_affected) {
            entry.last_sent = None;
        }
    }

    /// Opens an attempt at running this request.
    ///
    /// # Errors
    ///
    /// Refused as not run when there are already `max_attempts` attempts.
    pub fn begin(&mut self, req: Request) -> Result<Attempt, Refusal> {
        if self.attempts.len() >= self.options.max_attempts {
            let refusal = Refusal::not_run(Reason::Full);
            return Err(refusal.retry_after(self.options.retry_after));
        }
        self.last_number += 1;
        let entry = AttemptState {
            req,
            stage: Stage::Asking,
            times_asked: 0,
            last_sent: None,
        };
        self.attempts.insert(self.last_number, entry);
        Ok(Attempt {
            owner: self.me,
            number: self.last_number,
        })
    }

    /// Decides what to do with the request; to be called at the moment of handing it over.
    ///
    /// Any decision but [`Decision::Wait`] is returned once; the attempt is then closed, or running
    /// until [`Client::finish`].
    pub fn hand_over(&mut self, now: Time, attempt: Attempt) -> Decision {
        let Some(entry) = self.attempts.get_mut(&attempt.number) else {
            return Decision::Refused(Refusal::may_have_run(Reason::Repeated));
        };
        let is_past_deadline = now >= entry.req.deadline;
        match &entry.stage {
            Stage::Asking | Stage::Permitted { .. } if is_past_deadline => {
                Decision::Refused(self.give_up(now, attempt, Reason::Deadline))
            }
            Stage::Permitted { until } if now < *until => {
                entry.stage = Stage::Running;
                Decision::Run
            }
            Stage::Permitted { .. } => {
                entry.stage = Stage::Asking;
                entry.last_sent = None;
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
                self.close_refused(now, attempt);
                Decision::Refused(refusal)
            }
            Stage::Running | Stage::Releasing { .. } | Stage::Reporting { .. } => {
                Decision::Refused(Refusal::may_have_run(Reason::Repeated))
            }
        }
    }

    /// Gives up an attempt that has not been handed over, so that its request is not run.
    pub fn give_up(&mut self, now: Time, attempt: Attempt, reason: Reason) -> Refusal {
        let stage = self
            .attempts
            .get(&attempt.number)
            .map(|entry| entry.stage.clone());
        match stage {
            Some(Stage::Refused(refusal)) => {
                self.close_refused(now, attempt);
                refusal
            }
            Some(Stage::Asking | Stage::Permitted { .. } | Stage::Answered(_)) => {
                self.release(now, attempt);
                Refusal::not_run(reason).retry_after(self.options.retry_after)
            }
            Some(Stage::Running | Stage::Releasing { .. } | Stage::Reporting { .. }) | None => {
                Refusal::may_have_run(reason)
            }
        }
    }

    /// Records how the run of a request that was handed over has ended.
    pub fn finish(&mut self, now: Time, attempt: Attempt, outcome: Outcome) {
        let until = now + self.options.report_timeout;
        let Some(entry) = self.attempts.get_mut(&attempt.number) else {
            return;
        };
        if !matches!(entry.stage, Stage::Running) {
            return;
        }
        entry.last_sent = None;
        let answer = match outcome {
            Outcome::Answered(bytes) if bytes.len() <= MAX_ANSWER_BYTES => Answer::Kept(bytes),
            Outcome::Answered(_) | Outcome::TooLarge => Answer::TooLarge,
            Outcome::Unknown => Answer::Unknown,
            Outcome::NotRun => {
                entry.stage = Stage::Releasing { until };
                return;
            }
        };
        entry.stage = Stage::Reporting { answer, until };
    }

    /// Handles a home's reply.
    pub fn handle_message(&mut self, now: Time, msg: &Message) {
        let Some(Body::Reply(reply)) = &msg.body else {
            return;
        };
        let Some(entry) = self.attempts.get_mut(&reply.number) else {
            return;
        };
        match (&entry.stage, &reply.body) {
            (Stage::Asking, Some(body)) => entry.apply_reply(now, body),
            (Stage::Releasing { .. } | Stage::Reporting { .. }, Some(ReplyBody::Ack(_))) => {
                self.attempts.remove(&reply.number);
            }
            _ => {}
        }
    }

    /// Returns the messages to send now.
    pub fn poll(&mut self, now: Time) -> Vec<Outgoing> {
        let is_over = |entry: &AttemptState| match &entry.stage {
            Stage::Releasing { until } | Stage::Reporting { until, .. } => now >= *until,
            _ => false,
        };
        self.attempts.retain(|_, entry| !is_over(entry));
        let (me, resend_interval) = (self.me, self.options.resend_interval);
        let mut sends = Vec::new();
        for (number, entry) in &mut self.attempts {
            let is_due = entry
                .last_sent
                .is_none_or(|sent| now.since(sent) >= resend_interval);
            let home = self.homes.get(&entry.req.key.shard());
            let (Some(home), true) = (home, is_due) else {
                continue;
            };
            let Some(body) = entry.message_body(now) else {
                continue;
            };
            entry.last_sent = Some(now);
            entry.times_asked += 1;
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

    /// Discards the attempt's permit, then reports to the home that it did not run.
    fn release(&mut self, now: Time, attempt: Attempt) {
        let until = now + self.options.report_timeout;
        if let Some(entry) = self.attempts.get_mut(&attempt.number) {
            entry.stage = Stage::Releasing { until };
            entry.last_sent = None;
        }
    }

    /// Ends an attempt that the home refused. If its request was sent more than once, one may still
    /// be in flight, so the attempt is released.
    fn close_refused(&mut self, now: Time, attempt: Attempt) {
        let asked_once = self
            .attempts
            .get(&attempt.number)
            .is_some_and(|entry| entry.times_asked <= 1);
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

impl AttemptState {
    fn apply_reply(&mut self, now: Time, body: &ReplyBody) {
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

    fn message_body(&self, now: Time) -> Option<AskBody> {
        match &self.stage {
            Stage::Asking => Some(AskBody::Begin(Begin {
                asked_micros: now.as_micros(),
                remaining_micros: micros(self.req.deadline.since(now)),
            })),
            Stage::Releasing { .. } => Some(AskBody::Release(Release {})),
            Stage::Reporting { answer, .. } => Some(AskBody::Finish(answer.into())),
            Stage::Permitted { .. } | Stage::Running | Stage::Answered(_) | Stage::Refused(_) => {
                None
            }
        }
    }
}

fn permitted_until(permit: &Permit) -> Time {
    Time::from_micros(permit.asked_micros) + Duration::from_micros(permit.validity_micros)
}
