//! HTTP answers to clients.

use bytes::Bytes;
use cassiashunt_types::prelude::*;

use crate::{
    http::{OutgoingMessage, reason_phrase},
    link::{Answer, Field},
};

/// The HTTP answer to one request.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Field>,
    pub(crate) body: Bytes,
    /// Whether to close the connection after sending it.
    pub(crate) closes: bool,
}

impl Reply {
    /// An answer of this node itself, without a body.
    pub(crate) fn from_status(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
            closes: false,
        }
    }

    /// An answer of this node itself, after which the connection is closed.
    pub(crate) fn closing(status: u16) -> Self {
        Self {
            closes: true,
            ..Self::from_status(status)
        }
    }

    /// The backend server's answer.
    pub(crate) fn from_answer(answer: Answer) -> Self {
        Self {
            status: u16::try_from(answer.status).unwrap_or(502),
            headers: answer.headers,
            body: answer.body,
            closes: false,
        }
    }

    /// The answer for a refusal, with a `Retry-After` header if the refusal carries a delay; only
    /// requests that did not run get one.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        let mut reply = Self::from_status(status_of(refusal));
        if let Some(after) = refusal.retry_after {
            let (name, value) = cassiashunt_adapter::retry_after(after);
            let name = name.to_owned();
            reply.headers.push(Field { name, value });
        }
        reply
    }

    /// Encodes the answer. `is_head` for an answer to a HEAD request, which has no body.
    pub(crate) fn encode(&self, is_head: bool, closes: bool) -> OutgoingMessage {
        let mut out = Vec::with_capacity(512);
        let mut line = |parts: [&str; 3]| {
            for part in parts {
                out.extend_from_slice(part.as_bytes());
            }
            out.extend_from_slice(b"\r\n");
        };
        let status = self.status.to_string();
        line([
            "HTTP/1.1 ",
            &status,
            &format!(" {}", reason_phrase(self.status)),
        ]);
        for field in &self.headers {
            line([&field.name, ": ", &field.value]);
        }
        let has_length = self.status != 204 && self.status != 304 && self.status >= 200;
        if has_length && !is_head {
            line(["Content-Length", ": ", &self.body.len().to_string()]);
        }
        if closes {
            line(["Connection", ": ", "close"]);
        }
        line(["", "", ""]);
        let body = if is_head {
            Bytes::new()
        } else {
            self.body.clone()
        };
        OutgoingMessage::new(out, body)
    }
}

/// The HTTP status for a refusal.
pub(crate) fn status_of(refusal: Refusal) -> u16 {
    match (refusal.verdict, refusal.reason) {
        (Verdict::NotRun, Reason::OverLimit) => 429,
        (Verdict::NotRun, Reason::BadRequest) => 400,
        (Verdict::NotRun, Reason::BadKey) => 401,
        (Verdict::NotRun, Reason::UnknownRoute) => 404,
        (Verdict::NotRun, _) => 503,
        (Verdict::MayHaveRun, Reason::Deadline) => 504,
        (Verdict::MayHaveRun, _) => 502,
    }
}
