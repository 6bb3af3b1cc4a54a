//! One request at the backend server.

use std::sync::{Arc, PoisonError};

use cassiashunt_once::{Attempt, Outcome};
use cassiashunt_route::retry::Allowance;
use cassiashunt_suspect::message::StrikeRecord;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, Chunk, End, Head, Refused};
use prost::Message as _;
use ureq::{Body as AnswerBody, http::Response};

use super::{
    Job, Owner,
    backend::{self, Failure, Stamp},
    health::Sight,
    server::Finish,
};
use crate::{
    link::{CHUNK_BYTES, chunks},
    once::{Copy, KeptAnswer, Leave},
    ticket::{Parent, Ticket},
};

impl Owner {
    /// Runs a request and sends its answer back.
    pub(super) fn run_job(&self, job: Job) {
        let id = job.reply.id();
        let now = self.clock.now();
        if let Err(refusal) = self.may_run(now, &job) {
            self.finish(id, &Finish::NotSent);
            self.end_alone(&job, None);
            return job
                .reply
                .refuse(refusal, Some(self.signal().to_bits()), job.retries);
        }
        let attempt = match self.ask_leave(&job) {
            Ok(attempt) => attempt,
            Err(denied) => return self.deny(&job, denied),
        };
        let now = self.clock.now();
        let mut copy = Copy::default();
        let parent = Arc::new(Parent::new(&job, Allowance::new(job.retries)));
        let ticket = self.tickets.issue(Arc::clone(&parent));
        let ended = self.exchange(now, &job, ticket, &mut copy);
        self.tickets.withdraw(ticket);
        if let Some(attempt) = attempt {
            self.gate.finish_once(attempt, outcome(&ended, copy));
        }
        self.settle(now, &job, &parent, ended);
    }

    /// Asks for the leave to run a request that runs at most once, where it is one.
    fn ask_leave(&self, job: &Job) -> Result<Option<Attempt>, Denied> {
        if !job.runs_once {
            return Ok(None);
        }
        match self.gate.leave(job) {
            Ok(Leave::Run(attempt)) => Ok(Some(attempt)),
            Ok(Leave::Answered(kept)) => Err(Denied::Answered(kept)),
            Err(refusal) => Err(Denied::Refused(refusal)),
        }
    }

    /// Answers a request that did not get leave; its slot is free again first.
    fn deny(&self, job: &Job, denied: Denied) {
        self.finish(job.reply.id(), &Finish::NotSent);
        self.end_alone(job, None);
        let signal = self.signal().to_bits();
        match denied {
            Denied::Refused(refusal) => job.reply.refuse(refusal, Some(signal), job.retries),
            Denied::Answered(kept) => {
                let end = End {
                    body_len: kept.body.len() as u64,
                    unused_retries: job.retries,
                    signal,
                    ..End::default()
                };
                let head = Body::Head(kept.head.unwrap_or_default());
                let pieces = chunks(&kept.body).map(Body::Chunk);
                let mut all = [head].into_iter().chain(pieces).chain([Body::End(end)]);
                // An asker that has gone needs no answer.
                let _ = all.try_for_each(|piece| job.reply.send(piece));
            }
        }
    }

    /// The last check before the request is handed to the server.
    fn may_run(&self, now: Time, job: &Job) -> Result<(), Refusal> {
        if job.reply.is_cancelled() {
            return Err(Refusal::not_run(Reason::Cancelled));
        }
        if now >= job.deadline {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        self.gate.check(now, job)
    }

    /// Sends the request to the server and its answer, but for the end, back to the asker.
    fn exchange(
        &self,
        now: Time,
        job: &Job,
        ticket: Ticket,
        copy: &mut Copy,
    ) -> Result<u64, Failure> {
        let stamp = Stamp {
            ticket: ticket.to_string(),
            remaining: job.deadline.since(now),
        };
        let answer = self.backend.send(job, &stamp)?;
        self.see(Sight::Answer);
        let head = Head {
            status: answer.status().as_u16().into(),
            headers: backend::answer_headers(&answer),
        };
        let gone = |_| Failure {
            refusal: Refusal::may_have_run(Reason::Cancelled),
            is_broken: false,
        };
        copy.set_head(head.status, &head.headers);
        job.reply.send(Body::Head(head)).map_err(gone)?;
        copy_body(job, answer, copy)
    }

    fn settle(&self, started: Time, job: &Job, parent: &Parent, ended: Result<u64, Failure>) {
        let latency = self.clock.now().since(started);
        let unused = parent
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remaining();
        match ended {
            Ok(body_len) => {
                self.finish(
                    job.reply.id(),
                    &Finish::Ran {
                        latency,
                        is_ok: true,
                    },
                );
                self.gate.finished(job.fingerprint, started);
                self.end_alone(job, None);
                let end = End {
                    body_len,
                    unused_retries: unused,
                    signal: self.signal().to_bits(),
                    visited: parent.visited(),
                    ..End::default()
                };
                // An asker that has gone needs no answer.
                let _ = job.reply.send(Body::End(end));
            }
            Err(failure) => {
                let strike = self.on_failure(job, latency, failure);
                self.end_alone(job, strike.clone());
                let refused = Refused {
                    signal: Some(self.signal().to_bits()),
                    unused_retries: unused,
                    strike: strike
                        .map(|strike| strike.encode_to_vec())
                        .unwrap_or_default(),
                    ..Refused::from(failure.refusal)
                };
                // An asker that has gone needs no answer.
                let _ = job.reply.send(Body::Refused(refused));
            }
        }
    }

    /// Gives the leave to run alone back, where the request had one.
    fn end_alone(&self, job: &Job, strike: Option<StrikeRecord>) {
        if job.is_alone {
            self.gate.ended_alone(job.reply.id(), strike);
        }
    }

    /// Takes in a failed run, and gives the strike against it where the server has died.
    fn on_failure(&self, job: &Job, latency: Duration, failure: Failure) -> Option<StrikeRecord> {
        if failure.is_broken && !self.backend.is_listening() {
            self.see(Sight::Refuse);
        }
        let ran = failure.refusal.verdict == Verdict::MayHaveRun;
        let end = match ran {
            true => Finish::Ran {
                latency,
                is_ok: false,
            },
            false => Finish::NotSent,
        };
        self.finish(job.reply.id(), &end);
        let died = failure.is_broken && ran && !self.is_up();
        died.then(|| self.gate.strike(self.clock.now(), job.fingerprint))?
    }
}

/// Why a request that runs at most once is not run now.
enum Denied {
    /// An earlier request with the same key got this answer.
    Answered(KeptAnswer),
    Refused(Refusal),
}

/// What the home of a request's key is told of its run.
fn outcome(ended: &Result<u64, Failure>, copy: Copy) -> Outcome {
    match ended {
        Ok(_) => copy.outcome(),
        Err(failure) if failure.refusal.verdict == Verdict::NotRun => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    }
}

/// Sends the body back piece by piece and gives its length.
fn copy_body(job: &Job, mut answer: Response<AnswerBody>, copy: &mut Copy) -> Result<u64, Failure> {
    let lost = Failure {
        refusal: Refusal::may_have_run(Reason::Lost),
        is_broken: true,
    };
    let mut reader = answer.body_mut().as_reader();
    let mut body_len = 0;
    loop {
        let data = backend::read_piece(&mut reader, CHUNK_BYTES).map_err(|_| lost)?;
        if data.is_empty() {
            return Ok(body_len);
        }
        if job.reply.is_cancelled() {
            return Err(Failure {
                is_broken: false,
                ..lost
            });
        }
        copy.push(&data);
        body_len += data.len() as u64;
        let is_last = data.len() < CHUNK_BYTES;
        job.reply
            .send(Body::Chunk(Chunk { data }))
            .map_err(|_| Failure {
                is_broken: false,
                ..lost
            })?;
        if is_last {
            return Ok(body_len);
        }
    }
}
