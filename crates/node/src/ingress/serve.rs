//! One caller's connection from its first request to its last.

use cassiashunt_http::{Answer, Connection, Incoming, ReadError, Request};
use cassiashunt_types::prelude::*;

use super::{Acceptor, answer, forward};
use crate::shared::Shared;

/// Serves a connection until either side is done with it.
pub(crate) fn connection(acceptor: &Acceptor, shared: &Shared, mut connection: Connection) {
    while !acceptor.is_killed() {
        let is_last = acceptor.is_stopped();
        match connection.read() {
            Ok(Incoming::Request(req)) => {
                if !acceptor.while_busy(|| one(shared, &mut connection, req)) {
                    break;
                }
            }
            Ok(Incoming::Idle) if is_last => break,
            Ok(Incoming::Idle) => {}
            Ok(Incoming::Closed) => return,
            Err(err) => {
                unreadable(&mut connection, &err);
                break;
            }
        }
    }
    connection.close();
}

/// Answers one request; `false` where the connection is not to be used again.
fn one(shared: &Shared, connection: &mut Connection, req: Request) -> bool {
    let wants_more = req.keep_alive;
    let with_body = req.method != "HEAD";
    let answer = match forward::request(shared, req, &|| connection.is_closed_by_caller()) {
        Ok(answer) => answer,
        Err(refusal) => {
            shared.stats.refused(refusal);
            answer::refusal(refusal)
        }
    };
    let keep_alive = wants_more && !shared.is_draining();
    let written = connection.write(&answer, keep_alive, with_body);
    written.is_ok() && keep_alive
}

fn unreadable(connection: &mut Connection, err: &ReadError) {
    log::debug!(event = "request-unreadable"; "{err}");
    if !err.is_answerable() {
        return;
    }
    let answer = match err {
        ReadError::BodyTooLarge => answer::refusal(Refusal::not_run(Reason::BodyTooLarge)),
        ReadError::NoRoom => {
            let refusal = Refusal::not_run(Reason::Full).retry_after(Duration::from_secs(1));
            answer::refusal(refusal)
        }
        ReadError::HeadTooLarge => Answer {
            status: 431,
            ..bad_request()
        },
        ReadError::Slow => Answer {
            status: 408,
            ..bad_request()
        },
        _ => bad_request(),
    };
    // A caller that has gone needs no answer.
    let _ = connection.write(&answer, false, true);
}

fn bad_request() -> Answer {
    answer::refusal(Refusal::not_run(Reason::BadRequest))
}
