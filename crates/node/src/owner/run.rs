//! One request at the backend server.

use std::sync::{Arc, PoisonError};

use cassiashunt_route::retry::Allowance;
use cassiashunt_suspect::message::StrikeNews;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, Chunk, End, Head, Refused};
use prost::Message as _;
use ureq::{Body as AnswerBody, http::Response};

use super::{
    Job, Owner,
    backend::{self, Failure, Stamp},
    health::Sight,
    owner::Finish,
};
use crate::{
    link::CHUNK_BYTES,
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
        let parent = Arc::new(Parent::new(&job, Allowance::new(job.retries)));
        let ticket = self.tickets.issue(Arc::clone(&parent));
        let ended = self.exchange(now, &job, ticket);
        self.tickets.withdraw(ticket);
        self.settle(now, &job, &parent, ended);
    }

    /// The last check before the request is handed to the server.
    fn may_run(&self, now: Time, job: &Job) -> Result<(), Refusal> {
        if job.reply.is_cancelled() {
            return Err(Refusal::not_run(Reason::Cancelled));
        }
        if now >= job.deadline {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        if job.permit.is_some_and(|permit| now >= permit.until) {
            return Err(Refusal::not_run(Reason::Full));
        }
        (self.gate.check)(now, job)
    }

    /// Sends the request to the server and its answer, but for the end, back to the asker.
    fn exchange(&self, now: Time, job: &Job, ticket: Ticket) -> Result<u64, Failure> {
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
        job.reply.send(Body::Head(head)).map_err(gone)?;
        copy_body(job, answer)
    }

    fn settle(&self, started: Time, job: &Job, parent: &Parent, ended: Result<u64, Failure>) {
        let latency = self.clock.now().since(started);
        let unused = parent
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .left();
        match ended {
            Ok(body_len) => {
                self.finish(
                    job.reply.id(),
                    &Finish::Ran {
                        latency,
                        is_ok: true,
                    },
                );
                (self.gate.finished)(job.fingerprint, started);
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
    fn end_alone(&self, job: &Job, strike: Option<StrikeNews>) {
        if job.is_alone {
            (self.gate.ended_alone)(job.reply.id(), strike);
        }
    }

    /// Takes in a failed run, and gives the strike against it where the server has died.
    fn on_failure(&self, job: &Job, latency: Duration, failure: Failure) -> Option<StrikeNews> {
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
        died.then(|| (self.gate.strike)(self.clock.now(), job.fingerprint))?
    }
}

/// Sends the body back piece by piece and gives its length.
fn copy_body(job: &Job, mut answer: Response<AnswerBody>) -> Result<u64, Failure> {
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
