//! Answers of the stand-in.

use std::io::Cursor;

use cassiashunt_platform::{Entry, Error, Version, wire};
use serde::Serialize;
use tiny_http::{Header, Request, Response};

/// What the stand-in does with a request.
pub(super) enum Answer {
    /// It answers with this status, these headers and this body.
    Send {
        status: u16,
        headers: Vec<Header>,
        body: Vec<u8>,
    },
    /// It never answers.
    Lose,
}

impl Answer {
    pub(super) fn status(status: u16) -> Self {
        Self::Send {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub(super) fn bytes(body: Vec<u8>) -> Self {
        Self::Send {
            status: 200,
            headers: Vec::new(),
            body,
        }
    }

    pub(super) fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("plain counts and switches are JSON");
        Self::bytes(body)
    }

    pub(super) fn version(version: Version) -> Self {
        Self::Send {
            status: 200,
            headers: vec![header(wire::VERSION_HEADER, version)],
            body: Vec::new(),
        }
    }

    pub(super) fn entry(status: u16, entry: &Entry) -> Self {
        let mut headers = vec![header(wire::VERSION_HEADER, entry.version)];
        headers.extend(entry.lease.map(|lease| header(wire::LEASE_HEADER, lease)));
        Self::Send {
            status,
            headers,
            body: entry.value.to_vec(),
        }
    }

    pub(super) fn error(err: &Error) -> Self {
        Self::status(match err {
            Error::TooLarge { .. } => 413,
            Error::NoLease { .. } => 410,
            Error::OverBudget => 429,
            Error::Down { .. } | Error::Lost { .. } | Error::Protocol { .. } => 503,
        })
    }

    pub(super) fn give(self, req: Request) {
        match self {
            Self::Lose => drop(req.into_writer()),
            Self::Send {
                status,
                headers,
                body,
            } => {
                let mut answer =
                    Response::new(status.into(), headers, Cursor::new(&body), None, None);
                answer = answer.with_data(Cursor::new(&body), Some(body.len()));
                // A caller that has gone needs no answer.
                let _ = req.respond(answer);
            }
        }
    }
}

fn header(name: &str, value: impl ToString) -> Header {
    Header::from_bytes(name, value.to_string()).expect("a number is a valid header value")
}
