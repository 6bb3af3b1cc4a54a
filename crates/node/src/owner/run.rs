//! One request at the backend server.

use std::sync::{Arc, PoisonError};

use cassiashunt_route::retry::Allowance;
use cassiashunt_types::prelude::*;
use cassiashunt_wire::{Body, Chunk, End, Head};
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
                (self.gate.finished)(job.fingerprint);
                let end = End {
                    body_len,
                    unused_retries: unused,
                    signal: self.signal().to_bits(),
                    visited: parent.visited(),
                    accepted_line: None,
                };
                // An asker that has gone needs no answer.
                let _ = job.reply.send(Body::End(end));
            }
            Err(failure) => {
                self.on_failure(job, latency, failure);
                let signal = Some(self.signal().to_bits());
                job.reply.refuse(failure.refusal, signal, unused);
            }
        }
    }

    fn on_failure(&self, job: &Job, latency: Duration, failure: Failure) {
        if failure.is_broken && !self.backend.is_listening() {
            self.see(Sight::Refuse);
        }
        let ran = failure.refusal.verdict == Verdict::MayHaveRun;
        let end = if ran {
            Finish::Ran {
                latency,
                is_ok: false,
            }
        } else {
            Finish::NotSent
        };
        self.finish(job.reply.id(), &end);
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
